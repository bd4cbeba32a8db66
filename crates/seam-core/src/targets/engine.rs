//! Model of one engine, which predicts the time to the first token of a prompt.
//!
//! Prefill is an engine's scarcest resource. Cached parts of a prompt need no prefill, so a prompt
//! waits for the queued prefill tokens of other requests and for its own uncached parts.

use std::time::Duration;

/// Assumed prefill rate in tokens per millisecond. Measurements scale the predictions made with it.
const TOKENS_PER_MS: f64 = 50.0;
/// Assumed time to the first token of an empty prompt, in milliseconds.
const BASE_MS: f64 = 30.0;
/// Time that each running request adds, in milliseconds.
const RUNNING_MS: f64 = 0.5;
/// Fraction of the slots in use up to which an engine gets no load penalty.
const LIGHT_LOAD: f64 = 0.5;
/// Load penalty in milliseconds, multiplied by the fraction of slots in use above [`LIGHT_LOAD`].
const LOAD_PENALTY_MS: f64 = 1000.0;
/// Weight of a new sample in the moving average of an engine's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the moving average of a service's pace.
const PACE_WEIGHT: f64 = 0.03;
/// Fraction of the deviation from 1 that slowness and pace lose at each refresh.
const DECAY_RATE: f64 = 0.02;
/// Range to which a sample is clamped.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);

/// This node's work at an engine, and the measured speed of the engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Queued prefill tokens of this node's requests.
    prefill_queue: u64,
    /// Largest number of KV tokens of this node's running requests.
    kv_tokens: u64,
    /// Ratio of measured to predicted time to the first token, over all engines of the service.
    pace: f64,
    /// The same ratio of this engine, relative to `pace`.
    slowness: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_queue: 0,
            kv_tokens: 0,
            pace: 1.0,
            slowness: 1.0,
        }
    }
}

/// Work that one request adds to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptWork {
    /// Tokens that need prefill.
    pub prefill_tokens: u32,
    /// Largest number of KV tokens.
    pub kv_tokens: u64,
    /// Predicted time to the first token at a typical engine, in milliseconds.
    pub predicted_ms: f64,
}

impl EngineModel {
    /// Returns the predicted time to the first token at a typical engine, in milliseconds.
    ///
    /// `queued` is the number of prefill tokens queued there, and `prefill_tokens` that of the
    /// request.
    ///
    /// ```
    /// use seam_core::targets::EngineModel;
    /// let typical = EngineModel::typical_first_token_ms;
    /// assert!(typical(0, 9000, 0) > typical(0, 3000, 0));
    /// assert!(typical(9000, 3000, 0) > typical(0, 3000, 0));
    /// ```
    #[must_use]
    pub fn typical_first_token_ms(queued: u64, prefill_tokens: u32, running: u32) -> f64 {
        let tokens = queued + u64::from(prefill_tokens);
        BASE_MS + tokens as f64 / TOKENS_PER_MS + f64::from(running) * RUNNING_MS
    }

    /// Returns the predicted time to the first token at this engine, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, queued: u64, prefill_tokens: u32, running: u32) -> f64 {
        Self::typical_first_token_ms(queued, prefill_tokens, running) * self.pace * self.slowness
    }

    /// Returns the predicted wait before the prefill of a new request, in milliseconds.
    #[must_use]
    pub fn queue_ms(&self, queued: u64, running: u32) -> f64 {
        (Self::typical_first_token_ms(queued, 0, running) - BASE_MS) * self.pace * self.slowness
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
        f64::from(tokens) / TOKENS_PER_MS * self.pace * self.slowness
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

    /// Records that a request's prompt was prefilled, and returns the service's new pace.
    ///
    /// The slowness of an engine is relative to the pace of all, so that an unused engine, which is
    /// not measured, does not appear slower than the used ones when all of them change.
    pub fn record_prefill(&mut self, work: PromptWork, duration: Duration) -> f64 {
        const MILLIS: f64 = 1000.0;
        self.prefill_queue = self
            .prefill_queue
            .saturating_sub(u64::from(work.prefill_tokens));
        if work.predicted_ms <= 0.0 {
            return self.pace;
        }
        let ratio = duration.as_secs_f64() * MILLIS / work.predicted_ms;
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SLOWNESS_WEIGHT * (ratio / self.pace - self.slowness);
        self.pace + PACE_WEIGHT * (ratio - self.pace)
    }

    /// Sets the pace of the service's engines.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Decays slowness and pace towards 1, so that an engine that was slow is tried again.
    pub fn decay(&mut self) {
        self.slowness += DECAY_RATE * (1.0 - self.slowness);
        self.pace += DECAY_RATE * (1.0 - self.pace);
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
