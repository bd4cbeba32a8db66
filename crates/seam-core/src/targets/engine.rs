//! A model of one engine: how long a prompt waits there for its first token.
//!
//! Reading a prompt is what an engine has least of. Parts that it has in its cache are not read
//! again, so a prompt waits for the parts of others that are still to be read and for its own parts
//! that are not cached.

use std::time::Duration;

/// Tokens of a prompt that an engine reads in a millisecond, until measured.
const PACE: f64 = 50.0;
/// Milliseconds to the first token of an empty prompt, until measured.
const BASE_MS: f64 = 30.0;
/// Milliseconds that each running request adds.
const STEP_MS: f64 = 0.5;
/// Part of its slots up to which an engine is not put behind others.
const EASY_PART: f64 = 0.5;
/// Milliseconds by which an engine is put behind others for all of its slots.
const PRESSURE_MS: f64 = 1000.0;
/// Weight of a new sample in the measured slowness.
const SAMPLE: f64 = 0.15;
/// Weight of a new sample in the pace of a service's engines.
const PACE_SAMPLE: f64 = 0.03;
/// Part of the measured slowness that fades in a refresh of beliefs.
const FADE: f64 = 0.02;
/// Bounds of the measured slowness.
const SLOWNESS: (f64, f64) = (0.1, 20.0);

/// What this node knows of an engine's work.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Tokens of this node's requests that are still to be read.
    unread: u64,
    /// Tokens that this node's running requests may hold.
    held: u64,
    /// Measured time to the first token against the predicted one, over all engines of the service.
    pace: f64,
    /// The same of this engine, against the others.
    slowness: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            unread: 0,
            held: 0,
            pace: 1.0,
            slowness: 1.0,
        }
    }
}

/// What one request brings to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Tokens that must be read.
    pub unread: u32,
    /// Tokens that it may hold in memory.
    pub held: u64,
    /// Predicted milliseconds to the first token at a usual engine.
    pub predicted: f64,
}

impl EngineModel {
    /// Returns the milliseconds to the first token of a request at a usual engine, behind some
    /// tokens that are still to be read there.
    ///
    /// ```
    /// use seam_core::targets::EngineModel;
    /// assert!(EngineModel::usual(0, 9000, 0) > EngineModel::usual(0, 3000, 0));
    /// assert!(EngineModel::usual(9000, 3000, 0) > EngineModel::usual(0, 3000, 0));
    /// ```
    #[must_use]
    pub fn usual(queued: u64, unread: u32, running: u32) -> f64 {
        let tokens = queued + u64::from(unread);
        BASE_MS + tokens as f64 / PACE + f64::from(running) * STEP_MS
    }

    /// Returns the milliseconds to the first token of a request at this engine.
    #[must_use]
    pub fn first(&self, queued: u64, unread: u32, running: u32) -> f64 {
        Self::usual(queued, unread, running) * self.pace * self.slowness
    }

    /// Returns the milliseconds that a request waits before its own prompt is read.
    #[must_use]
    pub fn queue(&self, queued: u64, running: u32) -> f64 {
        (Self::usual(queued, 0, running) - BASE_MS) * self.pace * self.slowness
    }

    /// Returns the milliseconds by which an engine with that many running requests is put behind
    /// others. Answers get slower with each, and hold their slots longer, well before all are taken.
    ///
    /// ```
    /// use seam_core::targets::EngineModel;
    /// assert!(EngineModel::pressure(10, 128) < 1.0);
    /// assert!(EngineModel::pressure(120, 128) > 300.0);
    /// ```
    #[must_use]
    pub fn pressure(running: u32, slots: u32) -> f64 {
        let taken = f64::from(running) / f64::from(slots.max(1));
        (taken - EASY_PART).max(0.0) * PRESSURE_MS
    }

    /// Returns the time that reading some tokens takes at this engine.
    #[must_use]
    pub fn reading(&self, tokens: u32) -> f64 {
        f64::from(tokens) / PACE * self.pace * self.slowness
    }

    /// Returns the tokens of this node's requests that are still to be read.
    #[must_use]
    pub fn unread(&self) -> u64 {
        self.unread
    }

    /// Returns the tokens that this node's running requests may hold.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Takes in a request that is being sent.
    pub fn begin(&mut self, work: Work) {
        self.unread += u64::from(work.unread);
        self.held += work.held;
    }

    /// Takes in that a request's prompt was read.
    ///
    /// Returns the new pace of the service's engines. An engine is measured against the others, so
    /// that one which is not used is not taken for slower than one which is.
    pub fn read(&mut self, work: Work, took: Duration) -> f64 {
        const MILLIS: f64 = 1000.0;
        self.unread = self.unread.saturating_sub(u64::from(work.unread));
        if work.predicted <= 0.0 {
            return self.pace;
        }
        let ratio = took.as_secs_f64() * MILLIS / work.predicted;
        let ratio = ratio.clamp(SLOWNESS.0, SLOWNESS.1);
        self.slowness += SAMPLE * (ratio / self.pace - self.slowness);
        self.pace + PACE_SAMPLE * (ratio - self.pace)
    }

    /// Sets the pace of the service's engines.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Lets the measured slowness fade, so that an engine that was slow is tried again.
    pub fn fade(&mut self) {
        self.slowness += FADE * (1.0 - self.slowness);
        self.pace += FADE * (1.0 - self.pace);
    }

    /// Takes in that a request ended, with its prompt read or not.
    pub fn end(&mut self, work: Work, read: bool) {
        if !read {
            self.unread = self.unread.saturating_sub(u64::from(work.unread));
        }
        self.held = self.held.saturating_sub(work.held);
    }
}
