//! Random histories of published configurations. An oracle checks that changes are in force in time,
//! that no older or invalid one is, and that proper requests are not refused as wrong. Further tests
//! inject a fault of each kind to show that the oracle detects it.

#[path = "live/cases.rs"]
mod cases;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/configurations.rs"]
mod configurations;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use configurations::{InjectedFault, ROUTES, Simulation, Step, Violation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

/// Number of histories that CI runs.
const CASES: u32 = 60;
/// Seed of those histories.
const SEED: RngSeed = RngSeed::Fixed(20_261_205);
/// Upper bound, exclusive, of the steps in a history.
const STEPS: usize = 60;
/// Number of nodes.
const NODES: usize = 6;

fn step() -> impl Strategy<Value = Step> {
    let (node, route) = (|| 0..NODES, || 0..ROUTES);
    prop_oneof![
        4 => (route(), 0..3_usize).prop_map(|(route, service)| Step::Move { route, service }),
        2 => route().prop_map(|route| Step::Drop { route }),
        1 => route().prop_map(|route| Step::Rename { route }),
        1 => Just(Step::Invalid),
        1 => route().prop_map(|route| Step::Storm { route }),
        1 => Just(Step::Compact),
        1 => (node(), any::<bool>()).prop_map(|(node, refused)| Step::Refuse { node, refused }),
        1 => any::<bool>().prop_map(|stopped| Step::Stop { stopped }),
        1 => (node(), node()).prop_map(|(one, other)| Step::Cut { one, other }),
        1 => Just(Step::Heal),
        1 => (node(), 1..80_u64).prop_map(|(node, tenths)| Step::Pause { node, tenths }),
        1 => node().prop_map(|node| Step::Restart { node }),
        8 => (node(), 0..25_u64).prop_map(|(node, tenths)| Step::Send { node, tenths }),
        6 => (0..20_u64).prop_map(|tenths| Step::Wait { tenths }),
        2 => Just(Step::Wait { tenths: 70 }),
    ]
}

proptest! {
    #![proptest_config(cases::proptest_config(CASES, SEED))]

    #[test]
    fn rules_hold(steps in prop::collection::vec(step(), 1..STEPS)) {
        let mut simulation = Simulation::new(InjectedFault::None);
        for step in steps {
            simulation.apply(step);
            prop_assert_eq!(simulation.violation(), None);
        }
    }
}

/// Returns a history with changes of each kind, each time followed by requests.
fn changes() -> Vec<Step> {
    let send = |tenths| (0..NODES).map(move |node| Step::Send { node, tenths });
    let mut steps = Vec::new();
    for change in [
        Step::Move {
            route: 0,
            service: 1,
        },
        Step::Move {
            route: 3,
            service: 2,
        },
        Step::Invalid,
        Step::Drop { route: 1 },
        Step::Storm { route: 0 },
        Step::Move {
            route: 0,
            service: 0,
        },
    ] {
        steps.extend(send(10));
        steps.push(change);
        steps.push(Step::Wait { tenths: 50 });
        steps.extend(send(0));
    }
    steps
}

// Guards against a refusal as wrong of a request that an older version routed, to a service or by a
// route's name that the version in force no longer has.
#[parameterized(
    service_gone = { &[Step::Move { route: 0, service: 1 }, Step::Move { route: 1, service: 1 }] },
    route_renamed = { &[Step::Rename { route: 0 }] },
)]
fn routed_by_older(changes: &[Step]) {
    let mut simulation = Simulation::new(InjectedFault::None);
    simulation.apply(Step::Send {
        node: 0,
        tenths: 10,
    });
    for change in changes {
        simulation.apply(*change);
    }
    simulation.apply(Step::Wait { tenths: 20 });
    assert_eq!(simulation.violation(), None);
}

#[parameterized(
    changes_late = { InjectedFault::DropChanges, &[Violation::Late] },
    older_again = { InjectedFault::ReturnToFirst, &[Violation::Regressed] },
    invalid_taken = { InjectedFault::ReadInvalid, &[Violation::InvalidTaken] },
    added_refused = { InjectedFault::SkipAdded, &[Violation::AddedRefused] },
    dropped_run = { InjectedFault::KeepDropped, &[Violation::DroppedRun] },
    denied = { InjectedFault::RefuseForGood, &[Violation::Denied] },
)]
fn fault_found(fault: InjectedFault, expected: &[Violation]) {
    let seen = |fault| {
        let mut simulation = Simulation::new(fault);
        for step in changes() {
            simulation.apply(step);
            if let Some(violation) = simulation.violation() {
                return Some(violation.clone());
            }
        }
        None
    };
    assert_eq!(seen(InjectedFault::None), None);
    let (violation, detail) = seen(fault).expect("the oracle detects the fault");
    assert!(expected.contains(&violation), "{violation:?}: {detail}");
}
