//! Estimate of which prompt prefixes each target has in its cache.
//!
//! The estimate is based on the requests that were sent to a target. Its cache events, which may
//! arrive late or with gaps, correct it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::{CacheEvent, Time};

use crate::handle::TargetKey;
use crate::prompt::Prompt;
use crate::targets::{CacheRoom, CachedPrompt};

/// Largest number of prefixes recorded for one target.
const MAX_PREFIXES: usize = 2048;
/// Age above which recorded prefixes are dropped when cache events were missed.
const UNCONFIRMED_AGE: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    since: Time,
    /// Number of its last use.
    used: u64,
    tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct TargetCache {
    by_prefix: BTreeMap<u64, CachedPrefix>,
    /// Prefixes in the order of their last use.
    by_age: BTreeSet<(u64, u64)>,
    /// Number of the last use of any prefix.
    last_use: u64,
    tokens: u64,
    /// Number of the last cache event that was applied.
    last_event: Option<u64>,
}

impl TargetCache {
    /// Records the use of a prefix, and drops the oldest ones beyond `limit` tokens.
    fn insert(&mut self, now: Time, prefix: u64, tokens: u32, limit: f64) {
        self.drop(prefix);
        self.last_use += 1;
        let used = self.last_use;
        let cached = CachedPrefix {
            since: now,
            used,
            tokens,
        };
        self.by_prefix.insert(prefix, cached);
        self.by_age.insert((used, prefix));
        self.tokens += u64::from(tokens);
        let full =
            |cache: &Self| cache.by_prefix.len() > MAX_PREFIXES || cache.tokens as f64 > limit;
        while full(self)
            && let Some((_, oldest)) = self.by_age.first().copied()
        {
            self.drop(oldest);
        }
    }

    /// Returns the tokens of a prefix and of those that were used since, `None` if it is not recorded.
    fn depth(&self, prefix: u64) -> Option<u64> {
        let used = self.by_prefix.get(&prefix)?.used;
        let since = self.by_age.range((used, 0)..);
        let tokens = since.filter_map(|(_, prefix)| self.by_prefix.get(prefix));
        Some(tokens.map(|cached| u64::from(cached.tokens)).sum())
    }

    fn drop(&mut self, prefix: u64) {
        if let Some(cached) = self.by_prefix.remove(&prefix) {
            self.by_age.remove(&(cached.used, prefix));
            self.tokens -= u64::from(cached.tokens);
        }
    }

    fn drop_unconfirmed(&mut self, now: Time) {
        while let Some((_, prefix)) = self.by_age.first().copied()
            && let Some(cached) = self.by_prefix.get(&prefix)
            && now.since(cached.since) > UNCONFIRMED_AGE
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
        cache.insert(now, prefix, 0, f64::INFINITY);
    }

    /// Records that an engine prefills a prompt, and drops the oldest parts that certainly no longer fit in
    /// its room.
    pub fn record_prompt(
        &mut self,
        now: Time,
        target: TargetKey,
        prompt: &Prompt,
        room: CacheRoom,
    ) {
        // Recorded in reverse, because the first parts are shared by most prompts and should be
        // dropped last.
        for part in prompt.parts.iter().rev() {
            self.record_part(now, target, part.id, part.tokens, room);
        }
    }

    /// Records that an engine prefills one part of a prompt.
    pub fn record_part(
        &mut self,
        now: Time,
        target: TargetKey,
        part: u64,
        tokens: u32,
        room: CacheRoom,
    ) {
        let cache = self.targets.entry(target).or_default();
        // The newest part is kept even without room: it belongs to a running request.
        let limit = room.limit().max(f64::from(tokens));
        cache.insert(now, part, tokens, limit);
    }

    /// Returns what an engine is expected to have cached of a prompt, with its room for cached parts.
    ///
    /// ```
    /// use seam_core::prefix::PrefixTable;
    /// use seam_core::prompt::{Part, Prompt};
    /// use seam_core::handle::TargetKey;
    /// use seam_core::targets::CacheRoom;
    /// use seam_protocol::Time;
    /// let (large, small) = (CacheRoom::Left(1000.0), CacheRoom::Left(100.0));
    /// let prompt = |own| Prompt {
    ///     parts: vec![Part { id: 1, tokens: 100 }, Part { id: own, tokens: 40 }],
    ///     input_tokens: 140,
    ///     output_limit: 9,
    /// };
    /// let mut table = PrefixTable::default();
    /// assert_eq!(table.cached(TargetKey(1), &prompt(2), large).uncached, 140);
    /// table.record_prompt(Time(0), TargetKey(1), &prompt(2), large);
    /// assert_eq!(table.cached(TargetKey(1), &prompt(3), large).uncached, 40);
    /// assert_eq!(table.cached(TargetKey(1), &prompt(3), small).uncached, 90);
    /// ```
    #[must_use]
    pub fn cached(&self, target: TargetKey, prompt: &Prompt, room: CacheRoom) -> CachedPrompt {
        let cache = self.targets.get(&target);
        let depth = |part: &crate::prompt::Part| cache.and_then(|cache| cache.depth(part.id));
        let depths: Vec<Option<u64>> = prompt.parts.iter().map(depth).collect();
        CachedPrompt::new(prompt, &depths, room)
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
                cache.insert(now, event.prefix, 0, f64::INFINITY);
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
