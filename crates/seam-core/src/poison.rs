//! Detection of requests that crash their targets.
//!
//! Each node sees only its own requests at a target that crashes, so nodes exchange the crashes
//! that they attribute to a fingerprint and add them up.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use seam_protocol::heartbeat::{CrashReport, Suspect};
use seam_protocol::{Fingerprint, TargetId, Time};

/// Number of crashes at which a fingerprint is quarantined, whatever else ran at the targets.
pub const CRASH_LIMIT: usize = 3;
/// Lifetime of a crash in the table.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Largest number of fingerprints in the table.
const MAX_ENTRIES: usize = 4096;
/// Largest number of completions that are remembered.
const MAX_COMPLETIONS: usize = 4096;
/// Crashes of a target that nodes saw within this time are one crash, since it has to start again
/// before the next.
const CRASH_SPAN: Duration = Duration::from_secs(2);

/// A crash of a target that ran a request with a certain fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    target: TargetId,
    /// [`SUSPECT_TTL`] after the crash.
    expires: Time,
    /// Whether a node had no other suspect at the target.
    alone: bool,
    /// How long the request had been at the target.
    run: Duration,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        let (first, last) = (
            self.expires.min(other.expires),
            self.expires.max(other.expires),
        );
        self.target == other.target && last.since(first) < CRASH_SPAN
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// At most [`CRASH_LIMIT`] crashes.
    crashes: Vec<Crash>,
    /// Times that this entry was sent to peers with these crashes.
    times_sent: u8,
}

impl Entry {
    /// Adds a crash, unless it is known or enough others are.
    fn add(&mut self, crash: Crash) {
        let same = self.crashes.iter().position(|known| known.is_same(&crash));
        let news = match same {
            Some(index) => {
                let known = &mut self.crashes[index];
                known.run = known.run.min(crash.run);
                crash.alone && !std::mem::replace(&mut known.alone, true)
            }
            None if self.crashes.len() < CRASH_LIMIT => {
                self.crashes.push(crash);
                true
            }
            None => false,
        };
        if news {
            self.times_sent = 0;
        }
    }

    /// Returns whether the entry may be a reason for a quarantine.
    fn is_candidate(&self) -> bool {
        self.crashes.len() >= CRASH_LIMIT || self.crashes.iter().any(|crash| crash.alone)
    }

    fn longest_run(&self) -> Duration {
        let runs = self.crashes.iter().map(|crash| crash.run);
        runs.max().unwrap_or_default()
    }

    fn expires(&self) -> Time {
        let ends = self.crashes.iter().map(|crash| crash.expires);
        ends.max().unwrap_or_default()
    }
}

/// Fingerprints of requests that ran to a successful end lately.
#[derive(Clone, Debug, Default)]
struct Completions {
    last: BTreeMap<Fingerprint, Time>,
    /// Each completion, the oldest first.
    queue: VecDeque<(Time, Fingerprint)>,
}

impl Completions {
    fn record(&mut self, now: Time, fingerprint: Fingerprint) {
        self.last.insert(fingerprint, now);
        self.queue.push_back((now, fingerprint));
        if self.queue.len() > MAX_COMPLETIONS {
            self.drop_oldest();
        }
    }

    fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.last.contains_key(&fingerprint)
    }

    fn expire(&mut self, now: Time) {
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

/// A suspect as it is reported to peers, with the crashes attributed to it.
pub type SuspectReport = (Suspect, Vec<CrashReport>);

/// A fingerprint that entered or left the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether it is quarantined now.
    pub quarantined: bool,
}

/// Suspected and quarantined fingerprints.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    entries: BTreeMap<Fingerprint, Entry>,
    quarantine: BTreeSet<Fingerprint>,
    /// Digest of the candidates and of which of them are quarantined.
    digest: u32,
    /// The candidate that was reported last.
    last_reported: Option<Fingerprint>,
    completed: Completions,
}

impl PoisonTable {
    /// Returns whether a fingerprint is suspected, so that its requests share no target with other
    /// suspects.
    #[must_use]
    pub fn suspected(&self, fingerprint: Fingerprint) -> bool {
        self.entries.contains_key(&fingerprint) && !self.completed.contains(fingerprint)
    }

    /// Returns whether a fingerprint is quarantined, so that its requests are refused.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use seam_core::poison::PoisonTable;
    /// use seam_protocol::{Fingerprint, TargetId, Time};
    /// let run = Duration::from_millis(50);
    /// let mut table = PoisonTable::default();
    /// let both = BTreeMap::from([(Fingerprint(1), run), (Fingerprint(2), run)]);
    /// table.record_crash(Time(0), TargetId(1), &both);
    /// assert!(!table.quarantined(Fingerprint(1)));
    /// // Only fingerprint 1 ran on both crashed targets.
    /// let again = BTreeMap::from([(Fingerprint(1), run), (Fingerprint(3), run)]);
    /// table.record_crash(Time(1), TargetId(2), &again);
    /// assert!(table.quarantined(Fingerprint(1)));
    /// assert!(!table.suspected(Fingerprint(3)));
    /// ```
    #[must_use]
    pub fn quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.contains(&fingerprint) && !self.completed.contains(fingerprint)
    }

    /// Attributes a crash to the requests of this node that ran on the crashed target, with the
    /// time that each had been there. Those that ran to a successful end before are left out.
    ///
    /// If none of them was a suspect before, all become suspects. Otherwise the crash is attributed
    /// to the suspects. One that was the only suspect there is quarantined. If another node says
    /// the same of another request at the same crash, only the one is quarantined whose runs were
    /// shorter, since such a request crashes its targets soon. Each is quarantined at
    /// [`CRASH_LIMIT`] crashes.
    pub fn record_crash(
        &mut self,
        now: Time,
        target: TargetId,
        ran: &BTreeMap<Fingerprint, Duration>,
    ) -> Vec<QuarantineChange> {
        let crash = Crash {
            target,
            expires: now + SUSPECT_TTL,
            alone: false,
            run: Duration::ZERO,
        };
        let ran: BTreeMap<Fingerprint, Duration> = ran
            .iter()
            .filter(|(fingerprint, _)| !self.completed.contains(**fingerprint))
            .map(|(fingerprint, run)| (*fingerprint, *run))
            .collect();
        let was_suspect = |fingerprint: &Fingerprint| {
            let entry = self.entries.get(fingerprint);
            entry.is_some_and(|entry| {
                let mut crashes = entry.crashes.iter();
                crashes.any(|known| !known.is_same(&crash))
            })
        };
        let suspects: BTreeSet<Fingerprint> = ran.keys().copied().filter(was_suspect).collect();
        for (fingerprint, run) in ran {
            if suspects.is_empty() || suspects.contains(&fingerprint) {
                let crash = Crash {
                    alone: suspects.len() == 1,
                    run,
                    ..crash
                };
                self.add_crash(fingerprint, crash);
            }
        }
        self.update_quarantine()
    }

    /// Attributes a crash to a fingerprint.
    fn add_crash(&mut self, fingerprint: Fingerprint, crash: Crash) {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.drop_oldest_suspect();
        }
        self.entries.entry(fingerprint).or_default().add(crash);
    }

    /// Removes the oldest of the entries with the fewest crashes.
    fn drop_oldest_suspect(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.is_candidate(), entry.crashes.len(), entry.expires()))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.entries.remove(&fingerprint);
        }
    }

    /// Decides anew which fingerprints are quarantined. Returns those for which that changed.
    fn update_quarantine(&mut self) -> Vec<QuarantineChange> {
        let mut only_suspects: BTreeMap<TargetId, Vec<(Crash, Fingerprint)>> = BTreeMap::new();
        for (fingerprint, entry) in &self.entries {
            for crash in entry.crashes.iter().filter(|crash| crash.alone) {
                let crashes = only_suspects.entry(crash.target).or_default();
                crashes.push((*crash, *fingerprint));
            }
        }
        // Another node had another request as its only suspect at the same crash.
        let contested = |fingerprint: Fingerprint, crash: &Crash| {
            let run = self.entries[&fingerprint].longest_run();
            let mut crashes = only_suspects[&crash.target].iter();
            crashes.any(|(same, other)| {
                *other != fingerprint
                    && crash.is_same(same)
                    && self.entries[other].longest_run() <= run
            })
        };
        let mut quarantine = BTreeSet::new();
        let mut digest = 0;
        for (fingerprint, entry) in self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_candidate())
        {
            let mut alone = entry.crashes.iter().filter(|crash| crash.alone);
            let quarantined = entry.crashes.len() >= CRASH_LIMIT
                || alone.any(|crash| !contested(*fingerprint, crash));
            if quarantined {
                quarantine.insert(*fingerprint);
            }
            let folded = (fingerprint.0 >> 32) as u32 ^ fingerprint.0 as u32;
            digest ^= folded.rotate_left(u32::from(quarantined));
        }
        let before = std::mem::replace(&mut self.quarantine, quarantine);
        self.digest = digest;
        let changed = before.symmetric_difference(&self.quarantine);
        changed
            .map(|fingerprint| QuarantineChange {
                fingerprint: *fingerprint,
                quarantined: self.quarantine.contains(fingerprint),
            })
            .collect()
    }

    /// Returns a digest of what the quarantine follows from, zero for nothing. Nodes with the same
    /// quarantine have the same digest.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Merges a suspect reported by a peer. Returns the fingerprints that entered or left the
    /// quarantine.
    ///
    /// `crashes` is `None` for a peer that does not report them. The lifetimes in it are not
    /// prolonged, so that nodes which report to each other forget a crash at about the same time.
    pub fn merge_suspect(
        &mut self,
        now: Time,
        suspect: Suspect,
        crashes: Option<&[CrashReport]>,
    ) -> Vec<QuarantineChange> {
        let unnamed = [self.unnamed_crash(now, suspect)];
        for report in crashes.unwrap_or(&unnamed) {
            let lifetime = Duration::from_millis(report.lifetime.into());
            if lifetime.is_zero() {
                continue;
            }
            let crash = Crash {
                target: report.target,
                expires: now + lifetime.min(SUSPECT_TTL),
                alone: report.alone,
                run: Duration::from_millis(report.run.into()),
            };
            self.add_crash(suspect.fingerprint, crash);
        }
        let merged = self.entries.get(&suspect.fingerprint);
        if merged.is_some_and(Entry::is_candidate) {
            self.update_quarantine()
        } else {
            Vec::new()
        }
    }

    /// Returns a report for a peer that reports no crashes. All such reports of a fingerprint are the
    /// same crash, however often peers repeat them.
    fn unnamed_crash(&self, now: Time, suspect: Suspect) -> CrashReport {
        let target = TargetId(suspect.fingerprint.0 as u32);
        let entry = self.entries.get(&suspect.fingerprint);
        let known = entry.and_then(|entry| {
            let mut crashes = entry.crashes.iter();
            crashes.find(|crash| crash.target == target)
        });
        let lifetime = known.map_or(SUSPECT_TTL, |crash| crash.expires.since(now));
        CrashReport {
            target,
            lifetime: lifetime.as_millis() as u32,
            alone: suspect.crashes > 1,
            run: 0,
        }
    }

    /// Records that a request ran to a successful end here. For [`SUSPECT_TTL`] this node neither
    /// suspects nor refuses its fingerprint, whatever its peers report: a request that crashes each
    /// target never gets so far.
    pub fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) {
        self.completed.record(now, fingerprint);
    }

    /// Removes crashes older than [`SUSPECT_TTL`].
    pub fn expire(&mut self, now: Time) {
        self.completed.expire(now);
        let mut expired = false;
        self.entries.retain(|_, entry| {
            let known = entry.crashes.len();
            entry.crashes.retain(|crash| crash.expires > now);
            expired |= entry.crashes.len() < known;
            !entry.crashes.is_empty()
        });
        if expired {
            self.update_quarantine();
        }
    }

    /// Returns up to `limit` entries for gossip, those sent least often first, and counts them as
    /// sent.
    pub fn take_updates(&mut self, now: Time, limit: usize) -> Vec<SuspectReport> {
        const MAX_SENDS: u8 = 12;
        let quarantine = &self.quarantine;
        let mut entries: Vec<_> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.times_sent < MAX_SENDS)
            .collect();
        entries.sort_by_key(|(_, entry)| (entry.times_sent, CRASH_LIMIT - entry.crashes.len()));
        entries
            .into_iter()
            .take(limit)
            .map(|(fingerprint, entry)| {
                entry.times_sent += 1;
                report(now, *fingerprint, entry, quarantine)
            })
            .collect()
    }

    /// Returns up to `limit` entries that the quarantine follows from, for a peer with another
    /// digest. Later calls return the next ones.
    pub fn take_candidates(&mut self, now: Time, limit: usize) -> Vec<SuspectReport> {
        let last = self.last_reported.unwrap_or(Fingerprint(u64::MAX));
        let after = self.entries.iter().filter(|(key, _)| **key > last);
        let before = self.entries.iter().filter(|(key, _)| **key <= last);
        let reports: Vec<_> = after
            .chain(before)
            .filter(|(_, entry)| entry.is_candidate())
            .take(limit)
            .map(|(fingerprint, entry)| report(now, *fingerprint, entry, &self.quarantine))
            .collect();
        if let Some((suspect, _)) = reports.last() {
            self.last_reported = Some(suspect.fingerprint);
        }
        reports
    }

    /// Returns up to `limit` entries for a peer that may know none of them: those that the
    /// quarantine follows from, then the suspects of the most recent crashes.
    pub fn take_report(&mut self, now: Time, limit: usize) -> Vec<SuspectReport> {
        let mut reports = self.take_candidates(now, limit);
        let mut suspects: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_candidate())
            .collect();
        suspects.sort_by_key(|(_, entry)| Reverse(entry.expires()));
        suspects.truncate(limit - reports.len());
        let suspects = suspects.into_iter();
        reports.extend(
            suspects.map(|(fingerprint, entry)| report(now, *fingerprint, entry, &self.quarantine)),
        );
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

    /// Returns the quarantined fingerprints, whose requests are refused.
    pub fn quarantine(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let refused = |fingerprint: &Fingerprint| !self.completed.contains(*fingerprint);
        self.quarantine.iter().copied().filter(refused)
    }
}

/// Returns an entry as it is reported to peers.
fn report(
    now: Time,
    fingerprint: Fingerprint,
    entry: &Entry,
    quarantine: &BTreeSet<Fingerprint>,
) -> SuspectReport {
    let suspect = Suspect {
        fingerprint,
        crashes: 1 + u8::from(quarantine.contains(&fingerprint)),
    };
    let crashes = entry.crashes.iter().map(|crash| CrashReport {
        target: crash.target,
        lifetime: crash.expires.since(now).as_millis() as u32,
        alone: crash.alone,
        run: crash.run.as_millis() as u32,
    });
    (suspect, crashes.collect())
}
