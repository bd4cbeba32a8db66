//! Requests of a region at its peak, beside one with room.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/engines.rs"]
mod engines;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use engines::{request, with_tenants};
use fleet::{ENGINE, Fleet, NORTH, SOUTH, item, settled_fleet};
use seam_core::Event;
use seam_protocol::TenantId;

/// Slots of the engine in each region.
const SLOTS: u64 = 64;
/// Slots in use above which room is scarce.
const SCARCE: u64 = 48;

/// Returns two nodes and an engine in each of two regions.
fn two_regions() -> Fleet {
    let regions = [NORTH, NORTH, SOUTH, SOUTH];
    let targets = [("e1", ENGINE, NORTH), ("e2", ENGINE, SOUTH)];
    let mut fleet = settled_fleet(&regions, &targets);
    for index in 0..regions.len() {
        fleet.publish(index, vec![item("config", 100, Some(with_tenants()))], 100);
    }
    fleet.wait(Duration::from_secs(1));
    fleet
}

/// Lets requests with long answers arrive at a node. Returns how many were sent to a target before the first one that
/// was forwarded, and the number of those.
fn fill(fleet: &mut Fleet, node: usize, first: u64, count: u64) -> (u64, u64) {
    const INTERVAL: Duration = Duration::from_millis(60);
    let (mut sent, mut forwarded) = (0, 0);
    for ticket in first..first + count {
        fleet.commands.clear();
        let (mut arrival, _) = request(ticket, 2, Some(TenantId(ticket % 6 + 1)));
        arrival.budget = Duration::from_secs(60);
        fleet.arrive(node, arrival);
        forwarded += fleet.forwards().len() as u64;
        for (node, attempt, _) in fleet.sends() {
            sent += u64::from(forwarded == 0);
            fleet.handle(node, Event::Sending(attempt));
            fleet.handle(node, Event::FirstBytes(attempt));
        }
        fleet.wait(INTERVAL);
    }
    (sent, forwarded)
}

/// Guards against a region that fills up and refuses while another one is idle: on the heaviest day 97 percent of
/// the slots of one region were in use, and 13 percent of another's.
#[test]
fn idle_region() {
    let mut fleet = two_regions();
    let (sent, forwarded) = fill(&mut fleet, 0, 0, SLOTS);
    assert!((SCARCE..SCARCE + 4).contains(&sent), "{sent} sent here");
    assert!(forwarded >= SLOTS - SCARCE - 4, "{forwarded} forwarded");
}

/// Guards against requests that two regions at their peak send to each other.
#[test]
fn both_full() {
    let mut fleet = two_regions();
    fill(&mut fleet, 2, 1000, SCARCE);
    fleet.wait(Duration::from_secs(2));
    let (sent, forwarded) = fill(&mut fleet, 0, 0, SLOTS - 8);
    assert_eq!((sent, forwarded), (SLOTS - 8, 0));
}
