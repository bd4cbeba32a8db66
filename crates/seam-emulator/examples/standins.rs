//! Serves a published folder as the platform does, and stands in for every target that it names.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use async_io::Timer;
use seam_config::{PartSet, assemble};
use seam_emulator::{Engine, PlainService, Platform, TargetConfig};
use seam_protocol::{Bundle, Kind};

/// Stands in for the platform and the targets of a published folder.
#[derive(FromArgs)]
struct Arguments {
    /// folder that `seamctl publish --out` writes
    #[argh(option)]
    out: PathBuf,

    /// address of the platform
    #[argh(option)]
    listen: SocketAddr,
}

fn read(out: &std::path::Path) -> Option<(PartSet, Bundle)> {
    let manifest = std::fs::read(out.join("manifest")).ok()?;
    let named = seam_config::bundle::parse_manifest(&manifest).ok()?;
    let mut parts = BTreeMap::new();
    for digest in named.parts.values() {
        let part = std::fs::read(out.join(format!("part-{digest}"))).ok()?;
        parts.insert(*digest, part);
    }
    let set = PartSet { manifest, parts };
    let bundle = assemble(&set).ok()?;
    Some((set, bundle))
}

fn main() {
    const LOOK: Duration = Duration::from_millis(200);
    let arguments: Arguments = argh::from_env();
    seam_http::start_workers(2);
    seam_http::block_on(async {
        let platform = Platform::start(arguments.listen);
        let paces = TargetConfig::default();
        let mut plains = BTreeMap::new();
        let mut engines = BTreeMap::new();
        let mut shown = 0;
        loop {
            if let Some((set, bundle)) = read(&arguments.out)
                && bundle.revision > shown
            {
                for service in bundle.services.values() {
                    for (id, target) in &service.targets {
                        let (address, name) = (target.address, &target.name);
                        if service.kind == Kind::Plain {
                            plains.entry(*id).or_insert_with(|| {
                                PlainService::start_at(address, name, paces.plain_delay)
                            });
                        } else {
                            engines
                                .entry(*id)
                                .or_insert_with(|| Engine::start_at(address, name, paces.engine));
                        }
                    }
                }
                platform.publish(&set);
                shown = bundle.revision;
                println!("revision {shown} shown");
            }
            Timer::after(LOOK).await;
        }
    });
}
