//! Timestamps, which are passed to all decisions explicitly.

use std::ops::{Add, Sub};
use std::time::Duration;

crate::define_id! {
    /// Microseconds on the monotonic clock of a process. Not comparable between processes.
    Time(u64);
}

impl Time {
    /// Returns the duration since an earlier time; zero if that time is later.
    ///
    /// ```
    /// use seam_protocol::Time;
    /// use std::time::Duration;
    /// assert_eq!(Time(5_000).since(Time(2_000)), Duration::from_millis(3));
    /// assert_eq!(Time(1).since(Time(9)), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(duration.as_micros() as u64))
    }
}
