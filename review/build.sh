#!/bin/sh
# Builds what the scripts of the review start beside the program of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
