//! Detection of requests, and of what requests share, that crash their targets.
//!
//! Each node sees only its own requests at a target that crashes, so nodes exchange the crashes
//! that they attribute to a fingerprint and add them up. A fingerprint stands for requests that a
//! target cannot tell apart, or for a part that many of them share: a part of their prompts, or an
//! attribute such as their path.
//!
//! A part is to blame for crashes if no answer to a request with it began since. Where several parts
//! are possible, the one with the most crashes is quarantined, and its crashes speak against nothing
//! else any more.

mod entry;
mod evidence;
mod trials;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::heartbeat::{CrashReport, Suspect, SuspectPart};
use seam_protocol::id::rank;
use seam_protocol::{Fingerprint, Heartbeat, ServiceId, TargetId, Time, VmId};

use crate::prompt::Prompt;
use entry::{Crash, Entry, Subject};
use evidence::{AnsweredParts, Completions};
use trials::Trials;

/// Number of crashes at which a request is quarantined, whatever else ran at the targets.
pub const CRASH_LIMIT: usize = 3;
/// Lifetime of a crash in the table.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Largest number of fingerprints in the table.
const MAX_ENTRIES: usize = 4096;
/// Largest number of parts of one prompt that are considered, the last ones that it shares.
const MAX_PARTS: usize = 64;
/// Time since the last answer to a prompt with a part in which it is not blamed for a crash. Such
/// parts are in many prompts, and are soon answered again.
const ANSWERED_LATELY: Duration = Duration::from_secs(1);
/// Number of times that an entry is sent to peers without a change.
const MAX_SENDS: u8 = 12;
/// Number of crashes from which on a request with a part is not retried.
const RETRY_LIMIT: usize = 2;

/// Returns the fingerprints of the parts of a prompt that other requests to a service may share, in
/// the order of the prompt.
///
/// ```
/// use seam_core::poison::part_fingerprints;
/// use seam_core::prompt::{Part, Prompt};
/// use seam_protocol::ServiceId;
/// let part = |id| Part { id, tokens: 100 };
/// let prompt = |own| Prompt { parts: vec![part(1), part(own)], input_tokens: 200, output_limit: 9 };
/// let parts = part_fingerprints(ServiceId(7), &prompt(2));
/// assert_eq!(parts.len(), 1);
/// assert_eq!(parts, part_fingerprints(ServiceId(7), &prompt(3)));
/// assert_ne!(parts, part_fingerprints(ServiceId(8), &prompt(2)));
/// ```
#[must_use]
pub fn part_fingerprints(service: ServiceId, prompt: &Prompt) -> Vec<Fingerprint> {
    let shared = prompt.shared_parts();
    let considered = &shared[shared.len().saturating_sub(MAX_PARTS)..];
    considered
        .iter()
        .map(|part| Fingerprint(rank(part.id, u64::from(service.0))))
        .collect()
}

/// Requests that were at a target when it crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashRuns {
    /// Fingerprints of the requests, with the time that each had been there.
    pub requests: BTreeMap<Fingerprint, Duration>,
    /// Fingerprints of what the requests share with others whose answers had not begun, or only
    /// just, with the position of each, the widest first.
    pub parts: BTreeMap<Fingerprint, u8>,
}

impl FromIterator<(Fingerprint, Duration)> for CrashRuns {
    /// Collects requests without parts of prompts.
    fn from_iter<T: IntoIterator<Item = (Fingerprint, Duration)>>(requests: T) -> Self {
        Self {
            requests: requests.into_iter().collect(),
            parts: BTreeMap::new(),
        }
    }
}

/// An entry as it is reported to peers.
#[derive(Clone, Debug)]
pub enum SuspectReport {
    /// A request, with the crashes attributed to it.
    Request(Suspect, Vec<CrashReport>),
    /// A part of prompts.
    Part(SuspectPart),
}

impl SuspectReport {
    /// Adds the entry to a heartbeat.
    pub fn list_in(self, heartbeat: &mut Heartbeat) {
        match self {
            Self::Request(suspect, crashes) => {
                heartbeat.suspects.push(suspect);
                heartbeat.quarantine.crashes.push(crashes);
            }
            Self::Part(part) => heartbeat.suspect_parts.push(part),
        }
    }
}

/// A fingerprint that entered or left the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether it stands for a part of prompts.
    pub is_part: bool,
    /// Whether it is quarantined now.
    pub quarantined: bool,
}

/// Suspected and quarantined fingerprints.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    entries: BTreeMap<Fingerprint, Entry>,
    quarantine: BTreeSet<Fingerprint>,
    /// Crashes of quarantined parts. They, and others at the same time, speak against nothing else.
    explained: Vec<Crash>,
    /// Digest of the candidates and of which of them are quarantined.
    digest: u32,
    /// The candidate that was reported last to each node that did not receive all of them at once.
    last_reported: BTreeMap<VmId, Fingerprint>,
    completed: Completions,
    answered: AnsweredParts,
    trials: Trials,
}

impl PoisonTable {
    /// Returns whether a request is suspected, so that its requests share no target with other
    /// suspects.
    #[must_use]
    pub fn suspected(&self, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| {
            let mut crashes = entry.crashes.iter();
            crashes.any(|crash| !is_explained(&self.explained, crash))
        }) && !self.completed.contains(fingerprint)
    }

    /// Returns whether a request with this part of a prompt should not be retried, as the part may
    /// have crashed the target.
    #[must_use]
    pub fn part_suspected(&self, part: Fingerprint) -> bool {
        let Some(entry) = self.entries.get(&part) else {
            return false;
        };
        let crashes = entry.crashes.iter();
        let open = crashes.filter(|crash| !is_explained(&self.explained, crash));
        self.quarantine.contains(&part) || open.count() >= RETRY_LIMIT
    }

    /// Returns whether a request or part is quarantined, so that requests with it are refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::poison::{CrashRuns, PoisonTable};
    /// use seam_protocol::{Fingerprint, TargetId, Time};
    /// let run = Duration::from_millis(50);
    /// let mut table = PoisonTable::default();
    /// let both = [(Fingerprint(1), run), (Fingerprint(2), run)];
    /// table.record_crash(Time(0), TargetId(1), &CrashRuns::from_iter(both));
    /// assert!(!table.quarantined(Fingerprint(1)));
    /// // Only fingerprint 1 ran on both crashed targets.
    /// let again = [(Fingerprint(1), run), (Fingerprint(3), run)];
    /// table.record_crash(Time(1), TargetId(2), &CrashRuns::from_iter(again));
    /// assert!(table.quarantined(Fingerprint(1)));
    /// assert!(!table.suspected(Fingerprint(3)));
    /// ```
    #[must_use]
    pub fn quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.contains(&fingerprint) && !self.completed.contains(fingerprint)
    }

    /// Returns whether this node may let one request with a quarantined part through, and counts it
    /// if so.
    ///
    /// Targets that crash under every request make parts suspects that are not the cause. Without an
    /// answer to a prompt with it, such a part would be refused for [`SUSPECT_TTL`]. The caller makes
    /// sure that only one node tries a part, since each trial may crash a target.
    pub fn begin_trial(&mut self, now: Time, part: Fingerprint) -> bool {
        let Some(entry) = self.entries.get(&part) else {
            return false;
        };
        let last_crash = entry.expires() - SUSPECT_TTL;
        self.trials.begin(now, part, last_crash)
    }

    /// Returns whether nothing is quarantined.
    #[must_use]
    pub fn refuses_nothing(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Attributes a crash to what was at the crashed target.
    ///
    /// Requests that ran to a successful end before are left out. If none of the others was a
    /// suspect before, all become suspects. Otherwise the crash is attributed to the suspects. One
    /// that was the only suspect there is quarantined. If another node says the same of another
    /// request at the same crash, only the one is quarantined whose runs were shorter, since such a
    /// request crashes its targets soon. Each is quarantined at [`CRASH_LIMIT`] crashes.
    ///
    /// Parts of prompts are quarantined after some separate crashes without an answer that began
    /// meanwhile, see [`Self::record_answer`].
    pub fn record_crash(
        &mut self,
        now: Time,
        target: TargetId,
        ran: &CrashRuns,
    ) -> Vec<QuarantineChange> {
        let crash = Crash {
            target,
            expires: now + SUSPECT_TTL,
            alone: false,
            run: Duration::ZERO,
        };
        for (part, depth) in &ran.parts {
            let answered = self.answered.last(*part);
            if answered.is_none_or(|began| now.since(began) >= ANSWERED_LATELY) {
                self.add_crash(*part, self.part_subject(*part, *depth), crash);
            }
        }
        let requests: BTreeMap<Fingerprint, Duration> = ran
            .requests
            .iter()
            .filter(|(fingerprint, _)| !self.completed.contains(**fingerprint))
            .map(|(fingerprint, run)| (*fingerprint, *run))
            .collect();
        let was_suspect = |fingerprint: &Fingerprint| {
            let entry = self.entries.get(fingerprint);
            entry.is_some_and(|entry| {
                let mut crashes = entry.crashes.iter();
                crashes.any(|known| !known.is_same(&crash) && !is_explained(&self.explained, known))
            })
        };
        let suspects: BTreeSet<Fingerprint> =
            requests.keys().copied().filter(was_suspect).collect();
        for (fingerprint, run) in requests {
            if suspects.is_empty() || suspects.contains(&fingerprint) {
                let crash = Crash {
                    alone: suspects.len() == 1,
                    run,
                    ..crash
                };
                self.add_crash(fingerprint, Subject::Request, crash);
            }
        }
        self.update_quarantine()
    }

    fn part_subject(&self, part: Fingerprint, depth: u8) -> Subject {
        let answered = self.answered.last(part).is_some();
        Subject::Part { depth, answered }
    }

    /// Attributes a crash to a request or part.
    fn add_crash(&mut self, fingerprint: Fingerprint, subject: Subject, crash: Crash) {
        self.entry(fingerprint, subject).add(crash);
    }

    /// Returns an entry, created if missing. The table stays within [`MAX_ENTRIES`].
    fn entry(&mut self, fingerprint: Fingerprint, subject: Subject) -> &mut Entry {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.drop_oldest_suspect();
        }
        let entry = self.entries.entry(fingerprint);
        entry.or_insert_with(|| Entry::new(subject))
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

    /// Returns the candidates, those first that are more likely to be the cause of a crash which
    /// they share: parts with a known answer last, then the ones with the most crashes first, then
    /// requests, then parts that fewer prompts share.
    fn ranked_candidates(&self) -> Vec<(Fingerprint, &Entry)> {
        let mut candidates: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_candidate())
            .map(|(fingerprint, entry)| (*fingerprint, entry))
            .collect();
        candidates.sort_by_key(|(_, entry)| entry.doubts());
        candidates
    }

    /// Decides anew which fingerprints are quarantined. Returns those for which that changed.
    fn update_quarantine(&mut self) -> Vec<QuarantineChange> {
        let mut explained: Vec<Crash> = Vec::new();
        let mut requested: Vec<Crash> = Vec::new();
        let mut quarantine = BTreeSet::new();
        let mut digest = 0;
        let only_suspects = self.only_suspects();
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
        for (fingerprint, entry) in self.ranked_candidates() {
            let open: Vec<Crash> = entry
                .crashes
                .iter()
                .filter(|crash| !is_explained(&explained, crash))
                .copied()
                .collect();
            let quarantined = match entry.subject {
                Subject::Request => {
                    let mut alone = open.iter().filter(|crash| crash.alone);
                    open.len() >= CRASH_LIMIT || alone.any(|crash| !contested(fingerprint, crash))
                }
                Subject::Part { .. } => {
                    let by_request =
                        |crash: &&Crash| requested.iter().any(|known| known.is_same(crash));
                    entry.is_part_cause(open.iter().filter(|crash| !by_request(crash)))
                }
            };
            if quarantined {
                quarantine.insert(fingerprint);
                match entry.subject {
                    Subject::Part { .. } => explained.extend(&entry.crashes),
                    // Prompts that share a part with the request may be sound.
                    Subject::Request if open.len() >= CRASH_LIMIT => requested.extend(&open),
                    Subject::Request => {}
                }
            }
            let folded = (fingerprint.0 >> 32) as u32 ^ fingerprint.0 as u32;
            digest ^= folded.rotate_left(u32::from(quarantined));
        }
        let before = std::mem::replace(&mut self.quarantine, quarantine);
        self.explained = explained;
        self.digest = digest;
        let changed = before.symmetric_difference(&self.quarantine);
        changed
            .map(|fingerprint| QuarantineChange {
                fingerprint: *fingerprint,
                is_part: self.is_part(*fingerprint),
                quarantined: self.quarantine.contains(fingerprint),
            })
            .collect()
    }

    fn is_part(&self, fingerprint: Fingerprint) -> bool {
        let subject = self.entries.get(&fingerprint).map(|entry| entry.subject);
        matches!(subject, Some(Subject::Part { .. }))
    }

    /// Returns the crashes at which a node had only one suspected request, by target.
    fn only_suspects(&self) -> BTreeMap<TargetId, Vec<(Crash, Fingerprint)>> {
        let mut only_suspects: BTreeMap<TargetId, Vec<(Crash, Fingerprint)>> = BTreeMap::new();
        for (fingerprint, entry) in &self.entries {
            for crash in entry.crashes.iter().filter(|crash| crash.alone) {
                let crashes = only_suspects.entry(crash.target).or_default();
                crashes.push((*crash, *fingerprint));
            }
        }
        only_suspects
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
            if let Some(crash) = reported_crash(now, report) {
                self.add_crash(suspect.fingerprint, Subject::Request, crash);
            }
        }
        self.update_if_candidate(suspect.fingerprint)
    }

    /// Merges a part reported by a peer. Returns the fingerprints that entered or left the
    /// quarantine.
    ///
    /// If this node knows of an answer that the peer does not, it reports that in turn.
    pub fn merge_part(&mut self, now: Time, report: &SuspectPart) -> Vec<QuarantineChange> {
        let part = report.part;
        let mut changes = Vec::new();
        if let Some(age) = report.answered {
            let began = now - Duration::from_millis(age.into());
            changes = self.record_answer(part, began);
        }
        let answered = self.answered.last(part);
        let subject = self.part_subject(part, report.depth);
        let crashes = report.crashes.iter();
        let (refuted, open): (Vec<Crash>, Vec<Crash>) = crashes
            .filter_map(|crash| reported_crash(now, crash))
            .partition(|crash| answered.is_some_and(|began| began > crash.time()));
        for crash in &open {
            self.add_crash(part, subject, *crash);
        }
        let unknown = answered.is_some() && report.answered.is_none();
        if !refuted.is_empty() || (unknown && !open.is_empty()) {
            self.entry(part, subject).times_sent = 0;
        }
        changes.extend(self.update_if_candidate(part));
        changes
    }

    fn update_if_candidate(&mut self, fingerprint: Fingerprint) -> Vec<QuarantineChange> {
        let merged = self.entries.get(&fingerprint);
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

    /// Records that a target began an answer to a prompt with a part, and did not crash then. The
    /// part caused none of the crashes before. Returns the fingerprints that entered or left the
    /// quarantine.
    ///
    /// Unlike a completed request, the part may crash targets from then on.
    pub fn record_answer(&mut self, part: Fingerprint, began: Time) -> Vec<QuarantineChange> {
        if !self.answered.record(part, began) {
            return Vec::new();
        }
        let Some(entry) = self.entries.get_mut(&part) else {
            return Vec::new();
        };
        let was_candidate = entry.is_candidate();
        if let Subject::Part { answered, .. } = &mut entry.subject {
            *answered = true;
        }
        if !entry.clear_before(began) && !was_candidate {
            return Vec::new();
        }
        let changes = self.update_quarantine();
        if changes.iter().any(|change| !change.quarantined) {
            self.trials.succeed();
        }
        changes
    }

    /// Removes crashes older than [`SUSPECT_TTL`].
    pub fn expire(&mut self, now: Time) {
        self.completed.expire(now);
        self.answered.expire(now);
        self.trials.expire(now);
        let mut expired = false;
        self.entries.retain(|fingerprint, entry| {
            let known = entry.crashes.len();
            entry.crashes.retain(|crash| crash.expires > now);
            expired |= entry.crashes.len() < known;
            // An entry without crashes tells peers of an answer.
            let untold = known == 0 && entry.times_sent < MAX_SENDS;
            !entry.crashes.is_empty() || (untold && self.answered.last(*fingerprint).is_some())
        });
        if expired {
            self.update_quarantine();
        }
        if self.quarantine.is_empty() {
            self.last_reported.clear();
        }
    }

    /// Returns up to `limit` requests and as many parts for gossip, and counts them as sent: those
    /// sent least often first, then those that are likelier to be the cause of crashes.
    pub fn take_updates(&mut self, now: Time, limit: usize) -> Vec<SuspectReport> {
        let mut updates = Vec::new();
        for parts in [true, false] {
            let mut entries: Vec<_> = self
                .entries
                .iter()
                .filter(|(_, entry)| {
                    entry.times_sent < MAX_SENDS && parts != (entry.subject == Subject::Request)
                })
                .map(|(fingerprint, entry)| (entry.times_sent, entry.doubts(), *fingerprint))
                .collect();
            entries.sort_unstable();
            updates.extend(entries.into_iter().take(limit));
        }
        let mut reports = Vec::new();
        for (_, _, fingerprint) in updates {
            if let Some(entry) = self.entries.get_mut(&fingerprint) {
                entry.times_sent += 1;
            }
            reports.extend(self.report(now, fingerprint));
        }
        reports
    }

    /// Returns up to `limit` entries that the quarantine follows from, for a peer with another
    /// digest: half of them are the likeliest causes, and later calls for the same peer return the
    /// next of the others.
    pub fn take_candidates(&mut self, now: Time, to: VmId, limit: usize) -> Vec<SuspectReport> {
        let ranked = self.ranked_candidates().into_iter();
        let ranked: Vec<Fingerprint> = ranked.map(|(fingerprint, _)| fingerprint).collect();
        let (first, rest) = ranked.split_at(ranked.len().min(limit.div_ceil(2)));
        let mut rest = rest.to_vec();
        rest.sort_unstable();
        let last = self.last_reported.remove(&to);
        let next = rest.partition_point(|fingerprint| Some(*fingerprint) <= last);
        rest.rotate_left(next);
        let count = rest.len();
        rest.truncate(limit - first.len());
        if let Some(last) = rest.last().filter(|_| rest.len() < count) {
            self.last_reported.insert(to, *last);
        }
        let candidates = first.iter().chain(&rest);
        candidates
            .filter_map(|fingerprint| self.report(now, *fingerprint))
            .collect()
    }

    /// Returns up to `limit` entries for a peer that may know none of them: those that the
    /// quarantine follows from, then the suspects with the most and the most recent crashes.
    pub fn take_report(&mut self, now: Time, to: VmId, limit: usize) -> Vec<SuspectReport> {
        let mut reports = self.take_candidates(now, to, limit);
        let mut suspects: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_candidate() && !entry.crashes.is_empty())
            .collect();
        suspects.sort_by_key(|(_, entry)| Reverse((entry.crashes.len(), entry.expires())));
        suspects.truncate(limit - reports.len());
        let suspects = suspects.into_iter();
        reports.extend(suspects.filter_map(|(fingerprint, _)| self.report(now, *fingerprint)));
        reports
    }

    /// Returns the number of suspected and quarantined fingerprints.
    #[must_use]
    pub fn len(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.crashes.is_empty()).count()
    }

    /// Returns whether no fingerprint is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let mut entries = self.entries.values();
        entries.all(|entry| entry.crashes.is_empty())
    }

    /// Returns the quarantined fingerprints, whose requests are refused.
    pub fn quarantine(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let refused = |fingerprint: &Fingerprint| !self.completed.contains(*fingerprint);
        self.quarantine.iter().copied().filter(refused)
    }

    /// Returns an entry as it is reported to peers.
    fn report(&self, now: Time, fingerprint: Fingerprint) -> Option<SuspectReport> {
        let entry = self.entries.get(&fingerprint)?;
        let crashes = entry.crashes.iter().map(|crash| CrashReport {
            target: crash.target,
            lifetime: crash.expires.since(now).as_millis() as u32,
            alone: crash.alone,
            run: crash.run.as_millis() as u32,
        });
        let crashes = crashes.collect();
        Some(match entry.subject {
            Subject::Request => {
                let suspect = Suspect {
                    fingerprint,
                    crashes: 1 + u8::from(self.quarantine.contains(&fingerprint)),
                };
                SuspectReport::Request(suspect, crashes)
            }
            Subject::Part { depth, .. } => {
                let answered = self.answered.last(fingerprint);
                SuspectReport::Part(SuspectPart {
                    part: fingerprint,
                    depth,
                    answered: answered.map(|began| now.since(began).as_millis() as u32),
                    crashes,
                })
            }
        })
    }
}

/// Returns whether a quarantined part is likely to have caused a crash.
fn is_explained(explained: &[Crash], crash: &Crash) -> bool {
    explained.iter().any(|known| known.explains(crash))
}

/// Returns a crash that a peer reports, `None` once it is forgotten.
fn reported_crash(now: Time, report: &CrashReport) -> Option<Crash> {
    let lifetime = Duration::from_millis(report.lifetime.into());
    (!lifetime.is_zero()).then(|| Crash {
        target: report.target,
        expires: now + lifetime.min(SUSPECT_TTL),
        alone: report.alone,
        run: Duration::from_millis(report.run.into()),
    })
}
