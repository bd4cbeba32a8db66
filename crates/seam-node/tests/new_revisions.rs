//! Propagation of configuration changes to all nodes.

use seam_emulator::Caller;
use seam_emulator::server::wait_until;
use seam_fleet::{Fleet, with_fleet};
use seam_protocol::{Customer, CustomerId, Digest};

fn new_customer() -> Customer {
    Customer {
        name: "salon-new".into(),
        home: None,
        residency: None,
        priority: 1,
        weight: 1,
        concurrency: 18,
        rate: 100,
        services: std::collections::BTreeSet::new(),
        credentials: vec![Digest::of(b"new-token")],
    }
}

fn revisions(fleet: &Fleet) -> Vec<u64> {
    let nodes = fleet.nodes.values();
    nodes
        .map(|node| node.runtime().read(seam_core::Node::status).revision)
        .collect()
}

#[test]
fn active_everywhere() {
    with_fleet(|mut fleet| async move {
        let refused = Caller::new(fleet.caller_address("oshana-2"), "new-token");
        assert_eq!(
            refused.get("/booking-desk/slots").await.unwrap().status,
            401
        );
        fleet.publish(|bundle| {
            bundle
                .customers
                .insert(CustomerId::of("salon-new"), new_customer());
        });
        wait_until(|| revisions(&fleet).iter().all(|revision| *revision == 2)).await;
        for node in fleet.nodes.values() {
            let caller = Caller::new(node.listen.caller, "new-token");
            let response = caller.get("/booking-desk/slots").await.unwrap();
            assert_eq!(response.status, 200, "{}", response.text());
        }
    });
}

#[test]
fn spread_by_peers() {
    with_fleet(|mut fleet| async move {
        // One node gets the change while the configuration service is down for all nodes.
        let first = fleet.nodes.values().next().unwrap().runtime().clone();
        fleet.platform.set_down(true);
        fleet
            .bundle
            .customers
            .insert(CustomerId::of("salon-new"), new_customer());
        fleet.bundle.parent = Some(fleet.bundle.digest);
        fleet.bundle.revision += 1;
        let set = seam_config::split(&fleet.bundle).unwrap();
        seam_node::watch::apply_bundle(&first, set).unwrap();
        wait_until(|| revisions(&fleet).iter().all(|revision| *revision == 2)).await;
    });
}

#[test]
fn no_rollback() {
    with_fleet(|mut fleet| async move {
        let old = seam_config::split(&fleet.bundle).unwrap();
        fleet.publish(|bundle| bundle.deployment.latency_weight = 0.9);
        wait_until(|| revisions(&fleet).iter().all(|revision| *revision == 2)).await;
        fleet.platform.publish(&old);
        fleet.publish(|bundle| bundle.deployment.latency_weight = 0.7);
        wait_until(|| revisions(&fleet).iter().all(|revision| *revision == 3)).await;
        for node in fleet.nodes.values() {
            let records = node.runtime().audit_trail.records();
            let rollbacks = records.iter().filter(|record| {
                record.audit.change == seam_core::audit::Change::Revision
                    && record.audit.new.starts_with("1 ")
                    && !record.audit.old.is_empty()
            });
            assert_eq!(rollbacks.count(), 0);
        }
    });
}
