//! How likely an engine still has a part of a prompt in its cache, and what that saves.
//!
//! An engine keeps parts in the memory that its running requests leave, and evicts those first that were
//! not used for longest. So a part is cached as long as the parts used since fit beside it.

use crate::prompt::Prompt;

/// How sharply the probability falls around the point at which parts no longer fit. Parts that this node
/// did not see, and requests that ended meanwhile, move that point by about a quarter.
const STEEPNESS: i32 = 6;
/// Multiple of the room beyond which parts are certainly evicted. The probability there is 0.08.
pub const EVICTED_RATIO: f64 = 1.5;

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
    /// use seam_core::targets::CachedPrompt;
    /// let part = |id, tokens| Part { id, tokens };
    /// let prompt = Prompt {
    ///     parts: vec![part(1, 2000), part(2, 3000), part(3, 1000)],
    ///     input_tokens: 6000,
    ///     output_limit: 10,
    /// };
    /// let cached = CachedPrompt::new(&prompt, &[Some(2_000), Some(50_000), None], 50_000.0);
    /// assert_eq!(cached.uncached, 2_500);
    /// assert!((cached.probability - 0.5).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn new(prompt: &Prompt, depths: &[Option<u64>], room: f64) -> Self {
        let shared = prompt.shared_parts().len();
        let (mut cached, mut probability, mut of_shared) = (0.0, 1.0_f64, 1.0);
        for (index, (part, depth)) in prompt.parts.iter().zip(depths).enumerate() {
            let own = depth.map_or(0.0, |depth| cached_probability(depth, room));
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
