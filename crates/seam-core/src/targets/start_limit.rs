//! Limits the requests that a node starts at a shared target before it learns of other nodes'
//! starts.
//!
//! Without the limit, when a target frees up while requests wait at many nodes, every node sees all
//! of its slots free, and together they send many times as many requests as it has slots.

use std::time::Duration;

use seam_protocol::Time;

use super::SlidingWindow;

/// Time until other nodes report the requests they started, in a region of a few dozen nodes.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Multiple of an even share of the free slots that a node may start within [`REPORT_DELAY`]. It
/// exceeds 1 because nodes rarely send at the same time, and not evenly.
const IMBALANCE_FACTOR: f64 = 2.0;

/// Requests that this node started recently at one target.
#[derive(Clone, Debug, Default)]
pub struct StartLimiter {
    starts: SlidingWindow,
    nodes: u32,
}

impl StartLimiter {
    /// Sets how many nodes use the target.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes;
    }

    /// Records the start of a request.
    pub fn record(&mut self, now: Time) {
        self.starts.record(now, REPORT_DELAY);
    }

    /// Returns whether another request may start, given the target's free slots.
    ///
    /// ```
    /// use seam_core::targets::StartLimiter;
    /// use seam_protocol::Time;
    /// let mut limiter = StartLimiter::default();
    /// limiter.set_nodes(20);
    /// for _ in 0..4 {
    ///     assert!(limiter.allows(Time(0), 40));
    ///     limiter.record(Time(0));
    /// }
    /// assert!(!limiter.allows(Time(0), 40));
    /// assert!(limiter.allows(Time(400_000), 40));
    /// ```
    #[must_use]
    pub fn allows(&self, now: Time, free: u32) -> bool {
        let max_starts = (f64::from(free) * IMBALANCE_FACTOR / f64::from(self.nodes.max(1))).ceil();
        self.starts.count(now, REPORT_DELAY) < max_starts as usize
    }
}
