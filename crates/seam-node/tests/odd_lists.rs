//! Lists and reports of which single elements or fields cannot be read.

use std::net::TcpListener;

use http::Response;
use seam_emulator::server::{Server, wait_until};
use seam_fleet::{Fleet, with_fleet};
use seam_http::full;
use seam_node::watch::{HttpPlatform, Platform};
use seam_protocol::{TargetId, VmState};

/// Guards against a list of VMs that is dropped for one element, so that leaving ones are used.
#[test]
fn odd_vms() {
    with_fleet(|_| async {
        let list =
            r#"[5, {"name": 7}, {"name": "a", "leaving": "soon"}, {"name": "b", "leaving": true}]"#;
        let server = Server::start(move |_, _| async move { Response::new(full(list)) });
        let platform = HttpPlatform {
            config: server.address,
            vms: server.address,
            directory: server.address,
        };
        let listed = VmState {
            name: "b".to_owned(),
            leaving: true,
        };
        assert_eq!(platform.vms().await.unwrap(), [listed]);
    });
}

/// Returns the load of a target by the statuses of the nodes.
fn loads(fleet: &Fleet, name: &str) -> Vec<u32> {
    let statuses = fleet
        .nodes
        .values()
        .map(|node| node.runtime().read(seam_core::Node::status));
    let targets = statuses.flat_map(|status| status.targets);
    targets
        .filter(|target| target.name == name)
        .map(|target| target.load)
        .collect()
}

/// Guards against a load that is not known, since another field of the report cannot be read.
#[test]
fn odd_report() {
    with_fleet(|fleet| async move {
        let name = "booking-desk-khomas-1";
        let service = &fleet.plain_services[&TargetId::of(name)];
        let address = service.address();
        service.close();
        wait_until(|| TcpListener::bind(address).is_ok()).await;
        let report = r#"{"running": 5, "waiting": 2, "models": ["m", 3], "fence": -1}"#;
        let _server = Server::start_at(
            address,
            move |_, _| async move { Response::new(full(report)) },
        );
        wait_until(|| loads(&fleet, name).contains(&7)).await;
    });
}
