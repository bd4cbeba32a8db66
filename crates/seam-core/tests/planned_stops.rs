//! Nodes that drain and end at a known time.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NORTH, PLAIN, SOUTH, arrival, settled_fleet};
use seam_core::event::Drainable;
use seam_core::{AttemptKey, AttemptOutcome, Command, Event, Refusal};
use seam_protocol::{Outcome, Reason};
use yare::parameterized;

/// Time from the start of a drain to its end.
const DRAIN_TIME: Duration = Duration::from_millis(7400);
const LONG: Duration = Duration::from_secs(15);

fn fleet_of_one() -> Fleet {
    settled_fleet(&[NORTH], &[("s1", PLAIN, NORTH), ("s2", PLAIN, NORTH)])
}

fn begin_stop(fleet: &mut Fleet, node: usize, time: Duration) {
    let drain = Event::Drain {
        what: Drainable::Node,
        on: true,
        actor: "test".to_owned(),
    };
    fleet.handle(node, drain);
    fleet.handle(node, Event::EndsIn(time));
}

/// Sends a request to the first node. Returns its attempt, if the node takes it.
fn arrive(fleet: &mut Fleet, ticket: u64, route: &str, budget: Duration) -> Option<AttemptKey> {
    fleet.commands.clear();
    let mut request = arrival(ticket, route, PLAIN, 2);
    request.budget = budget;
    fleet.arrive(0, request);
    fleet.sends().last().map(|send| send.1)
}

fn assert_not_run(refusal: Refusal) {
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert_eq!(refusal.reason, Reason::NotReady);
    assert!(refusal.retry_after.is_some());
}

/// Guards against requests that a node takes although their time passes after its process has ended,
/// and against refusals of ones that end before.
#[parameterized(
    whole_time_fits = { "book", Duration::from_secs(4), DRAIN_TIME, Duration::ZERO, true },
    time_outlasts = { "book", LONG, DRAIN_TIME, Duration::ZERO, false },
    time_outlasts_later = { "book", Duration::from_secs(5), DRAIN_TIME, Duration::from_millis(2500), false },
    repeatable_early = { "view", LONG, DRAIN_TIME, Duration::from_millis(2900), true },
    after_grace = { "view", LONG, DRAIN_TIME, Duration::from_millis(3100), false },
    short_drain = { "view", Duration::from_millis(300), Duration::from_secs(2), Duration::from_millis(1200), false },
)]
fn late_arrivals(route: &str, budget: Duration, drain: Duration, after: Duration, taken: bool) {
    let mut fleet = fleet_of_one();
    begin_stop(&mut fleet, 0, drain);
    fleet.wait(after);
    let attempt = arrive(&mut fleet, 1, route, budget);
    assert_eq!(attempt.is_some(), taken);
    let refusals = fleet.refusals();
    assert_eq!(refusals.is_empty(), taken);
    refusals.into_iter().for_each(assert_not_run);
}

/// Guards against a request that was placed before the drain and is sent after its start, when it
/// cannot end in time any more.
#[test]
fn waiting_request() {
    let mut fleet = fleet_of_one();
    let attempt = arrive(&mut fleet, 1, "book", LONG).expect("a target has room");
    begin_stop(&mut fleet, 0, DRAIN_TIME);
    fleet.commands.clear();
    fleet.handle(0, Event::Sending(attempt));
    let withheld = |(_, command): &(usize, Command)| matches!(command, Command::Cancel(key) if *key == attempt);
    assert!(fleet.commands.iter().any(withheld));
    fleet.handle(0, Event::AttemptEnded(attempt, AttemptOutcome::NotSent));
    assert!(fleet.sends().is_empty());
    let refusals = fleet.refusals();
    assert_eq!(refusals.len(), 1);
    assert_not_run(refusals[0]);
}

/// Guards against a retry that starts shortly before the end of the process.
#[test]
fn late_retry() {
    let mut fleet = fleet_of_one();
    let attempt = arrive(&mut fleet, 1, "view", LONG).expect("a target has room");
    fleet.handle(0, Event::Sending(attempt));
    begin_stop(&mut fleet, 0, DRAIN_TIME);
    fleet.wait(DRAIN_TIME.saturating_sub(Duration::from_millis(50)));
    fleet.now = fleet.now + Duration::from_millis(40);
    fleet.commands.clear();
    let broken = AttemptOutcome::Broken { started: false };
    fleet.handle(0, Event::AttemptEnded(attempt, broken));
    assert!(fleet.sends().is_empty());
    assert_eq!(fleet.refusals()[0].outcome, Outcome::Unknown);
}

/// Guards against requests without a final response at the end of a drain, and against a promise that
/// one did not run which was sent.
#[test]
fn final_responses() {
    let mut fleet = fleet_of_one();
    let sent = arrive(&mut fleet, 1, "book", Duration::from_secs(4)).expect("a target has room");
    fleet.handle(0, Event::Sending(sent));
    arrive(&mut fleet, 2, "book", Duration::from_secs(4)).expect("a target has room");
    begin_stop(&mut fleet, 0, DRAIN_TIME);
    fleet.commands.clear();
    fleet.handle(0, Event::DrainOver);
    let refusals = fleet.refusals();
    assert_eq!(refusals.len(), 2);
    assert_eq!(refusals[0], Refusal::unknown(Reason::Stopped));
    assert_not_run(refusals[1]);
}

/// Guards against a request that is refused because the node it was handed to drains, though another
/// node of that region takes it.
#[test]
fn drained_relay() {
    let targets = [("s1", PLAIN, SOUTH), ("s2", PLAIN, SOUTH)];
    let mut fleet = settled_fleet(&[NORTH, SOUTH, SOUTH], &targets);
    let mut request = arrival(1, "book", PLAIN, 1);
    request.budget = Duration::from_secs(4);
    fleet.arrive(0, request);
    let (attempt, first) = fleet.forwards()[0];
    fleet.commands.clear();
    let refusal = Refusal::not_run(Reason::NotReady);
    let refused = AttemptOutcome::Refused(refusal);
    fleet.handle(0, Event::AttemptEnded(attempt, refused));
    let forwards = fleet.forwards();
    assert_eq!(forwards.len(), 1, "{:?}", fleet.refusals());
    assert_ne!(forwards[0].1, first);
}
