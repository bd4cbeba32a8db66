//! Explanations of requests: they agree with what a node does, and change nothing.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/engines.rs"]
mod engines;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/revocation.rs"]
mod world;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use engines::{Engines, request};
use fleet::{ENGINE, Fleet, NORTH, PLAIN, SOUTH, arrival, config, item, prompt, settled_fleet};
use seam_core::event::Drainable;
use seam_core::explain::{RequestExplanation, TargetReport};
use seam_core::{Arrival, Command, Event};
use seam_protocol::tenant::{Allowance, CostUnit};
use seam_protocol::{Entry, RegionId, ServiceId, TargetId, Tenant, TenantId};
use world::{LIMIT, World, seconds};
use yare::parameterized;

const TENANT: &str = "huka";
/// Tokens of the prompts of [`prompt`] with their output.
const COST: f64 = 6850.0;

/// Returns how a node explains a request.
fn explain(fleet: &Fleet, node: usize, arrival: &Arrival) -> RequestExplanation {
    let explanation = fleet.nodes[node].explain_request(fleet.clock(node), arrival);
    explanation.expect("the service and the route are configured")
}

/// Returns the name of a target.
fn name_of(fleet: &Fleet, target: TargetId) -> String {
    let bundle = fleet.nodes[0].bundle().expect("a configuration");
    let mut services = bundle.services.values();
    let spec = services.find_map(|service| service.targets.get(&target));
    spec.expect("the target is configured").name.clone()
}

/// Returns what the commands from an index on say of a request, as an explanation words it.
fn outcome(fleet: &Fleet, begin: usize, arrival: &Arrival) -> (&'static str, Option<String>) {
    let commands = &fleet.commands[begin..];
    let of_request = commands.iter().find_map(|(_, command)| match command {
        Command::Send { ticket, target, .. } if *ticket == arrival.ticket => {
            Some(("target", Some(name_of(fleet, *target))))
        }
        Command::Forward { ticket, .. } if *ticket == arrival.ticket => Some(("elsewhere", None)),
        Command::Refuse { ticket, refusal } if *ticket == arrival.ticket => {
            Some(("refuse", Some(refusal.reason.slug().to_owned())))
        }
        _ => None,
    });
    of_request.unwrap_or(("held", None))
}

/// Returns the same of an explanation.
fn explained(explanation: &RequestExplanation) -> (&'static str, Option<String>) {
    let decision = &explanation.decision;
    match decision.action.as_str() {
        "target" => ("target", decision.to.clone()),
        "refuse" => {
            let slug = decision.reason.split(':').next();
            ("refuse", slug.map(str::to_owned))
        }
        "node" | "region" => ("elsewhere", None),
        _ => ("held", None),
    }
}

fn target<'a>(explanation: &'a RequestExplanation, name: &str) -> &'a TargetReport {
    let found = explanation
        .targets
        .iter()
        .find(|target| target.name == name);
    found.expect("every target of the region is listed")
}

/// Returns a prompt's request of the tenant.
fn prompt_request(ticket: u64) -> Arrival {
    Arrival {
        prompt: Some(prompt(70, 1000 + ticket)),
        tenant: Some(TenantId::of(TENANT)),
        ..arrival(ticket, "review", ENGINE, 1)
    }
}

/// Returns a fleet whose configuration has this tenant.
fn fleet_with(tenant: Tenant) -> Fleet {
    let targets = [
        ("e0", ENGINE, NORTH),
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, SOUTH),
    ];
    let mut fleet = settled_fleet(&[NORTH, NORTH, SOUTH], &targets);
    let Entry::Config(bundle) = config(8) else {
        unreachable!("a configuration");
    };
    let mut bundle = Arc::unwrap_or_clone(bundle);
    bundle.tenants.insert(TenantId::of(TENANT), tenant);
    let entry = Entry::Config(Arc::new(bundle));
    for index in 0..fleet.nodes.len() {
        let items = vec![item("config", 100, Some(entry.clone()))];
        fleet.publish(index, items, 100);
    }
    fleet.wait(Duration::from_secs(4));
    fleet.commands.clear();
    fleet
}

fn tenant(rate: Option<f64>, homes: Option<&[&str]>) -> Tenant {
    let homes = homes.map(|names| names.iter().map(|name| RegionId::of(name)).collect());
    Tenant {
        name: TENANT.to_owned(),
        allowance: rate.map(|rate| Allowance {
            rate,
            burst: rate,
            unit: CostUnit::Tokens { plain: 200 },
        }),
        home_regions: homes,
        ..Tenant::unread()
    }
}

/// Runs a load of three kinds from six tenants on engines, which are too few with two. `before` sees each request
/// before it arrives, and `after` the commands that it led to. Returns the commands of all.
fn run_load(
    count: usize,
    mut before: impl FnMut(&Fleet, usize, &Arrival),
    mut after: impl FnMut(&Fleet, usize, &Arrival),
) -> Vec<String> {
    const REQUESTS: u64 = 800;
    let mut engines = Engines::of(&[NORTH, NORTH, SOUTH], count);
    let mut log = Vec::new();
    for ticket in 1..=REQUESTS {
        let tenant = TenantId(ticket % 6 + 1);
        let (request, uncached) = request(ticket, (ticket % 3) as u8, Some(tenant));
        let node = (ticket % 3) as usize;
        before(&engines.fleet, node, &request);
        let begin = engines.fleet.commands.len();
        engines.arrive(node, request.clone(), uncached);
        after(&engines.fleet, begin, &request);
        let commands = &engines.fleet.commands[begin..];
        log.extend(commands.iter().map(|command| format!("{command:?}")));
        engines.run(Duration::from_millis(5), |_| {});
    }
    let samples = engines.samples.values();
    log.extend(samples.map(|sample| format!("{sample:?}")));
    log
}

/// Guards against an explanation that draws from the random source, counts, charges or queues: the nodes would
/// decide otherwise after it.
#[parameterized(scarce = { 2 }, sampled = { 9 })]
fn decisions_unchanged(count: usize) {
    let plain = run_load(count, |_, _, _| {}, |_, _, _| {});
    let explain_each = |fleet: &Fleet, node: usize, request: &Arrival| {
        let before = format!("{:?}", fleet.nodes[node]);
        let first = format!("{:?}", explain(fleet, node, request));
        assert_eq!(first, format!("{:?}", explain(fleet, node, request)));
        assert_eq!(before, format!("{:?}", fleet.nodes[node]));
    };
    assert_eq!(plain, run_load(count, explain_each, |_, _, _| {}));
}

/// Guards against an explanation that says something else than what becomes of the request.
#[parameterized(scarce = { 2 }, sampled = { 9 })]
fn agrees_with_decisions(count: usize) {
    let expected = std::cell::RefCell::new(("", None));
    let mut seen = BTreeSet::new();
    run_load(
        count,
        |fleet, node, request| {
            let explanation = explain(fleet, node, request);
            let chosen = explanation.targets.iter().find(|target| target.first);
            if explanation.decision.action == "target" {
                let chosen = chosen.map(|target| target.name.clone());
                assert_eq!(explanation.decision.to, chosen, "{explanation:#?}");
            }
            *expected.borrow_mut() = explained(&explanation);
        },
        |fleet, begin, request| {
            let found = outcome(fleet, begin, request);
            assert_eq!(*expected.borrow(), found, "{request:?}");
            seen.insert(found.0);
        },
    );
    assert!(seen.contains("target"), "{seen:?}");
    assert!(count > 2 || seen.contains("refuse"), "{seen:?}");
}

/// Guards against an explanation that takes tokens of an allowance, or says that it admits a request that is then
/// refused.
#[test]
fn allowance_uncharged() {
    const REQUESTS: u64 = 240;
    let mut fleet = fleet_with(tenant(Some(40.0 * COST), None));
    let (mut admitted, mut refused) = (0, 0);
    for ticket in 1..=REQUESTS {
        let request = prompt_request(ticket);
        for _ in 0..20 {
            explain(&fleet, 0, &request);
        }
        if ticket % 4 == 0 {
            fleet.wait(Duration::from_millis(50));
        }
        let explanation = explain(&fleet, 0, &request);
        fleet.commands.clear();
        fleet.arrive(0, request.clone());
        let found = outcome(&fleet, 0, &request);
        let allowance = explanation.allowance.as_ref().expect("it is limited");
        assert!((allowance.cost - COST).abs() < 0.5);
        match allowance.decision.as_str() {
            "admits" => {
                assert_eq!(explained(&explanation), found, "{explanation:#?}");
                assert_ne!(found.1.as_deref(), Some("rate"));
                admitted += 1;
            }
            // The fleet delivers the answer of the coordinator at once.
            "waits" => {
                assert_eq!(explanation.decision.action, "wait");
                let then = explanation.with_tokens.as_ref();
                let action = then.map(|decision| decision.action.as_str());
                assert!(matches!(action, Some("target" | "queue" | "region")));
            }
            _ => {
                assert_eq!(explained(&explanation), found, "{explanation:#?}");
                assert_eq!(found, ("refuse", Some("rate".to_owned())));
                assert!(allowance.retry_ms.is_some());
                refused += 1;
            }
        }
    }
    assert!(admitted > 0 && refused > 0, "{admitted} and {refused}");
}

/// Guards against a region that is shown as open to a request although its tenant's homes forbid it.
#[parameterized(
    south = { &[SOUTH], "region" },
    north = { &[NORTH], "target" },
    none = { &[], "refuse" },
)]
fn homes_shown(homes: &[&str], action: &str) {
    let fleet = fleet_with(tenant(None, Some(homes)));
    let explanation = explain(&fleet, 0, &prompt_request(1));
    assert_eq!(explanation.decision.action, action, "{explanation:#?}");
    assert_eq!(explanation.homes.permitted, homes);
    assert_eq!(explanation.homes.route, None);
    assert_eq!(explanation.tenant.as_deref(), Some(TENANT));
    for region in &explanation.regions {
        assert_eq!(region.permitted, homes.contains(&region.name.as_str()));
    }
    if action == "region" {
        assert_eq!(explanation.decision.to.as_deref(), Some(SOUTH));
    }
}

/// Guards against an explanation without the reason for which an engine is left out, or without what it has cached.
#[test]
fn targets_shown() {
    let mut fleet = fleet_with(tenant(None, None));
    fleet.arrive(0, prompt_request(1));
    let (_, attempt, sent) = fleet.sends()[0];
    let names = ["e0", "e1"];
    let holder = name_of(&fleet, sent);
    let holder = holder.as_str();
    let other = names.into_iter().find(|name| *name != holder).unwrap();
    fleet.complete(0, attempt);
    fleet.wait(Duration::from_secs(6));
    let explanation = explain(&fleet, 0, &prompt_request(2));
    assert_eq!(explanation.targets.len(), 2, "targets of this region only");
    let report = target(&explanation, holder);
    assert!(report.first, "{explanation:#?}");
    assert_eq!(
        (report.cached_tokens, report.uncached_tokens),
        (Some(6300), Some(500))
    );
    assert_eq!(report.phase, "serving");
    assert_eq!(report.memory, Some(500_000));
    assert!(report.first_token_ms.is_some_and(|time| time > 0.0));
    let left = target(&explanation, other);
    assert_eq!(left.reason, "costs more than the first choice");
    assert!(left.cost_ms > report.cost_ms);
    let drain = Event::Drain {
        what: Drainable::Target(sent),
        on: true,
        actor: "tester".to_owned(),
    };
    fleet.handle(0, drain);
    let explanation = explain(&fleet, 0, &prompt_request(2));
    let report = target(&explanation, holder);
    assert_eq!((report.phase.as_str(), report.first), ("drained", false));
    assert_eq!(report.reason, "not serving");
    assert_eq!(explanation.decision.to.as_deref(), Some(other));
}

/// Guards against a contest that is not shown, and a confirmation that is claimed without a limit.
#[test]
fn contest_shown() {
    let mut engines = Engines::of(&[NORTH; 2], 2);
    let (urgent, uncached) = request(1, 0, Some(TenantId(1)));
    engines.arrive(0, urgent, uncached);
    let (patient, _) = request(2, 2, Some(TenantId(2)));
    let explanation = explain(&engines.fleet, 0, &patient);
    let contest = explanation
        .competition
        .expect("tenants compete for engines");
    assert_eq!((contest.rank, contest.held_for), (2, Some(0)));
    let confirmation = explanation.confirmation;
    assert!(confirmation.admits);
    assert_eq!((confirmation.limit_ms, confirmation.age_ms), (None, None));
}

/// Guards against an outdated node that is shown as admitting keys, and against an explanation that counts as a
/// refusal.
#[test]
fn confirmation_shown() {
    let mut world = World::new(&[NORTH; 3]);
    world.publish(&["a"]);
    world.run(seconds(5));
    let keyed = Arrival {
        tenant: Some(TenantId::of("a")),
        ..arrival(1 << 40, "view", PLAIN, 1)
    };
    let limit_ms = LIMIT.as_millis() as u64;
    let fresh = explain(&world.fleet, 0, &keyed);
    assert!(fresh.confirmation.admits);
    assert_eq!(fresh.confirmation.limit_ms, Some(limit_ms));
    assert!(fresh.confirmation.age_ms.is_some_and(|age| age < limit_ms));
    // This fleet has no targets.
    assert_eq!(explained(&fresh), ("refuse", Some("no-target".to_owned())));
    world.cut_store(&[0, 1, 2]);
    world.run(seconds(8));
    let before = format!("{:?}", world.fleet.nodes[0]);
    let stale = explain(&world.fleet, 0, &keyed);
    assert!(!stale.confirmation.admits);
    assert!(stale.confirmation.age_ms.is_some_and(|age| age > limit_ms));
    assert_eq!(explained(&stale), ("refuse", Some("stale".to_owned())));
    assert_eq!(before, format!("{:?}", world.fleet.nodes[0]));
    let found: Vec<_> = world.arrive(0, true, false);
    assert_eq!(found[0].reason.slug(), "stale");
}

/// Guards against an invented answer for a service that the configuration lacks, and before there is one.
#[test]
fn unknown_service() {
    let fleet = settled_fleet(&[NORTH], &[("d1", PLAIN, NORTH)]);
    let known = arrival(1, "view", PLAIN, 2);
    let explanation = explain(&fleet, 0, &known);
    assert_eq!(explanation.decision.to.as_deref(), Some("d1"));
    assert!(explanation.allowance.is_none() && explanation.competition.is_none());
    let unknown = Arrival {
        service: ServiceId::of("nothing"),
        ..known.clone()
    };
    assert!(
        fleet.nodes[0]
            .explain_request(fleet.now, &unknown)
            .is_none()
    );
    let unconfigured = Fleet::new(&[NORTH]);
    let explanation = unconfigured.nodes[0].explain_request(unconfigured.now, &known);
    assert!(explanation.is_none());
}
