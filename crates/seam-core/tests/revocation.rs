//! No request with an API key that was sent later than the limit after the store had acknowledged the removal of
//! the key is admitted by any node. The oracle tries every key at every node in each step.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;
#[path = "live/revocation.rs"]
mod world;

use std::time::Duration;

use fleet::{NORTH, SOUTH};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::Command;
use seam_protocol::Reason;
use world::{LIMIT, World, seconds};

const REGIONS: [&str; 8] = [NORTH, NORTH, NORTH, NORTH, NORTH, SOUTH, SOUTH, SOUTH];
const NORTHERN: [usize; 5] = [0, 1, 2, 3, 4];
const SOUTHERN: [usize; 3] = [5, 6, 7];

/// Returns nodes that admit the keys `a` and `b`.
fn settled() -> World {
    let mut world = World::new(&REGIONS);
    world.publish(&["a", "b"]);
    world.run(seconds(5));
    world.assert_admitted("a", 0..8);
    world.begin_count();
    world
}

/// Guards against a node that refuses keyed requests, or calls the store more than it has to, while nothing fails.
#[test]
fn undisturbed() {
    let mut world = settled();
    let before = world.calls;
    world.run(seconds(20));
    assert_eq!(world.refused(), [0; 8]);
    assert!(world.oldest() <= seconds(3), "{:?}", world.oldest());
    // Two watchers a region at two calls a second, and each node's reads of the key.
    let calls = world.calls - before;
    assert!(calls <= 20 * (4 * 2 + 8), "{calls} calls in 20 s");
}

/// Guards against calls of nodes without the limit, or confirmations in their heartbeats.
#[test]
fn without_limit() {
    let mut world = World::without_limit(&REGIONS);
    world.publish(&["a"]);
    world.run(seconds(10));
    assert!(world.without_confirmations);
    let all: Vec<usize> = (0..8).collect();
    assert_eq!(world.watchers(&all).len(), 4);
    world.cut_store(&all);
    world.run(seconds(10));
    world.assert_admitted("a", 0..8);
}

/// Guards against a removal that a node without the store applies too late, and against a node that stops although
/// its peers reach the store.
#[test]
fn node_without_store() {
    let mut world = settled();
    world.cut_store(&[2]);
    world.run(seconds(10));
    world.publish(&["b"]);
    world.run(seconds(10));
    assert_eq!(world.refused(), [0; 8]);
    world.assert_refused("a", 0..8);
}

/// Guards against a node that goes on by itself for good, as neither the store nor a peer reaches it.
#[test]
fn isolated_node() {
    let mut world = settled();
    world.cut_store(&[2]);
    world.isolate(2);
    world.publish(&["b"]);
    world.run(seconds(10));
    world.assert_refused("b", [2]);
    world.assert_admitted("b", [0, 1, 3, 4, 5, 6, 7]);
    world.rejoin(2);
    world.run(seconds(3));
    world.assert_admitted("b", 0..8);
}

/// Guards against a region that stops, as the store refuses those of its nodes that watch it.
#[test]
fn store_refuses_watchers() {
    let mut world = settled();
    for region in [&NORTHERN[..], &SOUTHERN[..]] {
        let watchers = world.watchers(region);
        world.cut_store(&watchers);
    }
    world.run(seconds(10));
    world.publish(&["a"]);
    world.run(seconds(10));
    assert_eq!(world.refused(), [0; 8]);
    world.assert_refused("b", 0..8);
}

/// Guards against a region that stops, as calls of its watchers hang without an error.
#[test]
fn calls_hang() {
    let mut world = settled();
    let watchers = world.watchers(&NORTHERN);
    world.hang_store(&watchers);
    world.run(seconds(10));
    assert_eq!(world.refused(), [0; 8]);
}

/// Guards against a region without the store that stops although it reaches other regions.
#[test]
fn region_without_store() {
    let mut world = settled();
    world.cut_store(&SOUTHERN);
    world.run(seconds(10));
    world.publish(&["b"]);
    world.run(seconds(10));
    assert_eq!(world.refused(), [0; 8]);
    world.assert_refused("a", 0..8);
}

/// Guards against a region that admits a removed key, as it is cut off from the store and from all others.
#[test]
fn region_cut_off() {
    let mut world = settled();
    world.cut_store(&SOUTHERN);
    world.separate(&NORTHERN, &SOUTHERN);
    world.publish(&["b"]);
    world.run(seconds(10));
    assert_eq!(world.refused()[..5], [0; 5]);
    world.assert_refused("b", SOUTHERN);
    world.connect(&NORTHERN, &SOUTHERN);
    world.run(seconds(3));
    world.assert_admitted("b", 0..8);
}

/// Guards against nodes that keep each other's confirmations young without the store, or do not serve again at once.
#[test]
fn all_without_store() {
    let mut world = settled();
    let all: Vec<usize> = (0..8).collect();
    world.cut_store(&all);
    let before = world.calls;
    world.run(LIMIT.saturating_sub(seconds(2)));
    assert_eq!(
        world.refused(),
        [0; 8],
        "they serve while the limit allows it"
    );
    world.run(seconds(10));
    world.assert_refused("a", 0..8);
    let calls = world.calls - before;
    assert!(calls <= 13 * 8 * 6, "{calls} calls in 13 s");
    world.restore_store(&all);
    world.run(seconds(2));
    world.assert_admitted("a", 0..8);
}

/// Guards against a node that serves by what it knew before a pause, also with an answer of the store or of a peer
/// from before it.
#[test]
fn paused_node() {
    for paused in [0, 2, 6] {
        let mut world = settled();
        world.fleet.down[paused] = true;
        world.run(seconds(1));
        world.publish(&["b"]);
        world.run(seconds(10));
        world.fleet.down[paused] = false;
        world.assert_refused("a", [paused]);
        world.run(seconds(4));
        world.assert_admitted("b", [paused]);
    }
}

/// Guards against all nodes that take each other's confirmations for young after a suspension.
#[test]
fn all_suspended() {
    let mut world = settled();
    let all: Vec<usize> = (0..8).collect();
    world.fleet.down = vec![true; 8];
    world.run(seconds(1));
    world.publish(&["b"]);
    world.run(seconds(20));
    world.cut_store(&all);
    world.fleet.down = vec![false; 8];
    world.assert_refused("b", 0..8);
    world.run(seconds(10));
    world.assert_refused("b", 0..8);
    world.restore_store(&all);
    world.run(seconds(4));
    world.assert_admitted("b", 0..8);
}

/// Guards against a node that never serves after its restart, or by items that nobody confirms, as it has them from
/// peers only.
#[test]
fn restart_without_store() {
    let mut world = settled();
    world.cut_store(&[3]);
    world.restart(3);
    world.run(seconds(5));
    world.assert_admitted("a", [3]);
    world.publish(&["b"]);
    let all: Vec<usize> = (0..8).collect();
    world.cut_store(&all);
    world.restart(3);
    world.run(seconds(12));
    world.assert_refused("b", [3]);
}

/// Guards against two nodes, cut off from all others, that confirm each other.
#[test]
fn cycle_of_two() {
    let mut world = settled();
    world.cut_store(&[3, 4]);
    world.separate(&[3, 4], &[0, 1, 2, 5, 6, 7]);
    world.publish(&["b"]);
    world.run(seconds(20));
    world.assert_refused("a", [3, 4]);
    world.assert_refused("b", [3, 4]);
    world.assert_admitted("b", [0, 1, 2, 5, 6, 7]);
}

/// Guards against a key that is admitted between its removal and its return, and one that is refused after it.
#[test]
fn restored_key() {
    let mut world = settled();
    world.cut_store(&[2, 6]);
    world.isolate(6);
    world.publish(&["b"]);
    world.run(seconds(7));
    world.publish(&["a", "b"]);
    world.run(seconds(7));
    world.assert_admitted("a", NORTHERN);
    world.publish(&["a"]);
    world.publish(&["a", "b"]);
    world.publish(&["a"]);
    world.rejoin(6);
    world.run(seconds(7));
    world.assert_admitted("a", 0..8);
    world.assert_refused("b", 0..8);
}

/// Guards against the last key of a tenant, which leaves no tenant behind that a node would look up.
#[test]
fn last_key() {
    let mut world = settled();
    world.publish(&["a"]);
    world.run(seconds(7));
    world.isolate(1);
    world.cut_store(&[1]);
    world.publish(&[]);
    world.run(seconds(10));
    world.assert_refused("a", 0..8);
    world.assert_refused("b", 0..8);
}

/// Guards against ages that heartbeats which are delayed and reordered make smaller than they are.
#[test]
fn late_heartbeats() {
    for seed in 0..4 {
        let mut world = settled();
        world.cut_store(&[1, 2, 6]);
        world.delay_heartbeats(seed, seconds(3), 0.2);
        for _ in 0..4 {
            world.publish(&["b"]);
            world.run(seconds(8));
            world.publish(&["a", "b"]);
            world.run(seconds(2));
        }
        world.delay_heartbeats(seed, Duration::from_millis(100), 0.0);
        world.run(seconds(4));
        world.assert_admitted("a", 0..8);
    }
}

/// Guards against a confirmation by an answer that has a part of the changes only, states the end of that part as the
/// store's revision, or has an element that cannot be read.
#[test]
fn partial_answers() {
    for damage in [
        world::Damage::Parts,
        world::Damage::Skips,
        world::Damage::Unreadable,
    ] {
        let mut world = settled();
        world.damage = damage;
        for round in 0..3 {
            for step in 0..6 {
                world.publish_target(&format!("e-{round}-{step}"));
            }
            world.publish(&["b"]);
            world.run(seconds(8));
            world.publish(&["a", "b"]);
            world.run(seconds(4));
        }
        world.damage = world::Damage::None;
        world.run(seconds(4));
        world.assert_admitted("a", 0..8);
    }
}

/// Guards against a confirmation by one of many parts, as the removal is in a later one and the configuration is too
/// large to be read often.
#[test]
fn many_parts() {
    let mut world = World::new(&[NORTH, NORTH]);
    world.config_bytes = 200_000;
    world.publish(&["a", "b"]);
    world.run(seconds(10));
    world.assert_admitted("a", 0..2);
    world.damage = world::Damage::Parts;
    for step in 0..200 {
        world.publish_target(&format!("e-{step}"));
    }
    world.publish(&["b"]);
    world.run(seconds(20));
    world.assert_refused("a", 0..2);
    world.assert_admitted("b", 0..2);
}

/// Guards against a confirmation for an item, or for a meaning of it, that the node does not have in force.
#[test]
fn other_items() {
    for other_meaning in [false, true] {
        let mut world = settled();
        world.cut_store(&[2]);
        world.fleet.fetches_fail = true;
        world.other_meaning = other_meaning;
        if !other_meaning {
            world.publish(&["b"]);
        }
        world.run(seconds(10));
        world.assert_refused("b", [2]);
    }
}

/// Guards against nodes of a region without the store that get confirmations too rarely from a large region.
#[test]
fn large_regions() {
    let mut regions = vec![NORTH; 16];
    regions.extend([SOUTH; 16]);
    let mut world = World::new(&regions);
    world.publish(&["a"]);
    world.run(seconds(5));
    let southern: Vec<usize> = (16..32).collect();
    world.cut_store(&southern);
    world.begin_count();
    world.run(seconds(12));
    assert_eq!(world.refused(), [0; 32]);
    assert!(world.oldest() <= seconds(4), "{:?}", world.oldest());
}

/// Returns a node alone that has read all items at a revision, and the time of its confirmation.
fn alone() -> World {
    let mut world = World::new(&[NORTH]);
    world.publish(&["a"]);
    world.run(seconds(4));
    let all = [0];
    world.hang_store(&all);
    world.run(seconds(1));
    world
}

/// Guards against an answer that confirms although the store's revision is beyond what the node knows, and one after
/// an element that could not be read.
#[test]
fn open_answers() {
    let mut world = alone();
    let known = world.fleet.nodes[0].items_revision();
    let age = |world: &World| {
        let now = world.fleet.clock(0);
        world.fleet.nodes[0].confirmation_age(now).unwrap()
    };
    let before = age(&world);
    let first = world.answer_empty(0, known, Some(known + 1), true);
    assert_eq!(age(&world), before, "a change may be missing");
    world.run(Duration::from_millis(200));
    let second = world.answer_empty(0, known + 1, Some(known + 2), true);
    let now = world.fleet.clock(0);
    assert!(first < second);
    assert_eq!(age(&world), now.since(first), "as of the first call");
    world.run(Duration::from_millis(200));
    let before = age(&world);
    world.answer_empty(0, known + 1, Some(known + 1), false);
    world.answer_empty(0, known + 2, Some(known + 2), true);
    assert_eq!(
        age(&world),
        before,
        "what could not be read may be the configuration"
    );
    world.answer_empty(0, known + 2, None, true);
    assert_eq!(age(&world), before, "the store's revision is unknown");
}

/// Guards against a confirmation as of the time at which an answer arrives, long after its call.
#[test]
fn late_answer() {
    let mut world = alone();
    let known = world.fleet.nodes[0].items_revision();
    let now = world.fleet.clock(0);
    let call = world.fleet.nodes[0].begin_store_call(now);
    world.run(seconds(5));
    world.answer_call(0, call, known, (Some(known), true));
    let now = world.fleet.clock(0);
    let age = world.fleet.nodes[0].confirmation_age(now).unwrap();
    assert!(age >= seconds(5), "{age:?}");
}

/// Guards against nodes that stop since every watch is answered with a change.
#[test]
fn constant_changes() {
    let mut world = settled();
    // Too large to be read often.
    world.config_bytes = 200_000;
    world.publish(&["a", "b"]);
    world.run(seconds(2));
    world.begin_count();
    for round in 0..40 {
        for step in 0..5 {
            world.publish_target(&format!("e-{round}-{step}"));
            world.run(Duration::from_millis(50));
        }
    }
    assert_eq!(world.refused(), [0; 8]);
}

/// Guards against a version that cannot be used, and may remove keys, while the one before stays in force.
#[test]
fn unusable_version() {
    let mut world = settled();
    world.publish_unusable();
    world.run(seconds(10));
    world.assert_refused("a", 0..8);
    world.publish(&["b"]);
    world.run(seconds(4));
    world.assert_admitted("b", 0..8);
}

/// Guards against a confirmation that outlives a store which went back to an older copy and gives revisions out again.
#[test]
fn replaced_items() {
    let mut world = settled();
    world.publish(&["b"]);
    world.run(seconds(7));
    world.copy_back(2);
    world.run(seconds(2));
    world.publish(&["a", "c"]);
    world.run(seconds(8));
    world.assert_admitted("c", 0..8);
    world.assert_refused("b", 0..8);
}

/// Guards against a refusal without a time, or with one that sends all callers back together; and against a node of
/// which nothing tells that it stopped and began again.
#[test]
fn refusals_and_lines() {
    let mut world = settled();
    world.cut_store(&[2]);
    world.isolate(2);
    world.run(seconds(7));
    let now = world.fleet.clock(2);
    let node = &mut world.fleet.nodes[2];
    let version = node.config_version();
    let refusal = node.check_keyed(now, &version).unwrap_err();
    assert_eq!(refusal.reason, Reason::Stale);
    let delay = refusal.retry_after.unwrap();
    assert!(
        (Duration::from_millis(500)..=seconds(1)).contains(&delay),
        "{delay:?}"
    );
    assert!(node.counters().unconfirmed > 0);
    let age = node.status(now).config.revocation_age_ms.unwrap();
    assert!(age >= 4750, "{age}");
    world.rejoin(2);
    world.run(seconds(3));
    let lines = world
        .log
        .iter()
        .filter_map(|(index, command)| match command {
            Command::LogAdmission { admits, age } if *index == 2 => Some((*admits, age.unwrap())),
            _ => None,
        });
    let lines: Vec<_> = lines.collect();
    let admits: Vec<bool> = lines.iter().map(|(admits, _)| *admits).collect();
    assert_eq!(admits, [true, false, true]);
    assert!(lines[1].1 >= Duration::from_millis(4750), "{lines:?}");
}

/// Guards against a key that was found in a configuration which was replaced before the check.
#[test]
fn earlier_version() {
    let mut world = settled();
    let found = world.fleet.nodes[0].config_version();
    world.publish(&["b"]);
    world.run(seconds(2));
    let now = world.fleet.clock(0);
    let refusal = world.fleet.nodes[0].check_keyed(now, &found).unwrap_err();
    assert_eq!(refusal.reason, Reason::Revision);
}

/// Guards against an arrival that passes by the check, and one from another node that is checked again.
#[test]
fn arrivals_checked() {
    let mut world = settled();
    world.cut_store(&[2]);
    world.isolate(2);
    world.run(seconds(7));
    let refused = |world: &mut World, keyed: bool, forwarded: bool| {
        let refusals = world.arrive(2, keyed, forwarded);
        refusals
            .iter()
            .any(|refusal| refusal.reason == Reason::Stale)
    };
    assert!(refused(&mut world, true, false));
    assert!(!refused(&mut world, false, false));
    assert!(!refused(&mut world, true, true));
}

/// Guards against a directory that names nodes which refuse, although others admit, or that names none.
#[test]
fn directory_names() {
    let mut world = settled();
    let all = world.directory(0);
    assert_eq!(all, NORTHERN);
    // The third node still sends heartbeats, of an age that grows.
    world.cut_store(&[2]);
    world.deafen(2);
    world.run(seconds(7));
    assert_eq!(world.directory(0), [0, 1, 3, 4]);
    world.rejoin(2);
    let everyone: Vec<usize> = (0..8).collect();
    world.cut_store(&everyone);
    world.run(seconds(10));
    assert_eq!(world.directory(0), NORTHERN);
}

/// Guards against histories that none of the other tests has.
#[test]
fn random_histories() {
    let seeds = std::env::var("REVOCATION_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(6) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = settled();
        world.delay_heartbeats(seed, Duration::from_millis(rng.random_range(1..1500)), 0.1);
        for _ in 0..20 {
            let node = rng.random_range(0..8);
            match rng.random_range(0..12) {
                0 => world.cut_store(&[node]),
                1 => world.restore_store(&[node]),
                2 => world.isolate(node),
                3 => world.rejoin(node),
                4 => world.fleet.down[node] = true,
                5 => world.fleet.down[node] = false,
                6 => world.restart(node),
                7 => world.hang_store(&[node]),
                8 => world.cut_store(&[0, 1, 2, 3, 4, 5, 6, 7]),
                9 => world.restore_store(&[0, 1, 2, 3, 4, 5, 6, 7]),
                _ => {
                    let keys = ["a", "b", "c"].into_iter();
                    let keys: Vec<&str> = keys.filter(|_| rng.random_range(0..2) == 0).collect();
                    world.publish(&keys);
                }
            }
            world.run(Duration::from_millis(rng.random_range(100..4000)));
        }
        world.heal();
        world.delay_heartbeats(seed, Duration::from_millis(50), 0.0);
        world.publish(&["a"]);
        world.run(seconds(10));
        world.assert_admitted("a", 0..8);
    }
}
