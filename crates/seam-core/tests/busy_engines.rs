//! Streams beside engines that prefill one long prompt after the other.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/engines.rs"]
mod engines;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use engines::{request, with_tenants};
use fleet::{ENGINE, Fleet, NORTH, item, prompt, settled_fleet};
use seam_core::{AttemptOutcome, Event};
use seam_protocol::{TargetId, TenantId};
use yare::parameterized;

/// Returns two nodes and some engines, of which the nodes know what they have cached.
fn settled(engines: usize) -> Fleet {
    let names: Vec<String> = (0..engines).map(|number| format!("e{number}")).collect();
    let targets = names.iter().map(|name| (name.as_str(), ENGINE, NORTH));
    let targets: Vec<_> = targets.collect();
    let mut fleet = settled_fleet(&[NORTH; 2], &targets);
    for index in 0..2 {
        fleet.publish(index, vec![item("config", 100, Some(with_tenants()))], 100);
    }
    fleet.wait(Duration::from_secs(10));
    fleet
}

/// Lets a request arrive at a node and end at once. Returns its target.
fn run(fleet: &mut Fleet, node: usize, ticket: u64, kind: u8) -> Option<TargetId> {
    let (mut arrival, _) = request(ticket, kind, Some(TenantId(ticket % 6 + 1)));
    if kind == 0 {
        // All have the same shared parts, so that one engine is their home.
        let mut same = prompt(70, 1000 + ticket);
        std::sync::Arc::make_mut(&mut same).output_limit = 54;
        arrival.prompt = Some(same);
    }
    fleet.commands.clear();
    fleet.arrive(node, arrival);
    let (node, attempt, target) = fleet.sends().first().copied()?;
    fleet.handle(node, Event::Sending(attempt));
    fleet.handle(node, Event::FirstBytes(attempt));
    let end = AttemptOutcome::Complete {
        response: None,
        success: true,
    };
    fleet.handle(node, Event::AttemptEnded(attempt, end));
    Some(target)
}

/// Guards against streams at engines whose time goes to prefill, though few requests run there and first tokens come
/// in time. Streams of nine events took 5.6 s there.
///
/// Load: prompts of one shared part at one node, of which one engine is the home, and streams at the same node or at
/// another one.
#[parameterized(same_node = { 0 }, other_node = { 1 })]
fn streams_avoid(node: usize) {
    const PROMPTS: u64 = 300;
    let mut fleet = settled(4);
    let (mut prompts, mut streams): (BTreeMap<_, u64>, BTreeMap<_, u64>) = Default::default();
    for ticket in 0..PROMPTS {
        let target = run(&mut fleet, 0, ticket, 0);
        if ticket >= PROMPTS / 3 {
            *prompts.entry(target).or_default() += 1;
        }
        fleet.wait(Duration::from_millis(20));
        if ticket % 3 == 0 {
            let target = run(&mut fleet, node, 10_000 + ticket, 2);
            if ticket >= PROMPTS / 3 {
                *streams.entry(target).or_default() += 1;
            }
        }
    }
    let (home, most) = prompts.iter().max_by_key(|(_, count)| **count).unwrap();
    assert!(*most > PROMPTS / 3, "{prompts:?}");
    let beside = streams.get(home).copied().unwrap_or_default();
    let all: u64 = streams.values().sum();
    assert!(all > PROMPTS / 6 && beside * 10 <= all, "{streams:?}");
}
