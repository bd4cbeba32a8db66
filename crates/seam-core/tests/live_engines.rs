//! Prompts and streams at engines that the nodes of a region share.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::sync::Arc;
use std::time::Duration;

use fleet::{ENGINE, Fleet, NORTH, SOUTH, arrival, config, item, listed, prompt, settled};
use seam_core::spill::RegionChoice;
use seam_core::{Command, Event, Reply};
use seam_protocol::RegionId;

#[test]
fn one_home_for_a_part() {
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let mut fleet = settled(&[NORTH, NORTH], &engines);
    for ticket in 0..6 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(77, 1000 + ticket));
        fleet.arrive((ticket % 2) as usize, asked);
        // About what the model predicts; a slower engine would rightly lose prompts to others.
        fleet.wait(Duration::from_millis(150));
        let (index, attempt, _) = *fleet.sends().last().unwrap();
        fleet.complete(index, attempt);
    }
    let targets: std::collections::BTreeSet<_> =
        fleet.sends().iter().map(|(_, _, target)| *target).collect();
    assert_eq!(
        targets.len(),
        1,
        "every node sends a part to the engine that holds it"
    );
}

#[test]
fn routes_spread_over_engines() {
    // One route has nearly all requests. It must not be confined to a part of the engines.
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let mut fleet = settled(&[NORTH], &engines);
    let mut reading = std::collections::VecDeque::new();
    for ticket in 0..60 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(100 + ticket, 1000 + ticket));
        fleet.arrive(0, asked);
        reading.push_back(fleet.sends().last().unwrap().1);
        fleet.wait(Duration::from_millis(50));
        if reading.len() > 6 {
            fleet.handle(0, Event::FirstBytes(reading.pop_front().unwrap()));
        }
    }
    let counts = fleet.counts();
    assert_eq!(counts.len(), 3, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 12), "{counts:?}");
}

#[test]
fn work_of_others_counts() {
    let engines = [("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)];
    let mut fleet = settled(&[NORTH, NORTH], &engines);
    // The first node fills the part's home; the second one must see that.
    for ticket in 0..30 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        let mut large = prompt(77, 1000 + ticket);
        Arc::make_mut(&mut large).input_tokens = 20_000;
        asked.prompt = Some(large);
        fleet.arrive(0, asked);
    }
    fleet.wait(Duration::from_millis(200));
    let counts = fleet.counts();
    assert_eq!(
        counts.len(),
        2,
        "a home that is full passes prompts on: {counts:?}"
    );
}

#[test]
fn refusals_end_by_themselves() {
    // An engine took seconds for some prompts. Refusals must not last once nothing runs there.
    let mut fleet = settled(&[NORTH], &[("e1", ENGINE, NORTH)]);
    let ask = |fleet: &mut Fleet, ticket: u64| {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(ticket, 1000 + ticket));
        fleet.arrive(0, asked);
    };
    for ticket in 0..40 {
        let before = fleet.sends().len();
        ask(&mut fleet, ticket);
        if fleet.sends().len() == before {
            continue;
        }
        let (_, attempt, _) = *fleet.sends().last().unwrap();
        fleet.wait(Duration::from_secs(3));
        fleet.complete(0, attempt);
    }
    fleet.wait(Duration::from_secs(60));
    let before = fleet.sends().len();
    ask(&mut fleet, 99);
    assert_eq!(fleet.sends().len(), before + 1);
}

#[test]
fn taken_slots_send_work_away() {
    // The north's engine has most of its slots taken, the south's none.
    let targets = [("e1", ENGINE, NORTH), ("e2", ENGINE, SOUTH)];
    let mut fleet = settled(&[NORTH, SOUTH], &targets);
    for ticket in 0..64 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(77, 1000 + ticket));
        let before = fleet.sends().len();
        fleet.arrive(0, asked);
        fleet.wait(Duration::from_millis(50));
        if fleet.sends().len() > before {
            let (index, attempt, _) = *fleet.sends().last().unwrap();
            fleet.handle(index, Event::FirstBytes(attempt));
        }
    }
    let away = fleet
        .done
        .iter()
        .filter(|(index, command)| *index == 0 && matches!(command, Command::Forward { .. }));
    assert!(away.count() > 0, "work leaves before the slots run out");
    assert!(fleet.refusals().is_empty());
}

#[test]
fn cut_stream_goes_on() {
    let mut fleet = settled(&[NORTH], &[("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)]);
    for (ticket, route, attempts, sends) in [(1, "hint", 2, 2), (2, "review", 1, 1)] {
        let before = fleet.sends().len();
        fleet.arrive(0, arrival(ticket, route, ENGINE, attempts));
        let (_, attempt, first) = *fleet.sends().last().unwrap();
        fleet.handle(0, Event::Sending(attempt));
        fleet.handle(0, Event::FirstBytes(attempt));
        fleet.handle(0, Event::Reply(attempt, Reply::Broken { started: true }));
        assert_eq!(fleet.sends().len() - before, sends, "{route}");
        let (_, attempt, second) = *fleet.sends().last().unwrap();
        assert_eq!(first == second, sends == 1);
        // The second run is the last one that the route allows.
        fleet.handle(0, Event::Reply(attempt, Reply::Broken { started: true }));
        assert_eq!(fleet.sends().len() - before, sends, "{route}");
    }
}

#[test]
fn prompts_keep_their_homes_over_a_boot() {
    // A node that has just booted sends a part where the process before it did.
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let home = |part: u64, settle: u64| {
        let mut fleet = Fleet::new(&[NORTH]);
        fleet.wait(Duration::from_secs(4 + settle));
        let mut items = vec![item("config", 1, Some(config(7)))];
        for (index, (name, service, region)) in engines.iter().enumerate() {
            let entry = listed(name, service, region, false, 0);
            items.push(item(name, index as u64 + 2, Some(entry)));
        }
        fleet.publish(0, items, 9);
        fleet.done.clear();
        let mut asked = arrival(1, "review", ENGINE, 1);
        asked.prompt = Some(prompt(part, 1000));
        fleet.arrive(0, asked);
        let unread = fleet.done.iter().find_map(|(_, command)| match command {
            Command::Send {
                estimate: grounds, ..
            } => Some(grounds.prefill_tokens),
            _ => None,
        });
        (fleet.sends()[0].2, unread.unwrap())
    };
    for part in 70..80 {
        let (booted, presumed) = home(part, 0);
        let (settled, unread) = home(part, 20);
        assert_eq!(booted, settled);
        assert_eq!((presumed, unread), (500, 6800));
    }
}

#[test]
fn stale_views_do_not_meet() {
    // Ten nodes decide at once, before one hears of another. They must not all choose one engine.
    let names: Vec<String> = (0..12).map(|number| format!("e{number}")).collect();
    let engines = names.iter().map(|name| (name.as_str(), ENGINE, NORTH));
    let engines: Vec<_> = engines.collect();
    let mut fleet = settled(&[NORTH; 10], &engines);
    fleet.cut = (0..10)
        .flat_map(|one| (0..one).map(move |other| (other, one)))
        .collect();
    for node in 0..10 {
        let mut asked = arrival(node as u64, "review", ENGINE, 1);
        let mut own = prompt(0, 1000 + node as u64);
        let parts = &mut Arc::make_mut(&mut own).parts;
        parts.drain(..2);
        asked.prompt = Some(own);
        fleet.arrive(node, asked);
    }
    let counts = fleet.counts();
    assert!(counts.values().all(|count| *count <= 3), "{counts:?}");
}

#[test]
fn own_parts_drive_shared_ones_out() {
    // Prompts of another node fill the engine's memory, so a part it read before is gone.
    let mut fleet = settled(&[NORTH, NORTH], &[("e1", ENGINE, NORTH)]);
    let ask = |fleet: &mut Fleet, node: usize, ticket: u64, middle: u64, own: u32| {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        let mut large = prompt(middle, 1000 + ticket);
        let changed = Arc::make_mut(&mut large);
        changed.parts[2].tokens = own;
        changed.input_tokens = 6300 + own;
        asked.prompt = Some(large);
        fleet.arrive(node, asked);
        let (index, attempt, _) = *fleet.sends().last().expect("the engine is open");
        fleet.wait(Duration::from_millis(300));
        fleet.complete(index, attempt);
    };
    ask(&mut fleet, 0, 1, 77, 500);
    for ticket in 2..50 {
        ask(&mut fleet, 1, ticket, 78, 8000);
    }
    fleet.done.clear();
    ask(&mut fleet, 0, 90, 77, 500);
    let unread = fleet.done.iter().find_map(|(_, command)| match command {
        Command::Send {
            estimate: grounds, ..
        } => Some(grounds.prefill_tokens),
        _ => None,
    });
    assert_eq!(unread, Some(3800 + 500));
}

#[test]
fn wait_is_that_of_the_chosen_engine() {
    // One engine of the north holds the part and is busy, the other one is idle and would have to read
    // all of it. The south is idle.
    let targets = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, SOUTH),
    ];
    let mut fleet = settled(&[NORTH, SOUTH], &targets);
    let ask = |fleet: &mut Fleet, ticket: u64, own: u32| {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        let mut large = prompt(77, 1000 + ticket);
        let changed = Arc::make_mut(&mut large);
        changed.parts[1].tokens = 16_000;
        changed.input_tokens = 18_500 + own;
        asked.prompt = Some(large);
        fleet.arrive(0, asked);
    };
    ask(&mut fleet, 1, 500);
    let (index, attempt, _) = fleet.sends()[0];
    fleet.wait(Duration::from_millis(400));
    fleet.complete(index, attempt);
    for ticket in 2..30 {
        ask(&mut fleet, ticket, 1000);
    }
    let away = fleet.forwards();
    assert!(away.len() > 5);
    assert!(fleet.refusals().is_empty());
}

#[test]
fn queues_do_not_flood_one_engine() {
    // Requests wait at ten nodes when an engine comes back. It has 64 slots.
    let mut fleet = settled(&[NORTH; 10], &[("e1", ENGINE, NORTH)]);
    fleet.cut = (0..10)
        .flat_map(|one| (0..one).map(move |other| (other, one)))
        .collect();
    for node in 0..10 {
        for ticket in 0..30 {
            let mut asked = arrival(ticket, "review", ENGINE, 1);
            asked.prompt = Some(prompt(ticket, 1000 + ticket));
            fleet.arrive(node, asked);
        }
    }
    let sent = fleet.sends().len();
    assert!((64..=160).contains(&sent), "{sent}");
}

#[test]
fn no_open_engine_sends_away() {
    // The north's only engine is cold for long, the south's is idle.
    let targets = [("e2", ENGINE, SOUTH)];
    let mut fleet = settled(&[NORTH, SOUTH], &targets);
    let cold = listed("e1", ENGINE, NORTH, false, 9000);
    for node in 0..2 {
        fleet.publish(node, vec![item("e1", 60, Some(cold.clone()))], 60);
    }
    fleet.wait(Duration::from_millis(500));
    for ticket in 0..12 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(ticket, 1000 + ticket));
        fleet.arrive(0, asked);
    }
    let away = fleet.forwards();
    assert!(away.len() >= 10);
    assert!(fleet.refusals().is_empty());
}

#[test]
fn placements_say_what_was_weighed() {
    // The north's engine has many prompts to read, the south's is idle.
    let targets = [("e1", ENGINE, NORTH), ("e2", ENGINE, SOUTH)];
    let mut fleet = settled(&[NORTH, SOUTH], &targets);
    for ticket in 0..40 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(ticket, 1000 + ticket));
        fleet.arrive(0, asked);
    }
    let weighed: Vec<_> = fleet
        .done
        .iter()
        .filter_map(|(_, command)| match command {
            Command::LogRouting {
                decision: weighed, ..
            } => Some(weighed),
            _ => None,
        })
        .collect();
    let away: Vec<_> = weighed
        .iter()
        .filter(|weighed| matches!(weighed.choice, RegionChoice::Remote(_)))
        .collect();
    assert_eq!(away.len(), fleet.forwards().len());
    assert!(!away.is_empty());
    for weighed in away {
        let best = weighed.best.expect("the other region was weighed");
        assert_eq!(best.region, RegionId::of(SOUTH));
        assert!(weighed.local.wait > best.round_trip + best.wait);
    }
}
