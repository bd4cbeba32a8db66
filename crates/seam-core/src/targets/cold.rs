//! Requests that a cold target may be sent.
//!
//! The bound holds for all nodes together, also for those that do not hear each other, so each node
//! keeps to a share that is never asked of others.

use std::time::Duration;

use seam_protocol::Time;

use super::SlidingWindow;

/// Span over which the bound holds, with a margin for requests that arrive late.
const WINDOW: Duration = Duration::from_millis(1100);

/// A cold target's allowance at this node.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    until: Option<Time>,
    /// Before this time, what the process sent before it started could still count.
    from: Time,
    allowed: u32,
    sent: SlidingWindow,
}

impl ColdShare {
    /// Sets until when the target is cold, and the requests of this node in any second till then.
    ///
    /// A process that has just booted does not know what the one before it sent.
    pub fn set(&mut self, boot: Time, until: Time, allowed: u32) {
        self.until = self.until.max(Some(until));
        self.from = boot + WINDOW;
        self.allowed = allowed;
    }

    /// Returns until when the target is cold.
    #[must_use]
    pub fn until(&self) -> Option<Time> {
        self.until
    }

    /// Tells whether the target may be sent a request now.
    ///
    /// ```
    /// use seam_core::targets::ColdShare;
    /// use seam_protocol::Time;
    /// let mut share = ColdShare::default();
    /// share.set(Time(0), Time(9_000_000), 1);
    /// assert!(!share.allows(Time(0)));
    /// assert!(share.allows(Time(2_000_000)));
    /// share.record(Time(2_000_000));
    /// assert!(!share.allows(Time(3_000_000)));
    /// assert!(share.allows(Time(3_200_000)));
    /// share.record(Time(3_200_000));
    /// assert!(share.allows(Time(9_000_001)));
    /// ```
    #[must_use]
    pub fn allows(&self, now: Time) -> bool {
        if self.until.is_none_or(|until| until <= now) {
            return true;
        }
        if now < self.from {
            return false;
        }
        self.sent.count(now, WINDOW) < self.allowed as usize
    }

    /// Notes a request that is being sent.
    pub fn record(&mut self, now: Time) {
        if self.until.is_some_and(|until| until > now) {
            self.sent.record(now, WINDOW);
        }
    }
}

/// Returns a node's share of a bound in requests a second over some nodes.
///
/// Where there is less than one request for each node, the first nodes by rank get one each. One more
/// node than known is counted, since a new one may not be heard of yet.
///
/// ```
/// use seam_core::targets::cold_share;
/// assert_eq!(cold_share(8.25, 3, 0), 2);
/// assert_eq!(cold_share(8.25, 30, 3), 1);
/// assert_eq!(cold_share(8.25, 30, 4), 0);
/// ```
#[must_use]
pub fn cold_share(bound: f64, nodes: usize, rank: usize) -> u32 {
    let even = (bound / (nodes + 1) as f64).floor() as u32;
    if even > 0 {
        return even;
    }
    // Nodes that disagree on the ranks may be twice as many as meant.
    u32::from(rank < (bound / 2.0) as usize)
}
