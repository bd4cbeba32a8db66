//! Tracks whether a node's view of the fleet is recent enough to act on.

use std::time::Duration;

use seam_protocol::Time;

/// Minimum gap between two events that counts as a pause of the process.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time after a start or pause for which a node waits for a confirmation before it serves without
/// one.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether the node's view is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a reply to a message sent at or after this time.
    Waiting(Time),
    /// Received a confirmation, or [`CONFIRMATION_TIMEOUT`] passed without one.
    Fresh,
}

/// Detects pauses of the process and tracks whether the node's view was confirmed since.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    last: Time,
    phase: Phase,
    /// When the last pause ended.
    resumed: Option<Time>,
}

impl Freshness {
    /// Starts in the same state as after a pause.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            last: now,
            phase: Phase::Waiting(now),
            resumed: None,
        }
    }

    /// Records the time of an event. Returns the length of a pause that just ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::freshness::Freshness;
    /// use seam_protocol::Time;
    /// let mut freshness = Freshness::new(Time(0));
    /// assert_eq!(freshness.observe(Time(250_000)), None);
    /// assert_eq!(freshness.observe(Time(60_250_000)), Some(Duration::from_secs(60)));
    /// assert!(!freshness.fresh());
    /// freshness.confirm(Time(60_250_001));
    /// assert!(freshness.fresh());
    /// ```
    pub fn observe(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        if gap > PAUSE_THRESHOLD {
            self.phase = Phase::Waiting(now);
            self.resumed = Some(now);
            return Some(gap);
        }
        if let Phase::Waiting(since) = self.phase
            && now.since(since) >= CONFIRMATION_TIMEOUT
        {
            self.phase = Phase::Fresh;
        }
        None
    }

    /// Returns whether the process was paused since a time, so that an answer to what it sent then may
    /// be any age.
    ///
    /// ```
    /// use seam_core::freshness::Freshness;
    /// use seam_protocol::Time;
    /// let mut freshness = Freshness::new(Time(0));
    /// freshness.observe(Time(60_000_000));
    /// assert!(freshness.paused_since(Time(50_000_000)));
    /// assert!(!freshness.paused_since(Time(60_000_000)));
    /// ```
    #[must_use]
    pub fn paused_since(&self, time: Time) -> bool {
        self.resumed.is_some_and(|resumed| resumed > time)
    }

    /// Records a reply to a message that this node sent at `sent`, on its own clock.
    pub fn confirm(&mut self, sent: Time) {
        if let Phase::Waiting(since) = self.phase
            && sent >= since
        {
            self.phase = Phase::Fresh;
        }
    }

    /// Returns whether the node may act on its view.
    #[must_use]
    pub fn fresh(&self) -> bool {
        self.phase == Phase::Fresh
    }
}
