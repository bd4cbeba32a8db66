//! What this node believes of other nodes and regions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::heartbeat::ServiceRoom;
use seam_protocol::{
    Heartbeat, Incarnation, RegionDigest, RegionId, ServiceLoad, ServiceTag, Time, VmId, VmRecord,
};

/// Lease of a record in a region of few nodes.
const LEASE: Duration = Duration::from_secs(3);
/// Lease of a record where every node of a region tells every other one often: four rounds.
const FAST_LEASE: Duration = Duration::from_millis(1700);
/// Further lease for each node of the region, since records then take longer to go round.
const LEASE_STEP: Duration = Duration::from_millis(500);
/// Lease of a region's digest among few regions.
const REGION_LEASE: Duration = Duration::from_secs(5);
/// Further lease for each region.
const REGION_LEASE_STEP: Duration = Duration::from_millis(500);

/// What is believed of one node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its own last word.
    pub record: VmRecord,
    /// Its region.
    pub region: RegionId,
    /// When its record last advanced.
    pub updated: Time,
    /// Its own time in its last datagram to this node.
    pub sent: u64,
    /// Incarnation of that datagram.
    pub direct_incarnation: Incarnation,
    /// Whether the platform answers it, by its own word.
    pub platform_reachable: bool,
}

/// What is believed of another region.
#[derive(Clone, Debug)]
struct Known {
    digest: RegionDigest,
    heard: Time,
    made: (VmId, Incarnation, u32),
}

/// What a heartbeat brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatEffect {
    /// Own time that the sender echoed, if it knows this incarnation.
    pub echo: Option<Time>,
    /// Regions heard of again after their lease ran out.
    pub returned: Vec<RegionId>,
    /// Whether the set of live nodes of this region changed.
    pub members_changed: bool,
    /// Whether the datagram was older than another one of its sender.
    pub stale: bool,
}

/// Beliefs about other nodes.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<VmId, Peer>,
    regions: BTreeMap<RegionId, Known>,
    leaving: BTreeSet<VmId>,
    lost: BTreeSet<RegionId>,
    lease: Duration,
    region_lease: Duration,
}

impl Peers {
    /// Sets leases for a deployment's size and forgets nodes that are no longer published.
    ///
    /// With `fast`, every node of a region tells every other one often.
    pub fn set_members(
        &mut self,
        published: &BTreeMap<VmId, RegionId>,
        regions: usize,
        own: RegionId,
        fast: bool,
    ) {
        self.peers.retain(|vm, _| published.contains_key(vm));
        let nodes = published.values().filter(|region| **region == own).count();
        self.lease = if fast {
            FAST_LEASE
        } else {
            LEASE + LEASE_STEP * nodes as u32
        };
        self.region_lease = REGION_LEASE + REGION_LEASE_STEP * regions as u32;
    }

    /// Takes in a heartbeat from a published node.
    pub fn apply_heartbeat(
        &mut self,
        now: Time,
        me: (VmId, Incarnation, RegionId),
        beat: &Heartbeat,
        region_of: &BTreeMap<VmId, RegionId>,
    ) -> HeartbeatEffect {
        let mut news = HeartbeatEffect::default();
        let Some(own) = beat.records.first().filter(|own| own.vm == beat.from) else {
            return news;
        };
        if let Some(peer) = self.peers.get(&beat.from)
            && peer.direct_incarnation == own.incarnation
            && peer.sent >= beat.sent
        {
            news.stale = true;
            return news;
        }
        for (index, record) in beat.records.iter().enumerate() {
            let Some(region) = region_of.get(&record.vm).filter(|_| record.vm != me.0) else {
                continue;
            };
            news.members_changed |= self.note_record(now, *region, record, index == 0);
        }
        if let Some(peer) = self.peers.get_mut(&beat.from) {
            peer.sent = beat.sent;
            peer.direct_incarnation = own.incarnation;
            peer.platform_reachable = beat.reads;
        }
        if beat.believed == me.1 {
            news.echo = Some(Time(beat.echo));
        }
        for digest in &beat.digests {
            if digest.region != me.2 && self.note_digest(now, digest) {
                news.returned.push(digest.region);
            }
        }
        news
    }

    /// Takes in a record. Returns whether its node was not believed alive, or changed readiness.
    fn note_record(
        &mut self,
        now: Time,
        region: RegionId,
        record: &VmRecord,
        direct: bool,
    ) -> bool {
        let lease = self.lease;
        let Some(peer) = self.peers.get_mut(&record.vm) else {
            self.peers.insert(
                record.vm,
                Peer {
                    record: record.clone(),
                    region,
                    updated: now,
                    sent: 0,
                    direct_incarnation: Incarnation(0),
                    platform_reachable: false,
                },
            );
            return true;
        };
        let expired = now.since(peer.updated) >= lease;
        let newer = if peer.record.incarnation == record.incarnation {
            record.number > peer.record.number
        } else {
            direct || expired || record.incarnation > peer.record.incarnation
        };
        if !newer {
            return false;
        }
        let changed = expired || peer.record.ready != record.ready;
        peer.record = record.clone();
        peer.region = region;
        peer.updated = now;
        changed
    }

    /// Takes in a digest. Returns whether its region was lost and is heard of again.
    fn note_digest(&mut self, now: Time, digest: &RegionDigest) -> bool {
        let made = (digest.vm, digest.incarnation, digest.number);
        let age = Duration::from_millis(u64::from(digest.age));
        if let Some(known) = self.regions.get(&digest.region)
            && (known.made == made || Self::age(now, known) <= age)
        {
            return false;
        }
        self.regions.insert(
            digest.region,
            Known {
                digest: digest.clone(),
                heard: now,
                made,
            },
        );
        age < self.region_lease && self.lost.remove(&digest.region)
    }

    fn age(now: Time, known: &Known) -> Duration {
        now.since(known.heard) + Duration::from_millis(u64::from(known.digest.age))
    }

    /// Notes regions whose lease ran out, so that their return is recognised.
    pub fn expire(&mut self, now: Time) {
        for (region, known) in &self.regions {
            if Self::age(now, known) >= self.region_lease {
                self.lost.insert(*region);
            }
        }
    }

    /// Drops every belief, as after a pause.
    pub fn clear(&mut self) {
        self.peers.clear();
        self.regions.clear();
    }

    /// Takes in the platform's list: VMs that are about to leave.
    pub fn set_leaving(&mut self, leaving: BTreeSet<VmId>) {
        self.leaving = leaving;
    }

    /// Drops a node that refused a connection until it is heard again.
    pub fn mark_unreachable(&mut self, vm: VmId) {
        if let Some(peer) = self.peers.get_mut(&vm) {
            peer.updated = Time(0);
        }
    }

    /// Returns a node heard of within its lease.
    #[must_use]
    pub fn alive(&self, now: Time, vm: VmId) -> Option<&Peer> {
        self.peers
            .get(&vm)
            .filter(|peer| peer.updated.0 > 0 && now.since(peer.updated) < self.lease)
    }

    /// Returns a node heard of at any time.
    #[must_use]
    pub fn known(&self, vm: VmId) -> Option<&Peer> {
        self.peers.get(&vm)
    }

    /// Returns the live nodes of a region, other than this one.
    pub fn live_in(&self, now: Time, region: RegionId) -> impl Iterator<Item = (VmId, &Peer)> + '_ {
        self.peers
            .iter()
            .filter(move |(vm, peer)| peer.region == region && self.alive(now, **vm).is_some())
            .map(|(vm, peer)| (*vm, peer))
    }

    /// Tells whether a live node takes new requests.
    #[must_use]
    pub fn ready(&self, now: Time, vm: VmId) -> bool {
        !self.leaving.contains(&vm) && self.alive(now, vm).is_some_and(|peer| peer.record.ready)
    }

    /// Returns a region's digest while its lease lasts.
    #[must_use]
    pub fn region(&self, now: Time, region: RegionId) -> Option<&RegionDigest> {
        self.regions
            .get(&region)
            .filter(|known| Self::age(now, known) < self.region_lease)
            .map(|known| &known.digest)
    }

    /// Returns when a region's digest was last replaced.
    #[must_use]
    pub fn digest_received(&self, region: RegionId) -> Option<Time> {
        self.regions.get(&region).map(|known| known.heard)
    }

    /// Returns a region's capacity for a service while its lease lasts.
    #[must_use]
    pub fn service_capacity(
        &self,
        now: Time,
        region: RegionId,
        service: ServiceTag,
    ) -> Option<ServiceRoom> {
        self.region(now, region)?
            .rooms
            .iter()
            .find(|room| room.service == service)
            .copied()
    }

    /// Returns the load of a service at a live node of this region.
    #[must_use]
    pub fn load(peer: &Peer, service: ServiceTag) -> Option<ServiceLoad> {
        peer.record
            .loads
            .iter()
            .find(|load| load.service == service)
            .copied()
    }

    /// Returns the freshest records for a datagram.
    #[must_use]
    pub fn freshest(
        &self,
        now: Time,
        region: RegionId,
        except: VmId,
        most: usize,
    ) -> Vec<VmRecord> {
        let mut live: Vec<_> = self
            .live_in(now, region)
            .filter(|(vm, _)| *vm != except)
            .collect();
        live.sort_by_key(|(vm, peer)| (std::cmp::Reverse(peer.updated), *vm));
        live.truncate(most);
        live.into_iter()
            .map(|(_, peer)| peer.record.clone())
            .collect()
    }

    /// Returns digests of other regions for a datagram, aged, starting at a rotating place.
    #[must_use]
    pub fn digests(
        &self,
        now: Time,
        turn: usize,
        except: RegionId,
        most: usize,
    ) -> Vec<RegionDigest> {
        let live: Vec<&Known> = self
            .regions
            .values()
            .filter(|known| known.digest.region != except)
            .filter(|known| Self::age(now, known) < self.region_lease)
            .collect();
        let count = live.len();
        (0..most.min(count))
            .map(|step| live[(turn * most + step) % count])
            .map(|known| RegionDigest {
                age: Self::age(now, known).as_millis() as u32,
                ..known.digest.clone()
            })
            .collect()
    }

    /// Tells whether no other node was heard of within its lease.
    #[must_use]
    pub fn none_alive(&self, now: Time) -> bool {
        !self.peers.keys().any(|vm| self.alive(now, *vm).is_some())
    }

    /// Returns the number of nodes remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no node is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}
