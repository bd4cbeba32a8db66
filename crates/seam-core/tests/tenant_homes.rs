//! Requests of tenants that are bound to regions, or that the configuration in force no longer has.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Fleet, NORTH, PLAIN, SOUTH, address, arrival, config, item, settled_fleet};
use seam_core::arrival::Hop;
use seam_core::{Arrival, AttemptOutcome, Command, Event, Origin};
use seam_protocol::{Bundle, CustomerId, Entry, Outcome, Reason, RegionId, Tenant, TenantId, VmId};
use yare::parameterized;

/// Region of each node.
const NODES: [&str; 4] = [NORTH, NORTH, SOUTH, SOUTH];
const TARGETS: [(&str, &str, &str); 2] = [("d1", PLAIN, NORTH), ("d2", PLAIN, SOUTH)];
/// Route without home regions whose requests may run once.
const ROUTE: &str = "book";
/// Route without home regions whose requests may run twice.
const TWICE: &str = "view";
const TENANT: &str = "huka";
/// More requests than the targets have slots, so that some would go to another region.
const REQUESTS: u64 = 3000;

/// Returns home regions; `None` for all regions.
fn homes(names: Option<&[&str]>) -> Option<BTreeSet<RegionId>> {
    names.map(|names| names.iter().map(|name| RegionId::of(name)).collect())
}

fn tenant(names: Option<&[&str]>) -> Tenant {
    Tenant {
        name: TENANT.to_owned(),
        home_regions: homes(names),
        ..Tenant::unread()
    }
}

/// Publishes a configuration with this tenant, in which the routes have these home regions.
fn publish(fleet: &mut Fleet, version: u64, route_homes: Option<&[&str]>, tenant: Option<Tenant>) {
    let Entry::Config(bundle) = config(version) else {
        unreachable!("a configuration is returned")
    };
    let mut bundle: Bundle = (*bundle).clone();
    for route in [ROUTE, TWICE] {
        let customer = bundle.customers.get_mut(&CustomerId::of(route)).unwrap();
        customer.residency = homes(route_homes);
    }
    if let Some(tenant) = tenant {
        bundle.tenants.insert(TenantId::of(TENANT), tenant);
    }
    let entry = Entry::Config(Arc::new(bundle));
    let revision = 60 + version;
    for index in 0..fleet.nodes.len() {
        let items = vec![item("config", revision, Some(entry.clone()))];
        fleet.publish(index, items, revision);
    }
}

/// Returns a fleet with home regions of the route and of the tenant.
fn bound_fleet(route_homes: Option<&[&str]>, tenant_homes: Option<&[&str]>) -> Fleet {
    let mut fleet = settled_fleet(&NODES, &TARGETS);
    publish(&mut fleet, 8, route_homes, Some(tenant(tenant_homes)));
    fleet.wait(Duration::from_secs(1));
    fleet.commands.clear();
    fleet
}

fn request(ticket: u64, route: &str) -> Arrival {
    Arrival {
        tenant: Some(TenantId::of(TENANT)),
        ..arrival(ticket, route, PLAIN, if route == TWICE { 2 } else { 1 })
    }
}

/// Asserts that a number of requests was refused as not run, for a time and with this reason.
fn assert_refused(fleet: &Fleet, count: usize, reason: Reason) {
    let refusals = fleet.refusals();
    assert_eq!(refusals.len(), count);
    for refusal in refusals {
        assert_eq!(refusal.outcome, Outcome::NotRun);
        assert_eq!(refusal.reason, reason);
        assert!(refusal.retry_after.is_some(), "{refusal:?}");
    }
}

/// Returns whether all forwarded requests went to nodes of the south.
fn all_southward(fleet: &Fleet) -> bool {
    let south = [2, 3].map(address);
    let forwards = fleet.forwards();
    forwards.iter().all(|(_, to)| south.contains(to))
}

/// Guards against a request that runs, or waits, though no region is a home of both its route and its tenant,
/// or none of its tenant's could be read.
#[parameterized(
    disjoint = { Some(&[SOUTH]), Some(&[NORTH]) },
    unread = { None, Some(&[]) },
    unread_route = { Some(&[]), None },
)]
fn no_common_home(route_homes: Option<&[&str]>, tenant_homes: Option<&[&str]>) {
    let mut fleet = bound_fleet(route_homes, tenant_homes);
    fleet.arrive(0, request(1, ROUTE));
    assert_refused(&fleet, 1, Reason::NoTarget);
    assert!(fleet.sends().is_empty() && fleet.forwards().is_empty());
}

/// Guards against a request that is served in the region that it entered, though only its tenant's home is
/// another one.
#[parameterized(
    tenant = { None, Some(&[SOUTH]) },
    both = { Some(&[NORTH, SOUTH]), Some(&[SOUTH]) },
    route = { Some(&[SOUTH]), Some(&[NORTH, SOUTH]) },
)]
fn sent_home(route_homes: Option<&[&str]>, tenant_homes: Option<&[&str]>) {
    let mut fleet = bound_fleet(route_homes, tenant_homes);
    fleet.arrive(0, request(1, ROUTE));
    assert!(fleet.sends().is_empty() && fleet.refusals().is_empty());
    assert_eq!(fleet.forwards().len(), 1);
    assert!(all_southward(&fleet));
}

/// Guards against requests that leave their tenant's only home for a region with free slots.
#[test]
fn full_home() {
    let mut free = bound_fleet(None, None);
    let mut bound = bound_fleet(None, Some(&[NORTH]));
    for ticket in 1..=REQUESTS {
        free.arrive(0, request(ticket, ROUTE));
        bound.arrive(0, request(ticket, ROUTE));
    }
    assert!(!free.forwards().is_empty() && all_southward(&free));
    assert!(bound.forwards().is_empty());
}

/// Guards against a retry in a region that is no home of the tenant, after a failure in its home.
#[test]
fn retried_at_home() {
    let mut fleet = bound_fleet(None, Some(&[NORTH]));
    fleet.arrive(0, request(1, TWICE));
    let (node, attempt, _) = fleet.sends()[0];
    fleet.handle(node, Event::Sending(attempt));
    let failed = AttemptOutcome::Broken { started: false };
    fleet.handle(node, Event::AttemptEnded(attempt, failed));
    fleet.wait(Duration::from_secs(1));
    assert!(fleet.forwards().is_empty());
}

/// Guards against requests that a queue keeps in a region which their tenant has left, also where the version
/// adds homes that the tenant did not have when they arrived.
#[test]
fn moved_while_queued() {
    let mut fleet = bound_fleet(None, Some(&[NORTH]));
    for ticket in 1..=REQUESTS {
        fleet.arrive(0, request(ticket, ROUTE));
    }
    let (sent, refused) = (fleet.sends().len(), fleet.refusals().len());
    assert!(sent > 0 && sent + refused < REQUESTS as usize);
    fleet.commands.clear();
    publish(&mut fleet, 9, None, Some(tenant(Some(&[SOUTH]))));
    assert!(fleet.sends().is_empty() && fleet.forwards().is_empty());
    assert_refused(&fleet, REQUESTS as usize - sent - refused, Reason::NoTarget);
}

/// Guards against a queued request that is refused, though a home of its tenant remains.
#[test]
fn narrowed_while_queued() {
    let mut fleet = bound_fleet(None, None);
    for ticket in 1..=REQUESTS {
        fleet.arrive(0, request(ticket, ROUTE));
    }
    fleet.commands.clear();
    publish(&mut fleet, 9, None, Some(tenant(Some(&[SOUTH]))));
    assert!(fleet.sends().iter().all(|(node, ..)| *node >= 2));
    assert!(all_southward(&fleet));
}

/// Guards against a queued request of a tenant that is gone: it may run without a valid key, or wait until
/// its deadline.
#[parameterized(caller = { Origin::Caller }, forwarded = { from_south(8) })]
fn removed_while_queued(origin: Origin) {
    let mut fleet = bound_fleet(Some(&[NORTH]), None);
    for ticket in 1..=REQUESTS {
        let origin = origin.clone();
        fleet.arrive(
            0,
            Arrival {
                origin,
                ..request(ticket, ROUTE)
            },
        );
    }
    let (sent, refused) = (fleet.sends().len(), fleet.refusals().len());
    assert!(sent > 0 && sent + refused < REQUESTS as usize);
    fleet.commands.clear();
    publish(&mut fleet, 9, Some(&[NORTH]), None);
    assert!(fleet.sends().is_empty() && fleet.forwards().is_empty());
    assert_refused(&fleet, REQUESTS as usize - sent - refused, Reason::Revision);
}

/// Guards against the first byte of a request that is sent after its tenant was removed, or has lost the
/// region.
#[parameterized(removed = { None }, moved = { Some(tenant(Some(&[SOUTH]))) })]
fn changed_before_sent(tenant: Option<Tenant>) {
    let moved = tenant.is_some();
    let mut fleet = bound_fleet(None, None);
    fleet.arrive(0, request(1, ROUTE));
    let (node, attempt, _) = fleet.sends()[0];
    publish(&mut fleet, 9, None, tenant);
    fleet.commands.clear();
    fleet.handle(node, Event::Sending(attempt));
    let cancelled = |(_, command): &(usize, Command)| matches!(command, Command::Cancel(key) if *key == attempt);
    assert!(fleet.commands.iter().any(cancelled));
    fleet.handle(node, Event::AttemptEnded(attempt, AttemptOutcome::NotSent));
    assert!(fleet.sends().is_empty());
    if moved {
        assert_eq!(fleet.forwards().len(), 1);
        assert!(all_southward(&fleet));
    } else {
        assert_refused(&fleet, 1, Reason::Revision);
    }
}

/// Guards against a run of a request whose tenant this node lacks.
#[parameterized(caller = { false }, forwarded = { true })]
fn unknown_tenant(forwarded: bool) {
    let mut fleet = settled_fleet(&NODES, &TARGETS);
    let mut request = request(1, ROUTE);
    if forwarded {
        request.origin = from_south(7);
    }
    fleet.arrive(0, request);
    assert_refused(&fleet, 1, Reason::Revision);
    assert!(fleet.sends().is_empty() && fleet.forwards().is_empty());
}

fn from_south(revision: u64) -> Origin {
    let hop = Hop {
        vm: VmId::of("vm-2"),
        region: RegionId::of(SOUTH),
    };
    Origin::Peer {
        hops: vec![hop],
        revision,
    }
}

/// Guards against a run of a forwarded request in a region that is no home of its tenant here.
#[test]
fn forwarded_away() {
    let mut fleet = bound_fleet(None, Some(&[SOUTH]));
    let origin = from_south(8);
    fleet.arrive(
        0,
        Arrival {
            origin,
            ..request(1, ROUTE)
        },
    );
    assert_refused(&fleet, 1, Reason::Revision);
    assert!(fleet.sends().is_empty() && fleet.forwards().is_empty());
}
