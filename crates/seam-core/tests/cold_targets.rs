//! Targets that become cold in the middle of their life, or start again where nobody sees it.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{ENGINE, Fleet, NORTH, arrival, config, item, listed, settled_fleet};
use seam_core::audit::Change;
use seam_core::{AttemptKey, AttemptOutcome, Command, Event};
use seam_protocol::{Entry, TargetId};
use yare::parameterized;

const TARGETS: [(&str, &str, &str); 2] = [("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)];
/// Requests that all nodes together may send a cold target within a second.
const LIMIT: usize = 5;

fn id_of(name: &str) -> TargetId {
    let Entry::Target(target) = listed(name, ENGINE, NORTH, false, 0) else {
        unreachable!("a listed target")
    };
    target.id()
}

/// Lets a request arrive at a node. Returns the attempts that are sent because of it.
fn arrive(fleet: &mut Fleet, node: usize, ticket: u64) -> Vec<(AttemptKey, TargetId)> {
    fleet.commands.clear();
    fleet.arrive(node, arrival(ticket, "review", ENGINE, 1));
    let sends = fleet.sends().into_iter();
    sends
        .map(|(_, attempt, target)| (attempt, target))
        .collect()
}

/// Asks whether an attempt may be sent now. Reports one that may not as not sent.
fn may_send(fleet: &mut Fleet, node: usize, attempt: AttemptKey) -> bool {
    fleet.commands.clear();
    fleet.handle(node, Event::Sending(attempt));
    let cancelled = fleet
        .commands
        .iter()
        .any(|(_, command)| matches!(command, Command::Cancel(key) if *key == attempt));
    if cancelled {
        fleet.handle(node, Event::AttemptEnded(attempt, AttemptOutcome::NotSent));
    }
    !cancelled
}

/// Publishes to all nodes that a target is cold.
fn become_cold(fleet: &mut Fleet, name: &str, revision: u64) {
    for node in 0..fleet.nodes.len() {
        let entry = listed(name, ENGINE, NORTH, false, 3000);
        fleet.publish(node, vec![item(name, revision, Some(entry))], revision);
    }
}

/// Lets a node hear from a target how long it is cold, in answer to a health check some time ago.
fn report(fleet: &mut Fleet, node: usize, target: TargetId, cold: Duration, ago: Duration) {
    let asked = fleet.now - ago;
    let reported = Event::ColdReported {
        target,
        cold,
        asked,
    };
    fleet.handle(node, reported);
}

/// Counts the requests that go to a target while some arrive at a node and are answered.
fn count_sends(fleet: &mut Fleet, node: usize, target: TargetId, tickets: u64) -> usize {
    let mut count = 0;
    for ticket in tickets..tickets + 20 {
        for (attempt, to) in arrive(fleet, node, ticket) {
            count += usize::from(to == target && may_send(fleet, node, attempt));
            fleet.complete(node, attempt);
        }
    }
    count
}

/// Guards against requests to a cold target on top of those that it got in the second before the nodes
/// learned of it.
#[test]
fn sent_before_news() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS);
    let cold = id_of("e1");
    let mut sent = 0;
    for node in 0..3 {
        sent += count_sends(&mut fleet, node, cold, 0);
    }
    assert!(sent > LIMIT);
    fleet.wait(Duration::from_millis(200));
    become_cold(&mut fleet, "e1", 60);
    let more: usize = (0..3)
        .map(|node| count_sends(&mut fleet, node, cold, 100))
        .sum();
    assert_eq!(more, 0);
    fleet.wait(Duration::from_secs(1));
    let more: usize = (0..3)
        .map(|node| count_sends(&mut fleet, node, cold, 200))
        .sum();
    assert!((1..=LIMIT).contains(&more), "{more}");
}

/// Guards against requests that wait for a connection while their target becomes cold, and reach it
/// all at once.
#[test]
fn waiting_requests() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let mut waiting = Vec::new();
    for node in 0..3 {
        for ticket in 0..10 {
            let sends = arrive(&mut fleet, node, ticket);
            waiting.extend(sends.into_iter().map(|(attempt, _)| (node, attempt)));
        }
    }
    assert_eq!(waiting.len(), 30);
    fleet.wait(Duration::from_millis(300));
    become_cold(&mut fleet, "e1", 60);
    let mut sent = 0;
    for (node, attempt) in waiting {
        sent += usize::from(may_send(&mut fleet, node, attempt));
    }
    assert!((1..=LIMIT).contains(&sent), "{sent}");
}

/// Guards against requests to a cold target that were placed over a long time and wait for
/// connections that open at the same moment.
#[test]
fn late_connections() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    become_cold(&mut fleet, "e1", 60);
    fleet.wait(Duration::from_secs(1));
    let mut waiting = Vec::new();
    for round in 0..3 {
        for node in 0..3 {
            let sends = arrive(&mut fleet, node, round * 10);
            waiting.extend(sends.into_iter().map(|(attempt, _)| (node, attempt)));
        }
        become_cold(&mut fleet, "e1", 61 + round);
        fleet.wait(Duration::from_millis(1150));
    }
    assert!(waiting.len() > LIMIT, "{waiting:?}");
    let mut sent = 0;
    for (node, attempt) in waiting {
        sent += usize::from(may_send(&mut fleet, node, attempt));
    }
    assert!((1..=LIMIT).contains(&sent), "{sent}");
}

/// Guards against full traffic to a target that a probe finds again, and that started meanwhile while the
/// platform did not hear of it.
#[test]
fn found_by_probe() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let target = id_of("e1");
    for node in 0..3 {
        let accepted = false;
        fleet.handle(node, Event::Probed { target, accepted });
    }
    fleet.wait(Duration::from_secs(4));
    let mut sent = 0;
    for node in 0..3 {
        let accepted = true;
        fleet.handle(node, Event::Probed { target, accepted });
        sent += count_sends(&mut fleet, node, target, 0);
    }
    assert!(sent <= LIMIT, "{sent}");
    // One node has an answer to its health check, and tells the others.
    report(
        &mut fleet,
        1,
        target,
        Duration::from_secs(6),
        Duration::ZERO,
    );
    for _ in 0..4 {
        fleet.wait(Duration::from_millis(1200));
        let sent: usize = (0..3)
            .map(|node| count_sends(&mut fleet, node, target, 50))
            .sum();
        assert!((1..=LIMIT).contains(&sent), "{sent}");
    }
    report(&mut fleet, 2, target, Duration::ZERO, Duration::ZERO);
    fleet.wait(Duration::from_secs(2));
    let sent: usize = (0..3)
        .map(|node| count_sends(&mut fleet, node, target, 100))
        .sum();
    assert!(sent > LIMIT, "{sent}");
}

/// Guards against a target that counts as cold long after, since its entry is old and other entries change.
#[test]
fn old_entry() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let target = id_of("e1");
    become_cold(&mut fleet, "e1", 60);
    fleet.wait(Duration::from_secs(10));
    let entry = listed("e2", ENGINE, NORTH, true, 0);
    fleet.publish(0, vec![item("e2", 61, Some(entry))], 61);
    let sent = count_sends(&mut fleet, 0, target, 0);
    assert!(sent > LIMIT, "{sent}");
}

/// Guards against a health answer from before a target was lost, read late, that lifts its limit at all nodes.
#[test]
fn stale_report() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let target = id_of("e1");
    for (accepted, millis) in [(false, 4000), (true, 1200)] {
        for node in 0..3 {
            fleet.handle(node, Event::Probed { target, accepted });
        }
        fleet.wait(Duration::from_millis(millis));
    }
    report(
        &mut fleet,
        1,
        target,
        Duration::ZERO,
        Duration::from_secs(6),
    );
    let sent: usize = (0..3)
        .map(|node| count_sends(&mut fleet, node, target, 0))
        .sum();
    assert!((1..=LIMIT).contains(&sent), "{sent}");
    report(&mut fleet, 1, target, Duration::ZERO, Duration::ZERO);
    fleet.wait(Duration::from_millis(1200));
    let sent: usize = (0..3)
        .map(|node| count_sends(&mut fleet, node, target, 50))
        .sum();
    assert!(sent > LIMIT, "{sent}");
}

/// Counts the requests that all nodes send to a cold target within a second.
fn count_all(fleet: &mut Fleet, target: TargetId, tickets: u64) -> usize {
    let nodes = 0..fleet.nodes.len();
    nodes
        .map(|node| count_sends(fleet, node, target, tickets))
        .sum()
}

/// Guards against nodes that each count themselves as alone, since they started while they were cut off
/// from the others, and together send a cold target more than it takes.
#[parameterized(
    three = { 3 },
    six = { 6 },
)]
fn started_apart(nodes: usize) {
    let mut fleet = settled_fleet(&vec![NORTH; nodes], &TARGETS);
    for (one, other) in (0..nodes).flat_map(|one| (0..one).map(move |other| (other, one))) {
        fleet.partitions.insert((one, other));
    }
    for node in 0..nodes {
        fleet.restart(node);
        let entry = listed("e2", ENGINE, NORTH, false, 0);
        let items = [
            item("config", 1, Some(config(7))),
            item("e2", 3, Some(entry)),
        ];
        fleet.publish(node, items.to_vec(), 50);
    }
    fleet.wait(Duration::from_secs(4));
    become_cold(&mut fleet, "e1", 60);
    let cold = id_of("e1");
    let sent = count_all(&mut fleet, cold, 100);
    assert!(sent <= LIMIT, "{sent} sent");
    fleet.partitions.clear();
    fleet.wait(Duration::from_millis(1200));
    let sent = count_all(&mut fleet, cold, 200);
    assert!(
        (1..=LIMIT).contains(&sent),
        "{sent} sent once they know each other"
    );
    fleet.wait(Duration::from_secs(4));
    let sent = count_all(&mut fleet, cold, 300);
    assert!(sent > LIMIT, "{sent} sent to the warm target");
}

/// Lets the entry of a target lapse while the platform is away, and all nodes read that.
fn lapse(fleet: &mut Fleet, name: &str, revision: u64) {
    for unreachable in [true, false] {
        for node in 0..fleet.nodes.len() {
            fleet.handle(node, Event::PlatformUnreachable(unreachable));
        }
    }
    fleet.commands.clear();
    for node in 0..fleet.nodes.len() {
        fleet.publish(node, vec![item(name, revision, None)], revision);
    }
}

/// Lets requests arrive at all nodes for some time. Returns the number that is sent to a target, also of
/// those that waited before.
fn count_during(fleet: &mut Fleet, target: TargetId, tickets: u64, span: Duration) -> usize {
    let end = fleet.now + span;
    let mut count = 0;
    for ticket in (tickets..).step_by(5) {
        if fleet.now >= end {
            break;
        }
        fleet.commands.clear();
        for node in 0..fleet.nodes.len() {
            for ticket in ticket..ticket + 5 {
                fleet.arrive(node, arrival(ticket, "review", ENGINE, 1));
            }
        }
        fleet.wait(Duration::from_millis(50));
        let mut due = fleet.sends();
        while let Some((node, attempt, to)) = due.pop() {
            if may_send(fleet, node, attempt) {
                count += usize::from(to == target);
                fleet.complete(node, attempt);
            }
            due.extend(fleet.sends());
        }
    }
    count
}

/// Guards against full traffic to a target that became cold while nodes keep its lapsed entry in use, and
/// learn of the evacuation of its data centre, or of its new entry, only later.
#[test]
fn lapsed_entry() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let target = id_of("e1");
    lapse(&mut fleet, "e1", 60);
    let mut sent = count_during(&mut fleet, target, 100, Duration::from_millis(350));
    assert!((1..=LIMIT).contains(&sent), "{sent}");
    become_cold(&mut fleet, "e1", 61);
    sent += count_during(&mut fleet, target, 200, Duration::from_millis(650));
    assert!((1..=LIMIT).contains(&sent), "{sent}");
    let sent = count_during(&mut fleet, target, 400, Duration::from_secs(1));
    assert!((1..=LIMIT).contains(&sent), "{sent} in the next second");
}

/// Guards against full traffic to a target whose lapsed entry is renewed with what was true before it became
/// cold, at nodes that know that they lack a newer item.
#[test]
fn outdated_renewal() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let target = id_of("e1");
    fleet.fetches_fail = true;
    lapse(&mut fleet, "e1", 60);
    fleet.wait(Duration::from_secs(1));
    let warm = listed("e1", ENGINE, NORTH, false, 0);
    for node in 0..3 {
        fleet.publish(node, vec![item("e1", 61, Some(warm.clone()))], 61);
    }
    let cold = listed("e1", ENGINE, NORTH, false, 3000);
    fleet.publish(0, vec![item("e1", 62, Some(cold))], 62);
    let sent = count_during(&mut fleet, target, 100, Duration::from_millis(950));
    assert!((1..=LIMIT).contains(&sent), "{sent}");
}

/// Guards against targets that take few requests for seconds after the platform was away, though they are
/// warm and have said so.
#[parameterized(
    health_answer = { false, false },
    renewed_entry = { true, false },
    same_batch = { true, true },
)]
fn lapsed_and_warm(renewed: bool, together: bool) {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let target = id_of("e1");
    let entry = listed("e1", ENGINE, NORTH, false, 0);
    let mut items = vec![item("e1", 61, Some(entry))];
    if together {
        items.insert(0, item("e1", 60, None));
    }
    lapse(&mut fleet, "e1", 59);
    fleet.wait(Duration::from_millis(100));
    if renewed {
        for node in 0..3 {
            fleet.publish(node, items.clone(), 61);
        }
    } else {
        report(&mut fleet, 1, target, Duration::ZERO, Duration::ZERO);
    }
    let sent = count_all(&mut fleet, target, 100);
    assert!(sent > LIMIT, "{sent}");
}

/// Guards against a node that stood still while a target became cold, and takes it for warm.
#[test]
fn paused_node() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS);
    let cold = id_of("e1");
    fleet.pause(2, Duration::from_secs(5), |fleet| {
        fleet.wait(Duration::from_millis(2400));
        for node in [0, 1] {
            let entry = listed("e1", ENGINE, NORTH, false, 3000);
            fleet.publish(node, vec![item("e1", 60, Some(entry))], 60);
        }
    });
    fleet.fetches_fail = true;
    fleet.wait(Duration::from_millis(300));
    let sent = count_sends(&mut fleet, 2, cold, 200);
    assert!(sent <= LIMIT / 3, "{sent} sent");
}

/// Returns the entry of a target's second start under its name, cold for 3 s.
fn second_start(name: &str) -> Entry {
    let Entry::Target(mut target) = listed(name, ENGINE, NORTH, false, 3000) else {
        unreachable!("a listed target")
    };
    target.boot += 1;
    Entry::Target(target)
}

/// Publishes to all nodes that a target started again under its name. Returns the id of this start.
fn publish_start(fleet: &mut Fleet, name: &str, revision: u64) -> TargetId {
    let entry = second_start(name);
    let Entry::Target(target) = &entry else {
        unreachable!("a listed target")
    };
    let id = target.id();
    for node in 0..fleet.nodes.len() {
        fleet.publish(
            node,
            vec![item(name, revision, Some(entry.clone()))],
            revision,
        );
    }
    id
}

/// Lets a node find that no process listens at the address of a target.
fn refuse(fleet: &mut Fleet, node: usize, target: TargetId) {
    fleet.commands.clear();
    let accepted = false;
    fleet.handle(node, Event::Probed { target, accepted });
}

/// Ends the probes of a target that other nodes began. Returns these nodes.
fn end_probes(fleet: &mut Fleet, target: TargetId, accepted: bool) -> Vec<usize> {
    let commands = fleet.commands.iter();
    let probes = commands.filter_map(|(node, command)| match command {
        Command::Probe { target: probed, .. } if *probed == target => Some(*node),
        _ => None,
    });
    let nodes: Vec<_> = probes.collect();
    for node in &nodes {
        fleet.handle(*node, Event::Probed { target, accepted });
    }
    nodes
}

/// Guards against two shares of a cold target's rate in one second: one under its earlier start, as a probe found
/// it, and one under the start that its entry then tells of, with or without a removal between them.
#[parameterized(
    replaced = { false },
    removed = { true },
)]
fn restarted_target(removed: bool) {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let earlier = id_of("e1");
    for node in 0..3 {
        refuse(&mut fleet, node, earlier);
    }
    fleet.wait(Duration::from_secs(4));
    for node in 0..3 {
        let (target, accepted) = (earlier, true);
        fleet.handle(node, Event::Probed { target, accepted });
    }
    // A health check counts as a request.
    fleet.wait(Duration::from_millis(1200));
    let mut sent = count_all(&mut fleet, earlier, 100);
    assert!(
        (1..=LIMIT).contains(&sent),
        "{sent} under the earlier start"
    );
    fleet.wait(Duration::from_millis(200));
    if removed {
        for node in 0..3 {
            fleet.publish(node, vec![item("e1", 60, None)], 60);
        }
    }
    let later = publish_start(&mut fleet, "e1", 61);
    assert_ne!(earlier, later);
    sent += count_during(&mut fleet, later, 200, Duration::from_millis(700));
    assert!(sent <= LIMIT, "{sent} under both starts");
    let sent = count_during(&mut fleet, later, 300, Duration::from_secs(1));
    assert!((1..=LIMIT).contains(&sent), "{sent} in the next second");
}

/// Guards against full traffic to a target that crashed and started again, from nodes that sent it nothing meanwhile,
/// while another one was refused there.
#[test]
fn crash_of_others() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let earlier = id_of("e1");
    refuse(&mut fleet, 0, earlier);
    end_probes(&mut fleet, earlier, false);
    fleet.wait(Duration::from_millis(300));
    let mut sent = count_during(&mut fleet, earlier, 100, Duration::from_millis(300));
    let later = publish_start(&mut fleet, "e1", 60);
    sent += count_during(&mut fleet, later, 200, Duration::from_millis(600));
    assert!((1..=LIMIT).contains(&sent), "{sent}");
}

/// Guards against nodes that limit a target because another node does not reach it, though it runs their requests
/// or has answered them since.
#[parameterized(
    running = { false },
    answered = { true },
)]
fn reached_by_others(answered: bool) {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let target = id_of("e1");
    for node in 1..3 {
        let (attempt, _) = arrive(&mut fleet, node, 50)[0];
        assert!(may_send(&mut fleet, node, attempt));
        if answered {
            fleet.wait(Duration::from_millis(50));
            fleet.handle(node, Event::FirstBytes(attempt));
            fleet.complete(node, attempt);
        }
    }
    refuse(&mut fleet, 0, target);
    let probes = end_probes(&mut fleet, target, true);
    assert_eq!(probes.is_empty(), !answered, "{probes:?}");
    let sent: usize = (1..3)
        .map(|node| count_sends(&mut fleet, node, target, 100))
        .sum();
    assert!(sent > LIMIT, "{sent}");
}

/// Guards against lines that do not tell whether a flooded target got the requests before or after the node learned
/// that it is cold, since they name only one of its starts.
#[test]
fn cold_lines() {
    let mut fleet = settled_fleet(&[NORTH; 3], &TARGETS[..1]);
    let sent = count_sends(&mut fleet, 0, id_of("e1"), 100);
    fleet.wait(Duration::from_millis(200));
    fleet.commands.clear();
    publish_start(&mut fleet, "e1", 60);
    let lines = fleet
        .commands
        .iter()
        .filter_map(|(node, command)| match command {
            Command::Audit(audit) if *node == 0 && audit.change == Change::Cold => {
                Some(&audit.cause)
            }
            _ => None,
        });
    let lines: Vec<_> = lines.collect();
    let stated = format!("e1 got {sent} of this node within the last second");
    assert!(lines.len() == 1 && lines[0].ends_with(&stated), "{lines:?}");
}
