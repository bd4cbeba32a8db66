//! How likely an engine still has a part of a prompt in its cache, and what that saves.
//!
//! An engine keeps parts in the memory that its running requests leave, and evicts those first that were
//! not used for longest. So a part is cached as long as the parts used since fit beside it.

use crate::prompt::Prompt;

/// How sharply the probability falls around the point at which parts no longer fit. Parts that this node
/// did not see, and requests that ended meanwhile, move that point by about a quarter.
const STEEPNESS: i32 = 6;
/// Multiple of the room beyond which parts are certainly evicted. The probability there is 0.08.
const EVICTED_RATIO: f64 = 1.5;

/// Fraction of an engine's memory that cached parts are assumed to use, besides running requests, where
/// those are not weighed.
const CACHE_FRACTION: f64 = 0.7;

/// Room for cached parts at an engine, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CacheRoom {
    /// A fixed part of this much memory, in which the parts used last are certainly cached.
    Fixed(f64),
    /// What the running requests leave now.
    Left(f64),
}

impl CacheRoom {
    /// Returns the tokens of parts, from the one used last, beyond which parts are certainly evicted.
    #[must_use]
    pub fn limit(self) -> f64 {
        match self {
            Self::Fixed(memory) => memory * CACHE_FRACTION,
            Self::Left(room) => room * EVICTED_RATIO,
        }
    }

    /// Returns the probability that a part is still cached, given its depth.
    fn probability(self, depth: u64) -> f64 {
        match self {
            Self::Fixed(_) => 1.0,
            Self::Left(room) => cached_probability(depth, room),
        }
    }
}

/// Returns how much more a millisecond of prefill costs all requests than the one that causes it, by the mean
/// wait for prefill at the engines and the time of one prefill.
///
/// In an M/D/1 queue with utilization u and service time s, the mean wait is s u / 2(1 - u), and each unit of work
/// adds 1 / (1 - u) units to the work ahead of others. So the factor is 1 + 2 wait / s.
///
/// ```
/// use seam_core::targets::prefill_weight;
/// assert!((prefill_weight(0.0, 80.0) - 1.0).abs() < 1e-9);
/// assert!((prefill_weight(40.0, 80.0) - 2.0).abs() < 1e-9);
/// assert!((prefill_weight(1000.0, 80.0) - 4.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn prefill_weight(wait_ms: f64, prefill_ms: f64) -> f64 {
    /// Largest factor. Beyond it, requests would wait beyond their objectives at engines that have their
    /// prompts cached, while others are free.
    const MAX_WEIGHT: f64 = 4.0;
    (1.0 + 2.0 * wait_ms / prefill_ms.max(1.0)).min(MAX_WEIGHT)
}

/// Returns the probability that a part is still cached. `depth` is the number of tokens of the parts used
/// since, with its own, and `room` the tokens that the engine has left beside its running requests.
///
/// ```
/// use seam_core::targets::cached_probability;
/// assert!(cached_probability(3_000, 100_000.0) > 0.99);
/// assert!((cached_probability(100_000, 100_000.0) - 0.5).abs() < 1e-9);
/// assert!(cached_probability(200_000, 100_000.0) < 0.02);
/// assert!(cached_probability(1, 0.0) < 0.01);
/// ```
#[must_use]
pub fn cached_probability(depth: u64, room: f64) -> f64 {
    let ratio = depth as f64 / room.max(f64::EPSILON);
    1.0 / (1.0 + ratio.powi(STEEPNESS))
}

/// What an engine is expected to have cached of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedPrompt {
    /// Expected number of tokens that need prefill.
    pub uncached: u32,
    /// Probability that all shared parts are cached.
    pub probability: f64,
}

impl CachedPrompt {
    /// Returns what is cached of a prompt, given the depth of each of its parts, `None` for a part that the
    /// engine never had. A part is of use only if all parts before it are cached.
    ///
    /// ```
    /// use seam_core::prompt::{Part, Prompt};
    /// use seam_core::targets::{CacheRoom, CachedPrompt};
    /// let part = |id, tokens| Part { id, tokens };
    /// let prompt = Prompt {
    ///     parts: vec![part(1, 2000), part(2, 3000), part(3, 1000)],
    ///     input_tokens: 6000,
    ///     output_limit: 10,
    /// };
    /// let cached = CachedPrompt::new(&prompt, &[Some(2_000), Some(50_000), None], CacheRoom::Left(50_000.0));
    /// assert_eq!(cached.uncached, 2_500);
    /// assert!((cached.probability - 0.5).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn new(prompt: &Prompt, depths: &[Option<u64>], room: CacheRoom) -> Self {
        let shared = prompt.shared_parts().len();
        let (mut cached, mut probability, mut of_shared) = (0.0, 1.0_f64, 1.0);
        for (index, (part, depth)) in prompt.parts.iter().zip(depths).enumerate() {
            let own = depth.map_or(0.0, |depth| room.probability(depth));
            probability = probability.min(own);
            cached += probability * f64::from(part.tokens);
            if index < shared {
                of_shared = probability;
            }
        }
        Self {
            uncached: prompt.input_tokens.saturating_sub(cached.round() as u32),
            probability: if shared == 0 { 0.0 } else { of_shared },
        }
    }
}
