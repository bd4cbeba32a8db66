//! How much slower than usual a target works at this moment.
//!
//! Targets report it with their answers. Slow moments last for about half a second, so a report says
//! less and less about the time after it.

use std::time::Duration;

use seam_protocol::Time;

/// Usual length of a slow moment, after which a report says nothing any more.
const MOMENT_LENGTH: Duration = Duration::from_millis(600);
/// Range of factors that are believed. Beyond it a report would exclude a target.
const FACTOR_RANGE: (f64, f64) = (0.25, 10.0);
/// Difference from 1 above which a factor counts as that of an unusual moment.
const UNUSUAL: f64 = 0.05;

/// The last reported factor of a target and its time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moment {
    reported: Option<(Time, f64)>,
}

impl Moment {
    /// Records that work took `percent` of its usual time at the target. Reports can arrive out of order;
    /// returns whether this one is the newest.
    pub fn record(&mut self, reported: Time, percent: u32) -> bool {
        if self.reported.is_some_and(|(at, _)| at > reported) {
            return false;
        }
        let factor = f64::from(percent) / 100.0;
        let factor = factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        self.reported = Some((reported, factor));
        true
    }

    /// Returns whether the target has ever reported a factor.
    #[must_use]
    pub fn known(&self) -> bool {
        self.reported.is_some()
    }

    /// Returns the factor by which work is expected to take longer now. It fades to 1 within 0.6 s, as the
    /// probability falls that the reported moment still lasts.
    ///
    /// ```
    /// use seam_core::targets::Moment;
    /// use seam_protocol::Time;
    /// let mut moment = Moment::default();
    /// assert!((moment.factor(Time(0)) - 1.0).abs() < 1e-9);
    /// moment.record(Time(0), 250);
    /// assert!((moment.factor(Time(0)) - 2.5).abs() < 1e-9);
    /// assert!((moment.factor(Time(300_000)) - 1.75).abs() < 1e-9);
    /// assert!((moment.factor(Time(600_000)) - 1.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn factor(&self, now: Time) -> f64 {
        self.recent(now).map_or(1.0, |(factor, left)| {
            let share = left / MOMENT_LENGTH.as_secs_f64();
            1.0 + (factor - 1.0) * share
        })
    }

    /// Returns the factor if a report is recent enough to say something about this time.
    #[must_use]
    pub fn recent_factor(&self, now: Time) -> Option<f64> {
        self.recent(now).map(|_| self.factor(now))
    }

    /// Returns the reported factor with the time in seconds for which the moment may still last.
    fn recent(&self, now: Time) -> Option<(f64, f64)> {
        let (at, factor) = self.reported?;
        let left = MOMENT_LENGTH.saturating_sub(now.since(at));
        (!left.is_zero()).then_some((factor, left.as_secs_f64()))
    }

    /// Returns how long work takes that usually takes `millis` milliseconds, if it begins now. Long work
    /// outlasts the moment, which on average has half of its longest possible time left.
    ///
    /// ```
    /// use seam_core::targets::Moment;
    /// use seam_protocol::Time;
    /// let mut moment = Moment::default();
    /// moment.record(Time(0), 250);
    /// assert!((moment.slowed_ms(Time(0), 50.0) - 125.0).abs() < 1e-9);
    /// assert!((moment.slowed_ms(Time(0), 1000.0) - 1180.0).abs() < 1e-9);
    /// assert!((moment.slowed_ms(Time(600_000), 50.0) - 50.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn slowed_ms(&self, now: Time, millis: f64) -> f64 {
        let Some((factor, left)) = self.recent(now) else {
            return millis;
        };
        let expected = self.factor(now);
        if factor <= 1.0 {
            return millis * expected;
        }
        let left_ms = left * 1000.0 / 2.0;
        millis + (millis * (expected - 1.0)).min(left_ms * (1.0 - 1.0 / factor))
    }

    /// Returns the last reported factor in percent with its time.
    #[must_use]
    pub fn reported(&self) -> Option<(Time, u32)> {
        let (at, factor) = self.reported?;
        Some((at, (factor * 100.0).round() as u32))
    }

    /// Returns whether work is known to take another time than usual now.
    #[must_use]
    pub fn is_unusual(&self, now: Time) -> bool {
        let recent = self.recent(now);
        recent.is_some_and(|(factor, _)| (factor - 1.0).abs() > UNUSUAL)
    }
}
