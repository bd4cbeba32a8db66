//! Which targets hold which prompt prefixes.
//!
//! Own history comes first; late and gapped cache events correct it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::{CacheEvent, Time};

use crate::targets::TargetKey;

/// Most prefixes remembered of one target.
const MOST: usize = 2048;
/// Age above which own history is dropped when cache events were missed.
const DOUBTFUL: Duration = Duration::from_secs(30);

#[derive(Clone, Debug, Default)]
struct Held {
    by_prefix: BTreeMap<u64, Time>,
    by_age: BTreeSet<(Time, u64)>,
    number: Option<u64>,
}

impl Held {
    fn note(&mut self, now: Time, prefix: u64) {
        self.drop(prefix);
        self.by_prefix.insert(prefix, now);
        self.by_age.insert((now, prefix));
        if self.by_prefix.len() > MOST
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.by_prefix.remove(&oldest);
        }
    }

    fn drop(&mut self, prefix: u64) {
        if let Some(since) = self.by_prefix.remove(&prefix) {
            self.by_age.remove(&(since, prefix));
        }
    }

    fn drop_doubtful(&mut self, now: Time) {
        while let Some((since, prefix)) = self.by_age.first().copied()
            && now.since(since) > DOUBTFUL
        {
            self.by_age.pop_first();
            self.by_prefix.remove(&prefix);
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
    /// use seam_core::{prefix::PrefixTable, targets::TargetKey};
    /// use seam_protocol::{CacheEvent, Time};
    /// let mut table = PrefixTable::default();
    /// table.note(Time(0), TargetKey(1), 7);
    /// assert!(table.holds(TargetKey(1), 7));
    /// let evicted = CacheEvent { number: 1, prefix: 7, held: false };
    /// table.correct(Time(1), TargetKey(1), &[evicted]);
    /// assert!(!table.holds(TargetKey(1), 7));
    /// ```
    pub fn note(&mut self, now: Time, target: TargetKey, prefix: u64) {
        self.targets.entry(target).or_default().note(now, prefix);
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
                held.note(now, event.prefix);
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
