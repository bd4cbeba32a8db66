//! The retries that all nodes of a fleet together may send to a service.

use seam_core::retry::RetryBudget;

/// Nodes of the fleet.
const NODES: u32 = 9;
/// Retries that all nodes together may send at once.
const SLACK: u32 = 58;

/// Spends all that a node has after it queued one request.
fn spend_all(budget: &mut RetryBudget) -> u32 {
    budget.earn();
    budget.cap(SLACK / (NODES + 1));
    let mut spent = 0;
    while budget.spend() {
        spent += 1;
    }
    spent
}

/// Guards against a fleet that spends its retries twice because all its processes restart.
#[test]
fn restarts_add_nothing() {
    const RESTARTS: u32 = 3;
    let mut spent = 0;
    for _ in 0..NODES {
        for _ in 0..=RESTARTS {
            spent += spend_all(&mut RetryBudget::default());
        }
    }
    assert!(spent <= SLACK, "{spent} retries");
}
