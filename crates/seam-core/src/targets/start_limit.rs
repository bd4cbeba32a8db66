//! Requests that a node may begin at a shared target before it hears of those of other nodes.
//!
//! Answers to the pattern of a target that opens while requests wait at many nodes: each of them sees
//! all of its slots free, and together they would send many times as many.

use std::time::Duration;

use seam_protocol::Time;

use super::SlidingWindow;

/// Time until other nodes' words tell of what they began, in a region of some dozens.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Times its even part of the free slots that a node may begin meanwhile, since nodes rarely send at
/// once and need not send alike.
const IMBALANCE_FACTOR: f64 = 2.0;

/// What a node began at one target limiter.
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

    /// Notes a request that begins.
    pub fn record(&mut self, now: Time) {
        self.starts.record(now, REPORT_DELAY);
    }

    /// Tells whether one more may begin where some slots seem free.
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
        let part = (f64::from(free) * IMBALANCE_FACTOR / f64::from(self.nodes.max(1))).ceil();
        self.starts.count(now, REPORT_DELAY) < part as usize
    }
}
