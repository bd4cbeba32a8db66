//! Bytes and messages of heartbeats between nodes.

use std::time::Duration;

use seam_core::poison::{PoisonTable, SuspectReport};
use seam_harness::World;
use seam_harness::deployments::{self, DeploymentSpec, customer_name};
use seam_harness::ids::KeyChoice;
use seam_harness::traffic::Traffic;
use seam_protocol::heartbeat::{ServiceReach, StreamOrigin};
use seam_protocol::{
    CustomerId, Heartbeat, Incarnation, RegionId, ServiceId, ServiceTag, StreamId, Time, VersionId,
    VmId, VmRecord,
};

use crate::fit;

/// Time for the fleet to boot and discover its nodes before measuring.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Duration of the measurement, in seconds.
const SPAN_SECS: f64 = 30.0;

/// Runs a deployment with load on every service in every region, and returns the heartbeat bytes
/// and messages that each node sends per second.
pub fn rates(spec: &DeploymentSpec) -> (f64, f64) {
    let mut world = World::new(deployments::bundle(spec), 3);
    for (index, service) in spec.services.iter().enumerate() {
        for (region_index, region) in spec.regions.iter().enumerate() {
            // Every third customer has a home region, assigned round robin.
            let home = 3 * (region_index + spec.regions.len() * index);
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
    world.run_for(SETTLE_TIME);
    let before = world.counters;
    world.run_for(Duration::from_secs_f64(SPAN_SECS));
    let nodes = world.running_vms().len() as f64;
    let bytes = (world.counters.heartbeat_bytes - before.heartbeat_bytes) as f64;
    let heartbeats = (world.counters.heartbeats - before.heartbeats) as f64;
    (bytes / nodes / SPAN_SECS, heartbeats / nodes / SPAN_SECS)
}

/// Returns the bytes that reports add to a heartbeat.
fn report_bytes(reports: Vec<SuspectReport>) -> f64 {
    let mut heartbeat = Heartbeat::empty(VmId(u32::MAX), RegionId(u32::MAX));
    let empty = heartbeat.encode().len();
    for report in reports {
        report.list_in(&mut heartbeat);
    }
    (heartbeat.encode().len() - empty) as f64
}

/// Returns a heartbeat with the widest values of what every one has.
fn short_heartbeat() -> Heartbeat {
    let mut heartbeat = Heartbeat::empty(VmId(u32::MAX), RegionId(u32::MAX));
    let record = VmRecord {
        vm: VmId(u32::MAX),
        incarnation: Incarnation(u64::MAX),
        sequence: u32::MAX,
        revision: 1 << 20,
        ready: true,
        loads: Vec::new(),
    };
    heartbeat.sent = u64::MAX;
    heartbeat.records.push(record);
    heartbeat
}

/// Returns the bytes that reached services add to a heartbeat.
fn reach_bytes(count: usize) -> f64 {
    let mut heartbeat = short_heartbeat();
    let empty = heartbeat.encode().len();
    heartbeat.reached = (0..count as u16)
        .map(|number| ServiceReach {
            service: ServiceTag(u16::MAX - number),
            age: Some(4999),
        })
        .collect();
    (heartbeat.encode().len() - empty) as f64
}

/// Returns the size of a datagram that reports the origins of streams, with its headers.
fn origin_bytes(count: usize) -> f64 {
    /// UDP and IP headers, and the MAC.
    const HEADER_BYTES: usize = 44;
    let mut heartbeat = short_heartbeat();
    heartbeat.streams.origins = (0..count as u64)
        .map(|number| StreamOrigin {
            stream: StreamId(u64::MAX - number),
            version: Some(VersionId(u32::MAX)),
        })
        .collect();
    (heartbeat.encode().len() + HEADER_BYTES) as f64
}

/// Prints tables of heartbeat bytes per second with their fitted lines.
pub fn print() {
    println!(
        "## Heartbeats\n\nBytes with MAC, UDP and IP headers, sent by each node per second.\n"
    );
    let reports = |title: &str, table: fn(usize) -> PoisonTable| {
        let points: Vec<(f64, f64)> = [1, 4, 12, 24]
            .map(|count| {
                let reports = table(count).take_report(Time(0), VmId(1), count);
                (count as f64, report_bytes(reports))
            })
            .into();
        fit::print(title, "suspects", "bytes", &points);
    };
    reports(
        "A report of suspects with one crash each",
        crate::memory::suspects,
    );
    reports(
        "A report of suspected parts with one crash each",
        crate::memory::suspect_parts,
    );
    let points = [1, 4, 12, 24].map(|count| (count as f64, origin_bytes(count)));
    fit::print(
        "A datagram with origins of streams",
        "streams",
        "bytes",
        &points,
    );
    let points = [1, 4, 12, 16].map(|count| (count as f64, reach_bytes(count)));
    fit::print(
        "Reached services in a heartbeat",
        "services",
        "bytes",
        &points,
    );
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

/// Prints the share of running nodes in a region that other nodes consider alive.
pub fn print_liveness() {
    println!("### Running nodes of a region that a node considers alive\n");
    println!("| nodes | mean share considered alive | lowest sample |");
    println!("| --- | --- | --- |");
    for nodes in [3, 8, 16, 32, 60] {
        let mut world = World::new(
            deployments::bundle(&deployments::large(2, 2 * nodes, 2, 60)),
            3,
        );
        world.run_for(SETTLE_TIME * 2);
        let mut shares = Vec::new();
        for _ in 0..20 {
            world.run_for(Duration::from_secs(2));
            shares.push(world.alive_share());
        }
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let lowest = shares.iter().copied().fold(1.0, f64::min);
        println!("| {nodes} | {mean:.4} | {lowest:.4} |");
    }
    println!();
}
