//! Time from an event to the last decision on the old belief.

use std::time::Duration;

use seam_core::node::Policy;
use seam_harness::sizes::{Size, WRITER, target_name, vm_name};
use seam_harness::{Fault, World};
use seam_protocol::{RegionId, TargetId, Time, VmId};

use crate::setup::{add_load, seconds, users, world};

const AT: f64 = 40.0;
const END: f64 = 120.0;
const STEP: Duration = Duration::from_millis(20);

fn loaded(size: &Size) -> World {
    let mut world = world(size, 31, Policy::default());
    add_load(&mut world, size, 0.6, END, &[]);
    world.run_until(seconds(AT));
    world
}

/// Runs on until a belief no longer holds at any node; returns when that was first so.
fn until(world: &mut World, mut old: impl FnMut(&World) -> bool) -> Option<Duration> {
    let start = world.now;
    let mut last = start;
    while world.now < start + Duration::from_secs(60) {
        if old(world) {
            last = world.now + STEP;
        }
        world.run_for(STEP);
    }
    let settled = last < world.now;
    settled.then(|| last.since(start))
}

fn leaving(size: &Size) -> Duration {
    let mut world = loaded(size);
    let target = target_name(WRITER, &size.regions[0].0, 0);
    let id = TargetId::of(&target);
    let start = world.now;
    world.fault(&Fault::Leave { target, ms: 60_000 });
    world.run_for(Duration::from_secs(50));
    let last = world.last_work.get(&id).copied().unwrap_or(start);
    last.since(start)
}

fn crash(size: &Size) -> Option<Duration> {
    let mut world = loaded(size);
    let target = target_name(WRITER, &size.regions[0].0, 0);
    let id = TargetId::of(&target);
    world.fault(&Fault::Crash {
        target,
        ms: 300_000,
    });
    until(&mut world, |world| {
        let nodes = world.live().into_iter().filter_map(|vm| world.node(vm));
        nodes.into_iter().any(|node| node.target_serving(id))
    })
}

fn hears(world: &World, from: &str, to: RegionId) -> bool {
    world.live().into_iter().any(|vm| {
        let node = world.node(vm);
        let local = world.local(vm);
        node.is_some_and(|node| {
            node.identity().region == RegionId::of(from) && node.region_alive(local, to)
        })
    })
}

fn partition(size: &Size) -> (Option<Duration>, Option<Duration>) {
    let mut world = loaded(size);
    let (a, b) = (size.regions[0].0.clone(), size.regions[1].0.clone());
    let to = RegionId::of(&b);
    let third = size.regions[2].0.clone();
    world.fault(&Fault::Part {
        a: a.clone(),
        b: b.clone(),
    });
    world.fault(&Fault::Part { a: b, b: third });
    let lost = until(&mut world, |world| hears(world, &a, to));
    world.fault(&Fault::Heal);
    let found = until(&mut world, |world| !hears(world, &a, to));
    (lost, found)
}

fn silent(size: &Size) -> Option<Duration> {
    let mut world = loaded(size);
    world.stats.counting = false;
    let target = target_name(WRITER, &size.regions[0].0, 0);
    world.fault(&Fault::Silence { target });
    until(&mut world, |world| world.mute_flights() > 0)
}

fn revision(size: &Size, down: bool) -> Option<Duration> {
    let mut world = loaded(size);
    let start = world.now;
    if down {
        // Only one node reads the change; the others hear of it from peers.
        world.publish_to_one(VmId::of(&vm_name(&size.regions[2].0, 1)));
    } else {
        world.publish(|bundle| bundle.deployment.weight = 0.51);
    }
    let revision = world.newest().revision;
    world.run_for(Duration::from_secs(20));
    world
        .last_adoption(revision)
        .map(|last: Time| last.since(start))
}

fn cell(span: Option<Duration>) -> String {
    span.map_or_else(
        || "never".to_owned(),
        |span| format!("{:.2}", span.as_secs_f64()),
    )
}

/// Prints the table.
pub fn print() {
    println!("## Seconds until the last decision on the old belief\n");
    println!("| event | hamutenya | bulabula |");
    println!("| --- | --- | --- |");
    let [first, second] = users();
    let line = |name: &str, a: Option<Duration>, b: Option<Duration>| {
        println!("| {name} | {} | {} |", cell(a), cell(b));
    };
    line(
        "a target is listed as leaving",
        Some(leaving(&first)),
        Some(leaving(&second)),
    );
    line("a target crashes", crash(&first), crash(&second));
    let (parted, healed) = (partition(&first), partition(&second));
    line("a region is cut off", parted.0, healed.0);
    line("the link heals", parted.1, healed.1);
    line("connections go silent", silent(&first), silent(&second));
    line(
        "a revision, by the service",
        revision(&first, false),
        revision(&second, false),
    );
    line(
        "a revision, by one peer",
        revision(&first, true),
        revision(&second, true),
    );
    println!();
}
