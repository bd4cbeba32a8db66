//! A model of one engine: how long a prompt waits there for its first token.
//!
//! Reading a prompt is what an engine has least of. Parts that it has in its cache are not read
//! again, so a prompt waits for the parts of others that are still to be read and for its own parts
//! that are not cached.

use std::time::Duration;

/// Tokens of a prompt that an engine reads in a millisecond, until measured.
const TOKENS_PER_MS: f64 = 50.0;
/// Milliseconds to the first token of an empty prompt, until measured.
const BASE_MS: f64 = 30.0;
/// Milliseconds that each running request adds.
const RUNNING_MS: f64 = 0.5;
/// Part of its slots up to which an engine is not put behind others.
const LIGHT_LOAD: f64 = 0.5;
/// Milliseconds by which an engine is put behind others for all of its slots.
const FULL_LOAD_PENALTY_MS: f64 = 1000.0;
/// Weight of a new sample in the measured slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the pace of a service's engines.
const PACE_WEIGHT: f64 = 0.03;
/// Part of the measured slowness that fades in a refresh of beliefs.
const DECAY_RATE: f64 = 0.02;
/// Bounds of the measured slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);

/// What this node knows of an engine's work.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Tokens of this node's requests that are still to be read.
    prefill_queue: u64,
    /// Tokens that this node's running requests may hold.
    kv_tokens: u64,
    /// Measured time to the first token against the predicted one, over all engines of the service.
    pace: f64,
    /// The same of this engine, against the others.
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

/// What one request brings to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptWork {
    /// Tokens that must be read.
    pub prefill_tokens: u32,
    /// Tokens that it may hold in memory.
    pub kv_tokens: u64,
    /// Predicted milliseconds to the first token at a usual engine.
    pub predicted_ms: f64,
}

impl EngineModel {
    /// Returns the milliseconds to the first token of a request at a usual engine, behind some
    /// tokens that are still to be read there.
    ///
    /// ```
    /// use seam_core::targets::EngineModel;
    /// assert!(EngineModel::typical_first_token_ms(0, 9000, 0) > EngineModel::typical_first_token_ms(0, 3000, 0));
    /// assert!(EngineModel::typical_first_token_ms(9000, 3000, 0) > EngineModel::typical_first_token_ms(0, 3000, 0));
    /// ```
    #[must_use]
    pub fn typical_first_token_ms(queued: u64, unread: u32, running: u32) -> f64 {
        let tokens = queued + u64::from(unread);
        BASE_MS + tokens as f64 / TOKENS_PER_MS + f64::from(running) * RUNNING_MS
    }

    /// Returns the milliseconds to the first token of a request at this engine.
    #[must_use]
    pub fn first_token_ms(&self, queued: u64, unread: u32, running: u32) -> f64 {
        Self::typical_first_token_ms(queued, unread, running) * self.pace * self.slowness
    }

    /// Returns the milliseconds that a request waits before its own prompt is read.
    #[must_use]
    pub fn queue_ms(&self, queued: u64, running: u32) -> f64 {
        (Self::typical_first_token_ms(queued, 0, running) - BASE_MS) * self.pace * self.slowness
    }

    /// Returns the milliseconds by which an engine with that many running requests is put behind
    /// others. Answers get slower with each, and hold their slots longer, well before all are taken.
    ///
    /// ```
    /// use seam_core::targets::EngineModel;
    /// assert!(EngineModel::load_penalty_ms(10, 128) < 1.0);
    /// assert!(EngineModel::load_penalty_ms(120, 128) > 300.0);
    /// ```
    #[must_use]
    pub fn load_penalty_ms(running: u32, slots: u32) -> f64 {
        let taken = f64::from(running) / f64::from(slots.max(1));
        (taken - LIGHT_LOAD).max(0.0) * FULL_LOAD_PENALTY_MS
    }

    /// Returns the time that reading some tokens takes at this engine.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / TOKENS_PER_MS * self.pace * self.slowness
    }

    /// Returns the tokens of this node's requests that are still to be read.
    #[must_use]
    pub fn prefill_queue(&self) -> u64 {
        self.prefill_queue
    }

    /// Returns the tokens that this node's running requests may hold.
    #[must_use]
    pub fn kv_tokens(&self) -> u64 {
        self.kv_tokens
    }

    /// Takes in a request that is being sent.
    pub fn begin_request(&mut self, work: PromptWork) {
        self.prefill_queue += u64::from(work.prefill_tokens);
        self.kv_tokens += work.kv_tokens;
    }

    /// Takes in that a request's prompt was read.
    ///
    /// Returns the new pace of the service's engines. An engine is measured against the others, so
    /// that one which is not used is not taken for slower than one which is.
    pub fn record_prefill(&mut self, work: PromptWork, took: Duration) -> f64 {
        const MILLIS: f64 = 1000.0;
        self.prefill_queue = self
            .prefill_queue
            .saturating_sub(u64::from(work.prefill_tokens));
        if work.predicted_ms <= 0.0 {
            return self.pace;
        }
        let ratio = took.as_secs_f64() * MILLIS / work.predicted_ms;
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SLOWNESS_WEIGHT * (ratio / self.pace - self.slowness);
        self.pace + PACE_WEIGHT * (ratio - self.pace)
    }

    /// Sets the pace of the service's engines.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Lets the measured slowness fade, so that an engine that was slow is tried again.
    pub fn decay(&mut self) {
        self.slowness += DECAY_RATE * (1.0 - self.slowness);
        self.pace += DECAY_RATE * (1.0 - self.pace);
    }

    /// Takes in that a request ended, with its prompt read or not.
    pub fn end_request(&mut self, work: PromptWork, read: bool) {
        if !read {
            self.prefill_queue = self
                .prefill_queue
                .saturating_sub(u64::from(work.prefill_tokens));
        }
        self.kv_tokens = self.kv_tokens.saturating_sub(work.kv_tokens);
    }
}
