//! Calls to the configuration service, and the bytes and propagation time of a change.

use std::time::Duration;

use seam_harness::deployments;
use seam_harness::world::BOOT_TIME;
use seam_harness::{Fault, World};
use seam_protocol::VmId;

/// Prints tables of platform calls and propagation times by fleet size, and the bytes of a change.
pub fn print() {
    println!("## Configuration changes\n");
    println!(
        "| nodes | calls per change | seconds from the service | seconds from one peer | calls after an outage of the service |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for (regions, nodes) in [(4, 20), (8, 80), (16, 200), (25, 370)] {
        let spec = deployments::large(regions, nodes, 4, 60);
        let mut world = World::new(deployments::bundle(&spec), 7);
        world.run_for(BOOT_TIME * 2);
        let before = world.platform_calls();
        let start = world.now;
        world.publish(|bundle| bundle.deployment.latency_weight = 0.61);
        world.run_for(Duration::from_secs(10));
        let first = world.newest().revision;
        let by_service = world.last_applied(first).map(|last| last.since(start));
        let calls = world.platform_calls() - before;
        let start = world.now;
        let vm: VmId = world.vms()[nodes / 2];
        world.publish_to_one(vm);
        world.run_for(Duration::from_secs(20));
        let second = world.newest().revision;
        let by_peer = world.last_applied(second).map(|last| last.since(start));
        let before = world.platform_calls();
        world.inject_fault(&Fault::ServiceUp);
        world.run_for(Duration::from_secs(35));
        let after_outage = world.platform_calls() - before;
        let cell = |span: Option<Duration>| {
            span.map_or_else(
                || "never".to_owned(),
                |span| format!("{:.2}", span.as_secs_f64()),
            )
        };
        println!(
            "| {nodes} | {calls} | {} | {} | {after_outage} |",
            cell(by_service),
            cell(by_peer)
        );
    }
    let mut bundle = deployments::bundle(&deployments::large(25, 370, 30, 28_000));
    let old = seam_config::split(&bundle).expect("every part fits the size limit");
    if let Some(customer) = bundle.customers.values_mut().next() {
        customer.rate += 1;
    }
    bundle.revision += 1;
    let new = seam_config::split(&bundle).expect("every part fits the size limit");
    let changed = new
        .parts
        .iter()
        .filter(|(digest, _)| !old.parts.contains_key(digest));
    let changed: Vec<usize> = changed.map(|(_, part)| part.len()).collect();
    let total_bytes: usize = new.parts.values().map(Vec::len).sum();
    println!(
        "\n28,000 customers: {} parts, {total_bytes} bytes; a change of one customer transfers a manifest of {} bytes and {} part of {} bytes.\n",
        new.parts.len(),
        new.manifest.len(),
        changed.len(),
        changed.iter().sum::<usize>()
    );
}
