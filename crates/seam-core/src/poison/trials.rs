//! Requests that are let through although a part of their prompts is quarantined.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{Fingerprint, Time};

/// Time from the last crash or trial of a part to its next trial.
const PART_INTERVAL: Duration = Duration::from_secs(120);
/// Time from one trial of a node to its next, unless the first one succeeds.
const NODE_INTERVAL: Duration = Duration::from_secs(5);

/// When this node began trials.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials {
    parts: BTreeMap<Fingerprint, Time>,
    last: Option<Time>,
}

impl Trials {
    /// Returns whether a trial may begin, and counts it if so.
    pub(super) fn begin(&mut self, now: Time, part: Fingerprint, last_crash: Time) -> bool {
        let last = self.parts.get(&part).copied().unwrap_or_default();
        let waiting = now.since(last.max(last_crash)) < PART_INTERVAL;
        let busy = self
            .last
            .is_some_and(|last| now.since(last) < NODE_INTERVAL);
        if waiting || busy {
            return false;
        }
        self.parts.insert(part, now);
        self.last = Some(now);
        true
    }

    /// Allows the next trial at once, since targets serve again.
    pub(super) fn succeed(&mut self) {
        self.last = None;
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.parts
            .retain(|_, began| now.since(*began) < PART_INTERVAL);
    }
}
