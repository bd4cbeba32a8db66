//! Whom to send a heartbeat, and when.
//!
//! A node sends to a fixed number of peers a period, in rotation, so its traffic does not grow with
//! the fleet. Records and digests of others ride along. News that must not wait is sent at once.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::{Bundle, RegionId, Time, VmId};

/// Time between two rounds.
pub const PERIOD: Duration = Duration::from_secs(1);
/// Time between two rounds where members are not published.
pub const FAST_PERIOD: Duration = Duration::from_millis(400);
/// Peers of the own region in one round.
pub const FANOUT: usize = 2;
/// Rounds between two datagrams to other regions.
pub const REMOTE_ROUNDS: usize = 2;
/// Records of other nodes in one datagram.
pub const MAX_RECORDS: usize = 4;
/// Digests of other regions in a datagram inside the region.
pub const MAX_DIGESTS: usize = 1;
/// Rounds between two that carry digests inside the region.
pub const DIGEST_ROUNDS: usize = 2;
/// Loads in one record.
pub const MAX_LOADS: usize = 3;
/// Suspects in one datagram.
pub const MAX_SUSPECTS: usize = 4;
/// Peers of the own region that hear urgent news first.
pub const URGENT_LOCAL: usize = 3;
/// Nodes of other regions that hear urgent news first.
pub const URGENT_REMOTE: usize = 2;

/// Rotation over peers and regions.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    due: Time,
    round: usize,
    near: Vec<VmId>,
    far: Vec<Vec<VmId>>,
}

impl Gossip {
    /// Takes in the published nodes. Each node starts its rotation at its own place.
    pub fn set_members(&mut self, bundle: &Bundle, me: VmId, region: RegionId) {
        let of = |region: RegionId| -> Vec<VmId> { bundle.deployment.vms_in(region).collect() };
        self.near = of(region);
        let place = self.near.iter().position(|vm| *vm == me).unwrap_or(0);
        self.near.rotate_left(place);
        self.near.retain(|vm| *vm != me);
        self.far = bundle
            .deployment
            .regions
            .keys()
            .filter(|other| **other != region)
            .map(|other| of(*other))
            .filter(|nodes| !nodes.is_empty())
            .collect();
        let regions = self.far.len().max(1);
        self.far.rotate_left(place % regions);
    }

    /// Returns the receivers of a round that is due, near ones and far ones.
    ///
    /// A deployment whose members are not published hears faster of changes, with `fast`.
    pub fn next_receivers(&mut self, now: Time, fast: bool) -> Option<(Vec<VmId>, Vec<VmId>)> {
        if now < self.due {
            return None;
        }
        let (period, remote_rounds) = if fast {
            (FAST_PERIOD, 1)
        } else {
            (PERIOD, REMOTE_ROUNDS)
        };
        self.due = now + period;
        self.round += 1;
        let round = self.round;
        let fanout = if fast { self.near.len() } else { FANOUT };
        let near = pick(&self.near, round, fanout);
        let far = if round.is_multiple_of(remote_rounds) {
            self.far_at(round / remote_rounds).into_iter().collect()
        } else {
            Vec::new()
        };
        Some((near, far))
    }

    fn far_at(&self, round: usize) -> Option<VmId> {
        let nodes = self.far.get(round % self.far.len().max(1))?;
        nodes.get((round / self.far.len()) % nodes.len()).copied()
    }

    /// Returns the rotation's position.
    #[must_use]
    pub fn round(&self) -> usize {
        self.round
    }

    /// Returns random receivers of news that must not wait.
    pub fn urgent_receivers(&self, rng: &mut Pcg64Mcg) -> Vec<VmId> {
        let mut receivers = Vec::new();
        if !self.near.is_empty() {
            let from = rng.random_range(0..self.near.len());
            receivers.extend(pick(&self.near, from, URGENT_LOCAL));
        }
        for _ in 0..URGENT_REMOTE.min(self.far.len()) {
            let nodes = &self.far[rng.random_range(0..self.far.len())];
            receivers.push(nodes[rng.random_range(0..nodes.len())]);
        }
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// Returns every other published node of the region.
    #[must_use]
    pub fn local_peers(&self) -> &[VmId] {
        &self.near
    }
}

fn pick(nodes: &[VmId], round: usize, most: usize) -> Vec<VmId> {
    let count = nodes.len();
    (0..most.min(count))
        .map(|step| nodes[(round * most + step) % count])
        .collect()
}
