//! Random histories of callers and faults violate no guarantee.

use seam_harness::history::Campaign;
use seam_harness::mutation::Mutation;
use yare::parameterized;

#[parameterized(first = { 1 }, second = { 2 }, third = { 3 }, fourth = { 4 })]
fn no_violations(seed: u64) {
    let campaign = Campaign {
        seed,
        cases: 100,
        steps: 400,
        mutation: Mutation::None,
    };
    match campaign.run() {
        Ok(totals) => assert!(totals.complete > 1000, "{totals:?}"),
        Err(failure) => panic!("{:?} after {:?}", failure.breaches, failure.steps),
    }
}
