//! Requests that wait for a target while another configuration comes into force.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Fleet, NORTH, PLAIN, SOUTH, arrival, config, item, settled_fleet};
use seam_protocol::{Bundle, CustomerId, Entry, Outcome, RegionId, ServiceId};
use yare::parameterized;

/// Route of the requests, and the customer that has its name.
const ROUTE: &str = "book";
/// More requests than the target has slots.
const REQUESTS: u64 = 100;

fn rename_route(bundle: &mut Bundle) {
    bundle.customers.remove(&CustomerId::of(ROUTE));
}

fn move_home(bundle: &mut Bundle) {
    let customer = bundle.customers.get_mut(&CustomerId::of(ROUTE)).unwrap();
    customer.residency = Some(BTreeSet::from([RegionId::of(SOUTH)]));
}

fn remove_service(bundle: &mut Bundle) {
    bundle.services.remove(&ServiceId::of(PLAIN));
}

/// Publishes the next version of the configuration, changed, to every node.
fn publish(fleet: &mut Fleet, change: fn(&mut Bundle)) {
    let Entry::Config(bundle) = config(8) else {
        unreachable!("a configuration is returned")
    };
    let mut bundle = (*bundle).clone();
    change(&mut bundle);
    let entry = Entry::Config(Arc::new(bundle));
    for index in 0..fleet.nodes.len() {
        fleet.publish(index, vec![item("config", 60, Some(entry.clone()))], 60);
    }
}

/// Guards against a final refusal, by the configuration, of a request that waited in a queue while its
/// route was renamed or bound to another region.
#[parameterized(renamed = { rename_route }, home_moved = { move_home })]
fn refused_for_time(change: fn(&mut Bundle)) {
    let mut fleet = settled_fleet(&[NORTH; 2], &[("d1", PLAIN, NORTH)]);
    for ticket in 1..=REQUESTS {
        fleet.arrive(0, arrival(ticket, ROUTE, PLAIN, 1));
    }
    let running = fleet.sends();
    assert!(!running.is_empty() && running.len() < REQUESTS as usize);
    publish(&mut fleet, change);
    for (node, attempt, _) in running {
        fleet.complete(node, attempt);
    }
    fleet.wait(Duration::from_millis(500));
    assert_refused(&fleet);
}

/// Guards against a request that waits in a queue until its deadline though its service is gone.
#[test]
fn service_gone() {
    let mut fleet = settled_fleet(&[NORTH; 2], &[("d1", PLAIN, NORTH)]);
    for ticket in 1..=REQUESTS {
        fleet.arrive(0, arrival(ticket, ROUTE, PLAIN, 1));
    }
    let running = fleet.sends().len();
    assert!(running > 0 && running < REQUESTS as usize);
    publish(&mut fleet, remove_service);
    assert_eq!(fleet.refusals().len(), REQUESTS as usize - running);
    assert_refused(&fleet);
}

/// Asserts that requests were refused, and each for a time.
fn assert_refused(fleet: &Fleet) {
    let refusals = fleet.refusals();
    assert!(!refusals.is_empty());
    for refusal in refusals {
        assert_eq!(refusal.outcome, Outcome::NotRun);
        assert_eq!(refusal.reason.status(), 503, "{refusal:?}");
        assert!(refusal.retry_after.is_some(), "{refusal:?}");
    }
}
