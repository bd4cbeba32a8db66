//! Limits the request rate to cold targets, which are slow for some time after their start.

use std::time::Duration;

use seam_protocol::Time;

use super::{RateShare, ShareLimiter};

/// Window over which the limit per second is applied, with a margin for requests that arrive late.
const WINDOW: Duration = Duration::from_millis(1100);

/// This node's share of the request rate of a cold target.
///
/// Requests are counted at any time, since a target may be cold before this node learns of it.
#[derive(Clone, Debug)]
pub struct ColdShare {
    /// Until when it is cold, as it says.
    until: Option<Time>,
    /// Until when it may be cold, since it may have started again.
    presumed: Option<Time>,
    /// When its entry lapsed, and until when it stays in use without being published again.
    lapsed: Option<(Time, Time)>,
    /// When this node last lost the target.
    lost: Option<Time>,
    limiter: ShareLimiter,
}

impl Default for ColdShare {
    fn default() -> Self {
        Self {
            until: None,
            presumed: None,
            lapsed: None,
            lost: None,
            limiter: ShareLimiter::new(WINDOW),
        }
    }
}

impl ColdShare {
    /// Sets until when the target is cold, and the share of this node, whose process started at
    /// `boot`.
    pub fn set(&mut self, boot: Time, until: Time, share: RateShare) {
        self.until = self.until.max(Some(until));
        self.limiter.set(boot, share);
    }

    /// Limits requests as if the target were cold, until a time or until it says that it is not.
    pub fn presume(&mut self, boot: Time, until: Time, share: RateShare) {
        self.presumed = self.presumed.max(Some(until));
        self.limiter.set(boot, share);
    }

    /// Limits requests as if the target were cold, since its entry lapsed and no longer tells whether it is:
    /// until a time, or until it publishes its entry or says that it is not cold.
    ///
    /// ```
    /// use seam_core::targets::{ColdShare, cold_share};
    /// use seam_protocol::Time;
    /// let mut share = ColdShare::default();
    /// share.lapse(Time(1_000_000), Time(0), Time(3_300_000), cold_share(5.0, 3, 0));
    /// assert!(share.limiter(Time(2_000_000)).is_some());
    /// share.end_lapse();
    /// assert!(share.limiter(Time(2_000_000)).is_none());
    /// ```
    pub fn lapse(&mut self, now: Time, boot: Time, until: Time, share: RateShare) {
        self.lapsed = Some((now, until));
        self.limiter.set(boot, share);
    }

    /// Records that the target has published its entry.
    pub fn end_lapse(&mut self) {
        self.lapsed = None;
    }

    /// Records that this node lost the target, which may start again from now on.
    pub fn record_loss(&mut self, now: Time) {
        self.lost = Some(now);
    }

    /// Ends what was presumed, since the target said how long it is cold. What it was asked before it was
    /// lost says nothing of a start since.
    ///
    /// ```
    /// use seam_core::targets::{ColdShare, cold_share};
    /// use seam_protocol::Time;
    /// let mut share = ColdShare::default();
    /// share.record_loss(Time(1_000_000));
    /// share.presume(Time(0), Time(9_000_000), cold_share(5.0, 3, 0));
    /// share.end_presumption(Time(900_000));
    /// assert!(share.limiter(Time(2_000_000)).is_some());
    /// share.end_presumption(Time(1_100_000));
    /// assert!(share.limiter(Time(2_000_000)).is_none());
    /// ```
    pub fn end_presumption(&mut self, asked: Time) {
        if self.lost.is_none_or(|lost| lost <= asked) {
            self.presumed = None;
        }
        self.lapsed = self.lapsed.filter(|(since, _)| *since > asked);
    }

    /// Returns this node's limiter while the target is cold.
    ///
    /// ```
    /// use seam_core::targets::{ColdShare, cold_share};
    /// use seam_protocol::Time;
    /// let mut share = ColdShare::default();
    /// share.set(Time(0), Time(9_000_000), cold_share(5.0, 3, 0));
    /// assert!(share.limiter(Time(0)).is_some());
    /// assert!(share.limiter(Time(9_000_001)).is_none());
    /// ```
    #[must_use]
    pub fn limiter(&self, now: Time) -> Option<&ShareLimiter> {
        let lapsed = self.lapsed.map(|(_, until)| until);
        let cold = self.until.max(self.presumed).max(lapsed);
        cold.is_some_and(|until| until > now)
            .then_some(&self.limiter)
    }

    /// Returns the number of requests that were sent within the window of the limit.
    #[must_use]
    pub fn lately_sent(&self, now: Time) -> usize {
        self.limiter.count(now)
    }

    /// Counts the requests to an earlier start of the target, instead of those of its own.
    ///
    /// ```
    /// use seam_core::targets::{ColdShare, cold_share};
    /// use seam_protocol::Time;
    /// let (mut earlier, mut share) = (ColdShare::default(), ColdShare::default());
    /// earlier.record(Time(2_000_000));
    /// share.continue_count(&earlier);
    /// share.set(Time(0), Time(9_000_000), cold_share(5.0, 3, 0));
    /// let limiter = share.limiter(Time(2_500_000)).unwrap();
    /// assert!(!limiter.allows(Time(2_500_000)));
    /// ```
    pub fn continue_count(&mut self, earlier: &Self) {
        self.limiter.continue_count(&earlier.limiter);
    }

    /// Records a request that is being sent.
    pub fn record(&mut self, now: Time) {
        self.limiter.record(now);
    }

    /// Forgets a request that was recorded at this time and not sent.
    pub fn withdraw(&mut self, placed: Time) {
        self.limiter.withdraw(placed);
    }
}

/// Returns a node's share of the requests per second that a cold target takes from several nodes.
///
/// `rank` is the node's position among all nodes, from 0. If the limit is below one request for
/// each node, the first nodes get one each. The limit is divided by one node more than `nodes`,
/// since a new one may not be known yet.
///
/// ```
/// use seam_core::targets::cold_share;
/// assert_eq!(cold_share(8.25, 3, 0).allowed, 2);
/// assert_eq!(cold_share(8.25, 30, 3).allowed, 1);
/// assert_eq!(cold_share(8.25, 30, 4).allowed, 0);
/// ```
#[must_use]
pub fn cold_share(limit: f64, nodes: usize, rank: usize) -> RateShare {
    let even = (limit / (nodes + 1) as f64).floor() as u32;
    // Half of the limit is used, since nodes with different views of the ranks may double the
    // number.
    let first = u32::from(rank < (limit / 2.0) as usize);
    RateShare {
        allowed: if even > 0 { even } else { first },
        window: WINDOW,
    }
}
