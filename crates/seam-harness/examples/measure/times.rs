//! Time from an event until no node decides on outdated state any more.

use std::time::Duration;

use seam_core::node::Policy;
use seam_harness::deployments::{DeploymentSpec, WRITER, target_name, vm_name};
use seam_harness::{Fault, World};
use seam_protocol::{RegionId, TargetId, Time, VmId};

use crate::setup::{add_load, both_deployments, seconds, world};

/// Time of each event, in seconds.
const EVENT_SECS: f64 = 40.0;
/// End of the traffic, in seconds.
const END_SECS: f64 = 120.0;
/// Interval between two checks of the nodes' state.
const STEP: Duration = Duration::from_millis(20);

fn loaded(spec: &DeploymentSpec) -> World {
    let mut world = world(spec, 31, Policy::default());
    add_load(&mut world, spec, 0.6, END_SECS, &[]);
    world.run_until(seconds(EVENT_SECS));
    world
}

/// Returns the time after which `outdated` stays false, or `None` if it is still true after 60 s.
fn time_until_gone(
    world: &mut World,
    mut outdated: impl FnMut(&World) -> bool,
) -> Option<Duration> {
    let start = world.now;
    let mut last = start;
    while world.now < start + Duration::from_secs(60) {
        if outdated(world) {
            last = world.now + STEP;
        }
        world.run_for(STEP);
    }
    let settled = last < world.now;
    settled.then(|| last.since(start))
}

/// Returns the time until a target listed as leaving receives its last request.
fn leaving(spec: &DeploymentSpec) -> Duration {
    let mut world = loaded(spec);
    let target = target_name(WRITER, &spec.regions[0].0, 0);
    let id = TargetId::of(&target);
    let start = world.now;
    world.inject_fault(&Fault::Leave { target, ms: 60_000 });
    world.run_for(Duration::from_secs(50));
    let last = world.last_request_at.get(&id).copied().unwrap_or(start);
    last.since(start)
}

fn crash(spec: &DeploymentSpec) -> Option<Duration> {
    let mut world = loaded(spec);
    let target = target_name(WRITER, &spec.regions[0].0, 0);
    let id = TargetId::of(&target);
    world.inject_fault(&Fault::Crash {
        target,
        ms: 300_000,
    });
    time_until_gone(&mut world, |world| {
        let nodes = world
            .running_vms()
            .into_iter()
            .filter_map(|vm| world.node(vm));
        nodes.into_iter().any(|node| node.target_serving(id))
    })
}

fn sees_region(world: &World, from: &str, to: RegionId) -> bool {
    world.running_vms().into_iter().any(|vm| {
        let node = world.node(vm);
        let local = world.local_time(vm);
        node.is_some_and(|node| {
            node.identity().region == RegionId::of(from) && node.region_alive(local, to)
        })
    })
}

/// Isolates the second region, and returns the times until the first region notices the loss and
/// the return of the links.
fn partition(spec: &DeploymentSpec) -> (Option<Duration>, Option<Duration>) {
    let mut world = loaded(spec);
    let (a, b) = (spec.regions[0].0.clone(), spec.regions[1].0.clone());
    let to = RegionId::of(&b);
    let third = spec.regions[2].0.clone();
    world.inject_fault(&Fault::Part {
        a: a.clone(),
        b: b.clone(),
    });
    world.inject_fault(&Fault::Part { a: b, b: third });
    let lost = time_until_gone(&mut world, |world| sees_region(world, &a, to));
    world.inject_fault(&Fault::Heal);
    let found = time_until_gone(&mut world, |world| !sees_region(world, &a, to));
    (lost, found)
}

fn silent_connections(spec: &DeploymentSpec) -> Option<Duration> {
    let mut world = loaded(spec);
    world.stats.counting = false;
    let target = target_name(WRITER, &spec.regions[0].0, 0);
    world.inject_fault(&Fault::Silence { target });
    time_until_gone(&mut world, |world| world.silent_exchanges() > 0)
}

fn revision(spec: &DeploymentSpec, down: bool) -> Option<Duration> {
    let mut world = loaded(spec);
    let start = world.now;
    if down {
        // Only one node reads the change from the service; the others fetch it from peers.
        world.publish_to_one(VmId::of(&vm_name(&spec.regions[2].0, 1)));
    } else {
        world.publish(|bundle| bundle.deployment.latency_weight = 0.51);
    }
    let revision = world.newest().revision;
    world.run_for(Duration::from_secs(20));
    world
        .last_applied(revision)
        .map(|last: Time| last.since(start))
}

fn cell(span: Option<Duration>) -> String {
    span.map_or_else(
        || "never".to_owned(),
        |span| format!("{:.2}", span.as_secs_f64()),
    )
}

/// Prints a table of times for each deployment.
pub fn print() {
    println!("## Seconds until the last decision on outdated state\n");
    println!("| event | hamutenya | bulabula |");
    println!("| --- | --- | --- |");
    let [first, second] = both_deployments();
    let line = |name: &str, a: Option<Duration>, b: Option<Duration>| {
        println!("| {name} | {} | {} |", cell(a), cell(b));
    };
    line(
        "a target is listed as leaving",
        Some(leaving(&first)),
        Some(leaving(&second)),
    );
    line("a target crashes", crash(&first), crash(&second));
    let (first_cut, second_cut) = (partition(&first), partition(&second));
    line("a region is isolated", first_cut.0, second_cut.0);
    line("the link heals", first_cut.1, second_cut.1);
    line(
        "connections go silent",
        silent_connections(&first),
        silent_connections(&second),
    );
    line(
        "a revision from the service",
        revision(&first, false),
        revision(&second, false),
    );
    line(
        "a revision from one peer",
        revision(&first, true),
        revision(&second, true),
    );
    println!();
}
