//! The monotonic clock of the process.

use rustix::time::{ClockId, clock_gettime};
use seam_protocol::Time;

/// A monotonic clock that includes time during which the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: u64,
}

fn micros() -> u64 {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    const NANOS_PER_MICRO: u64 = 1000;
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * MICROS_PER_SECOND + now.tv_nsec as u64 / NANOS_PER_MICRO
}

impl Clock {
    /// Starts a clock at zero.
    ///
    /// ```
    /// let clock = seam_node::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn start() -> Self {
        Self { start: micros() }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(micros().saturating_sub(self.start))
    }
}
