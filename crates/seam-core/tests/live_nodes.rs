//! A few nodes that know each other by seeds alone.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{
    DESK, ENGINE, Fleet, NORTH, SOUTH, address, arrival, config, entry_of, item, listed, settled,
};
use seam_core::{Command, Event, Refusal, Reply};
use seam_protocol::{Outcome, Reason, RegionId};

#[test]
fn seeds_suffice() {
    let fleet = settled(&[NORTH, NORTH, SOUTH], &[("e1", ENGINE, NORTH)]);
    for node in &fleet.nodes {
        assert!(node.ready(fleet.now));
        assert_eq!(
            node.directory(fleet.now, Some(RegionId::of(NORTH)), 0)
                .len(),
            2
        );
    }
}

#[test]
fn items_by_peer_alone() {
    let mut fleet = Fleet::new(&[NORTH, NORTH, NORTH]);
    fleet.wait(Duration::from_secs(1));
    assert!(!fleet.nodes[2].ready(fleet.now));
    let items = vec![
        item("config", 1, Some(config(7))),
        item("e1", 2, Some(entry_of("e1"))),
    ];
    fleet.publish(0, items, 2);
    fleet.wait(Duration::from_millis(500));
    for node in &fleet.nodes {
        assert!(node.ready(fleet.now));
        assert_eq!(node.items_revision(), 2);
    }
}

#[test]
fn older_version_stays_out() {
    let mut fleet = settled(&[NORTH], &[]);
    fleet.publish(0, vec![item("config", 60, Some(config(3)))], 60);
    assert_eq!(fleet.nodes[0].bundle().unwrap().revision, 7);
}

#[test]
fn gone_node_leaves_directory() {
    let mut fleet = settled(&[NORTH, NORTH], &[]);
    fleet.down[1] = true;
    fleet.wait(Duration::from_secs(6));
    let told = fleet.nodes[0].directory(fleet.now, Some(RegionId::of(NORTH)), 0);
    assert_eq!(told, [address(100)]);
}

#[test]
fn forward_counts_as_run() {
    // The only target stands in the south. A route with one attempt never runs twice.
    let mut fleet = settled(
        &[NORTH, SOUTH, SOUTH],
        &[("d1", DESK, SOUTH), ("d2", DESK, SOUTH)],
    );
    fleet.arrive(0, arrival(1, "single", DESK, 1));
    let forward = fleet
        .done
        .iter()
        .find_map(|(index, command)| match command {
            Command::Forward { attempt, .. } => Some((*index, *attempt)),
            _ => None,
        });
    let (index, attempt) = forward.expect("it is forwarded");
    fleet.handle(index, Event::Sending(attempt));
    let unsure = Reply::OutcomeUnknown(Refusal::unknown(Reason::Silent));
    fleet.done.clear();
    fleet.handle(index, Event::Reply(attempt, unsure));
    let again = fleet
        .done
        .iter()
        .any(|(_, command)| matches!(command, Command::Forward { .. } | Command::Send { .. }));
    assert!(!again);
    assert_eq!(fleet.refusals()[0].outcome, Outcome::Unknown);
}

#[test]
fn another_node_of_the_region() {
    // Only the south serves. One of its two nodes cannot be reached.
    let mut fleet = settled(&[NORTH, SOUTH, SOUTH], &[("d1", DESK, SOUTH)]);
    fleet.arrive(0, arrival(1, "book", DESK, 1));
    let (attempt, first) = fleet.forwards()[0];
    fleet.handle(0, Event::Reply(attempt, Reply::NotSent));
    let (_, second) = fleet.forwards()[1];
    assert_ne!(first, second);
    assert!(fleet.refusals().is_empty());
}

#[test]
fn large_nodes_are_named_more_often() {
    // Two nodes carry four times as much as each of eight others.
    let mut weights = vec![120; 8];
    weights.extend([480, 480]);
    let mut fleet = Fleet::weighed(&[NORTH; 10], &weights);
    fleet.publish(0, vec![item("config", 1, Some(config(7)))], 1);
    fleet.wait(Duration::from_secs(2));
    let told = |fleet: &Fleet, caller| {
        fleet.nodes[0].directory(fleet.now, Some(RegionId::of(NORTH)), caller)
    };
    let mut part = 0.0;
    for caller in 0..400 {
        let named = told(&fleet, caller);
        assert!(named.len() >= 4, "{named:?}");
        assert_eq!(
            named,
            told(&fleet, caller),
            "a caller is told the same each time"
        );
        let large = named.iter().filter(|named| **named >= address(108));
        part += large.count() as f64 / named.len() as f64 / 400.0;
    }
    // They carry half of all; each is named once at most, so what is left goes to the others.
    assert!((0.27..0.55).contains(&part), "{part}");
    let gone = told(&fleet, 1)[0];
    fleet.down[gone.port() as usize - 7100] = true;
    fleet.wait(Duration::from_secs(6));
    assert!(!told(&fleet, 1).contains(&gone) || gone == address(100));
}

#[test]
fn forwards_spread_by_weight() {
    // Only the north serves; twelve nodes there differ in what they carry.
    let mut regions = vec![NORTH; 12];
    regions.push(SOUTH);
    let mut weights = vec![120; 9];
    weights.extend([480, 480, 480, 120]);
    let mut fleet = Fleet::weighed(&regions, &weights);
    fleet.wait(Duration::from_secs(1));
    let target = listed("d1", DESK, NORTH, false, 0);
    let items = vec![
        item("config", 1, Some(config(7))),
        item("d1", 2, Some(target)),
    ];
    fleet.publish(0, items, 2);
    fleet.wait(Duration::from_secs(4));
    fleet.done.clear();
    for ticket in 0..240 {
        fleet.arrive(12, arrival(ticket, "view", DESK, 2));
    }
    let mut counts = std::collections::BTreeMap::new();
    for (_, address) in fleet.forwards() {
        *counts.entry(address).or_insert(0) += 1;
    }
    assert!(counts.len() >= 10, "{counts:?}");
    let of = |counts: &std::collections::BTreeMap<_, i32>, index| {
        counts.get(&address(index)).copied().unwrap_or(0)
    };
    let large: i32 = (9..12).map(|index| of(&counts, index)).sum();
    assert!(
        (90..200).contains(&large),
        "three of twelve carry 57% of all: {counts:?}"
    );
}
