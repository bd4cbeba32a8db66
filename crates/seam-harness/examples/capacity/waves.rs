//! Effect of rolling restarts, a lost data centre and an isolated region on callers and heartbeats.

use std::time::Duration;

use seam_harness::deployments::{self, DeploymentSpec};
use seam_harness::ids::KeyChoice;
use seam_harness::stats::Tally;
use seam_harness::traffic::Traffic;
use seam_harness::world::BOOT_TIME;
use seam_harness::{Fault, World};
use seam_protocol::{CustomerId, RegionId, ServiceId, Time, VmId};

fn loaded(spec: &DeploymentSpec, seconds: u64) -> World {
    let mut world = World::new(deployments::bundle(spec), 17);
    for (index, (region, _)) in spec.regions.iter().enumerate() {
        for (number, service) in spec.services.iter().enumerate() {
            let slots = f64::from(service.slots) * service.targets[index] as f64;
            world.add_traffic(Traffic {
                customer: CustomerId::of(&deployments::customer_name(1 + 3 * (number + index))),
                region: RegionId::of(region),
                service: ServiceId::of(&service.name),
                rate: 0.5 * slots / (service.expected_ms as f64 / 1000.0),
                peak: None,
                from: Time(6_000_000),
                until: Time(seconds * 1_000_000),
                repeatable: true,
                key: KeyChoice::None,
                prefixes: 0,
                budget: Duration::from_millis(service.deadline_ms),
            });
        }
    }
    world.run_for(BOOT_TIME * 2);
    world.stats.counting = true;
    world
}

fn row(name: &str, world: &World, span: f64) {
    let total: Tally = world.stats.total();
    let nodes = world.vms().len() as f64;
    println!(
        "| {name} | {:.5} | {:.0} | {:.4} | {} | {:.0} |",
        total.good_share(),
        total.quantile(0.99).as_secs_f64() * 1000.0,
        total.remote_share(),
        world.oracle.breaches.len(),
        world.counters.heartbeat_bytes as f64 / nodes / span
    );
}

/// Prints a table with one row per event.
pub fn print() {
    println!("## Restarts, a lost data centre, isolated regions\n");
    println!("8 regions, 48 nodes, 4 services at half their capacity.\n");
    println!(
        "| event | served in time | p99, ms | served by another region | violations | bytes/s per node |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut spec = deployments::large(8, 48, 4, 200);
    spec.concurrency = 2000;
    let mut world = loaded(&spec, 130);
    world.run_until(Time(130_000_000));
    row("none", &world, 130.0);
    // 520 restarts a day across 370 nodes give one per 1,023 s for the six nodes of a region; this
    // run restarts one every 10 s.
    let mut world = loaded(&spec, 130);
    let vms = world.vms();
    for (index, vm) in vms.iter().take(12).enumerate() {
        let name = world.vm_name(*vm).to_owned();
        let at = Time((12 + 10 * index as u64) * 1_000_000);
        world.schedule_fault(at, Fault::Drain { vm: name.clone() });
        world.schedule_fault(at + Duration::from_secs(20), Fault::Boot { vm: name });
    }
    world.run_until(Time(130_000_000));
    row("a node drained and replaced every 10 s", &world, 130.0);
    let mut world = loaded(&spec, 130);
    let vms: Vec<VmId> = world.vms();
    for vm in vms {
        let name = world.vm_name(vm).to_owned();
        if name == "region-0-0" || name == "region-0-3" {
            world.schedule_fault(Time(20_000_000), Fault::Kill { vm: name });
        }
    }
    for service in &spec.services {
        let target = deployments::target_name(&service.name, "region-0", 0);
        let ms = 100_000;
        world.schedule_fault(Time(20_000_000), Fault::Crash { target, ms });
    }
    world.run_until(Time(130_000_000));
    row(
        "a data centre lost with a third of its region",
        &world,
        130.0,
    );
    let mut world = loaded(&spec, 730);
    world.schedule_fault(
        Time(20_000_000),
        Fault::Isolate {
            region: "region-0".to_owned(),
        },
    );
    world.schedule_fault(Time(620_000_000), Fault::Heal);
    world.run_until(Time(730_000_000));
    row(
        "a region isolated for ten minutes, then reconnected",
        &world,
        730.0,
    );
    println!();
}
