//! Keeps prompts with long prefill and streams of long answers on different engines of a service.
//!
//! An engine that prefills a prompt does not go on with its running streams meanwhile. Beside one long
//! prompt after the other, a stream pauses or takes several times as long, though its engine runs few
//! requests. Each kind of work therefore prefers its own part of the engines, in proportion to the work.

use std::time::Duration;

use seam_protocol::Time;

use crate::admission::DecayingCount;
use crate::prompt::Prompt;

/// Prompt tokens whose prefill takes as long as decoding one token, at the batch sizes seen.
const DECODE_WEIGHT: f64 = 8.0;
/// Prompt tokens for each token of the answer from which prefill is most of the work of a request.
const LONG_PREFILL: u32 = 20;
/// Time in which the weight of recorded work halves.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Least work in prompt tokens from which the parts of both kinds are known well enough.
const MIN_WORK: f64 = 100_000.0;
/// Number of engines below which all take both kinds of work.
const MIN_ENGINES: usize = 4;
/// Milliseconds by which an engine of the other part is dearer. It takes over if the wait in the own part is
/// longer by this.
pub const OTHER_PART_MS: f64 = 150.0;

/// Kind of work that a prompt is for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptKind {
    /// Mostly prefill.
    Prefill,
    /// Mostly decoding.
    Stream,
}

impl PromptKind {
    /// Returns the kind of work of a prompt.
    ///
    /// ```
    /// use seam_core::prompt::Prompt;
    /// use seam_core::targets::PromptKind;
    /// let prompt = |input_tokens, output_limit| Prompt { parts: Vec::new(), input_tokens, output_limit };
    /// assert_eq!(PromptKind::of(&prompt(9200, 54)), PromptKind::Prefill);
    /// assert_eq!(PromptKind::of(&prompt(830, 294)), PromptKind::Stream);
    /// ```
    #[must_use]
    pub fn of(prompt: &Prompt) -> Self {
        if prompt.input_tokens >= LONG_PREFILL.saturating_mul(prompt.output_limit.max(1)) {
            Self::Prefill
        } else {
            Self::Stream
        }
    }
}

/// Work that was lately sent to the engines of a service, by kind, in prompt tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindLoad {
    prefill: DecayingCount,
    streams: DecayingCount,
}

impl KindLoad {
    /// Records a prompt of which `prefill_tokens` have to be prefilled.
    pub fn record(&mut self, now: Time, prompt: &Prompt, prefill_tokens: u32) {
        let decoding = DECODE_WEIGHT * f64::from(prompt.output_limit);
        let work = f64::from(prefill_tokens) + decoding;
        match PromptKind::of(prompt) {
            PromptKind::Prefill => self.prefill.add(now, HALF_LIFE, work),
            PromptKind::Stream => self.streams.add(now, HALF_LIFE, work),
        }
    }

    /// Returns how many of a number of engines are preferred by streams, `None` if all engines take both
    /// kinds of work.
    ///
    /// ```
    /// use seam_core::prompt::Prompt;
    /// use seam_core::targets::KindLoad;
    /// use seam_protocol::Time;
    /// let prompt = |input_tokens, output_limit| Prompt { parts: Vec::new(), input_tokens, output_limit };
    /// let mut load = KindLoad::default();
    /// for _ in 0..40 {
    ///     load.record(Time(0), &prompt(9200, 50), 3600);
    /// }
    /// assert_eq!(load.stream_engines(Time(0), 20), None);
    /// for _ in 0..20 {
    ///     load.record(Time(0), &prompt(400, 300), 400);
    /// }
    /// assert_eq!(load.stream_engines(Time(0), 20), Some(5));
    /// ```
    #[must_use]
    pub fn stream_engines(&self, now: Time, engines: usize) -> Option<usize> {
        let prefill = self.prefill.value(now, HALF_LIFE);
        let streams = self.streams.value(now, HALF_LIFE);
        let work = prefill + streams;
        if engines < MIN_ENGINES || work < MIN_WORK {
            return None;
        }
        let count = (engines as f64 * streams / work).round() as usize;
        (count > 0 && count < engines).then_some(count)
    }
}
