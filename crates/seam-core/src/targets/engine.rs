//! Model of one engine, which predicts the time to the first token of a prompt.
//!
//! Prefill is an engine's scarcest resource. Cached parts of a prompt need no prefill, so a prompt
//! waits for the queued prefill tokens of other requests and for its own uncached parts.

use std::time::Duration;

use super::pace::{EngineSlowness, PrefillSample, PrefillTimes};

/// Fraction of the slots in use up to which an engine gets no load penalty.
const LIGHT_LOAD: f64 = 0.5;
/// Load penalty in milliseconds, multiplied by the fraction of slots in use above [`LIGHT_LOAD`].
const LOAD_PENALTY_MS: f64 = 1000.0;

/// This node's work at an engine, and the measured speed of the engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineModel {
    /// Queued prefill tokens of this node's requests.
    prefill_queue: u64,
    /// Largest number of KV tokens of this node's running requests.
    kv_tokens: u64,
    /// Usual times of the service's engines.
    times: PrefillTimes,
    /// Slowness relative to `times`.
    slowness: EngineSlowness,
}

/// Work that one request adds to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptWork {
    /// Tokens that need prefill.
    pub prefill_tokens: u32,
    /// Largest number of KV tokens.
    pub kv_tokens: u64,
    /// Predicted time to the first token, in milliseconds. Zero if there is no prediction.
    pub predicted_ms: f64,
    /// Tokens of earlier requests that the engine had not prefilled when the request was placed.
    pub queued_tokens: u64,
    /// Running requests at that time.
    pub running: u32,
    /// Factor of the moment at that time, if a recent report told it.
    pub factor: Option<f64>,
}

impl PromptWork {
    /// Returns the mean factor of the moment from the placement of a request until `end`, the factor at its
    /// end, and the deviation of the mean as a fraction of it.
    ///
    /// ```
    /// use seam_core::targets::PromptWork;
    /// let work = PromptWork { factor: Some(1.0), ..PromptWork::default() };
    /// assert_eq!(work.mean_factor(Some(1.0)), (1.0, 0.0));
    /// assert_eq!(work.mean_factor(Some(2.5)).0, 1.75);
    /// assert_eq!(PromptWork::default().mean_factor(Some(2.5)).0, 2.5);
    /// ```
    #[must_use]
    pub fn mean_factor(&self, end: Option<f64>) -> (f64, f64) {
        match (self.factor, end) {
            (Some(begin), Some(end)) => {
                let mean = f64::midpoint(begin, end);
                (mean, (end - begin).abs() / 2.0 / mean)
            }
            (one, other) => (one.or(other).unwrap_or(1.0), 0.0),
        }
    }
}

impl EngineModel {
    /// Returns the predicted time to the first token at this engine in milliseconds, in a usual moment.
    ///
    /// `queued` is the number of prefill tokens queued there, and `prefill_tokens` that of the
    /// request.
    ///
    /// ```
    /// use seam_core::targets::EngineModel;
    /// let engine = EngineModel::default();
    /// assert!(engine.first_token_ms(0, 9000, 0) > engine.first_token_ms(0, 3000, 0));
    /// assert!(engine.first_token_ms(9000, 3000, 0) > engine.first_token_ms(0, 3000, 0));
    /// ```
    #[must_use]
    pub fn first_token_ms(&self, queued: u64, prefill_tokens: u32, running: u32) -> f64 {
        let tokens = queued + u64::from(prefill_tokens);
        self.times.first_token_ms(tokens, running) * self.slowness.factor()
    }

    /// Returns the predicted wait before the prefill of a new request, in milliseconds.
    #[must_use]
    pub fn queue_ms(&self, queued: u64, running: u32) -> f64 {
        (self.times.first_token_ms(queued, running) - self.times.base) * self.slowness.factor()
    }

    /// Returns a penalty in milliseconds that makes loaded engines less preferred.
    ///
    /// Each running request slows down the others, so that they use their slots longer, well before
    /// all slots are in use.
    ///
    /// ```
    /// use seam_core::targets::EngineModel;
    /// assert!(EngineModel::load_penalty_ms(10, 128) < 1.0);
    /// assert!(EngineModel::load_penalty_ms(120, 128) > 300.0);
    /// ```
    #[must_use]
    pub fn load_penalty_ms(running: u32, slots: u32) -> f64 {
        let fraction = f64::from(running) / f64::from(slots.max(1));
        (fraction - LIGHT_LOAD).max(0.0) * LOAD_PENALTY_MS
    }

    /// Returns the predicted prefill time of tokens at this engine, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.times.token * self.slowness.factor()
    }

    /// Returns the queued prefill tokens of this node's requests.
    #[must_use]
    pub fn prefill_queue(&self) -> u64 {
        self.prefill_queue
    }

    /// Returns the largest number of KV tokens of this node's running requests.
    #[must_use]
    pub fn kv_tokens(&self) -> u64 {
        self.kv_tokens
    }

    /// Adds the work of a request that is being sent.
    pub fn begin_request(&mut self, work: PromptWork) {
        self.prefill_queue += u64::from(work.prefill_tokens);
        self.kv_tokens += work.kv_tokens;
    }

    /// Records that a request's prompt was prefilled. Returns the measurement, if there was a prediction.
    ///
    /// `factor` is the factor of the moment that the engine reported with its answer, if it did.
    pub fn record_prefill(
        &mut self,
        work: PromptWork,
        duration: Duration,
        factor: Option<f64>,
    ) -> Option<PrefillSample> {
        const MILLIS: f64 = 1000.0;
        self.prefill_queue = self
            .prefill_queue
            .saturating_sub(u64::from(work.prefill_tokens));
        let (mean, doubt) = work.mean_factor(factor);
        (work.predicted_ms > 0.0).then(|| PrefillSample {
            tokens: work.queued_tokens + u64::from(work.prefill_tokens),
            running: work.running,
            millis: duration.as_secs_f64() * MILLIS / mean,
            doubt,
        })
    }

    /// Sets the usual times of the service's engines.
    pub fn set_times(&mut self, times: PrefillTimes) {
        self.times = times;
    }

    /// Returns how much slower this engine is than the usual one of its service.
    #[must_use]
    pub fn slowness(&self) -> EngineSlowness {
        self.slowness
    }

    /// Sets how much slower this engine is than the usual one of its service.
    pub fn set_slowness(&mut self, slowness: EngineSlowness) {
        self.slowness = slowness;
    }

    /// Removes the work of a request that has ended. `prefilled` is whether its prompt was
    /// prefilled.
    pub fn end_request(&mut self, work: PromptWork, prefilled: bool) {
        if !prefilled {
            self.prefill_queue = self
                .prefill_queue
                .saturating_sub(u64::from(work.prefill_tokens));
        }
        self.kv_tokens = self.kv_tokens.saturating_sub(work.kv_tokens);
    }
}
