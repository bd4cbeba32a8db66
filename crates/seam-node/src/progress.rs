//! How far an attempt has come, told by the task that carries it out.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use seam_protocol::Time;

/// How far an attempt has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    sent: Arc<AtomicBool>,
    /// Time of the first bytes of the answer, in microseconds, zero before them.
    first: Arc<AtomicU64>,
}

impl Progress {
    /// Notes that the first byte may leave from now on.
    pub fn mark_sent(&self) {
        self.sent.store(true, Ordering::SeqCst);
    }

    /// Notes that the first bytes of the answer arrived.
    pub fn mark_responded(&self, now: Time) {
        self.first.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Returns the milliseconds from a time to the first bytes of the answer, zero before them.
    #[must_use]
    pub fn first_ms(&self, since: Time) -> u64 {
        let first = Time(self.first.load(Ordering::Relaxed));
        first.since(since).as_millis() as u64
    }

    /// Tells whether the first byte may have left.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }
}
