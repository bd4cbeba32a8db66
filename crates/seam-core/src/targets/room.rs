//! How many requests a target that queues by itself holds before it turns some away.
//!
//! When many nodes share a few small targets, each sees a part of the load late. Together they would
//! fill a target's queue and offer what it turns away to the next full one.

use std::time::Duration;

use seam_protocol::Time;

/// Fraction of the requests that a target held when it turned one away, up to which nodes send more.
/// The rest is for requests that other nodes send meanwhile.
const USED_FRACTION: f64 = 0.8;
/// Requests by which the limit rises in a second without a rejection.
const RECOVERY_PER_SECOND: f64 = 1.0;

/// Limit of the requests at a target, learned from its rejections.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueRoom {
    /// When the target last turned a request away, and how many it held then.
    rejected: Option<(Time, u32)>,
    /// Until when nothing more is sent.
    paused_until: Time,
}

impl QueueRoom {
    /// Records that the target turned a request away while it held `held`.
    ///
    /// Nothing more is sent until it has run half of the requests beyond its slots, each of which takes
    /// `pace`. A rejection with free slots says nothing of its room.
    pub fn record_rejection(&mut self, now: Time, held: u32, slots: u32, pace: Duration) {
        let queued = held.saturating_sub(slots);
        if queued > 0 {
            self.rejected = Some((now, held));
            let rounds = f64::from(queued) / f64::from(2 * slots.max(1));
            self.paused_until = now + pace.mul_f64(rounds);
        }
    }

    /// Returns whether the target has room for one more request beside `load`. Slots always have.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::targets::QueueRoom;
    /// use seam_protocol::Time;
    /// let mut room = QueueRoom::default();
    /// assert!(room.allows(Time(0), 100, 6));
    /// room.record_rejection(Time(0), 30, 6, Duration::from_millis(60));
    /// assert!(!room.allows(Time(100_000), 20, 6));
    /// assert!(room.allows(Time(130_000), 20, 6));
    /// assert!(!room.allows(Time(130_000), 25, 6));
    /// ```
    #[must_use]
    pub fn allows(&self, now: Time, load: u32, slots: u32) -> bool {
        let Some((at, held)) = self.rejected else {
            return true;
        };
        let recovered = now.since(at).as_secs_f64() * RECOVERY_PER_SECOND;
        let limit = f64::from(held) * USED_FRACTION + recovered;
        load < slots || (now >= self.paused_until && f64::from(load) < limit)
    }
}
