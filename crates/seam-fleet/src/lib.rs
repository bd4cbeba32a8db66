//! Real nodes on loopback addresses, with an emulated platform and emulated targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use seam_config::settings::{
    Listen, LogFormat, LogSettings, Platform as PlatformSettings, Secrets, Source,
};
use seam_config::{Settings, split};
use seam_node::Daemon;
use seam_node::daemon::Serving;
use seam_protocol::{Bundle, Digest, Kind, TargetId, VmId, VmState};

use seam_emulator::server::wait_until;
use seam_emulator::{Engine, PlainService, Platform, TargetConfig};

/// Bearer token of the administration API with the role `operate`.
pub const OPERATE_TOKEN: &str = "operate-token";
/// Bearer token of the administration API with the role `read`.
pub const READ_TOKEN: &str = "read-token";
/// Secret shared by the nodes of the fleet.
pub const FLEET_SECRET: &[u8] = b"a secret of the emulated fleet";

/// Nodes, targets and a platform that run in this process.
#[derive(Debug)]
pub struct Fleet {
    /// Emulated platform, which serves all nodes.
    pub platform: Platform,
    /// Emulated plain services by target.
    pub plain_services: BTreeMap<TargetId, PlainService>,
    /// Emulated engines by target.
    pub engines: BTreeMap<TargetId, Engine>,
    /// Nodes by VM.
    pub nodes: BTreeMap<VmId, Daemon<Serving>>,
    /// The latest published bundle.
    pub bundle: Bundle,
}

/// Returns the settings of a node on loopback addresses with ports that the system assigns.
#[must_use]
pub fn node_settings(name: &str, region: &str, platform: SocketAddr) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: name.to_owned(),
        region: region.to_owned(),
        centre: String::new(),
        workers: 1,
        drain_limit: Duration::from_secs(60),
        connections: 10_000,
        body_memory: 64 << 20,
        seeds: Vec::new(),
        listen: Listen {
            caller: any_port,
            peer: any_port,
            admin: any_port,
        },
        source: Source::Bundles(PlatformSettings {
            config: platform,
            vms: platform,
            directory: platform,
        }),
        secrets: Secrets {
            fleet: FLEET_SECRET.to_vec(),
            operate: OPERATE_TOKEN.to_owned(),
            read: READ_TOKEN.to_owned(),
        },
        log: LogSettings {
            format: LogFormat::Human,
            level: "warn".to_owned(),
            modules: BTreeMap::new(),
        },
    }
}

fn start_node(settings: Settings) -> Daemon<Serving> {
    const MAX_ATTEMPTS: usize = 20;
    // A port that the system assigns for TCP can be in use for UDP.
    for _ in 1..MAX_ATTEMPTS {
        if let Ok(daemon) = Daemon::new(settings.clone()).serve() {
            return daemon;
        }
    }
    Daemon::new(settings)
        .serve()
        .expect("the system has a port that is free for TCP and UDP")
}

impl Fleet {
    /// Starts the platform, the targets and the nodes of a configuration, and publishes it.
    ///
    /// Replaces the addresses in the bundle by loopback addresses with ports that the system
    /// assigns.
    #[must_use]
    pub fn start(mut bundle: Bundle, config: TargetConfig) -> Self {
        let platform = Platform::default();
        let mut plain_services = BTreeMap::new();
        let mut engines = BTreeMap::new();
        for service in bundle.services.values_mut() {
            for (id, target) in &mut service.targets {
                target.address = match service.kind {
                    Kind::Plain => {
                        let plain = PlainService::start(&target.name, config.plain_delay);
                        let address = plain.address();
                        plain_services.insert(*id, plain);
                        address
                    }
                    Kind::Engine => {
                        let engine = Engine::start(&target.name, config.engine);
                        let address = engine.address();
                        engines.insert(*id, engine);
                        address
                    }
                };
            }
        }
        let mut nodes = BTreeMap::new();
        for (id, vm) in &mut bundle.deployment.vms {
            let region = &bundle.deployment.regions[&vm.region].name;
            let node = start_node(node_settings(&vm.name, region, platform.address()));
            vm.caller = node.listen.caller;
            vm.peer = node.listen.peer;
            nodes.insert(*id, node);
        }
        let mut fleet = Self {
            platform,
            plain_services,
            engines,
            nodes,
            bundle,
        };
        fleet.publish(|_| {});
        fleet
    }

    /// Changes the configuration and publishes it as the next revision.
    ///
    /// # Panics
    /// If a part of the changed configuration is too large to publish.
    pub fn publish(&mut self, change: impl FnOnce(&mut Bundle)) {
        change(&mut self.bundle);
        self.bundle.parent = (self.bundle.revision > 0).then_some(self.bundle.digest);
        self.bundle.revision += 1;
        let set = split(&self.bundle)
            .expect("every part of the configuration is small enough to publish");
        self.bundle.digest = Digest::of(&set.manifest);
        self.platform.publish(&set);
    }

    /// Replaces the platform's list by the named VMs and targets, all of them leaving.
    pub fn set_leaving(&self, leaving: &[&str]) {
        let states = leaving.iter().map(|name| VmState {
            name: (*name).to_owned(),
            leaving: true,
        });
        self.platform.set_vms(states.collect());
    }

    /// Returns a node by name.
    ///
    /// # Panics
    /// If no node has the name.
    #[must_use]
    pub fn node(&self, name: &str) -> &Daemon<Serving> {
        &self.nodes[&VmId::of(name)]
    }

    /// Returns the address of a node for callers.
    #[must_use]
    pub fn caller_address(&self, name: &str) -> SocketAddr {
        self.node(name).listen.caller
    }

    /// Waits until every node is ready with the latest revision, all peers in its region are alive,
    /// and it has a valid summary of every other region.
    pub async fn wait_ready(&self) {
        let revision = self.bundle.revision;
        let nodes = self.nodes.values();
        for node in nodes {
            wait_until(|| {
                let status = node.runtime().read(seam_core::Node::status);
                let own = &node.runtime().settings().region;
                let own_region = status.peers.iter().filter(|peer| peer.region == *own);
                let live_regions = node.runtime().read(seam_core::Node::live_regions);
                let regions = self.bundle.deployment.regions.len();
                status.ready
                    && status.revision == revision
                    && own_region.into_iter().all(|peer| peer.alive)
                    && live_regions + 1 >= regions
            })
            .await;
        }
    }
}

/// Bearer token of the customer whose home region is khomas.
pub const WINDHOEK_TOKEN: &str = "salon-windhoek-token";
/// Bearer token of the customer whose data must stay in the region erongo.
pub const SWAKOP_TOKEN: &str = "salon-swakop-token";

/// Returns the example deployment with three regions and nine VMs.
///
/// # Panics
/// If the example cannot be loaded.
#[must_use]
pub fn example_deployment() -> Bundle {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hamutenya");
    match seam_config::load_deployment(&[folder]) {
        Ok(bundle) => bundle,
        Err(error) => panic!("the example deployment cannot be loaded: {error}"),
    }
}

/// Runs a test against a fleet of the example deployment, once all its nodes are ready.
pub fn with_fleet<F: Future<Output = ()>>(test: impl FnOnce(Fleet) -> F) {
    const WORKERS: usize = 2;
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| seam_http::start_workers(WORKERS));
    seam_http::block_on(async {
        let fleet = Fleet::start(example_deployment(), TargetConfig::default());
        fleet.wait_ready().await;
        test(fleet).await;
    });
}
