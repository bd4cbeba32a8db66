//! Token quotas of tenants, enforced over the whole fleet without agreement between nodes.
//!
//! Each node has a fixed share of every allowance. It lends each half of it by a [`lease`] to a coordinator, which
//! collects the lent shares in a [`pool`] and grants tokens from it. A node keeps granted tokens in a
//! [`balance`] for each tenant whose requests it receives. A share is used by one node at a time, tokens are
//! removed before they are sent, and what is lost in transit is lost. So the sum over all nodes stays within
//! the allowance in every partition.

pub mod balance;
pub mod lease;
pub mod pool;

use std::time::Duration;

use seam_protocol::{Allowance, TenantBounds};

/// Coordinators among which each node divides its share, so that the death of one leaves the other half.
pub const COORDINATORS: usize = 2;
/// Time for which a node lends a part of its share with each report. The coordinator counts it from its last
/// answer, so it covers two reports to the same coordinator and a delay.
pub const LEASE: Duration = Duration::from_millis(2300);
/// Time for which granted tokens may be used, from when the node asked for them.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Time between two reports, which go to the coordinators in turn.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(450);
/// Longest time that a request waits for tokens.
pub const MAX_WAIT: Duration = Duration::from_millis(400);

/// Known nodes per additional share that is kept free for nodes which join.
const NODES_PER_SPARE: f64 = 32.0;
/// Largest factor by which the rate exceeds the published one, so that tokens lost in transit, unused grants and
/// shares of dead nodes cause no refusals.
const MAX_EXCESS: f64 = 1.1;
/// Smallest factor, where the bound leaves less room than unused grants need.
const MIN_EXCESS: f64 = 0.5;
/// Fraction of the bound that may be used. The rest covers differing views of the members.
const USED_BOUND: f64 = 0.97;

/// Returns the share of each allowance that one of `known` nodes has.
///
/// ```
/// use seam_core::allowance::share;
/// assert!((70.0 * share(70) - 0.97).abs() < 0.01);
/// assert!(share(0) <= 1.0);
/// ```
#[must_use]
pub fn share(known: usize) -> f64 {
    let known = known.max(1) as f64;
    1.0 / (known + known / NODES_PER_SPARE)
}

/// The token bucket that all nodes together apply for an allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Tokens per second.
    pub rate: f64,
    /// Largest number of tokens in the bucket.
    pub burst: f64,
}

impl Terms {
    /// Returns the bucket for an allowance. The tokens that may run in a window are those of the bucket at its
    /// start, those that it receives, and the grants that were unused at its start.
    ///
    /// ```
    /// use seam_core::allowance::Terms;
    /// use seam_protocol::tenant::{Allowance, CostUnit, TenantBounds};
    /// let bounds = TenantBounds { window: 8000, overage: 0.25, slack: 110_000.0, ..TenantBounds::default() };
    /// let unit = CostUnit::Tokens { plain: 200 };
    /// let allowance = Allowance { rate: 2_900_000.0, burst: 2_900_000.0, unit };
    /// let terms = Terms::new(&allowance, &bounds);
    /// assert!(terms.rate > 1.05 * allowance.rate);
    /// assert!(terms.rate * 9.0 + terms.burst < bounds.most(&allowance));
    /// ```
    #[must_use]
    pub fn new(allowance: &Allowance, bounds: &TenantBounds) -> Self {
        let burst = if allowance.burst > 0.0 {
            allowance.burst
        } else {
            allowance.rate
        };
        if bounds.window == 0 {
            // Compensates the spare share only.
            let excess = 1.0 + 1.0 / NODES_PER_SPARE;
            return Self {
                rate: allowance.rate * excess,
                burst: burst * excess,
            };
        }
        // A request may cost more than the burst of a small allowance.
        let burst = burst + bounds.slack / 2.0;
        let window = Duration::from_millis(bounds.window) + GRANT_LIFETIME;
        let nominal = allowance.rate * window.as_secs_f64();
        let excess = (USED_BOUND * bounds.most(allowance) - burst) / nominal.max(f64::MIN_POSITIVE);
        Self {
            rate: allowance.rate * excess.clamp(MIN_EXCESS, MAX_EXCESS),
            burst,
        }
    }
}
