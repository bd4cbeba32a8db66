//! Whether a node's beliefs are fresh enough to act on.

use std::time::Duration;

use seam_protocol::Time;

/// A gap between two events that counts as a pause of the process.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time after a boot or pause for which a node waits for fresh news before it serves alone.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);

/// What a node knows of its own beliefs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for news sent after this time.
    Waiting(Time),
    /// Has fresh news, or waited for [`CONFIRMATION_TIMEOUT`] in vain.
    Fresh,
}

/// Detects pauses and tracks whether beliefs were confirmed since.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    last: Time,
    phase: Phase,
}

impl Freshness {
    /// Starts as after a pause.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            last: now,
            phase: Phase::Waiting(now),
        }
    }

    /// Takes in the present time. Returns the length of a pause that just ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::freshness::Freshness;
    /// use seam_protocol::Time;
    /// let mut standing = Freshness::new(Time(0));
    /// assert_eq!(standing.observe(Time(250_000)), None);
    /// assert_eq!(standing.observe(Time(60_250_000)), Some(Duration::from_secs(60)));
    /// assert!(!standing.fresh());
    /// standing.confirm(Time(60_250_001));
    /// assert!(standing.fresh());
    /// ```
    pub fn observe(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        if gap > PAUSE_THRESHOLD {
            self.phase = Phase::Waiting(now);
            return Some(gap);
        }
        if let Phase::Waiting(since) = self.phase
            && now.since(since) >= CONFIRMATION_TIMEOUT
        {
            self.phase = Phase::Fresh;
        }
        None
    }

    /// Takes in news that answers something this node said at a time of its own clock.
    pub fn confirm(&mut self, said: Time) {
        if let Phase::Waiting(since) = self.phase
            && said >= since
        {
            self.phase = Phase::Fresh;
        }
    }

    /// Tells whether the node may act on its beliefs.
    #[must_use]
    pub fn fresh(&self) -> bool {
        self.phase == Phase::Fresh
    }
}
