//! The oracle detects a mutation of a node's decisions for each guarantee.

use seam_harness::Breach;
use seam_harness::history::Campaign;
use seam_harness::mutation::{Mutation, ResponsePath};
use yare::parameterized;

#[parameterized(
    residency = { Mutation::AnyRegion, |breach| matches!(breach, Breach::Residency(..)) },
    loops = { Mutation::DropHops, |breach| matches!(breach, Breach::Loop(_)) },
    repeats = { Mutation::BrokenAsNotSent, |breach| matches!(breach, Breach::Twice(_) | Breach::NotRunRan(_)) },
    outcomes = { Mutation::UnknownAsNotRun, |breach| matches!(breach, Breach::NotRunRan(_)) },
    kept_statuses = { Mutation::KeepStatus(ResponsePath::Direct), |breach| matches!(breach, Breach::NotRunRan(_)) },
    kept_in_region = { Mutation::KeepStatus(ResponsePath::SameRegion), |breach| matches!(breach, Breach::NotRunRan(_)) },
    kept_across_regions = { Mutation::KeepStatus(ResponsePath::OtherRegion), |breach| matches!(breach, Breach::NotRunRan(_)) },
    kept_after_retry = { Mutation::KeepStatus(ResponsePath::Retried), |breach| matches!(breach, Breach::NotRunRan(_)) },
    refused_after_retry = { Mutation::RetriedAsNotRun, |breach| matches!(breach, Breach::NotRunRan(_)) },
    started_responses = { Mutation::StartedAsRefused, |breach| matches!(breach, Breach::Twice(_) | Breach::NotRunRan(_)) },
    cancelled_attempts = { Mutation::CancelledAsNotSent, |breach| matches!(breach, Breach::Twice(_) | Breach::NotRunRan(_)) },
    truncated_responses = { Mutation::CutAsWhole, |breach| matches!(breach, Breach::CutAsWhole(_)) },
    swapped_responses = { Mutation::SwapResponses, |breach| matches!(breach, Breach::Mixed(_)) },
    leaving = { Mutation::IgnoreVmList, |breach| matches!(breach, Breach::LeavingGotWork(..)) },
    drains = { Mutation::DrainAtOnce, |breach| matches!(breach, Breach::DrainCut(_)) },
    older_revisions = { Mutation::AcceptOlder, |breach| matches!(breach, Breach::Reverted(..)) },
    slow_revisions = { Mutation::NoUpdates, |breach| matches!(breach, Breach::SlowRevision(..)) },
    deadlines = { Mutation::NoDeadline, |breach| matches!(breach, Breach::NoAnswer(..)) },
    limits = { Mutation::AllUnits, |breach| matches!(breach, Breach::OverLimit(..)) },
    keys = { Mutation::DropKeys, |breach| matches!(breach, Breach::Twice(_)) },
)]
fn mutation_found(mutation: Mutation, expected: fn(&Breach) -> bool) {
    let campaign = Campaign {
        seed: 1,
        cases: 400,
        steps: 150,
        mutation,
    };
    let failure = campaign.run().expect_err("the oracle detects the mutation");
    assert!(
        failure.breaches.iter().any(expected),
        "{:?}",
        failure.breaches
    );
}
