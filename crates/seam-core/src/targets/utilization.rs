//! How much of an engine's time goes to prefill.
//!
//! An engine prefills new prompts before it goes on with its running streams. While it does so for most of
//! the time, the first tokens come as early as usual and the streams hardly go on, so that neither a queue
//! nor the time to the first token shows that the engine is overloaded.

use std::time::Duration;

use seam_protocol::Time;

use crate::admission::DecayingCount;

/// Time in which the weight of a prefilled token halves.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Largest utilization that is told apart from a full one.
const MAX_UTILIZATION: f64 = 0.9;
/// Time of a decoding step in milliseconds, about that of a batch of ten to twenty requests.
const STEP_MS: f64 = 5.0;
/// Weight of the time that a stream takes longer than alone, relative to a wait for its first token, which
/// is what its latency objective bounds.
const STREAM_WEIGHT: f64 = 0.25;

/// Mean utilization of a region's engines by prefill above which room there is scarce.
pub const SCARCE_UTILIZATION: f64 = 0.75;
/// Mean utilization up to which a region has ample room for the requests of others.
pub const AMPLE_UTILIZATION: f64 = 0.5;

/// Tokens that were lately sent to an engine for prefill, by all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillMeter {
    tokens: DecayingCount,
}

impl PrefillMeter {
    /// Records tokens that an engine has to prefill.
    pub fn record(&mut self, now: Time, tokens: u32) {
        self.tokens.add(now, HALF_LIFE, f64::from(tokens));
    }

    /// Returns the fraction of its time that an engine spends on prefill, from 0 to 0.9, given the
    /// milliseconds that a token takes.
    ///
    /// ```
    /// use seam_core::targets::PrefillMeter;
    /// use seam_protocol::Time;
    /// let mut meter = PrefillMeter::default();
    /// for step in 0..100 {
    ///     meter.record(Time(step * 100_000), 2000);
    /// }
    /// let utilization = meter.utilization(Time(9_950_000), 0.025);
    /// assert!((utilization - 0.5).abs() < 0.03, "{utilization}");
    /// assert!(meter.utilization(Time(13_000_000), 0.025) < 0.1);
    /// ```
    #[must_use]
    pub fn utilization(&self, now: Time, token_ms: f64) -> f64 {
        let rate =
            self.tokens.value(now, HALF_LIFE) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        (rate * token_ms / 1000.0).min(MAX_UTILIZATION)
    }
}

/// Returns how much more prefill costs all requests of an engine than the one that causes it.
///
/// In an M/D/1 queue with utilization u, each unit of work adds 1 / (1 - u) units to the work ahead of the
/// others.
///
/// ```
/// use seam_core::targets::prefill_weight;
/// assert!((prefill_weight(0.0) - 1.0).abs() < 1e-9);
/// assert!((prefill_weight(0.75) - 4.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn prefill_weight(utilization: f64) -> f64 {
    1.0 / (1.0 - utilization.clamp(0.0, MAX_UTILIZATION))
}

/// Returns the cost in milliseconds of the time by which an answer of some tokens takes longer beside the
/// prefill of other prompts.
///
/// ```
/// use seam_core::targets::stream_delay_ms;
/// assert!(stream_delay_ms(0.0, 300) < 1e-9);
/// assert!((stream_delay_ms(0.5, 300) - 375.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn stream_delay_ms(utilization: f64, output_tokens: u32) -> f64 {
    let longer = prefill_weight(utilization) - 1.0;
    STREAM_WEIGHT * longer * STEP_MS * f64::from(output_tokens)
}
