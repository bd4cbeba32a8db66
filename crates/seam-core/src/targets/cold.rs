//! Limits the request rate to cold targets, which are slow for some time after their start.
//!
//! The limit applies to all nodes together, even to nodes that cannot reach each other. Each node
//! therefore keeps to a share that it never exceeds or lends.

use std::time::Duration;

use seam_protocol::Time;

use super::SlidingWindow;

/// Window over which the limit per second is applied, with a margin for requests that arrive late.
const WINDOW: Duration = Duration::from_millis(1100);

/// This node's share of the request rate of a cold target.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    until: Option<Time>,
    /// Before this time, requests that the previous process of this node sent may still count.
    not_before: Time,
    allowed: u32,
    sent: SlidingWindow,
}

impl ColdShare {
    /// Sets until when the target is cold, and the requests that this node may send in any second.
    ///
    /// Nothing is sent within the first window after `boot`, since a new process does not know what
    /// the previous one sent.
    pub fn set(&mut self, boot: Time, until: Time, allowed: u32) {
        self.until = self.until.max(Some(until));
        self.not_before = boot + WINDOW;
        self.allowed = allowed;
    }

    /// Returns until when the target is cold.
    #[must_use]
    pub fn until(&self) -> Option<Time> {
        self.until
    }

    /// Returns whether a request may be sent to the target now.
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
        if now < self.not_before {
            return false;
        }
        self.sent.count(now, WINDOW) < self.allowed as usize
    }

    /// Records a request that is being sent.
    pub fn record(&mut self, now: Time) {
        if self.until.is_some_and(|until| until > now) {
            self.sent.record(now, WINDOW);
        }
    }
}

/// Returns a node's share, in requests per second, of a limit for several nodes.
///
/// `rank` is the node's position among all nodes, from 0. If the limit is below one request for
/// each node, the first nodes get one each. The limit is divided by one node more than `nodes`,
/// since a new one may not be known yet.
///
/// ```
/// use seam_core::targets::cold_share;
/// assert_eq!(cold_share(8.25, 3, 0), 2);
/// assert_eq!(cold_share(8.25, 30, 3), 1);
/// assert_eq!(cold_share(8.25, 30, 4), 0);
/// ```
#[must_use]
pub fn cold_share(limit: f64, nodes: usize, rank: usize) -> u32 {
    let even = (limit / (nodes + 1) as f64).floor() as u32;
    if even > 0 {
        return even;
    }
    // Half of the limit is used, since nodes with different views of the ranks may double the
    // number.
    u32::from(rank < (limit / 2.0) as usize)
}
