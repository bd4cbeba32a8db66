//! The process's clock.

use rustix::time::{ClockId, clock_gettime};
use seam_protocol::Time;

/// A clock that goes on while the machine is suspended, and is never set.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: u64,
}

fn micros() -> u64 {
    const MICROS: u64 = 1_000_000;
    const NANOS_A_MICRO: u64 = 1000;
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * MICROS + now.tv_nsec as u64 / NANOS_A_MICRO
}

impl Clock {
    /// Starts at zero.
    ///
    /// ```
    /// let clock = seam_node::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn start() -> Self {
        Self { start: micros() }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(micros().saturating_sub(self.start))
    }
}
