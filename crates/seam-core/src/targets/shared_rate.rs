//! Request rates that a target grants to all nodes of its region together.
//!
//! A granted rate holds even for nodes that cannot reach each other. Each node therefore keeps to a
//! share that it never exceeds or lends, and that follows from the list of nodes alone.

use std::time::Duration;

use seam_protocol::Time;

use super::SlidingWindow;

/// One node's share of a granted rate: so many requests within any window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateShare {
    /// Requests within the window; zero for none at all.
    pub allowed: u32,
    /// The window.
    pub window: Duration,
}

impl RateShare {
    /// Returns the requests per second that the share allows.
    #[must_use]
    pub fn rate(self) -> f64 {
        if self.window.is_zero() {
            return 0.0;
        }
        f64::from(self.allowed) / self.window.as_secs_f64()
    }
}

/// Keeps the requests of this node to one target within its share of a granted rate.
#[derive(Clone, Debug, Default)]
pub struct ShareLimiter {
    share: RateShare,
    /// Before this time, requests that the previous process of this node sent may still count.
    not_before: Time,
    sent: SlidingWindow,
}

impl ShareLimiter {
    /// Longest time after the start of a process for which nothing is sent.
    pub const MAX_BOOT_WAIT: Duration = Duration::from_secs(4);

    /// Creates a limiter without a share that counts requests within a window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            share: RateShare { allowed: 0, window },
            ..Self::default()
        }
    }

    /// Sets the share of this node, whose process started at `boot`.
    ///
    /// A new process does not know what the previous one sent, so nothing is sent within the first
    /// window, or [`Self::MAX_BOOT_WAIT`] of it.
    pub fn set(&mut self, boot: Time, share: RateShare) {
        self.share = share;
        self.not_before = boot + share.window.min(Self::MAX_BOOT_WAIT);
    }

    /// Returns the share.
    #[must_use]
    pub fn share(&self) -> RateShare {
        self.share
    }

    /// Returns when the next request may be sent, or `None` if this node may send none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::targets::{RateShare, ShareLimiter};
    /// use seam_protocol::Time;
    /// let mut limiter = ShareLimiter::default();
    /// limiter.set(Time(0), RateShare { allowed: 1, window: Duration::from_secs(3) });
    /// assert_eq!(limiter.next(Time(0)), Some(Time(3_000_000)));
    /// limiter.record(Time(3_000_000));
    /// assert_eq!(limiter.next(Time(4_000_000)), Some(Time(6_000_000)));
    /// ```
    #[must_use]
    pub fn next(&self, now: Time) -> Option<Time> {
        let RateShare { allowed, window } = self.share;
        let free = self.sent.next_free(now, window, allowed as usize)?;
        Some(free.max(self.not_before))
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn allows(&self, now: Time) -> bool {
        self.next(now).is_some_and(|next| next <= now)
    }

    /// Returns the number of requests that were sent within the window of the share.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        self.sent.count(now, self.share.window)
    }

    /// Counts the requests that another limiter counted, instead of its own.
    pub fn continue_count(&mut self, other: &Self) {
        self.sent = other.sent.clone();
    }

    /// Records a request that is being sent.
    pub fn record(&mut self, now: Time) {
        self.sent.record(now, self.share.window);
    }

    /// Forgets a request that was recorded at this time and not sent.
    pub fn withdraw(&mut self, placed: Time) {
        self.sent.withdraw(placed);
    }
}
