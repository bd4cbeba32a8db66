//! Entries of the platform that are withdrawn while requests need them.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Fleet, NORTH, PLAIN, SOUTH, arrival, config, item, listed, settled_fleet};
use seam_core::{AttemptKey, AttemptOutcome, Command, Event, PublishedItem};
use seam_protocol::{Bundle, CustomerId, Entry, RegionId, ServiceId};
use yare::parameterized;

const TARGETS: [&str; 2] = ["d1", "d2"];
/// Longer than the time budget of a request.
const BUDGET: Duration = Duration::from_millis(4500);

/// Returns the next version of the configuration, changed.
fn changed(change: impl Fn(&mut Bundle)) -> Vec<PublishedItem> {
    let Entry::Config(bundle) = config(8) else {
        unreachable!("a configuration is returned")
    };
    let mut bundle = (*bundle).clone();
    change(&mut bundle);
    vec![item("config", 60, Some(Entry::Config(Arc::new(bundle))))]
}

/// Each change that withdraws something, as the items that a node reads one after the other.
fn changes() -> Vec<(&'static str, Vec<Vec<PublishedItem>>)> {
    let gone = || TARGETS.map(|name| item(name, 61, None)).into();
    let back = TARGETS.map(|name| item(name, 62, Some(listed(name, PLAIN, NORTH, false, 0))));
    let route = changed(|bundle| {
        for name in ["book", "view"] {
            bundle.customers.remove(&CustomerId::of(name));
        }
    });
    let service = changed(|bundle| drop(bundle.services.remove(&ServiceId::of(PLAIN))));
    let homes = changed(|bundle| {
        for customer in bundle.customers.values_mut() {
            customer.residency = Some(BTreeSet::from([RegionId::of(SOUTH)]));
        }
    });
    vec![
        ("route", vec![route]),
        ("service", vec![service]),
        ("homes", vec![homes]),
        ("targets", vec![gone()]),
        ("targets, and back", vec![gone(), back.into()]),
    ]
}

fn apply(fleet: &mut Fleet, index: usize, change: Vec<Vec<PublishedItem>>) {
    for (items, revision) in change.into_iter().zip(63..) {
        fleet.publish(index, items, revision);
        fleet.wait(Duration::from_millis(300));
    }
}

fn has_cancelled(fleet: &Fleet, key: AttemptKey) -> bool {
    let mut commands = fleet.commands.iter();
    commands.any(|(_, command)| matches!(command, Command::Cancel(cancelled) if *cancelled == key))
}

fn ended(fleet: &Fleet) -> usize {
    let commands = fleet.commands.iter();
    let done = commands.filter(|(_, command)| matches!(command, Command::Done(_)));
    done.count()
}

fn settled() -> Fleet {
    settled_fleet(&[NORTH; 2], &TARGETS.map(|name| (name, PLAIN, NORTH)))
}

/// Guards against a request that is cancelled at a sound target since an entry that it needed is
/// withdrawn while it runs.
#[parameterized(once = { "book" }, repeatable = { "view" })]
fn running(route: &str) {
    for (name, change) in changes() {
        let mut fleet = settled();
        fleet.arrive(0, arrival(1, route, PLAIN, 2));
        let (_, attempt, _) = fleet.sends()[0];
        fleet.handle(0, Event::Sending(attempt));
        apply(&mut fleet, 0, change);
        assert!(!has_cancelled(&fleet, attempt), "{name}");
        fleet.complete(0, attempt);
        assert_eq!(ended(&fleet), 1, "{name}");
        assert!(fleet.refusals().is_empty(), "{name}");
    }
}

/// Guards against a request without a final response after an entry that it needed is withdrawn while it
/// waits in a queue.
#[test]
fn queued() {
    const REQUESTS: usize = 300;
    for (name, change) in changes() {
        let mut fleet = settled();
        for ticket in 1..=REQUESTS as u64 {
            fleet.arrive(0, arrival(ticket, "book", PLAIN, 1));
        }
        let running = fleet.sends();
        assert!(running.len() < REQUESTS, "some wait");
        apply(&mut fleet, 0, change);
        for (node, attempt, _) in &running {
            fleet.complete(*node, *attempt);
        }
        fleet.wait(BUDGET);
        let responses = running.len() + fleet.refusals().len();
        assert_eq!(responses, REQUESTS, "{name}");
    }
}

/// Guards against a request without a final response after an entry that its retry needs is withdrawn.
#[test]
fn retried() {
    for (name, change) in changes() {
        let mut fleet = settled();
        fleet.arrive(0, arrival(1, "view", PLAIN, 2));
        let (_, attempt, _) = fleet.sends()[0];
        fleet.handle(0, Event::Sending(attempt));
        apply(&mut fleet, 0, change);
        let broken = AttemptOutcome::Broken { started: false };
        fleet.handle(0, Event::AttemptEnded(attempt, broken));
        if let Some((_, retry, _)) = fleet.sends().get(1).copied() {
            fleet.complete(0, retry);
        }
        fleet.wait(BUDGET);
        let answered = ended(&fleet) == 1 || fleet.refusals().len() == 1;
        assert!(answered, "{name}: {:?}", fleet.commands);
    }
}

/// Guards against a request that is cancelled at another node since the node that forwarded it reads
/// first that an entry is withdrawn.
#[test]
fn forwarded() {
    for (name, change) in changes() {
        let targets = TARGETS.map(|name| (name, PLAIN, SOUTH));
        let mut fleet = settled_fleet(&[NORTH, SOUTH], &targets);
        fleet.arrive(0, arrival(1, "book", PLAIN, 1));
        let (attempt, _) = fleet.forwards()[0];
        fleet.handle(0, Event::Sending(attempt));
        apply(&mut fleet, 0, change);
        assert!(!has_cancelled(&fleet, attempt), "{name}");
        fleet.complete(0, attempt);
        assert_eq!(ended(&fleet), 1, "{name}");
        assert!(fleet.refusals().is_empty(), "{name}");
    }
}
