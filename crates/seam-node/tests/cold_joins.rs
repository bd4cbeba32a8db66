//! Nodes that start while the configuration service is down, and the example settings of nodes.

use seam_emulator::server::wait_until;
use seam_fleet::{example_deployment, node_settings, with_fleet};
use seam_node::Daemon;

#[test]
fn joins_by_seeds() {
    with_fleet(|mut fleet| async move {
        fleet.platform.set_down(true);
        let id = seam_protocol::VmId::of("khomas-3");
        let old = fleet.nodes.remove(&id).unwrap();
        let listen = old.listen;
        old.abort();
        let mut new_settings = node_settings("khomas-3", "khomas", fleet.platform.address());
        new_settings.listen = listen;
        new_settings.seeds = vec![fleet.node("khomas-1").listen.peer];
        // The addresses of the old process become free shortly after its end.
        let mut started = None;
        wait_until(|| {
            started = started
                .take()
                .or_else(|| Daemon::new(new_settings.clone()).serve().ok());
            started.is_some()
        })
        .await;
        let daemon = started.unwrap();
        wait_until(|| daemon.runtime().read(seam_core::Node::ready)).await;
        let status = daemon.runtime().read(seam_core::Node::status);
        assert_eq!(status.revision, 1);
    });
}

#[test]
fn example_settings() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let bundle = example_deployment();
    for name in ["khomas-1", "erongo-1", "oshana-1"] {
        let path = folder.join(format!("hamutenya/nodes/{name}.toml"));
        let settings = seam_config::settings::load(&path).unwrap_or_else(|e| panic!("{e}"));
        let vm = &bundle.deployment.vms[&seam_protocol::VmId::of(name)];
        assert_eq!(settings.listen.caller, vm.caller);
        assert_eq!(settings.listen.peer, vm.peer);
        assert_eq!(settings.seeds.len(), 3);
    }
}
