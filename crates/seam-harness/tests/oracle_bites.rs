//! A decision that is broken on purpose is found, one for each promise.

use seam_harness::Breach;
use seam_harness::machine::Campaign;
use seam_harness::tamper::Tamper;
use yare::parameterized;

#[parameterized(
    residency = { Tamper::AnyRegion, |breach| matches!(breach, Breach::Residency(..)) },
    path = { Tamper::NoPath, |breach| matches!(breach, Breach::Loop(_)) },
    repeats = { Tamper::BrokenAsNotSent, |breach| matches!(breach, Breach::Twice(_) | Breach::NotRunRan(_)) },
    outcomes = { Tamper::UnknownAsNotRun, |breach| matches!(breach, Breach::NotRunRan(_)) },
    cut_answers = { Tamper::CutAsWhole, |breach| matches!(breach, Breach::CutAsWhole(_)) },
    swapped_answers = { Tamper::SwapAnswers, |breach| matches!(breach, Breach::Mixed(_)) },
    leaving = { Tamper::IgnoreList, |breach| matches!(breach, Breach::LeavingGotWork(..)) },
    drains = { Tamper::DrainAtOnce, |breach| matches!(breach, Breach::DrainCut(_)) },
    older_revisions = { Tamper::TakeOlder, |breach| matches!(breach, Breach::Reverted(..)) },
    slow_revisions = { Tamper::NoNews, |breach| matches!(breach, Breach::SlowRevision(..)) },
    deadlines = { Tamper::NoDeadline, |breach| matches!(breach, Breach::NoAnswer(..)) },
    limits = { Tamper::OwnLimits, |breach| matches!(breach, Breach::OverLimit(..)) },
    keys = { Tamper::ForgetKeys, |breach| matches!(breach, Breach::Twice(_)) },
)]
fn found(tamper: Tamper, right: fn(&Breach) -> bool) {
    let campaign = Campaign {
        seed: 1,
        cases: 400,
        steps: 150,
        tamper,
    };
    let failure = campaign.run().expect_err("a broken decision is found");
    assert!(failure.breaches.iter().any(right), "{:?}", failure.breaches);
}
