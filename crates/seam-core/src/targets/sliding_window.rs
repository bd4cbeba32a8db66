//! What was sent within a span of time.

use std::collections::VecDeque;
use std::time::Duration;

use seam_protocol::Time;

/// Times of what was sent, those within a span.
///
/// ```
/// use std::time::Duration;
/// use seam_core::targets::SlidingWindow;
/// use seam_protocol::Time;
/// let span = Duration::from_secs(1);
/// let mut sent = SlidingWindow::default();
/// sent.record(Time(0), span);
/// sent.record(Time(600_000), span);
/// assert_eq!(sent.count(Time(900_000), span), 2);
/// assert_eq!(sent.count(Time(1_500_000), span), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    sent: VecDeque<Time>,
}

impl SlidingWindow {
    /// Notes what is being sent, and forgets what is older than the span.
    pub fn record(&mut self, now: Time, span: Duration) {
        self.sent.retain(|sent| now.since(*sent) < span);
        self.sent.push_back(now);
    }

    /// Counts what was sent within the span.
    #[must_use]
    pub fn count(&self, now: Time, span: Duration) -> usize {
        let lately = self.sent.iter().filter(|sent| now.since(**sent) < span);
        lately.count()
    }
}
