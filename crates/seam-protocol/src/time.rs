//! The time that every decision is handed.

use std::ops::{Add, Sub};
use std::time::Duration;

crate::define_id! {
    /// Microseconds on one process's monotonic clock. Two processes' times do not compare.
    Time(u64);
}

impl Time {
    /// Returns the span since an earlier time, zero if that time is later.
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

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_micros() as u64))
    }
}
