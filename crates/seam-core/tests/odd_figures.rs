//! Figures of targets and of other nodes that none of them can have.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{ENGINE, Fleet, NORTH, PLAIN, arrival, listed, prompt, settled_fleet};
use seam_core::Event;
use seam_protocol::heartbeat::{Grant, ServiceLoad, Shortage, TargetWork};
use seam_protocol::{CacheEvent, CustomerId, Entry, Heartbeat, LoadReport, ServiceId, TargetId};
use yare::parameterized;

const TARGETS: [(&str, &str, &str); 3] = [
    ("d1", PLAIN, NORTH),
    ("d2", PLAIN, NORTH),
    ("e1", ENGINE, NORTH),
];

fn target(name: &str, service: &str) -> TargetId {
    let Entry::Target(target) = listed(name, service, NORTH, false, 0) else {
        panic!("expected a target");
    };
    target.id()
}

/// Lets requests of each kind arrive at the first node, and time pass.
fn call_all(fleet: &mut Fleet, first: u64) {
    for ticket in first..first + 4 {
        fleet.arrive(0, arrival(ticket, "view", PLAIN, 2));
    }
    let mut look = arrival(first + 4, "look", ENGINE, 1);
    look.prompt = Some(prompt(2, 3));
    fleet.arrive(0, look);
    fleet.wait(Duration::from_millis(600));
}

/// Returns where requests are sent after two targets have reported their load.
fn sends_beside(running: u32, waiting: u32) -> Vec<TargetId> {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS);
    for (name, service) in [("d1", PLAIN), ("e1", ENGINE)] {
        let report = LoadReport {
            running,
            waiting,
            slots: None,
            slowdown: None,
            models: Vec::new(),
            fence: 0,
        };
        fleet.handle(0, Event::Load(target(name, service), report));
    }
    call_all(&mut fleet, 1);
    let sends = fleet.sends();
    sends.into_iter().map(|(_, _, to)| to).collect()
}

/// Guards against a node that fails, or takes a target for an idle one, since the target counts more
/// requests than there can be.
#[parameterized(
    both = { u32::MAX, u32::MAX },
    running = { u32::MAX, 1 },
    waiting = { 1, u32::MAX },
)]
fn target_loads(running: u32, waiting: u32) {
    /// More requests than any target of these tests has slots.
    const MANY: u32 = 100_000;
    let sends = sends_beside(running, waiting);
    assert_eq!(sends, sends_beside(MANY, MANY));
    assert_eq!(sends.first(), Some(&target("d2", PLAIN)));
}

/// Guards against a node that fails, since others count more than there can be.
#[test]
fn peer_counts() {
    const MOST: u32 = u32::MAX;
    let mut fleet = settled_fleet(&[NORTH; 4], &TARGETS);
    for round in 0..3_u32 {
        for peer in 1..4 {
            let mut heartbeat: Heartbeat = fleet.last_heartbeats[&peer].clone();
            heartbeat.sent += u64::from(round) + 1;
            heartbeat.target_work = Some(
                [("d1", PLAIN), ("d2", PLAIN), ("e1", ENGINE)]
                    .map(|(name, service)| TargetWork {
                        target: target(name, service),
                        running: MOST,
                        prefill_tokens: MOST,
                        kv_tokens: u64::MAX,
                    })
                    .to_vec(),
            );
            if let Some(record) = heartbeat.records.first_mut() {
                record.sequence += round + 1;
                record.loads = [PLAIN, ENGINE]
                    .map(|service| ServiceLoad {
                        service: ServiceId::of(service).tag(),
                        running: MOST,
                        queued: MOST,
                        weight: MOST,
                        wanted: MOST,
                    })
                    .to_vec();
            }
            let customer = CustomerId::of("view");
            heartbeat.shortages = vec![Shortage {
                customer,
                held: MOST,
                more: MOST,
            }];
            heartbeat.grants = vec![Grant {
                customer,
                units: MOST,
                requested_at: u64::MAX,
            }];
            let heartbeat = Heartbeat::decode(&heartbeat.encode()).expect("a heartbeat");
            fleet.handle(0, Event::Heartbeat(Box::new(heartbeat)));
        }
        call_all(&mut fleet, u64::from(round) * 10 + 1);
    }
}

/// Guards against a node that fails after the last number that an event of a cache can have.
#[test]
fn cache_numbers() {
    let mut fleet = settled_fleet(&[NORTH; 2], &TARGETS);
    let engine = target("e1", ENGINE);
    for sequence in [u64::MAX, u64::MAX, 0, 1] {
        let event = CacheEvent {
            sequence,
            prefix: 5,
            cached: true,
        };
        fleet.handle(0, Event::Cache(engine, vec![event]));
        call_all(&mut fleet, sequence % 7 * 10 + 1);
    }
}
