//! Bytes and messages between nodes.

use std::time::Duration;

use seam_harness::World;
use seam_harness::deployments::{self, DeploymentSpec, customer_name};
use seam_harness::ids::KeyChoice;
use seam_harness::traffic::Traffic;
use seam_protocol::{CustomerId, RegionId, ServiceId, Time};

use crate::fit;

const SETTLE: Duration = Duration::from_secs(15);
const SPAN: f64 = 30.0;

/// Runs a deployment with some load everywhere; returns bytes and messages a node and second.
pub fn rates(spec: &DeploymentSpec) -> (f64, f64) {
    let mut world = World::new(deployments::bundle(spec), 3);
    for (index, service) in spec.services.iter().enumerate() {
        for (place, region) in spec.regions.iter().enumerate() {
            // Every third customer is at home in a region, in turn.
            let home = 3 * (place + spec.regions.len() * index);
            world.add_traffic(Traffic {
                customer: CustomerId::of(&customer_name(home % spec.customers)),
                region: RegionId::of(&region.0),
                service: ServiceId::of(&service.name),
                rate: 1.0,
                peak: None,
                from: Time(6_000_000),
                until: Time(60_000_000),
                repeatable: true,
                key: KeyChoice::None,
                prefixes: 0,
                budget: Duration::from_secs(10),
            });
        }
    }
    world.run_for(SETTLE);
    let before = world.counters;
    world.run_for(Duration::from_secs_f64(SPAN));
    let nodes = world.running_vms().len() as f64;
    let bytes = (world.counters.heartbeat_bytes - before.heartbeat_bytes) as f64;
    let heartbeats = (world.counters.heartbeats - before.heartbeats) as f64;
    (bytes / nodes / SPAN, heartbeats / nodes / SPAN)
}

/// Prints the tables.
pub fn print() {
    println!("## Heartbeats\n\nBytes with MAC, UDP and IP headers, sent by a node in a second.\n");
    let run = |title: &str, x: &str, specs: &[(usize, DeploymentSpec)]| {
        let points: Vec<(f64, f64)> = specs
            .iter()
            .map(|(count, spec)| (*count as f64, rates(spec).0))
            .collect();
        fit::print(title, x, "bytes/s", &points);
    };
    let by_nodes =
        [2, 4, 8, 16, 32, 60].map(|nodes| (nodes, deployments::large(2, 2 * nodes, 8, 6000)));
    run("By nodes in a region", "nodes", &by_nodes);
    let by_regions =
        [2, 6, 12, 25].map(|regions| (regions, deployments::large(regions, regions * 4, 8, 6000)));
    run("By regions", "regions", &by_regions);
    let by_services =
        [1, 4, 8, 16, 30].map(|services| (services, deployments::large(4, 32, services, 6000)));
    run("By services", "services", &by_services);
    let (bytes, heartbeats) = rates(&deployments::large(25, 370, 30, 6000));
    println!(
        "370 nodes in 25 regions with 30 services: {bytes:.0} bytes/s and {heartbeats:.2} messages/s sent by each node.\n"
    );
}

/// Prints how many of the live nodes of a region are believed alive.
pub fn print_liveness() {
    println!("### Live nodes of a region that a node believes alive\n");
    println!("| nodes | share believed alive | least at one time |");
    println!("| --- | --- | --- |");
    for nodes in [3, 8, 16, 32, 60] {
        let mut world = World::new(
            deployments::bundle(&deployments::large(2, 2 * nodes, 2, 60)),
            3,
        );
        world.run_for(SETTLE * 2);
        let mut shares = Vec::new();
        for _ in 0..20 {
            world.run_for(Duration::from_secs(2));
            shares.push(world.believed_alive());
        }
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let least = shares.iter().copied().fold(1.0, f64::min);
        println!("| {nodes} | {mean:.4} | {least:.4} |");
    }
    println!();
}
