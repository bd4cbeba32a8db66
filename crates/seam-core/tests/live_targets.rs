//! Targets that start, leave, fail or are cold.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{
    COLD_TARGET, ENGINE, Fleet, NORTH, PLAIN, arrival, config, entry_of, item, listed,
    settled_fleet,
};
use seam_core::{AttemptOutcome, Command, Event, Refusal};
use seam_protocol::{CentreId, Entry, Outcome, Reason};

#[test]
fn draining_target() {
    let mut fleet = settled_fleet(&[NORTH], &[("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)]);
    let leaving = listed("e1", ENGINE, NORTH, true, 0);
    fleet.publish(0, vec![item("e1", 60, Some(leaving.clone()))], 60);
    for ticket in 0..20 {
        fleet.arrive(0, arrival(ticket, "review", ENGINE, 1));
    }
    let Entry::Target(leaving) = leaving else {
        unreachable!()
    };
    assert_eq!(fleet.sends().len(), 20);
    assert!(
        fleet
            .sends()
            .iter()
            .all(|(_, _, target)| *target != leaving.id())
    );
}

#[test]
fn evacuated_centre() {
    let mut fleet = settled_fleet(&[NORTH], &[("e1", ENGINE, NORTH)]);
    let evacuation = Entry::Evacuation(CentreId::of("north-a"));
    fleet.publish(0, vec![item("evacuate", 60, Some(evacuation))], 60);
    fleet.arrive(0, arrival(1, "review", ENGINE, 1));
    assert!(fleet.sends().is_empty());
    assert_eq!(fleet.refusals()[0].outcome, Outcome::NotRun);
    fleet.publish(0, vec![item("evacuate", 61, None)], 61);
    fleet.arrive(0, arrival(2, "review", ENGINE, 1));
    assert_eq!(fleet.sends().len(), 1);
}

#[test]
fn cold_target_reboots() {
    // Three nodes share 5.25 requests per second. A node that boots within that second sends none.
    let mut fleet = settled_fleet(&[NORTH, NORTH, NORTH], &[]);
    let cold = |revision| item(COLD_TARGET, revision, Some(entry_of(COLD_TARGET)));
    for index in 0..3 {
        fleet.publish(index, vec![cold(60)], 60);
        for ticket in 0..5 {
            fleet.arrive(index, arrival(ticket, "review", ENGINE, 1));
        }
    }
    let sent = fleet.sends().len();
    assert!((1..=5).contains(&sent), "{sent}");
    let mut booted = Fleet::new(&[NORTH]);
    booted.wait(Duration::from_secs(1));
    booted.publish(0, vec![item("config", 1, Some(config(7))), cold(2)], 2);
    for ticket in 0..5 {
        booted.arrive(0, arrival(ticket, "review", ENGINE, 1));
    }
    assert!(
        booted.sends().is_empty(),
        "the requests sent before the boot are unknown"
    );
    booted.wait(Duration::from_secs(3));
    booted.publish(0, vec![cold(3)], 3);
    booted.commands.clear();
    for ticket in 10..15 {
        booted.arrive(0, arrival(ticket, "review", ENGINE, 1));
    }
    let sent = booted.sends().len();
    assert!((1..=2).contains(&sent), "{sent}");
}

#[test]
fn silent_single_attempt_waits() {
    let mut fleet = settled_fleet(&[NORTH], &[("d1", PLAIN, NORTH), ("d2", PLAIN, NORTH)]);
    let cancelled = |fleet: &Fleet| {
        fleet
            .commands
            .iter()
            .any(|(_, command)| matches!(command, Command::Cancel(_)))
    };
    // Reports a silence after 0.4 s and again until it has lasted 1.6 or 2 s.
    let report = |fleet: &mut Fleet, sent: usize, times: usize| {
        let (_, attempt, target) = fleet.sends()[sent];
        for _ in 0..times {
            fleet.wait(Duration::from_millis(400));
            fleet.report_silence(0, attempt, target);
        }
    };
    fleet.arrive(0, arrival(1, "single", PLAIN, 1));
    report(&mut fleet, 0, 5);
    assert!(!cancelled(&fleet), "the route permits no second attempt");
    fleet.arrive(0, arrival(2, "view", PLAIN, 2));
    report(&mut fleet, 1, 4);
    assert!(!cancelled(&fleet), "a sound target may be silent for 1.5 s");
    report(&mut fleet, 1, 1);
    assert!(cancelled(&fleet));
}

#[test]
fn error_retried_elsewhere() {
    let mut fleet = settled_fleet(&[NORTH], &[("d1", PLAIN, NORTH), ("d2", PLAIN, NORTH)]);
    fleet.arrive(0, arrival(1, "view", PLAIN, 2));
    let (_, attempt, first) = fleet.sends()[0];
    fleet.handle(0, Event::Sending(attempt));
    fleet.handle(0, Event::ErrorResponse(attempt));
    let discards = |fleet: &Fleet| {
        fleet
            .commands
            .iter()
            .filter(|(_, command)| matches!(command, Command::Discard(_)))
            .count()
    };
    assert_eq!(discards(&fleet), 1);
    let unknown = AttemptOutcome::OutcomeUnknown(Refusal::unknown(Reason::Broken));
    fleet.handle(0, Event::AttemptEnded(attempt, unknown));
    let (_, attempt, second) = fleet.sends()[1];
    assert_ne!(first, second);
    fleet.handle(0, Event::Sending(attempt));
    fleet.handle(0, Event::ErrorResponse(attempt));
    assert_eq!(
        discards(&fleet),
        1,
        "the second response goes to the caller"
    );
}

#[test]
fn retries_have_a_bound() {
    let mut fleet = settled_fleet(&[NORTH], &[("d1", PLAIN, NORTH), ("d2", PLAIN, NORTH)]);
    for ticket in 0..100 {
        fleet.arrive(0, arrival(ticket, "view", PLAIN, 2));
        let (_, attempt, _) = *fleet.sends().last().unwrap();
        fleet.handle(0, Event::Sending(attempt));
        fleet.handle(0, Event::ErrorResponse(attempt));
        let discarded = matches!(fleet.commands.last(), Some((_, Command::Discard(_))));
        let reply = if discarded {
            AttemptOutcome::OutcomeUnknown(Refusal::unknown(Reason::Broken))
        } else {
            AttemptOutcome::Complete {
                response: None,
                success: true,
            }
        };
        fleet.handle(0, Event::AttemptEnded(attempt, reply));
        if discarded {
            let (_, attempt, _) = *fleet.sends().last().unwrap();
            let reply = AttemptOutcome::Complete {
                response: None,
                success: true,
            };
            fleet.handle(0, Event::AttemptEnded(attempt, reply));
        }
    }
    let retries = fleet.sends().len() as u64 - 100;
    assert!(retries > 0);
    // A fifth of the requests, and the retry budget that all nodes share.
    assert!(retries <= 100 / 5 + 50, "{retries}");
}

#[test]
fn outliers_refuse_nothing() {
    // Nearly half of the requests take 1.2 s, like calls that run into a timeout. Nevertheless, no
    // request is refused.
    let mut fleet = settled_fleet(&[NORTH], &[("d1", PLAIN, NORTH)]);
    for ticket in 0..300 {
        fleet.arrive(0, arrival(ticket, "book", PLAIN, 1));
        let (_, attempt, _) = *fleet.sends().last().unwrap();
        let elapsed = if ticket % 20 < 9 { 1200 } else { 50 };
        fleet.wait(Duration::from_millis(elapsed));
        fleet.handle(
            0,
            Event::AttemptEnded(
                attempt,
                AttemptOutcome::Complete {
                    response: None,
                    success: true,
                },
            ),
        );
    }
    assert_eq!(fleet.sends().len(), 300);
    assert!(fleet.refusals().is_empty());
}

#[test]
fn returning_target_cold() {
    // A target returns with an entry that it wrote before it became cold.
    for evacuated in [true, false] {
        let mut fleet = settled_fleet(&[NORTH], &[("e1", ENGINE, NORTH)]);
        let (removed, back) = if evacuated {
            let centre = CentreId::of("north-a");
            let evacuation = item("evacuate", 60, Some(Entry::Evacuation(centre)));
            (evacuation, item("evacuate", 61, None))
        } else {
            (item("e1", 60, None), item("e1", 61, Some(entry_of("e1"))))
        };
        fleet.publish(0, vec![removed], 60);
        fleet.wait(Duration::from_secs(5));
        fleet.publish(0, vec![back], 61);
        for ticket in 0..10 {
            fleet.arrive(0, arrival(ticket, "review", ENGINE, 1));
        }
        let sent = fleet.sends().len();
        assert!((1..=5).contains(&sent), "{sent}");
        fleet.wait(Duration::from_secs(4));
        let before = fleet.sends().len();
        for ticket in 20..40 {
            fleet.arrive(0, arrival(ticket, "review", ENGINE, 1));
        }
        assert!(fleet.sends().len() >= before + 20);
    }
}

#[test]
fn lapsed_target_expires() {
    // A target's item is removed just after the platform was unreachable, while other items keep
    // changing.
    let mut fleet = settled_fleet(&[NORTH], &[("e1", ENGINE, NORTH)]);
    fleet.handle(0, Event::PlatformUnreachable(true));
    fleet.handle(0, Event::PlatformUnreachable(false));
    fleet.publish(0, vec![item("e1", 60, None)], 60);
    fleet.arrive(0, arrival(1, "review", ENGINE, 1));
    assert_eq!(fleet.sends().len(), 1, "its lease may only have expired");
    for revision in 61..101 {
        let other = listed("e2", ENGINE, NORTH, true, revision);
        fleet.publish(0, vec![item("e2", revision, Some(other))], revision);
        fleet.wait(Duration::from_millis(100));
    }
    fleet.commands.clear();
    fleet.arrive(0, arrival(2, "review", ENGINE, 1));
    assert!(fleet.sends().is_empty(), "it is dropped after some seconds");
}
