//! Evidence that requests and parts of prompts crash no targets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use seam_protocol::{Fingerprint, Time};

use super::SUSPECT_TTL;

/// Largest number of completions that are remembered.
const MAX_COMPLETIONS: usize = 4096;
/// Largest number of parts whose last answer is remembered.
const MAX_ANSWERED: usize = 4096;

/// Fingerprints of requests that ran to a successful end lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Completions {
    last: BTreeMap<Fingerprint, Time>,
    /// Each completion, the oldest first.
    queue: VecDeque<(Time, Fingerprint)>,
}

impl Completions {
    pub(super) fn record(&mut self, now: Time, fingerprint: Fingerprint) {
        self.last.insert(fingerprint, now);
        self.queue.push_back((now, fingerprint));
        if self.queue.len() > MAX_COMPLETIONS {
            self.drop_oldest();
        }
    }

    pub(super) fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.last.contains_key(&fingerprint)
    }

    pub(super) fn expire(&mut self, now: Time) {
        let expired = |(time, _): &(Time, Fingerprint)| now.since(*time) >= SUSPECT_TTL;
        while self.queue.front().is_some_and(expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((time, fingerprint)) = self.queue.pop_front()
            && self.last.get(&fingerprint) == Some(&time)
        {
            self.last.remove(&fingerprint);
        }
    }
}

/// When a target last began an answer without a crash, by part of the prompt.
///
/// A part that crashes each target which begins to answer has no such answer.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredParts {
    began: BTreeMap<Fingerprint, Time>,
    /// The same, the oldest first.
    by_time: BTreeSet<(Time, Fingerprint)>,
}

impl AnsweredParts {
    /// Records that an answer began. Returns whether it is the newest one.
    pub(super) fn record(&mut self, part: Fingerprint, began: Time) -> bool {
        if self.began.get(&part).is_some_and(|known| *known >= began) {
            return false;
        }
        if let Some(known) = self.began.insert(part, began) {
            self.by_time.remove(&(known, part));
        }
        self.by_time.insert((began, part));
        if self.began.len() > MAX_ANSWERED {
            self.drop_oldest();
        }
        true
    }

    /// Returns when the last answer began.
    pub(super) fn last(&self, part: Fingerprint) -> Option<Time> {
        self.began.get(&part).copied()
    }

    pub(super) fn expire(&mut self, now: Time) {
        let expired = |(began, _): &(Time, Fingerprint)| now.since(*began) >= SUSPECT_TTL;
        while self.by_time.first().is_some_and(expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, part)) = self.by_time.pop_first() {
            self.began.remove(&part);
        }
    }
}
