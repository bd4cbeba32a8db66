//! Serves a published folder as the platform does, and emulates every target of its configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use async_io::Timer;
use seam_config::{PartSet, assemble};
use seam_emulator::{Engine, PlainService, Platform, TargetConfig};
use seam_protocol::{Bundle, Kind};

/// Emulates the platform and the targets of a published folder.
#[derive(FromArgs)]
struct Arguments {
    /// folder that `seamctl publish --out` writes
    #[argh(option)]
    out: PathBuf,

    /// address of the platform
    #[argh(option)]
    listen: SocketAddr,
}

fn read_bundle(folder: &std::path::Path) -> Option<(PartSet, Bundle)> {
    let manifest = std::fs::read(folder.join("manifest")).ok()?;
    let parsed = seam_config::bundle::parse_manifest(&manifest).ok()?;
    let mut parts = BTreeMap::new();
    for digest in parsed.parts.values() {
        let part = std::fs::read(folder.join(format!("part-{digest}"))).ok()?;
        parts.insert(*digest, part);
    }
    let set = PartSet { manifest, parts };
    let bundle = assemble(&set).ok()?;
    Some((set, bundle))
}

fn main() {
    const POLL_INTERVAL: Duration = Duration::from_millis(200);
    let arguments: Arguments = argh::from_env();
    seam_http::start_workers(2);
    seam_http::block_on(async {
        let platform = Platform::start(arguments.listen);
        let config = TargetConfig::default();
        let mut plain_services = BTreeMap::new();
        let mut engines = BTreeMap::new();
        let mut published = 0;
        loop {
            if let Some((set, bundle)) = read_bundle(&arguments.out)
                && bundle.revision > published
            {
                for service in bundle.services.values() {
                    for (id, target) in &service.targets {
                        let (address, name) = (target.address, &target.name);
                        if service.kind == Kind::Plain {
                            plain_services.entry(*id).or_insert_with(|| {
                                PlainService::start_at(address, name, config.plain_delay)
                            });
                        } else {
                            engines
                                .entry(*id)
                                .or_insert_with(|| Engine::start_at(address, name, config.engine));
                        }
                    }
                }
                platform.publish(&set);
                published = bundle.revision;
                println!("revision {published} published");
            }
            Timer::after(POLL_INTERVAL).await;
        }
    });
}
