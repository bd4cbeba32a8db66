//! Nodes that hear of changed items from peers that do not send them.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NORTH, SOUTH, config, item, settled_fleet};
use seam_core::Event;
use seam_protocol::VmId;
use yare::parameterized;

/// Regions of the nodes.
const NODES: [&str; 8] = [NORTH, NORTH, NORTH, NORTH, NORTH, SOUTH, SOUTH, SOUTH];
/// Interval at which nodes call the platform, if they watch it.
const CALL_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a confirmed version is in force at nodes in touch (`configApplyMs`).
const APPLY_TIME: Duration = Duration::from_secs(4);
const REVISION: u64 = 60;

/// Returns nodes that reach the platform, of which a few watch it.
fn watched_fleet() -> Fleet {
    let mut fleet = settled_fleet(&NODES, &[]);
    for index in 0..NODES.len() {
        fleet.handle(index, Event::PlatformUnreachable(false));
    }
    fleet.wait(Duration::from_secs(2));
    fleet
}

/// Lets nodes that watch the platform read a new version from it, except the `deaf` ones. Returns the
/// nodes that have it not in the end.
fn play(fleet: &mut Fleet, deaf: impl Fn(usize) -> bool) -> Vec<usize> {
    let end = fleet.now + APPLY_TIME;
    while fleet.now < end {
        for index in 0..NODES.len() {
            let node = &fleet.nodes[index];
            let calls = !fleet.down[index] && node.watches_platform(fleet.now) && !deaf(index);
            if calls && node.items_revision() < REVISION {
                let items = vec![item("config", REVISION, Some(config(8)))];
                fleet.publish(index, items, REVISION);
            }
        }
        fleet.wait(CALL_INTERVAL);
    }
    let behind = |index: &usize| fleet.nodes[*index].items_revision() < REVISION;
    (0..NODES.len()).filter(behind).collect()
}

/// Returns the nodes that watch the platform.
fn watchers(fleet: &Fleet) -> Vec<usize> {
    let watches = |index: &usize| fleet.nodes[*index].watches_platform(fleet.now);
    (0..NODES.len()).filter(watches).collect()
}

/// Guards against a node that waits for a source that cannot be called, or that refuses, while the
/// platform and others could be asked.
#[parameterized(
    unanswered = { true },
    refused = { false },
)]
fn sources_fail(silent: bool) {
    let mut fleet = watched_fleet();
    if silent {
        fleet.fetches_fail = true;
    } else {
        fleet.refusing_sources = (0..NODES.len()).collect();
    }
    let behind = play(&mut fleet, |_| false);
    assert!(behind.is_empty(), "behind: {behind:?}");
}

/// Guards against a node that waits for the next heartbeat although it knows of another source.
#[test]
fn next_source() {
    let mut fleet = settled_fleet(&[NORTH; 3], &[]);
    let items = || vec![item("config", REVISION, Some(config(8)))];
    fleet.fetches_fail = true;
    for index in [0, 1] {
        fleet.publish(index, items(), REVISION);
    }
    fleet.fetches_fail = false;
    fleet.handle(2, Event::ItemsNotRead(VmId::of("vm-0")));
    assert_eq!(fleet.nodes[2].items_revision(), REVISION);
}

/// Guards against a source that is blamed for the late end of a fetch from another one, which was given up.
#[test]
fn late_failure() {
    let mut fleet = settled_fleet(&[NORTH; 4], &[]);
    let items = || vec![item("config", REVISION, Some(config(8)))];
    let fetches = |fleet: &Fleet| fleet.fetches.get(&3).copied().unwrap_or_default();
    fleet.fetches_fail = true;
    fleet.fetches.clear();
    fleet.publish(0, items(), REVISION);
    fleet.wait(Duration::from_secs(1));
    for index in [1, 2] {
        fleet.publish(index, items(), REVISION);
    }
    assert_eq!(fetches(&fleet), 2);
    fleet.handle(3, Event::ItemsNotRead(VmId::of("vm-0")));
    assert_eq!(
        fetches(&fleet),
        2,
        "another one beside that from the second"
    );
    fleet.handle(3, Event::ItemsNotRead(VmId::of("vm-1")));
    assert_eq!(fetches(&fleet), 3, "the third is asked after the second");
}

/// Guards against a source that is asked again with each heartbeat although it refuses.
#[test]
fn refusals_spaced() {
    let mut fleet = settled_fleet(&[NORTH; 2], &[]);
    fleet.refusing_sources = [0].into();
    fleet.fetches.clear();
    let items = vec![item("config", REVISION, Some(config(8)))];
    fleet.publish(0, items, REVISION);
    fleet.wait(APPLY_TIME);
    let fetches = fleet.fetches.get(&1).copied().unwrap_or_default();
    assert!((2..=4).contains(&fetches), "{fetches} fetches in 4 s");
}

/// Guards against a region that hears through watchers that have stopped hearing, or that the platform
/// refuses.
#[test]
fn watchers_of_region() {
    let mut fleet = watched_fleet();
    let in_north = |index: &usize| NODES[*index] == NORTH;
    let deaf: Vec<usize> = watchers(&fleet).into_iter().filter(in_north).collect();
    assert_eq!(deaf.len(), 2);
    fleet.fetches_fail = true;
    let behind = play(&mut fleet, |index| deaf.contains(&index));
    assert_eq!(behind, deaf);
}
