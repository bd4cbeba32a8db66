//! The crashes that are attributed to one request or part of prompts.

use std::cmp::Reverse;
use std::time::Duration;

use seam_protocol::{TargetId, Time};

use super::{CRASH_LIMIT, SUSPECT_TTL};

/// Number of separate crashes at which a part is quarantined.
const PART_CRASH_LIMIT: usize = 3;
/// Crashes within this time are not separate: another cause may end many targets at once.
const SEPARATE_SPAN: Duration = Duration::from_millis(250);
/// The same time for a part to which there were answers, which is less likely to be the cause.
const ANSWERED_SPAN: Duration = Duration::from_secs(1);
/// Largest number of crashes that are kept, the newest ones. What is kept does not depend on the
/// order in which nodes receive them.
const MAX_CRASHES: usize = 32;
/// Crashes within this time of one that a part caused are taken for its doing as well.
const EXPLAINED_SPAN: Duration = Duration::from_millis(500);
/// Crashes of a target that nodes saw within this time are one crash, since it has to start again
/// before the next.
const CRASH_SPAN: Duration = Duration::from_secs(2);

/// A crash of a target, attributed to a request or a part of prompts that was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) target: TargetId,
    /// [`SUSPECT_TTL`] after the crash.
    pub(super) expires: Time,
    /// Whether a node had no other suspect at the target.
    pub(super) alone: bool,
    /// How long the request had been at the target.
    pub(super) run: Duration,
}

impl Crash {
    /// Returns when the crash was noticed.
    pub(super) fn time(&self) -> Time {
        self.expires - SUSPECT_TTL
    }

    /// Returns whether a part that caused this crash is likely to have caused another one too.
    pub(super) fn explains(&self, other: &Self) -> bool {
        let (first, last) = (
            self.expires.min(other.expires),
            self.expires.max(other.expires),
        );
        last.since(first) <= EXPLAINED_SPAN
    }

    pub(super) fn is_same(&self, other: &Self) -> bool {
        let (first, last) = (
            self.expires.min(other.expires),
            self.expires.max(other.expires),
        );
        self.target == other.target && last.since(first) < CRASH_SPAN
    }
}

/// What crashes are attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    /// Requests that a target cannot tell apart.
    Request,
    /// A part of prompts.
    Part {
        /// The position in the prompts.
        depth: u8,
        /// Whether there were answers to prompts with it.
        answered: bool,
    },
}

/// The crashes that are attributed to one subject.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) subject: Subject,
    /// At most [`MAX_CRASHES`] crashes.
    pub(super) crashes: Vec<Crash>,
    /// Times that this entry was sent to peers as it is.
    pub(super) times_sent: u8,
}

impl Entry {
    pub(super) fn new(subject: Subject) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            times_sent: 0,
        }
    }

    /// Adds a crash, unless it is known or older than all that are kept.
    pub(super) fn add(&mut self, crash: Crash) {
        let same = self.crashes.iter().position(|known| known.is_same(&crash));
        let news = match same {
            Some(index) => {
                let known = &mut self.crashes[index];
                known.run = known.run.min(crash.run);
                crash.alone && !std::mem::replace(&mut known.alone, true)
            }
            None if self.crashes.len() >= MAX_CRASHES => self.replace_oldest(crash),
            None => {
                self.crashes.push(crash);
                true
            }
        };
        if news {
            self.times_sent = 0;
        }
    }

    /// Replaces the oldest crash by a newer one. Returns whether the crash is newer.
    fn replace_oldest(&mut self, crash: Crash) -> bool {
        let oldest = self.crashes.iter_mut().min_by_key(|known| known.expires);
        let Some(oldest) = oldest.filter(|oldest| oldest.expires < crash.expires) else {
            return false;
        };
        *oldest = crash;
        true
    }

    /// Drops the crashes before an answer began. Returns whether there were any.
    pub(super) fn clear_before(&mut self, began: Time) -> bool {
        let known = self.crashes.len();
        self.crashes.retain(|crash| crash.time() >= began);
        let cleared = self.crashes.len() < known;
        if cleared {
            self.times_sent = 0;
        }
        cleared
    }

    /// Returns whether the entry may be a reason for a quarantine.
    pub(super) fn is_candidate(&self) -> bool {
        match self.subject {
            Subject::Request => {
                self.crashes.len() >= CRASH_LIMIT || self.crashes.iter().any(|crash| crash.alone)
            }
            Subject::Part { .. } => self.is_part_cause(self.crashes.iter()),
        }
    }

    /// Returns whether so many of the crashes of a part are separate that it is the cause.
    pub(super) fn is_part_cause<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> bool {
        let span = match self.subject {
            Subject::Part { answered: true, .. } => ANSWERED_SPAN,
            _ => SEPARATE_SPAN,
        };
        let mut times: Vec<Time> = crashes.map(|crash| crash.expires).collect();
        times.sort_unstable();
        let mut last: Option<Time> = None;
        let mut separate = 0;
        for time in times {
            if last.is_none_or(|last| time.since(last) >= span) {
                separate += 1;
                last = Some(time);
            }
        }
        separate >= PART_CRASH_LIMIT
    }

    /// Returns how unlikely it is that this is the cause of its crashes, for comparison with others.
    pub(super) fn doubts(&self) -> (bool, Reverse<usize>, Option<Reverse<u8>>) {
        let crashes = self.crashes.len();
        match self.subject {
            // A request is quarantined at so many crashes; more of them are those of another cause.
            Subject::Request => (false, Reverse(crashes.min(CRASH_LIMIT)), None),
            Subject::Part { depth, answered } => (answered, Reverse(crashes), Some(Reverse(depth))),
        }
    }

    pub(super) fn longest_run(&self) -> Duration {
        let runs = self.crashes.iter().map(|crash| crash.run);
        runs.max().unwrap_or_default()
    }

    pub(super) fn expires(&self) -> Time {
        let ends = self.crashes.iter().map(|crash| crash.expires);
        ends.max().unwrap_or_default()
    }
}
