#!/bin/sh
# Plays the case; see claim.txt. With TROUBLE=0 the disturbance is left out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/review-case kept_limits review/5 target/release/toucanseam
