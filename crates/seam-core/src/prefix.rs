//! Estimate of which prompt prefixes each target has in its cache.
//!
//! The estimate is based on the requests that were sent to a target. Its cache events, which may
//! arrive late or with gaps, correct it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::{CacheEvent, Time};

use crate::handle::TargetKey;
use crate::prompt::Prompt;

/// Largest number of prefixes recorded for one target.
const MAX_PREFIXES: usize = 2048;
/// Fraction of an engine's memory that cached parts may use, besides running requests.
const CACHE_FRACTION: f64 = 0.7;
/// Age above which recorded prefixes are dropped when cache events were missed.
const UNCONFIRMED_AGE: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    since: Time,
    tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct TargetCache {
    by_prefix: BTreeMap<u64, CachedPrefix>,
    by_age: BTreeSet<(Time, u64)>,
    tokens: u64,
    /// Number of the last cache event that was applied.
    last_event: Option<u64>,
}

impl TargetCache {
    fn insert(&mut self, now: Time, prefix: u64, tokens: u32, memory: u64) {
        self.drop(prefix);
        self.by_prefix
            .insert(prefix, CachedPrefix { since: now, tokens });
        self.by_age.insert((now, prefix));
        self.tokens += u64::from(tokens);
        let full = |cache: &Self| cache.by_prefix.len() > MAX_PREFIXES || cache.tokens > memory;
        while full(self)
            && let Some((_, oldest)) = self.by_age.first().copied()
        {
            self.drop(oldest);
        }
    }

    fn drop(&mut self, prefix: u64) {
        if let Some(cached) = self.by_prefix.remove(&prefix) {
            self.by_age.remove(&(cached.since, prefix));
            self.tokens -= u64::from(cached.tokens);
        }
    }

    fn drop_unconfirmed(&mut self, now: Time) {
        while let Some((since, prefix)) = self.by_age.first().copied()
            && now.since(since) > UNCONFIRMED_AGE
        {
            self.drop(prefix);
        }
    }
}

/// Estimated prefixes in the caches of targets.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    targets: BTreeMap<TargetKey, TargetCache>,
}

impl PrefixTable {
    /// Records that a target ran a request with a prefix.
    ///
    /// ```
    /// use seam_core::{handle::TargetKey, prefix::PrefixTable};
    /// use seam_protocol::{CacheEvent, Time};
    /// let mut table = PrefixTable::default();
    /// table.record(Time(0), TargetKey(1), 7);
    /// assert!(table.holds(TargetKey(1), 7));
    /// let evicted = CacheEvent { sequence: 1, prefix: 7, cached: false };
    /// table.apply_events(Time(1), TargetKey(1), &[evicted]);
    /// assert!(!table.holds(TargetKey(1), 7));
    /// ```
    pub fn record(&mut self, now: Time, target: TargetKey, prefix: u64) {
        let cache = self.targets.entry(target).or_default();
        cache.insert(now, prefix, 0, u64::MAX);
    }

    /// Records that an engine prefills a prompt, and drops the oldest parts that no longer fit in
    /// its memory, given in tokens.
    pub fn record_prompt(&mut self, now: Time, target: TargetKey, prompt: &Prompt, memory: f64) {
        let cache = self.targets.entry(target).or_default();
        let memory = (memory * CACHE_FRACTION) as u64;
        // Recorded in reverse, because the first parts are shared by most prompts and should be
        // dropped last.
        for part in prompt.parts.iter().rev() {
            cache.insert(now, part.id, part.tokens, memory);
        }
    }

    /// Records that an engine prefills one part of a prompt.
    pub fn record_part(
        &mut self,
        now: Time,
        target: TargetKey,
        part: u64,
        tokens: u32,
        memory: f64,
    ) {
        let cache = self.targets.entry(target).or_default();
        cache.insert(now, part, tokens, (memory * CACHE_FRACTION) as u64);
    }

    /// Returns the estimated number of tokens of a prompt that an engine does not have cached.
    ///
    /// ```
    /// use seam_core::prefix::PrefixTable;
    /// use seam_core::prompt::{Part, Prompt};
    /// use seam_core::handle::TargetKey;
    /// use seam_protocol::Time;
    /// let prompt = |own| Prompt {
    ///     parts: vec![Part { id: 1, tokens: 100 }, Part { id: own, tokens: 40 }],
    ///     input_tokens: 140,
    ///     output_limit: 9,
    /// };
    /// let mut table = PrefixTable::default();
    /// assert_eq!(table.uncached_tokens(TargetKey(1), &prompt(2)), 140);
    /// table.record_prompt(Time(0), TargetKey(1), &prompt(2), 1000.0);
    /// assert_eq!(table.uncached_tokens(TargetKey(1), &prompt(3)), 40);
    /// ```
    #[must_use]
    pub fn uncached_tokens(&self, target: TargetKey, prompt: &Prompt) -> u32 {
        let Some(cache) = self.targets.get(&target) else {
            return prompt.input_tokens;
        };
        let cached: u32 = prompt
            .parts
            .iter()
            .take_while(|part| cache.by_prefix.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum();
        prompt.input_tokens.saturating_sub(cached)
    }

    /// Returns whether a target is estimated to have a prefix in its cache.
    #[must_use]
    pub fn holds(&self, target: TargetKey, prefix: u64) -> bool {
        self.targets
            .get(&target)
            .is_some_and(|cache| cache.by_prefix.contains_key(&prefix))
    }

    /// Applies a target's cache events. After a gap in their numbers, prefixes that were recorded
    /// more than 30 seconds ago are dropped.
    pub fn apply_events(&mut self, now: Time, target: TargetKey, events: &[CacheEvent]) {
        let cache = self.targets.entry(target).or_default();
        for event in events {
            let expected = cache
                .last_event
                .map_or(event.sequence, |number| number.saturating_add(1));
            if event.sequence < expected {
                continue;
            }
            if event.sequence > expected {
                cache.drop_unconfirmed(now);
            }
            cache.last_event = Some(event.sequence);
            if event.cached {
                cache.insert(now, event.prefix, 0, u64::MAX);
            } else {
                cache.drop(event.prefix);
            }
        }
    }

    /// Removes a target's prefixes, for example after it crashed or restarted.
    pub fn forget(&mut self, target: TargetKey) {
        self.targets.remove(&target);
    }

    /// Returns the number of recorded prefixes over all targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets
            .values()
            .map(|cache| cache.by_prefix.len())
            .sum()
    }

    /// Returns whether no prefix is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
