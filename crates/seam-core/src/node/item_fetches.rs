//! Fetches of changed items from peers: which one is asked, and whether this node stays behind.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{Time, VmId};

/// Time after which items are fetched from another peer, if the fetch has not ended, and for which a
/// peer that sent none is not asked again.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two fetches of changed items from peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a node that has heard of a newer revision, and not received it, reads the
/// platform itself. A small part of the time within which a configuration must be in force.
const LAG_LIMIT: Duration = Duration::from_secs(1);

/// State of the fetches.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemFetches {
    /// The peer that is asked, and since when.
    pending: Option<(VmId, Time)>,
    /// When the last fetch began.
    begun: Option<Time>,
    /// Peers that sent no items, and when this was noticed.
    failed: BTreeMap<VmId, Time>,
    /// The first revision heard of that has not been received, and when it was heard of.
    missed: Option<(u64, Time)>,
}

fn within(at: Option<Time>, now: Time, span: Duration) -> bool {
    at.is_some_and(|at| now.since(at) < span)
}

impl ItemFetches {
    /// Notes that a peer has a newer revision.
    pub(crate) fn note_newer(&mut self, now: Time, revision: u64) {
        self.missed.get_or_insert((revision, now));
    }

    /// Returns for how long this node has lagged: a newer revision was heard of some time before and not
    /// received.
    pub(crate) fn lag(&self, now: Time) -> Option<Duration> {
        let (_, since) = self.missed?;
        now.since(since).checked_sub(LAG_LIMIT)
    }

    /// Returns whether to fetch from a peer whose heartbeat arrived. Changes that follow each other
    /// closely are fetched together unless this is `urgent`.
    pub(crate) fn due(&mut self, now: Time, from: VmId, urgent: bool) -> bool {
        // A second fetch beside a slow one would transfer the same items again.
        if self.pending(now) {
            return false;
        }
        let recent = within(self.begun, now, FETCH_INTERVAL) && !urgent;
        !recent && !self.failed(now, from)
    }

    /// Returns whether a peer has just sent no items.
    pub(crate) fn failed(&self, now: Time, peer: VmId) -> bool {
        within(self.failed.get(&peer).copied(), now, FETCH_TIMEOUT)
    }

    /// Returns when the fetch from a peer began that is pending.
    pub(crate) fn begun_with(&self, peer: VmId) -> Option<Time> {
        let (from, begun) = self.pending?;
        (from == peer).then_some(begun)
    }

    /// Notes that a fetch begins.
    pub(crate) fn begin(&mut self, now: Time, from: VmId) {
        self.pending = Some((from, now));
        self.begun = Some(now);
    }

    /// Returns whether a fetch is pending. One that takes too long is given up.
    pub(crate) fn pending(&mut self, now: Time) -> bool {
        if let Some((peer, at)) = self.pending
            && now.since(at) >= FETCH_TIMEOUT
        {
            self.fail(now, peer);
        }
        self.pending.is_some()
    }

    /// Notes that a fetch from a peer returned no items. It may have been given up before.
    pub(crate) fn fail(&mut self, now: Time, peer: VmId) {
        self.failed.retain(|_, at| now.since(*at) < FETCH_TIMEOUT);
        self.failed.insert(peer, now);
        self.pending = self.pending.filter(|(pending, _)| *pending != peer);
    }

    /// Notes that items were received, after which every change up to `revision` is known.
    pub(crate) fn receive(&mut self, revision: u64) {
        self.pending = None;
        self.missed = self.missed.filter(|(missed, _)| *missed > revision);
    }
}
