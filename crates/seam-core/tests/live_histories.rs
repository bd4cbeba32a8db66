//! Random histories of live nodes. An oracle checks the rate of cold targets, membership, leaving
//! targets and the order of revisions. Further tests inject a fault of each kind to show that the
//! oracle detects it.

#[path = "live/cases.rs"]
mod cases;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;
#[path = "live/oracle.rs"]
mod oracle;

use fleet::NORTH;
use oracle::{InjectedFault, Simulation, Step, Violation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Number of nodes in a history, all in one region.
const NODES: usize = 4;
/// Number of targets.
const TARGETS: usize = 3;
/// Number of histories that CI runs.
const CASES: u32 = 80;
/// Seed of those histories.
const SEED: RngSeed = RngSeed::Fixed(20_261_204);
/// Upper bound, exclusive, of the steps in a history.
const STEPS: usize = 60;

fn node() -> impl Strategy<Value = usize> {
    0..NODES
}

fn target() -> impl Strategy<Value = usize> {
    0..TARGETS
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (node(), 1..12_u64).prop_map(|(node, count)| Step::Arrive { node, count }),
        3 => (target(), 0..6_u64).prop_map(|(target, cold)| Step::Start { target, cold }),
        1 => target().prop_map(|target| Step::Leave { target }),
        1 => target().prop_map(|target| Step::SayLeaving { target }),
        1 => target().prop_map(|target| Step::Remove { target }),
        1 => any::<bool>().prop_map(|on| Step::Evacuate { on }),
        1 => (node(), node()).prop_map(|(one, other)| Step::Cut { one, other }),
        1 => Just(Step::Heal),
        1 => node().prop_map(|node| Step::Kill { node }),
        2 => node().prop_map(|node| Step::Restart { node }),
        1 => (node(), any::<bool>()).prop_map(|(node, unreachable)| Step::SetUnreachable { node, unreachable }),
        4 => (1..20_u64).prop_map(|tenths| Step::Wait { tenths }),
        1 => Just(Step::Wait { tenths: 100 }),
    ]
}

proptest! {
    #![proptest_config(cases::proptest_config(CASES, SEED))]

    #[test]
    fn invariants_hold(steps in prop::collection::vec(step(), 1..STEPS)) {
        let mut simulation = Simulation::new(&[NORTH; NODES], InjectedFault::None);
        for step in steps {
            simulation.apply(step);
            prop_assert_eq!(simulation.violation(), None);
        }
        // After all faults are repaired, every node converges to the same state.
        simulation.apply(Step::Heal);
        for node in 0..NODES {
            simulation.apply(Step::SetUnreachable { node, unreachable: false });
        }
        simulation.apply(Step::Wait { tenths: 100 });
        prop_assert_eq!(simulation.violation(), None);
    }
}

/// Runs a history with an injected fault and returns the first violation that the oracle detects.
fn first_violation(fault: InjectedFault, steps: &[Step]) -> Option<Violation> {
    let mut simulation = Simulation::new(&[NORTH; NODES], fault);
    for step in steps {
        simulation.apply(*step);
        if simulation.violation().is_some() {
            break;
        }
    }
    simulation.violation()
}

#[test]
fn detects_cold_overload() {
    let mut steps = vec![Step::Start { target: 0, cold: 5 }, Step::Wait { tenths: 5 }];
    steps.extend((0..NODES).map(|node| Step::Arrive { node, count: 10 }));
    assert_eq!(first_violation(InjectedFault::None, &steps), None);
    assert_eq!(
        first_violation(InjectedFault::HideCold, &steps),
        Some(Violation::Cold)
    );
}

#[test]
fn detects_dead_listing() {
    let steps = [
        Step::Wait { tenths: 20 },
        Step::Kill { node: 1 },
        Step::Wait { tenths: 100 },
    ];
    assert_eq!(first_violation(InjectedFault::None, &steps), None);
    assert_eq!(
        first_violation(InjectedFault::KeepHeartbeats, &steps),
        Some(Violation::DeadListed)
    );
}

#[test]
fn detects_missing_node() {
    let steps = [Step::Restart { node: 2 }, Step::Wait { tenths: 100 }];
    assert_eq!(first_violation(InjectedFault::None, &steps), None);
    assert_eq!(
        first_violation(InjectedFault::DropHeartbeats, &steps),
        Some(Violation::LiveMissing)
    );
}

#[test]
fn detects_leaving_send() {
    let steps = [
        Step::Start { target: 0, cold: 0 },
        Step::Wait { tenths: 10 },
        Step::Leave { target: 0 },
        Step::Wait { tenths: 10 },
        Step::Arrive { node: 0, count: 3 },
    ];
    assert_eq!(first_violation(InjectedFault::None, &steps), None);
    assert_eq!(
        first_violation(InjectedFault::HideLeaving, &steps),
        Some(Violation::Leaving)
    );
}

#[test]
fn detects_kept_answers() {
    let mut steps = vec![
        Step::Start { target: 0, cold: 0 },
        Step::Wait { tenths: 100 },
        Step::SayLeaving { target: 0 },
        Step::Arrive { node: 0, count: 1 },
        Step::Wait { tenths: 30 },
    ];
    steps.extend((1..NODES).map(|node| Step::Arrive { node, count: 3 }));
    assert_eq!(first_violation(InjectedFault::None, &steps), None);
    assert_eq!(
        first_violation(InjectedFault::KeepAnswers, &steps),
        Some(Violation::Leaving)
    );
}

#[test]
fn detects_revision_regression() {
    let steps = [
        Step::Start { target: 0, cold: 0 },
        Step::Wait { tenths: 10 },
        Step::Wait { tenths: 1 },
    ];
    assert_eq!(first_violation(InjectedFault::None, &steps), None);
    assert_eq!(
        first_violation(InjectedFault::ForgetItems, &steps),
        Some(Violation::RevisionRegressed)
    );
}

#[test]
fn detects_missing_items() {
    let steps = [
        Step::SetUnreachable {
            node: 3,
            unreachable: true,
        },
        Step::Start { target: 0, cold: 0 },
        Step::Wait { tenths: 100 },
    ];
    assert_eq!(first_violation(InjectedFault::None, &steps), None);
    assert_eq!(
        first_violation(InjectedFault::FailFetches, &steps),
        Some(Violation::ItemsMissing)
    );
}
