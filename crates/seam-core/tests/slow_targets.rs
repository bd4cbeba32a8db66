//! Plain targets that are slow for moments.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NORTH, PLAIN, arrival, listed, settled_fleet};
use seam_core::Event;
use seam_protocol::{Entry, LoadReport, TargetId};

fn id_of(name: &str) -> TargetId {
    let Entry::Target(target) = listed(name, PLAIN, NORTH, false, 0) else {
        unreachable!("a listed target")
    };
    target.id()
}

fn report(fleet: &mut Fleet, target: TargetId, running: u32, slowdown: Option<u32>) {
    let report = LoadReport {
        running,
        waiting: 0,
        slots: Some(64),
        slowdown,
        models: Vec::new(),
        fence: 0,
    };
    fleet.handle(0, Event::Load(target, report));
}

/// Sends requests one at a time, and returns the share of them that a target got.
fn share(fleet: &mut Fleet, first: u64, target: TargetId) -> f64 {
    const REQUESTS: u64 = 200;
    let before = fleet.sends().len();
    for ticket in first..first + REQUESTS {
        fleet.arrive(0, arrival(ticket, "view", PLAIN, 2));
        let (_, attempt, _) = *fleet.sends().last().unwrap();
        fleet.complete(0, attempt);
    }
    let sends = fleet.sends().split_off(before);
    let here = sends.iter().filter(|(_, _, to)| *to == target).count();
    here as f64 / REQUESTS as f64
}

/// Guards against requests that go to a target in its slow moment though another one is free, and against a
/// target that is avoided when the moment is over or has never said anything of it.
#[test]
fn slow_moment() {
    let mut fleet = settled_fleet(&[NORTH], &[("d1", PLAIN, NORTH), ("d2", PLAIN, NORTH)]);
    let slow = id_of("d1");
    report(&mut fleet, slow, 0, None);
    let unknown = share(&mut fleet, 0, slow);
    assert!((0.4..0.6).contains(&unknown), "{unknown}");
    report(&mut fleet, slow, 0, Some(250));
    let meanwhile = share(&mut fleet, 1000, slow);
    fleet.wait(Duration::from_millis(650));
    let after = share(&mut fleet, 2000, slow);
    println!("{unknown:.2} before, {meanwhile:.2} meanwhile, {after:.2} after");
    assert!(meanwhile < 0.3, "{meanwhile}");
    assert!((0.4..0.6).contains(&after), "{after}");
}

/// Guards against a target that counts as slow for all its later requests, since it was slow while one was
/// measured: the measured time is that of a usual moment.
#[test]
fn measured_in_moment() {
    let mut fleet = settled_fleet(&[NORTH], &[("d1", PLAIN, NORTH)]);
    let target = id_of("d1");
    let mut ticket = 0;
    let mut run = |fleet: &mut Fleet, millis: u64, slowdown: u32, count: u64| {
        for _ in 0..count {
            ticket += 1;
            fleet.arrive(0, arrival(ticket, "view", PLAIN, 2));
            let (_, attempt, _) = *fleet.sends().last().unwrap();
            fleet.wait(Duration::from_millis(millis));
            report(fleet, target, 0, Some(slowdown));
            fleet.complete(0, attempt);
        }
    };
    run(&mut fleet, 100, 100, 40);
    let usual = fleet.nodes[0].status(fleet.now).services;
    run(&mut fleet, 250, 250, 40);
    run(&mut fleet, 100, 100, 2);
    let after = fleet.nodes[0].status(fleet.now).services;
    let find = |services: &[seam_core::status::ServiceStatus]| {
        let service = services.iter().find(|service| service.name == PLAIN);
        service.expect("the service is known").expected_ms
    };
    let (usual, after) = (find(&usual), find(&after));
    println!("{usual} ms, then {after} ms");
    assert!(after <= usual * 6 / 5, "{usual} ms, then {after} ms");
}
