//! Requests that crash the targets which run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::heartbeat::Suspect;
use seam_protocol::{Fingerprint, Time};

/// Crashes after which a fingerprint is refused.
pub const CRASH_LIMIT: u8 = 2;
/// How long a suspicion or quarantine lasts without news.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Most fingerprints remembered.
const MAX_ENTRIES: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u8,
    since: Time,
    times_sent: u8,
}

/// Fingerprints under suspicion or in quarantine.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl PoisonTable {
    /// Returns the crashes ascribed to a fingerprint.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use seam_core::poison::PoisonTable;
    /// use seam_protocol::{Fingerprint, Time};
    /// let mut table = PoisonTable::default();
    /// let both = BTreeSet::from([Fingerprint(1), Fingerprint(2)]);
    /// assert_eq!(table.record_crash(Time(0), &both), None);
    /// // The neighbour ran elsewhere; the culprit crashed a second target.
    /// let again = BTreeSet::from([Fingerprint(1), Fingerprint(3)]);
    /// assert_eq!(table.record_crash(Time(1), &again), Some(Fingerprint(1)));
    /// assert_eq!(table.crashes(Fingerprint(3)), 0);
    /// ```
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint) -> u8 {
        self.entries
            .get(&fingerprint)
            .map_or(0, |entry| entry.crashes)
    }

    /// Tells whether a fingerprint is refused.
    #[must_use]
    pub fn quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crashes(fingerprint) >= CRASH_LIMIT
    }

    /// Ascribes a crash to the requests that ran on the crashed target.
    ///
    /// With no earlier suspect among them, each becomes one. With exactly one, it is the culprit
    /// and is returned, and its neighbours stay unblamed. With several the crash tells nothing new.
    pub fn record_crash(&mut self, now: Time, ran: &BTreeSet<Fingerprint>) -> Option<Fingerprint> {
        let mut suspects = ran
            .iter()
            .filter(|fingerprint| self.crashes(**fingerprint) > 0);
        match (suspects.next().copied(), suspects.next()) {
            (None, _) => {
                for fingerprint in ran {
                    self.raise_crashes(now, *fingerprint, 1);
                }
                None
            }
            (Some(culprit), None) => {
                self.raise_crashes(now, culprit, CRASH_LIMIT);
                Some(culprit)
            }
            (Some(_), Some(_)) => None,
        }
    }

    fn raise_crashes(&mut self, now: Time, fingerprint: Fingerprint, crashes: u8) -> bool {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.drop_oldest_suspect();
        }
        let entry = self.entries.entry(fingerprint).or_insert(Entry {
            crashes: 0,
            since: now,
            times_sent: 0,
        });
        let raised = crashes > entry.crashes;
        if raised {
            *entry = Entry {
                crashes,
                since: now,
                times_sent: 0,
            };
        }
        raised
    }

    fn drop_oldest_suspect(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.crashes, entry.since))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.entries.remove(&fingerprint);
        }
    }

    /// Takes in a peer's news. Returns whether a fingerprint is newly quarantined.
    pub fn merge_suspect(&mut self, now: Time, suspect: Suspect) -> bool {
        let raised = self.raise_crashes(now, suspect.fingerprint, suspect.crashes.min(CRASH_LIMIT));
        raised && suspect.crashes >= CRASH_LIMIT
    }

    /// Clears a suspect that ran whole.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint) {
        if !self.quarantined(fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Forgets what is older than [`SUSPECT_TTL`].
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| now.since(entry.since) < SUSPECT_TTL);
    }

    /// Returns the news that peers heard least often, and counts them as told.
    pub fn take_updates(&mut self, most: usize) -> Vec<Suspect> {
        const MAX_SENDS: u8 = 12;
        let mut entries: Vec<_> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.times_sent < MAX_SENDS)
            .collect();
        entries.sort_by_key(|(_, entry)| (entry.times_sent, u8::MAX - entry.crashes));
        entries
            .into_iter()
            .take(most)
            .map(|(fingerprint, entry)| {
                entry.times_sent += 1;
                Suspect {
                    fingerprint: *fingerprint,
                    crashes: entry.crashes,
                }
            })
            .collect()
    }

    /// Returns the fingerprints in quarantine.
    pub fn quarantine(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.crashes >= CRASH_LIMIT)
            .map(|(fingerprint, _)| *fingerprint)
    }
}
