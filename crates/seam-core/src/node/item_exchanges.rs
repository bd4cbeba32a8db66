//! Fetches of items that this node should have already, by the revision that it claims.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{Time, VmId};

/// Shortest time between two exchanges. It grows with each one that changes nothing.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two exchanges.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// Revisions before the own one from which on items are exchanged mostly.
const RECENT_REVISIONS: u64 = 256;
/// Number of exchanges without effect of which one is of all items.
const WHOLE_TURNS: u32 = 4;

/// State of the exchanges.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemExchanges {
    /// When the last one began.
    begun: Option<Time>,
    /// Exchanges in succession that changed nothing.
    fruitless: u32,
    /// When peers were last asked, since all differences ended.
    asked: BTreeMap<VmId, Time>,
}

impl ItemExchanges {
    /// Returns whether to begin an exchange.
    pub(crate) fn due(&self, now: Time) -> bool {
        let doubled = MIN_INTERVAL * 2_u32.pow(self.fruitless.saturating_sub(1).min(8));
        let interval = doubled.min(MAX_INTERVAL);
        self.begun.is_none_or(|begun| now.since(begun) >= interval)
    }

    /// Returns the order in which peers are asked: first those that were not asked for the longest time.
    pub(crate) fn last_asked(&self, peer: VmId) -> Option<Time> {
        self.asked.get(&peer).copied()
    }

    /// Notes that an exchange with a peer begins. Returns the revision since which to fetch items, for a
    /// node that claims `revision`.
    pub(crate) fn begin(&mut self, now: Time, peer: VmId, revision: u64) -> u64 {
        let whole = self.fruitless % WHOLE_TURNS == 1;
        self.begun = Some(now);
        self.fruitless = self.fruitless.saturating_add(1);
        self.asked.insert(peer, now);
        let span = if whole { u64::MAX } else { RECENT_REVISIONS };
        // A node without items would be sent no removals.
        revision.saturating_sub(span).max(1)
    }

    /// Notes that an exchange changed items, or that a new difference is urgent.
    pub(crate) fn hasten(&mut self) {
        self.fruitless = 0;
    }

    /// Notes that nothing differs.
    pub(crate) fn settle(&mut self) {
        self.fruitless = 0;
        self.asked.clear();
    }
}
