//! Peers whose items differ from this node's at the same revision.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{Time, VmId};

/// Time for which items of two nodes may differ while changes are on the way: a node may have changes beyond
/// the revision up to which it has all.
pub(crate) const DIFFERENCE_LIMIT: Duration = Duration::from_millis(500);
/// Time for which a report counts after this node's own items changed.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Up to which revision a node has every change, and the digest of its items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ItemState {
    pub(crate) revision: u64,
    pub(crate) digest: u32,
}

/// A peer that has other items.
#[derive(Clone, Copy, Debug)]
struct Difference {
    since: Time,
    /// When the peer last reported a digest.
    reported: Time,
    /// What this node had by then.
    own: ItemState,
    /// The peer's digest.
    other: u32,
    logged: bool,
}

impl Difference {
    /// Returns whether it lasts, and no change was received since the last report.
    fn lasts(&self, now: Time, own: ItemState) -> bool {
        self.own == own && now.since(self.since) >= DIFFERENCE_LIMIT
    }
}

/// The peers that have other items.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemDifferences {
    peers: BTreeMap<VmId, Difference>,
}

impl ItemDifferences {
    /// Compares the items of a peer with those of this node. Digests of different revisions tell nothing.
    pub(crate) fn compare(&mut self, now: Time, peer: VmId, own: ItemState, other: ItemState) {
        if own.revision != other.revision {
            return;
        }
        if own.digest == other.digest {
            self.peers.remove(&peer);
            return;
        }
        let difference = self.peers.entry(peer).or_insert(Difference {
            since: now,
            reported: now,
            own,
            other: other.digest,
            logged: false,
        });
        difference.reported = now;
        difference.own = own;
        difference.other = other.digest;
    }

    /// Forgets the differences that ended, and those with nodes that are not `alive`.
    pub(crate) fn expire(&mut self, now: Time, own: ItemState, alive: impl Fn(VmId) -> bool) {
        self.peers.retain(|peer, difference| {
            let recent = now.since(difference.reported) < REPORT_LIFETIME;
            let ended = own.digest == difference.other;
            !ended && alive(*peer) && (difference.own == own || recent)
        });
    }

    /// Returns the lasting differences that were not returned before, as peers and their digests.
    pub(crate) fn take_unlogged(&mut self, now: Time, own: ItemState) -> Vec<(VmId, u32)> {
        let lasting = self.peers.iter_mut();
        let lasting = lasting.filter(|(_, known)| !known.logged && known.lasts(now, own));
        let mut unlogged = Vec::new();
        for (peer, difference) in lasting {
            difference.logged = true;
            unlogged.push((*peer, difference.other));
        }
        unlogged
    }

    /// Returns the peers whose items differ for some time.
    pub(crate) fn lasting(&self, now: Time, own: ItemState) -> impl Iterator<Item = VmId> + '_ {
        let lasting = self.peers.iter();
        let lasting = lasting.filter(move |(_, known)| known.lasts(now, own));
        lasting.map(|(peer, _)| *peer)
    }

    /// Returns whether no peer has other items.
    pub(crate) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the number of peers that have had other items for some time.
    pub(crate) fn count(&self, now: Time) -> usize {
        let lasts = |known: &&Difference| now.since(known.since) >= DIFFERENCE_LIMIT;
        self.peers.values().filter(lasts).count()
    }
}
