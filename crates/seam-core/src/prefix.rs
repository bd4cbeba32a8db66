//! Which targets hold which prompt prefixes.
//!
//! Own history comes first; late and gapped cache events correct it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::{CacheEvent, Time};

use crate::handle::TargetKey;
use crate::prompt::Prompt;

/// Most prefixes remembered of one target.
const MOST: usize = 2048;
/// Part of an engine's memory that cached parts may fill, beside running requests.
const CACHED_PART: f64 = 0.7;
/// Age above which own history is dropped when cache events were missed.
const DOUBTFUL: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct Kept {
    since: Time,
    tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct Held {
    by_prefix: BTreeMap<u64, Kept>,
    by_age: BTreeSet<(Time, u64)>,
    tokens: u64,
    number: Option<u64>,
}

impl Held {
    fn note(&mut self, now: Time, prefix: u64, tokens: u32, memory: u64) {
        self.drop(prefix);
        self.by_prefix.insert(prefix, Kept { since: now, tokens });
        self.by_age.insert((now, prefix));
        self.tokens += u64::from(tokens);
        let full = |held: &Self| held.by_prefix.len() > MOST || held.tokens > memory;
        while full(self)
            && let Some((_, oldest)) = self.by_age.first().copied()
        {
            self.drop(oldest);
        }
    }

    fn drop(&mut self, prefix: u64) {
        if let Some(kept) = self.by_prefix.remove(&prefix) {
            self.by_age.remove(&(kept.since, prefix));
            self.tokens -= u64::from(kept.tokens);
        }
    }

    fn drop_doubtful(&mut self, now: Time) {
        while let Some((since, prefix)) = self.by_age.first().copied()
            && now.since(since) > DOUBTFUL
        {
            self.drop(prefix);
        }
    }
}

/// Prefixes by target.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    targets: BTreeMap<TargetKey, Held>,
}

impl PrefixTable {
    /// Notes that a target has run a request with a prefix.
    ///
    /// ```
    /// use seam_core::{handle::TargetKey, prefix::PrefixTable};
    /// use seam_protocol::{CacheEvent, Time};
    /// let mut table = PrefixTable::default();
    /// table.note(Time(0), TargetKey(1), 7);
    /// assert!(table.holds(TargetKey(1), 7));
    /// let evicted = CacheEvent { number: 1, prefix: 7, held: false };
    /// table.correct(Time(1), TargetKey(1), &[evicted]);
    /// assert!(!table.holds(TargetKey(1), 7));
    /// ```
    pub fn note(&mut self, now: Time, target: TargetKey, prefix: u64) {
        let held = self.targets.entry(target).or_default();
        held.note(now, prefix, 0, u64::MAX);
    }

    /// Notes that an engine reads a prompt, and drops the parts that no longer fit its memory.
    pub fn note_prompt(&mut self, now: Time, target: TargetKey, prompt: &Prompt, memory: f64) {
        let held = self.targets.entry(target).or_default();
        let memory = (memory * CACHED_PART) as u64;
        // The first parts are used by most prompts, so they are the last to be dropped.
        for part in prompt.parts.iter().rev() {
            held.note(now, part.id, part.tokens, memory);
        }
    }

    /// Notes that an engine reads a part of a prompt.
    pub fn note_part(&mut self, now: Time, target: TargetKey, part: u64, tokens: u32, memory: f64) {
        let held = self.targets.entry(target).or_default();
        held.note(now, part, tokens, (memory * CACHED_PART) as u64);
    }

    /// Returns the tokens of a prompt that an engine is not believed to hold.
    ///
    /// ```
    /// use seam_core::prefix::PrefixTable;
    /// use seam_core::prompt::{Part, Prompt};
    /// use seam_core::handle::TargetKey;
    /// use seam_protocol::Time;
    /// let prompt = |own| Prompt {
    ///     parts: vec![Part { id: 1, tokens: 100 }, Part { id: own, tokens: 40 }],
    ///     input: 140,
    ///     output: 9,
    /// };
    /// let mut table = PrefixTable::default();
    /// assert_eq!(table.unread(TargetKey(1), &prompt(2)), 140);
    /// table.note_prompt(Time(0), TargetKey(1), &prompt(2), 1000.0);
    /// assert_eq!(table.unread(TargetKey(1), &prompt(3)), 40);
    /// ```
    #[must_use]
    pub fn unread(&self, target: TargetKey, prompt: &Prompt) -> u32 {
        let Some(held) = self.targets.get(&target) else {
            return prompt.input;
        };
        let cached: u32 = prompt
            .parts
            .iter()
            .take_while(|part| held.by_prefix.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum();
        prompt.input.saturating_sub(cached)
    }

    /// Tells whether a target is believed to hold a prefix.
    #[must_use]
    pub fn holds(&self, target: TargetKey, prefix: u64) -> bool {
        self.targets
            .get(&target)
            .is_some_and(|held| held.by_prefix.contains_key(&prefix))
    }

    /// Takes in a target's cache events. After a gap, old beliefs about the target are dropped.
    pub fn correct(&mut self, now: Time, target: TargetKey, events: &[CacheEvent]) {
        let held = self.targets.entry(target).or_default();
        for event in events {
            let expected = held.number.map_or(event.number, |number| number + 1);
            if event.number < expected {
                continue;
            }
            if event.number > expected {
                held.drop_doubtful(now);
            }
            held.number = Some(event.number);
            if event.held {
                held.note(now, event.prefix, 0, u64::MAX);
            } else {
                held.drop(event.prefix);
            }
        }
    }

    /// Forgets a target, as after a crash or restart.
    pub fn forget(&mut self, target: TargetKey) {
        self.targets.remove(&target);
    }

    /// Returns the number of prefixes remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.values().map(|held| held.by_prefix.len()).sum()
    }

    /// Tells whether no prefix is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
