//! Selects the receivers of heartbeats and the times to send them.
//!
//! A node sends to a fixed number of peers per period, in rotation, so its traffic does not grow
//! with the fleet. Heartbeats also carry records of other nodes and summaries of other regions.
//! Urgent updates are sent immediately.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::id::rank;
use seam_protocol::{Bundle, RegionId, Time, VmId};

/// Time between two gossip rounds.
pub const PERIOD: Duration = Duration::from_secs(1);
/// Time between two gossip rounds where the member list is not published.
pub const FAST_PERIOD: Duration = Duration::from_millis(400);
/// Receivers in the node's own region per round.
pub const FANOUT: usize = 2;
/// Interval between datagrams to other regions, in rounds.
pub const REMOTE_ROUNDS: usize = 2;
/// Maximum number of records of other nodes in one datagram.
pub const MAX_RECORDS: usize = 4;
/// Maximum number of summaries of other regions in one datagram.
pub const MAX_SUMMARIES: usize = 1;
/// Interval between heartbeats to a node of the region that carry region summaries, in heartbeats.
pub const SUMMARY_TURNS: usize = 2;
/// Maximum number of service loads in one record.
pub const MAX_LOADS: usize = 3;
/// Maximum number of suspect fingerprints in one datagram.
pub const MAX_SUSPECTS: usize = 4;
/// Receivers of an urgent update in the node's own region, which pass it on.
pub const URGENT_LOCAL: usize = 3;
/// Receivers of an urgent update in other regions, which pass it on.
pub const URGENT_REMOTE: usize = 2;

/// Rotation over the peers of this region and the nodes of other regions.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    next_round: Time,
    round: usize,
    local: Vec<VmId>,
    remote: Vec<Vec<VmId>>,
    me: VmId,
    /// The next turn of each node, see [`Self::next_turn`].
    turns: BTreeMap<VmId, usize>,
}

impl Gossip {
    /// Sets the published nodes. Each node starts its rotation at its own position in the list.
    pub fn set_members(&mut self, bundle: &Bundle, me: VmId, region: RegionId) {
        self.me = me;
        let nodes_of =
            |region: RegionId| -> Vec<VmId> { bundle.deployment.vms_in(region).collect() };
        self.local = nodes_of(region);
        let position = self.local.iter().position(|vm| *vm == me).unwrap_or(0);
        self.local.rotate_left(position);
        self.local.retain(|vm| *vm != me);
        self.remote = bundle
            .deployment
            .regions
            .keys()
            .filter(|other| **other != region)
            .map(|other| nodes_of(*other))
            .filter(|nodes| !nodes.is_empty())
            .collect();
        let regions = self.remote.len().max(1);
        self.remote.rotate_left(position % regions);
        let vms = &bundle.deployment.vms;
        self.turns.retain(|vm, _| vms.contains_key(vm));
    }

    /// Returns the receivers of a due round: those in this region and those in other regions.
    ///
    /// `fast` selects the shorter period for deployments without a published member list and
    /// includes every peer of the region.
    pub fn next_receivers(&mut self, now: Time, fast: bool) -> Option<(Vec<VmId>, Vec<VmId>)> {
        if now < self.next_round {
            return None;
        }
        let (period, remote_rounds) = if fast {
            (FAST_PERIOD, 1)
        } else {
            (PERIOD, REMOTE_ROUNDS)
        };
        self.next_round = now + period;
        self.round += 1;
        let round = self.round;
        let fanout = if fast { self.local.len() } else { FANOUT };
        let local = take_rotating(&self.local, round, fanout);
        let remote = if round.is_multiple_of(remote_rounds) {
            self.remote_at(round / remote_rounds).into_iter().collect()
        } else {
            Vec::new()
        };
        Some((local, remote))
    }

    fn remote_at(&self, round: usize) -> Option<VmId> {
        let nodes = self.remote.get(round % self.remote.len().max(1))?;
        nodes
            .get((round / self.remote.len()) % nodes.len())
            .copied()
    }

    /// Returns the turn of a heartbeat to a node, by which its contents rotate.
    ///
    /// Counted over all receivers, a rotation can fall into step with them, so that each always gets
    /// the same contents. Turns of other pairs of nodes begin elsewhere, since in a large fleet a node
    /// rarely gets more than one heartbeat from the same sender.
    ///
    /// ```
    /// use seam_core::gossip::Gossip;
    /// use seam_protocol::VmId;
    /// let mut gossip = Gossip::default();
    /// let first = gossip.next_turn(VmId(1));
    /// assert_ne!(gossip.next_turn(VmId(2)), first);
    /// assert_eq!(gossip.next_turn(VmId(1)), first + 1);
    /// ```
    pub fn next_turn(&mut self, to: VmId) -> usize {
        let first = rank(u64::from(self.me.0), u64::from(to.0)) as u16;
        let next = self.turns.entry(to).or_insert(first.into());
        let turn = *next;
        *next = turn.wrapping_add(1);
        turn
    }

    /// Returns the number of rounds so far.
    #[must_use]
    pub fn round(&self) -> usize {
        self.round
    }

    /// Returns randomly chosen receivers of an urgent update.
    pub fn urgent_receivers(&self, rng: &mut Pcg64Mcg) -> Vec<VmId> {
        let mut receivers = Vec::new();
        if !self.local.is_empty() {
            let from = rng.random_range(0..self.local.len());
            receivers.extend(take_rotating(&self.local, from, URGENT_LOCAL));
        }
        for _ in 0..URGENT_REMOTE.min(self.remote.len()) {
            let nodes = &self.remote[rng.random_range(0..self.remote.len())];
            receivers.push(nodes[rng.random_range(0..nodes.len())]);
        }
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// Returns the other published nodes of this region.
    #[must_use]
    pub fn local_peers(&self) -> &[VmId] {
        &self.local
    }
}

/// Returns up to `limit` nodes, starting at the position for the round.
fn take_rotating(nodes: &[VmId], round: usize, limit: usize) -> Vec<VmId> {
    let count = nodes.len();
    (0..limit.min(count))
        .map(|step| nodes[(round * limit + step) % count])
        .collect()
}
