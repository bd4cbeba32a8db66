//! Prompts with long prefill beside streams of long answers, at the engines of one region.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/engines.rs"]
mod engines;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use engines::{request, with_tenants};
use fleet::{ENGINE, NORTH, item, settled_fleet};
use seam_core::{AttemptOutcome, Event};
use seam_protocol::{TargetId, TenantId};

/// Guards against streams that pause or take several times as long, since their engines prefill one long prompt
/// after the other.
///
/// Load: prompts of 9,200 tokens and streams of 294 tokens in turn, at eight engines that are never full.
#[test]
fn apart() {
    const ROUNDS: u64 = 400;
    let names: Vec<String> = (0..8).map(|number| format!("e{number}")).collect();
    let targets = names.iter().map(|name| (name.as_str(), ENGINE, NORTH));
    let targets: Vec<_> = targets.collect();
    let mut fleet = settled_fleet(&[NORTH; 2], &targets);
    for index in 0..2 {
        fleet.publish(index, vec![item("config", 100, Some(with_tenants()))], 100);
    }
    // Nodes assume what an earlier process sent until they have run for some seconds.
    fleet.wait(Duration::from_secs(10));
    let mut counts: BTreeMap<TargetId, [u64; 2]> = BTreeMap::new();
    for ticket in 0..ROUNDS {
        let stream = ticket % 2 == 1;
        let kind = if stream { 2 } else { 0 };
        let (arrival, _) = request(ticket, kind, Some(TenantId(ticket % 6 + 1)));
        fleet.commands.clear();
        fleet.arrive((ticket / 2 % 2) as usize, arrival);
        for (node, attempt, target) in fleet.sends() {
            if ticket >= ROUNDS / 4 {
                counts.entry(target).or_default()[usize::from(stream)] += 1;
            }
            fleet.handle(node, Event::Sending(attempt));
            fleet.handle(node, Event::FirstBytes(attempt));
            let end = AttemptOutcome::Complete {
                response: None,
                success: true,
            };
            fleet.handle(node, Event::AttemptEnded(attempt, end));
        }
        fleet.wait(Duration::from_millis(20));
    }
    let minor: u64 = counts.values().map(|[one, other]| one.min(other)).sum();
    let all: u64 = counts.values().flatten().sum();
    assert!(all >= ROUNDS / 2, "{all} sent");
    assert!(minor * 10 <= all, "{counts:?}");
}
