//! The progress of an attempt, recorded by the task that runs it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use seam_protocol::Time;

/// The progress of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    sent: Arc<AtomicBool>,
    /// Time of the first response bytes in microseconds, zero before they arrive.
    first: Arc<AtomicU64>,
}

impl Progress {
    /// Records that the first byte may be sent from now on.
    pub fn mark_sent(&self) {
        self.sent.store(true, Ordering::SeqCst);
    }

    /// Records that the first response bytes arrived.
    pub fn mark_responded(&self, now: Time) {
        self.first.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Returns the milliseconds from `since` to the first response bytes, zero before they arrive.
    #[must_use]
    pub fn first_ms(&self, since: Time) -> u64 {
        let first = Time(self.first.load(Ordering::Relaxed));
        first.since(since).as_millis() as u64
    }

    /// Returns whether the first byte may have been sent.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }
}
