//! Rate limits that targets name for all nodes together.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NORTH, PLAIN, SOUTH, arrival, item, listed, settled_fleet};
use proptest::prelude::*;
use seam_core::targets::limit_share;
use seam_core::{AttemptOutcome, Event};
use seam_protocol::{Entry, Reason, TargetId, Time};

/// Window in which the requests to a target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which a target may get more than its limit allows in a window.
const OVERAGE: f64 = 1.5;
/// Requests beyond that.
const SLACK: f64 = 5.0;
const COMPLETE: AttemptOutcome = AttemptOutcome::Complete {
    response: None,
    success: true,
};

fn target(name: &str) -> TargetId {
    let Entry::Target(target) = listed(name, PLAIN, NORTH, false, 0) else {
        unreachable!()
    };
    target.id()
}

/// Answers all requests that were sent, and names a limit in each answer of one target. Returns
/// when that target got them.
fn answer(fleet: &mut Fleet, named: TargetId, rate: Option<f64>) -> Vec<Time> {
    let mut arrived = Vec::new();
    let sends = fleet.sends();
    fleet.commands.clear();
    for (node, attempt, to) in sends {
        if to == named {
            arrived.push(fleet.now);
            fleet.handle(node, Event::LimitAdvertised(attempt, rate));
        }
        fleet.handle(node, Event::AttemptEnded(attempt, COMPLETE));
    }
    arrived
}

/// Sends a request to one node after the other for a while, and answers them at once. `rate` is the
/// limit that one target names in the answer to each request, by its number.
fn play(
    fleet: &mut Fleet,
    span: Duration,
    named: TargetId,
    rate: impl Fn(usize) -> Option<f64>,
) -> Vec<Time> {
    let end = fleet.now + span;
    let mut arrived = Vec::new();
    let mut count = 0;
    while fleet.now < end {
        let node = count % fleet.nodes.len();
        if !fleet.down[node] {
            let ticket = fleet.now.0 + 1000;
            fleet.arrive(node, arrival(ticket, "view", PLAIN, 2));
        }
        arrived.extend(answer(fleet, named, rate(count)));
        count += 1;
        fleet.wait(Duration::from_millis(50));
        arrived.extend(answer(fleet, named, rate(count)));
    }
    arrived
}

fn most_in_window(arrived: &[Time]) -> usize {
    let in_window = |start: &Time| {
        let later = arrived.iter().filter(|time| *time >= start);
        later.filter(|time| time.since(*start) < WINDOW).count()
    };
    arrived.iter().map(in_window).max().unwrap_or(0)
}

fn allowed(rate: f64) -> f64 {
    OVERAGE * rate * WINDOW.as_secs_f64() + SLACK
}

/// Returns the nodes that know of a limit.
fn informed(fleet: &Fleet, named: TargetId) -> Vec<bool> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| node.is_rate_limited(named)).collect()
}

/// Returns the limit of a target that each node knows.
fn limits(fleet: &Fleet, named: TargetId) -> Vec<Option<f64>> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| node.rate_limit(named)).collect()
}

/// Guards against a limit that only the node knows to which it was named, against one that a
/// restarted node doesn't receive, and against one that goes on at some node.
#[test]
fn peers_hear() {
    let targets = [("d1", PLAIN, NORTH), ("d2", PLAIN, NORTH)];
    let mut fleet = settled_fleet(&[NORTH, NORTH, NORTH, SOUTH], &targets);
    let named = target("d1");
    for ticket in 0..6 {
        fleet.arrive(0, arrival(ticket, "view", PLAIN, 2));
    }
    assert!(!answer(&mut fleet, named, Some(1.0)).is_empty());
    fleet.wait(Duration::from_millis(300));
    assert_eq!(informed(&fleet, named), [true, true, true, false]);
    fleet.restart(1);
    fleet.wait(Duration::from_secs(3));
    assert_eq!(informed(&fleet, named), [true, true, true, false]);
    play(&mut fleet, Duration::from_secs(10), named, |_| None);
    assert_eq!(informed(&fleet, named), [false; 4]);
}

/// Guards against an answer that a node reads late, since it stood still, and whose limit or end of one
/// counts as newer than what the other nodes read meanwhile.
#[test]
fn read_late() {
    let targets = [("d1", PLAIN, NORTH), ("d2", PLAIN, NORTH)];
    let mut fleet = settled_fleet(&[NORTH; 3], &targets);
    let named = target("d1");
    for rate in [None, Some(50.0)] {
        play(&mut fleet, Duration::from_secs(1), named, |_| Some(20.0));
        fleet.wait(Duration::from_millis(500));
        fleet.commands.clear();
        let late = (0..20).find_map(|number| {
            let ticket = fleet.now.0 + number;
            fleet.arrive(2, arrival(ticket, "view", PLAIN, 2));
            let send = *fleet.sends().last()?;
            (send.2 == named).then_some(send.1)
        });
        let late = late.expect("a request goes to the target");
        fleet.commands.clear();
        fleet.pause(2, Duration::from_secs(5), |fleet| {
            play(fleet, Duration::from_secs(2), named, |_| Some(1.0));
        });
        fleet.handle(2, Event::LimitAdvertised(late, rate));
        fleet.handle(2, Event::AttemptEnded(late, COMPLETE));
        fleet.wait(Duration::from_millis(500));
        for (node, limit) in limits(&fleet, named).into_iter().enumerate() {
            assert_eq!(limit, Some(1.0), "node {node} after {rate:?}");
        }
        play(&mut fleet, Duration::from_secs(10), named, |_| None);
    }
}

/// Guards against limits that never reach a node which restarted, since each heartbeat to it carries
/// the same few of them.
#[test]
fn many_limits() {
    for count in [4_usize, 8, 12, 16, 40] {
        let names: Vec<String> = (0..count).map(|index| format!("d{index}")).collect();
        let targets: Vec<(&str, &str, &str)> = names
            .iter()
            .map(|name| (name.as_str(), PLAIN, NORTH))
            .collect();
        let mut fleet = settled_fleet(&[NORTH; 3], &targets);
        for ticket in 0..20 * count as u64 {
            fleet.arrive(0, arrival(ticket, "view", PLAIN, 2));
        }
        for (node, attempt, _) in fleet.sends() {
            fleet.handle(node, Event::LimitAdvertised(attempt, Some(1.0)));
            fleet.handle(node, Event::AttemptEnded(attempt, COMPLETE));
        }
        let known = |fleet: &Fleet, node: usize| {
            let limited = names.iter().filter(|name| {
                let id = target(name);
                fleet.nodes[node].is_rate_limited(id)
            });
            limited.count()
        };
        fleet.wait(Duration::from_secs(1));
        assert_eq!((known(&fleet, 0), known(&fleet, 1)), (count, count));
        fleet.restart(1);
        fleet.wait(Duration::from_secs(6));
        assert_eq!(known(&fleet, 1), count, "of {count} limits");
    }
}

/// Guards against nodes whose shares add up to more than the target takes, in a region of many.
#[test]
fn many_nodes() {
    for rate in [0.0, 0.2, 1.0, 5.0] {
        let targets = [("d1", PLAIN, NORTH), ("d2", PLAIN, NORTH)];
        let mut fleet = settled_fleet(&[NORTH; 30], &targets);
        let named = target("d1");
        play(&mut fleet, Duration::from_secs(2), named, |_| Some(rate));
        let arrived = play(&mut fleet, Duration::from_secs(40), named, |_| Some(rate));
        let most = most_in_window(&arrived);
        assert!(most as f64 <= allowed(rate), "{rate}/s: {most}");
        assert!(arrived.len() as f64 >= 40.0 * rate / 2.0, "{rate}/s");
        assert!(!arrived.is_empty(), "{rate}/s: nothing asks for its end");
    }
}

/// Guards against a limit of which only the last word counts, where each answer names another.
#[test]
fn changing_limits() {
    const LIMITS: [f64; 5] = [1.0, 500.0, 0.2, 40.0, 7.0];
    let targets = [("d1", PLAIN, NORTH), ("d2", PLAIN, NORTH)];
    let mut fleet = settled_fleet(&[NORTH; 3], &targets);
    let named = target("d1");
    let rate = |count: usize| Some(LIMITS[count % LIMITS.len()]);
    play(&mut fleet, Duration::from_secs(2), named, rate);
    let arrived = play(&mut fleet, Duration::from_secs(30), named, rate);
    assert!(most_in_window(&arrived) as f64 <= allowed(1.0));
}

/// Guards against a limit that is taken over from the process of the target before.
#[test]
fn new_boot() {
    let mut fleet = settled_fleet(&[NORTH], &[("d1", PLAIN, NORTH)]);
    let named = target("d1");
    play(&mut fleet, Duration::from_secs(2), named, |_| Some(0.0));
    let Entry::Target(mut again) = listed("d1", PLAIN, NORTH, false, 0) else {
        unreachable!()
    };
    again.boot = 2;
    let again_id = again.id();
    let again = item("d1", 60, Some(Entry::Target(again)));
    fleet.publish(0, vec![again], 60);
    let arrived = play(&mut fleet, Duration::from_secs(4), again_id, |_| None);
    assert!(arrived.len() > 40, "{} requests", arrived.len());
}

/// Guards against requests that wait until their deadlines for the only target, and against ones
/// that are refused though another region has room.
#[test]
fn sent_elsewhere() {
    let mut fleet = settled_fleet(&[NORTH; 3], &[("d1", PLAIN, NORTH)]);
    let named = target("d1");
    play(&mut fleet, Duration::from_secs(3), named, |_| Some(1.0));
    for ticket in 0..30 {
        fleet.arrive(0, arrival(ticket, "view", PLAIN, 2));
    }
    let refusals = fleet.refusals();
    assert!(refusals.len() >= 28, "{} refusals", refusals.len());
    for refusal in refusals {
        assert_eq!(refusal.reason, Reason::Overload);
        assert!(refusal.retry_after.is_some());
    }
    let targets = [("d1", PLAIN, NORTH), ("d2", PLAIN, SOUTH)];
    let mut fleet = settled_fleet(&[NORTH, NORTH, NORTH, SOUTH], &targets);
    let limited = play(&mut fleet, Duration::from_secs(3), named, |_| Some(0.0));
    assert!(limited.len() < 10);
    fleet.commands.clear();
    for ticket in 0..30 {
        fleet.arrive(0, arrival(ticket, "view", PLAIN, 2));
    }
    assert!(fleet.forwards().len() >= 29, "{:?}", fleet.refusals());
}

proptest! {
    /// Guards against shares that add up to more than is allowed, for any number of nodes.
    #[test]
    fn shares_add_up(rate in 0.0..800.0_f64, nodes in 1_usize..370) {
        let mut most = 0.0;
        for rank in 0..nodes {
            let share = limit_share(rate, nodes, rank);
            if share.allowed > 0 {
                let windows = (WINDOW.as_secs_f64() / share.window.as_secs_f64()).ceil();
                most += windows * f64::from(share.allowed);
            }
        }
        prop_assert!(most <= allowed(rate), "{most} of {}", allowed(rate));
    }
}
