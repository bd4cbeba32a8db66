//! Detection of requests that crash their targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::heartbeat::Suspect;
use seam_protocol::{Fingerprint, Time};

/// Number of crashes at which a fingerprint is quarantined.
pub const CRASH_LIMIT: u8 = 2;
/// Lifetime of a suspicion or quarantine after the crash count last rose.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Largest number of fingerprints in the table.
const MAX_ENTRIES: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u8,
    /// [`SUSPECT_TTL`] after a node raised `crashes`.
    expires: Time,
    /// Times that this entry was sent to peers with this crash count.
    times_sent: u8,
}

/// Suspected and quarantined fingerprints.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Digest of the quarantined fingerprints.
    digest: u32,
    /// The quarantined fingerprint that was reported last.
    last_reported: Option<Fingerprint>,
}

impl Entry {
    fn report(&self, now: Time, fingerprint: Fingerprint) -> (Suspect, Duration) {
        let suspect = Suspect {
            fingerprint,
            crashes: self.crashes,
        };
        (suspect, self.expires.since(now))
    }
}

impl PoisonTable {
    /// Returns the number of crashes attributed to a fingerprint.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use seam_core::poison::PoisonTable;
    /// use seam_protocol::{Fingerprint, Time};
    /// let mut table = PoisonTable::default();
    /// let both = BTreeSet::from([Fingerprint(1), Fingerprint(2)]);
    /// assert_eq!(table.record_crash(Time(0), &both), None);
    /// // Only fingerprint 1 ran on both crashed targets.
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

    /// Returns whether a fingerprint is quarantined, so that its requests are refused.
    #[must_use]
    pub fn quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crashes(fingerprint) >= CRASH_LIMIT
    }

    /// Attributes a crash to the requests that ran on the crashed target.
    ///
    /// If none of them is a suspect yet, all become suspects. If exactly one is, it is quarantined
    /// and returned, and the others do not become suspects. If several are, the crash cannot be
    /// attributed and nothing changes.
    pub fn record_crash(&mut self, now: Time, ran: &BTreeSet<Fingerprint>) -> Option<Fingerprint> {
        let mut known_suspects = ran
            .iter()
            .filter(|fingerprint| self.crashes(**fingerprint) > 0);
        match (known_suspects.next().copied(), known_suspects.next()) {
            (None, _) => {
                for fingerprint in ran {
                    self.raise_crashes(now + SUSPECT_TTL, *fingerprint, 1);
                }
                None
            }
            (Some(culprit), None) => {
                self.raise_crashes(now + SUSPECT_TTL, culprit, CRASH_LIMIT);
                Some(culprit)
            }
            (Some(_), Some(_)) => None,
        }
    }

    /// Raises the crash count of a fingerprint, and returns whether it was lower before.
    fn raise_crashes(&mut self, expires: Time, fingerprint: Fingerprint, crashes: u8) -> bool {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.drop_oldest_suspect();
        }
        let entry = self.entries.entry(fingerprint).or_insert(Entry {
            crashes: 0,
            expires,
            times_sent: 0,
        });
        let raised = crashes > entry.crashes;
        if raised {
            *entry = Entry {
                crashes,
                expires,
                times_sent: 0,
            };
        }
        if raised && crashes >= CRASH_LIMIT {
            self.refresh_digest();
        }
        raised
    }

    fn refresh_digest(&mut self) {
        let folded = self.quarantine().map(|fingerprint| {
            let number = fingerprint.0;
            (number >> 32) as u32 ^ number as u32
        });
        self.digest = folded.fold(0, |digest, folded| digest ^ folded);
    }

    /// Returns a digest of the quarantined fingerprints, zero for none. Nodes with the same
    /// quarantine have the same digest.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Removes the oldest of the entries with the fewest crashes.
    fn drop_oldest_suspect(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.crashes, entry.expires))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.entries.remove(&fingerprint);
            self.refresh_digest();
        }
    }

    /// Merges a suspect reported by a peer. Returns whether its fingerprint is newly quarantined.
    ///
    /// `lifetime` is the time until the peer's entry expires. It is not prolonged, so that nodes
    /// which report to each other forget it at about the same time.
    pub fn merge_suspect(&mut self, now: Time, suspect: Suspect, lifetime: Duration) -> bool {
        if lifetime.is_zero() {
            return false;
        }
        let expires = now + lifetime.min(SUSPECT_TTL);
        let crashes = suspect.crashes.min(CRASH_LIMIT);
        let raised = self.raise_crashes(expires, suspect.fingerprint, crashes);
        raised && suspect.crashes >= CRASH_LIMIT
    }

    /// Removes a suspect whose request ran to its end. A quarantined fingerprint stays.
    pub fn clear_suspect(&mut self, fingerprint: Fingerprint) {
        if !self.quarantined(fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Removes entries older than [`SUSPECT_TTL`].
    pub fn expire(&mut self, now: Time) {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.expires > now);
        if self.entries.len() < before {
            self.refresh_digest();
        }
    }

    /// Returns up to `limit` entries for gossip with the time until they expire, those sent least
    /// often first, and counts them as sent.
    pub fn take_updates(&mut self, now: Time, limit: usize) -> Vec<(Suspect, Duration)> {
        const MAX_SENDS: u8 = 12;
        let mut entries: Vec<_> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.times_sent < MAX_SENDS)
            .collect();
        entries.sort_by_key(|(_, entry)| (entry.times_sent, u8::MAX - entry.crashes));
        entries
            .into_iter()
            .take(limit)
            .map(|(fingerprint, entry)| {
                entry.times_sent += 1;
                entry.report(now, *fingerprint)
            })
            .collect()
    }

    /// Returns up to `limit` quarantined entries with the time until they expire, for a peer whose
    /// quarantine differs. Later calls return the next ones.
    pub fn take_quarantine(&mut self, now: Time, limit: usize) -> Vec<(Suspect, Duration)> {
        let last = self.last_reported.unwrap_or(Fingerprint(u64::MAX));
        let quarantined = |(fingerprint, entry): (&Fingerprint, &Entry)| {
            (entry.crashes >= CRASH_LIMIT).then(|| entry.report(now, *fingerprint))
        };
        let after = self.entries.iter().filter(|(key, _)| **key > last);
        let before = self.entries.iter().filter(|(key, _)| **key <= last);
        let reports: Vec<_> = after
            .chain(before)
            .filter_map(quarantined)
            .take(limit)
            .collect();
        if let Some((suspect, _)) = reports.last() {
            self.last_reported = Some(suspect.fingerprint);
        }
        reports
    }

    /// Returns the number of suspected and quarantined fingerprints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the quarantined fingerprints.
    pub fn quarantine(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.crashes >= CRASH_LIMIT)
            .map(|(fingerprint, _)| *fingerprint)
    }
}
