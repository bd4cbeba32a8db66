//! Counts events within a sliding time window.

use std::collections::VecDeque;
use std::time::Duration;

use seam_protocol::Time;

/// Times of events within a sliding window.
///
/// ```
/// use std::time::Duration;
/// use seam_core::targets::SlidingWindow;
/// use seam_protocol::Time;
/// let window = Duration::from_secs(1);
/// let mut events = SlidingWindow::default();
/// events.record(Time(0), window);
/// events.record(Time(600_000), window);
/// assert_eq!(events.count(Time(900_000), window), 2);
/// assert_eq!(events.count(Time(1_500_000), window), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    times: VecDeque<Time>,
}

impl SlidingWindow {
    /// Records an event, and removes those older than the window.
    pub fn record(&mut self, now: Time, window: Duration) {
        while self
            .times
            .front()
            .is_some_and(|time| now.since(*time) >= window)
        {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Removes an event that was recorded at this time, if there is one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::targets::SlidingWindow;
    /// use seam_protocol::Time;
    /// let window = Duration::from_secs(1);
    /// let mut events = SlidingWindow::default();
    /// events.record(Time(5), window);
    /// events.withdraw(Time(4));
    /// assert_eq!(events.count(Time(6), window), 1);
    /// events.withdraw(Time(5));
    /// assert_eq!(events.count(Time(6), window), 0);
    /// ```
    pub fn withdraw(&mut self, time: Time) {
        if let Ok(index) = self.times.binary_search(&time) {
            self.times.remove(index);
        }
    }

    /// Returns the number of events within the window.
    #[must_use]
    pub fn count(&self, now: Time, window: Duration) -> usize {
        let recent = self.times.iter().filter(|time| now.since(**time) < window);
        recent.count()
    }

    /// Returns from when on fewer than `limit` events are within the window, or `None` for a limit of
    /// zero.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::targets::SlidingWindow;
    /// use seam_protocol::Time;
    /// let window = Duration::from_secs(1);
    /// let mut events = SlidingWindow::default();
    /// events.record(Time(0), window);
    /// events.record(Time(600_000), window);
    /// assert_eq!(events.next_free(Time(900_000), window, 3), Some(Time(900_000)));
    /// assert_eq!(events.next_free(Time(900_000), window, 2), Some(Time(1_000_000)));
    /// assert_eq!(events.next_free(Time(900_000), window, 0), None);
    /// ```
    #[must_use]
    pub fn next_free(&self, now: Time, window: Duration, limit: usize) -> Option<Time> {
        // The event that has to leave the window first.
        let index = self.times.len().checked_sub(limit);
        match index {
            _ if limit == 0 => None,
            None => Some(now),
            Some(index) => Some(now.max(self.times[index] + window)),
        }
    }
}
