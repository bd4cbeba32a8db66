//! Routing of prompts and streams to the engines that the nodes of a region share.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::sync::Arc;
use std::time::Duration;

use fleet::{ENGINE, Fleet, NORTH, SOUTH, arrival, config, item, listed, prompt, settled_fleet};
use seam_core::spill::RegionChoice;
use seam_core::{AttemptOutcome, Command, Event};
use seam_protocol::RegionId;

#[test]
fn shared_part_affinity() {
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let mut fleet = settled_fleet(&[NORTH, NORTH], &engines);
    for ticket in 0..6 {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        request.prompt = Some(prompt(77, 1000 + ticket));
        fleet.arrive((ticket % 2) as usize, request);
        // Close to the predicted time. A slower engine would correctly lose prompts to others.
        fleet.wait(Duration::from_millis(150));
        let (index, attempt, _) = *fleet.sends().last().unwrap();
        fleet.complete(index, attempt);
    }
    let targets: std::collections::BTreeSet<_> =
        fleet.sends().iter().map(|(_, _, target)| *target).collect();
    assert_eq!(
        targets.len(),
        1,
        "every node sends a shared part to the engine that has it cached"
    );
}

#[test]
fn single_route_spreads() {
    // One route has all requests. It must not be confined to some of the engines.
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let mut fleet = settled_fleet(&[NORTH], &engines);
    let mut prefilling = std::collections::VecDeque::new();
    for ticket in 0..60 {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        request.prompt = Some(prompt(100 + ticket, 1000 + ticket));
        fleet.arrive(0, request);
        prefilling.push_back(fleet.sends().last().unwrap().1);
        fleet.wait(Duration::from_millis(50));
        if prefilling.len() > 6 {
            fleet.handle(0, Event::FirstBytes(prefilling.pop_front().unwrap()));
        }
    }
    let counts = fleet.counts();
    assert_eq!(counts.len(), 3, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 12), "{counts:?}");
}

#[test]
fn full_home_overflows() {
    let engines = [("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)];
    let mut fleet = settled_fleet(&[NORTH, NORTH], &engines);
    // One node sends more prompts with a shared part than its home engine can serve in time. The other
    // engine must take some of them.
    for ticket in 0..30 {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        let mut large = prompt(77, 1000 + ticket);
        Arc::make_mut(&mut large).input_tokens = 20_000;
        request.prompt = Some(large);
        fleet.arrive(0, request);
    }
    fleet.wait(Duration::from_millis(200));
    let counts = fleet.counts();
    assert_eq!(
        counts.len(),
        2,
        "a full home engine leaves prompts to others: {counts:?}"
    );
}

#[test]
fn refusals_recover() {
    // An engine takes seconds for some prompts. Refusals must end once nothing runs there.
    let mut fleet = settled_fleet(&[NORTH], &[("e1", ENGINE, NORTH)]);
    let send = |fleet: &mut Fleet, ticket: u64| {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        request.prompt = Some(prompt(ticket, 1000 + ticket));
        fleet.arrive(0, request);
    };
    for ticket in 0..40 {
        let before = fleet.sends().len();
        send(&mut fleet, ticket);
        if fleet.sends().len() == before {
            continue;
        }
        let (_, attempt, _) = *fleet.sends().last().unwrap();
        fleet.wait(Duration::from_secs(3));
        fleet.complete(0, attempt);
    }
    fleet.wait(Duration::from_secs(60));
    let before = fleet.sends().len();
    send(&mut fleet, 99);
    assert_eq!(fleet.sends().len(), before + 1);
}

#[test]
fn taken_slots_spill() {
    // Most slots of the north's engine are taken, and none of the south's.
    let targets = [("e1", ENGINE, NORTH), ("e2", ENGINE, SOUTH)];
    let mut fleet = settled_fleet(&[NORTH, SOUTH], &targets);
    for ticket in 0..64 {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        request.prompt = Some(prompt(77, 1000 + ticket));
        let before = fleet.sends().len();
        fleet.arrive(0, request);
        fleet.wait(Duration::from_millis(50));
        if fleet.sends().len() > before {
            let (index, attempt, _) = *fleet.sends().last().unwrap();
            fleet.handle(index, Event::FirstBytes(attempt));
        }
    }
    let forwarded = fleet
        .commands
        .iter()
        .filter(|(index, command)| *index == 0 && matches!(command, Command::Forward { .. }));
    assert!(
        forwarded.count() > 0,
        "requests are forwarded before the slots run out"
    );
    assert!(fleet.refusals().is_empty());
}

#[test]
fn truncated_stream_resumes() {
    let mut fleet = settled_fleet(&[NORTH], &[("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)]);
    for (ticket, route, attempts, sends) in [(1, "hint", 2, 2), (2, "review", 1, 1)] {
        let before = fleet.sends().len();
        fleet.arrive(0, arrival(ticket, route, ENGINE, attempts));
        let (_, attempt, first) = *fleet.sends().last().unwrap();
        fleet.handle(0, Event::Sending(attempt));
        fleet.handle(0, Event::FirstBytes(attempt));
        fleet.handle(
            0,
            Event::AttemptEnded(attempt, AttemptOutcome::Broken { started: true }),
        );
        assert_eq!(fleet.sends().len() - before, sends, "{route}");
        let (_, attempt, second) = *fleet.sends().last().unwrap();
        assert_eq!(first == second, sends == 1);
        // The route permits no further attempt.
        fleet.handle(
            0,
            Event::AttemptEnded(attempt, AttemptOutcome::Broken { started: true }),
        );
        assert_eq!(fleet.sends().len() - before, sends, "{route}");
    }
}

#[test]
fn affinity_survives_boot() {
    // A node that has just booted sends a shared part to the same engine as the process before it.
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let first_send = |part: u64, settle: u64| {
        let mut fleet = Fleet::new(&[NORTH]);
        fleet.wait(Duration::from_secs(4 + settle));
        let mut items = vec![item("config", 1, Some(config(7)))];
        for (index, (name, service, region)) in engines.iter().enumerate() {
            let entry = listed(name, service, region, false, 0);
            items.push(item(name, index as u64 + 2, Some(entry)));
        }
        fleet.publish(0, items, 9);
        fleet.commands.clear();
        let mut request = arrival(1, "review", ENGINE, 1);
        request.prompt = Some(prompt(part, 1000));
        fleet.arrive(0, request);
        let prefill_tokens = fleet
            .commands
            .iter()
            .find_map(|(_, command)| match command {
                Command::Send { estimate, .. } => Some(estimate.prefill_tokens),
                _ => None,
            });
        (fleet.sends()[0].2, prefill_tokens.unwrap())
    };
    for part in 70..80 {
        let (booted, presumed) = first_send(part, 0);
        let (settled, prefill_tokens) = first_send(part, 20);
        assert_eq!(booted, settled);
        assert_eq!((presumed, prefill_tokens), (500, 6800));
    }
}

#[test]
fn stale_views_spread() {
    // Ten nodes decide at once, without heartbeats between them. They must not all choose one engine.
    let names: Vec<String> = (0..12).map(|number| format!("e{number}")).collect();
    let engines = names.iter().map(|name| (name.as_str(), ENGINE, NORTH));
    let engines: Vec<_> = engines.collect();
    let mut fleet = settled_fleet(&[NORTH; 10], &engines);
    fleet.partitions = (0..10)
        .flat_map(|one| (0..one).map(move |other| (other, one)))
        .collect();
    for node in 0..10 {
        let mut request = arrival(node as u64, "review", ENGINE, 1);
        let mut own = prompt(0, 1000 + node as u64);
        let parts = &mut Arc::make_mut(&mut own).parts;
        parts.drain(..2);
        request.prompt = Some(own);
        fleet.arrive(node, request);
    }
    let counts = fleet.counts();
    assert!(counts.values().all(|count| *count <= 3), "{counts:?}");
}

#[test]
fn unshared_parts_evict() {
    // Prompts of another node fill the engine's KV cache, so a part cached before is evicted.
    let mut fleet = settled_fleet(&[NORTH, NORTH], &[("e1", ENGINE, NORTH)]);
    let send = |fleet: &mut Fleet, node: usize, ticket: u64, middle: u64, own: u32| {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        let mut large = prompt(middle, 1000 + ticket);
        let changed = Arc::make_mut(&mut large);
        changed.parts[2].tokens = own;
        changed.input_tokens = 6300 + own;
        request.prompt = Some(large);
        fleet.arrive(node, request);
        let (index, attempt, _) = *fleet.sends().last().expect("the engine accepts requests");
        fleet.wait(Duration::from_millis(300));
        fleet.complete(index, attempt);
    };
    send(&mut fleet, 0, 1, 77, 500);
    // More than 1.5 times the memory of 500,000 tokens, which no running request takes.
    for ticket in 2..110 {
        send(&mut fleet, 1, ticket, 78, 8000);
    }
    fleet.commands.clear();
    send(&mut fleet, 0, 190, 77, 500);
    let prefill_tokens = fleet
        .commands
        .iter()
        .find_map(|(_, command)| match command {
            Command::Send { estimate, .. } => Some(estimate.prefill_tokens),
            _ => None,
        });
    assert_eq!(prefill_tokens, Some(3800 + 500));
}

#[test]
fn chosen_engine_wait() {
    // One engine of the north has the part cached and is busy; the other one is idle and would have
    // to prefill all of it. The south is idle.
    let targets = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, SOUTH),
    ];
    let mut fleet = settled_fleet(&[NORTH, SOUTH], &targets);
    let send = |fleet: &mut Fleet, ticket: u64, own: u32| {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        let mut large = prompt(77, 1000 + ticket);
        let changed = Arc::make_mut(&mut large);
        changed.parts[1].tokens = 16_000;
        changed.input_tokens = 18_500 + own;
        request.prompt = Some(large);
        fleet.arrive(0, request);
    };
    send(&mut fleet, 1, 500);
    let (index, attempt, _) = fleet.sends()[0];
    fleet.wait(Duration::from_millis(400));
    fleet.complete(index, attempt);
    for ticket in 2..30 {
        send(&mut fleet, ticket, 1000);
    }
    let forwarded = fleet.forwards();
    assert!(forwarded.len() > 5);
    assert!(fleet.refusals().is_empty());
}

#[test]
fn queued_sends_bounded() {
    // Guards against queues of many nodes that flood an engine when it becomes available. Ten nodes
    // without heartbeats between them have requests for one engine with 64 slots.
    let mut fleet = settled_fleet(&[NORTH; 10], &[("e1", ENGINE, NORTH)]);
    fleet.partitions = (0..10)
        .flat_map(|one| (0..one).map(move |other| (other, one)))
        .collect();
    for node in 0..10 {
        for ticket in 0..30 {
            let mut request = arrival(ticket, "review", ENGINE, 1);
            request.prompt = Some(prompt(ticket, 1000 + ticket));
            fleet.arrive(node, request);
        }
    }
    let sent = fleet.sends().len();
    assert!((64..=160).contains(&sent), "{sent}");
}

#[test]
fn cold_engine_spills() {
    // The north's only engine is cold for several seconds; the south's is idle.
    let targets = [("e2", ENGINE, SOUTH)];
    let mut fleet = settled_fleet(&[NORTH, SOUTH], &targets);
    let cold = listed("e1", ENGINE, NORTH, false, 9000);
    for node in 0..2 {
        fleet.publish(node, vec![item("e1", 60, Some(cold.clone()))], 60);
    }
    fleet.wait(Duration::from_millis(500));
    for ticket in 0..12 {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        request.prompt = Some(prompt(ticket, 1000 + ticket));
        fleet.arrive(0, request);
    }
    let forwarded = fleet.forwards();
    assert!(forwarded.len() >= 10);
    assert!(fleet.refusals().is_empty());
}

#[test]
fn routing_decision_logged() {
    // The north's engine has many prompts to prefill; the south's is idle.
    let targets = [("e1", ENGINE, NORTH), ("e2", ENGINE, SOUTH)];
    let mut fleet = settled_fleet(&[NORTH, SOUTH], &targets);
    for ticket in 0..40 {
        let mut request = arrival(ticket, "review", ENGINE, 1);
        request.prompt = Some(prompt(ticket, 1000 + ticket));
        fleet.arrive(0, request);
    }
    let decisions: Vec<_> = fleet
        .commands
        .iter()
        .filter_map(|(_, command)| match command {
            Command::LogRouting { decision, .. } => Some(decision),
            _ => None,
        })
        .collect();
    let forwarded: Vec<_> = decisions
        .iter()
        .filter(|decision| matches!(decision.choice, RegionChoice::Remote(_)))
        .collect();
    assert_eq!(forwarded.len(), fleet.forwards().len());
    assert!(!forwarded.is_empty());
    for decision in forwarded {
        let best = decision.best.expect("the other region was considered");
        assert_eq!(best.region, RegionId::of(SOUTH));
        assert!(decision.local.wait > best.round_trip + best.wait);
    }
}
