//! Targets that say in an answer that they leave, before the platform lists it.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{ENGINE, Fleet, NORTH, arrival, item, listed, settled_fleet};
use seam_core::{AttemptKey, AttemptOutcome, Command, Event};
use seam_protocol::{Entry, TargetId};

const TARGETS: [(&str, &str, &str); 2] = [("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)];

fn id_of(name: &str) -> TargetId {
    let Entry::Target(target) = listed(name, ENGINE, NORTH, false, 0) else {
        unreachable!("a listed target")
    };
    target.id()
}

/// Sends requests to a node until one goes to a target. Returns that attempt.
fn send_to(fleet: &mut Fleet, node: usize, target: TargetId) -> AttemptKey {
    for ticket in 0..100 {
        fleet.arrive(node, arrival(ticket, "review", ENGINE, 1));
        let sends = fleet.sends();
        let last = sends.last().expect("a target has room");
        if last.2 == target {
            return last.1;
        }
    }
    panic!("no request goes to the target");
}

/// Counts the requests of one node to a target while some arrive and are answered.
fn count_sends(fleet: &mut Fleet, node: usize, target: TargetId) -> usize {
    const REQUESTS: u64 = 40;
    let mut count = 0;
    for ticket in 200..200 + REQUESTS {
        fleet.commands.clear();
        fleet.arrive(node, arrival(ticket, "review", ENGINE, 1));
        let (_, attempt, to) = *fleet.sends().last().expect("a target has room");
        count += usize::from(to == target);
        fleet.complete(node, attempt);
    }
    count
}

/// Guards against requests of the other nodes to a target that told one node that it leaves.
#[test]
fn neighbours_stop() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS);
    let leaving = id_of("e1");
    send_to(&mut fleet, 0, leaving);
    fleet.handle(0, Event::TargetLeaves(leaving));
    for node in 0..3 {
        assert_eq!(count_sends(&mut fleet, node, leaving), 0, "node {node}");
    }
}

/// Guards against a node that starts, or is cut off, while the others learn that a target leaves.
#[test]
fn later_nodes_stop() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS);
    let leaving = id_of("e1");
    fleet.partitions.insert((0, 1));
    fleet.partitions.insert((1, 2));
    send_to(&mut fleet, 0, leaving);
    fleet.handle(0, Event::TargetLeaves(leaving));
    fleet.partitions.clear();
    fleet.wait(Duration::from_secs(2));
    assert_eq!(count_sends(&mut fleet, 1, leaving), 0);
}

/// Guards against a node that stood still while a target left, and is confirmed by a node that knows of it
/// before it has read the change itself.
#[test]
fn paused_node() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS);
    let leaving = id_of("e1");
    fleet.pause(2, Duration::from_secs(5), |fleet| {
        for node in [0, 1] {
            let entry = listed("e1", ENGINE, NORTH, true, 0);
            fleet.publish(node, vec![item("e1", 60, Some(entry))], 60);
        }
    });
    fleet.fetches_fail = true;
    fleet.wait(Duration::from_millis(300));
    for ticket in 200..220 {
        fleet.arrive(2, arrival(ticket, "review", ENGINE, 1));
    }
    let sent = fleet
        .sends()
        .iter()
        .filter(|send| send.2 == leaving)
        .count();
    assert_eq!(sent, 0, "sent to the target that left");
    fleet.fetches_fail = false;
    fleet.wait(Duration::from_secs(2));
    assert_eq!(count_sends(&mut fleet, 2, leaving), 0);
}

/// Guards against requests that were placed before a target leaves and sent after.
#[test]
fn waiting_request() {
    let mut fleet = settled_fleet(&[NORTH], &TARGETS);
    let leaving = id_of("e1");
    let attempt = send_to(&mut fleet, 0, leaving);
    fleet.commands.clear();
    let entry = listed("e1", ENGINE, NORTH, true, 0);
    fleet.publish(0, vec![item("e1", 60, Some(entry))], 60);
    fleet.handle(0, Event::Sending(attempt));
    let withheld = |(_, command): &(usize, Command)| matches!(command, Command::Cancel(key) if *key == attempt);
    assert!(fleet.commands.iter().any(withheld));
    fleet.handle(0, Event::AttemptEnded(attempt, AttemptOutcome::NotSent));
    let sends = fleet.sends();
    assert_eq!(sends.len(), 1, "the request goes elsewhere");
    assert_ne!(sends[0].2, leaving);
    assert!(fleet.refusals().is_empty());
}

/// Guards against an entry of an earlier start that brings a target back which said that it leaves.
#[test]
fn older_entry() {
    let entry = |boot, sequence| {
        let mut entry = listed("e1", ENGINE, NORTH, false, 0);
        if let Entry::Target(target) = &mut entry {
            (target.boot, target.sequence) = (boot, sequence);
        }
        entry
    };
    let mut fleet = settled_fleet(&[NORTH], &TARGETS[1..]);
    fleet.publish(0, vec![item("e1", 60, Some(entry(5, 1)))], 60);
    let Entry::Target(target) = entry(5, 1) else {
        unreachable!("a listed target")
    };
    send_to(&mut fleet, 0, target.id());
    fleet.handle(0, Event::TargetLeaves(target.id()));
    fleet.publish(0, vec![item("e1", 61, Some(entry(4, 9)))], 61);
    let Entry::Target(older) = entry(4, 9) else {
        unreachable!("a listed target")
    };
    assert_eq!(count_sends(&mut fleet, 0, older.id()), 0);
    // A process whose clock went back keeps on writing, and a new start serves.
    fleet.publish(0, vec![item("e1", 62, Some(entry(4, 10)))], 62);
    fleet.wait(Duration::from_secs(4));
    assert!(count_sends(&mut fleet, 0, older.id()) > 0);
}
