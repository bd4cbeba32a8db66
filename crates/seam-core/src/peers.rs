//! This node's view of other nodes and regions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::heartbeat::ServiceCapacity;
use seam_protocol::{
    Heartbeat, Incarnation, RegionId, RegionSummary, ServiceLoad, ServiceTag, Time, VmId, VmRecord,
};

/// Base lease of a record: the time after which its node no longer counts as alive.
const LEASE: Duration = Duration::from_secs(3);
/// Lease of a record if each node sends to every other node of its region in each round: about
/// four rounds.
const FAST_LEASE: Duration = Duration::from_millis(1700);
/// Additional lease per node of the region, because records take longer to reach all nodes.
const LEASE_STEP: Duration = Duration::from_millis(500);
/// Base lease of a region's summary.
const REGION_LEASE: Duration = Duration::from_secs(5);
/// Additional lease of a summary per region.
const REGION_LEASE_STEP: Duration = Duration::from_millis(500);

/// Maximum number of other regions with a known state, several times those of the largest deployment.
const MAX_REGIONS: usize = 256;

/// The known state of one other node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The newest record that the node issued about itself.
    pub record: VmRecord,
    /// Its region.
    pub region: RegionId,
    /// When a newer record last arrived; zero if the node has refused a connection since then.
    pub updated: Time,
    /// When it last refused a connection or a request.
    pub refused: Option<Time>,
    /// Send time of its last datagram to this node, on its own clock.
    pub sent: u64,
    /// The node's incarnation in that datagram.
    pub direct_incarnation: Incarnation,
    /// Whether the node reports that the platform is reachable from it.
    pub platform_reachable: bool,
    /// Item revision that the node reported last.
    pub items_revision: u64,
    /// Epoch of its items.
    pub items_epoch: u32,
    /// The confirmation of its configuration that it sent last.
    pub confirmation: Option<ConfirmationAge>,
}

/// The age of a confirmation of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmationAge {
    /// When it was received.
    pub received: Time,
    /// Its age when it was sent.
    pub age: Duration,
}

/// The known state of another region.
#[derive(Clone, Debug)]
struct RegionState {
    summary: RegionSummary,
    received: Time,
    origin: (VmId, Incarnation, u32),
}

/// The changes made by a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatEffect {
    /// Send time of a heartbeat of this node, echoed by the sender if it knows this incarnation.
    pub echo: Option<Time>,
    /// Regions whose summary arrived again after its lease had expired.
    pub returned: Vec<RegionId>,
    /// Whether the set of live nodes of this region changed.
    pub members_changed: bool,
    /// Whether it was ignored because a datagram of the same sender process with the same or a
    /// later send time had arrived before.
    pub stale: bool,
}

/// The known states of other nodes and regions.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<VmId, Peer>,
    regions: BTreeMap<RegionId, RegionState>,
    leaving: BTreeSet<VmId>,
    expired_regions: BTreeSet<RegionId>,
    /// When this node began to receive what is held here, or was in contact with others again.
    receiving_since: Time,
    /// When the last heartbeat arrived.
    last_received: Time,
    lease: Duration,
    region_lease: Duration,
}

impl Peers {
    /// Creates an empty view at the start of a node.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            receiving_since: now,
            last_received: now,
            ..Self::default()
        }
    }

    /// Sets the leases for the size of a deployment and removes nodes that are no longer
    /// published.
    ///
    /// `fast` means that each node sends to every other node of its region in each round.
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

    /// Applies a heartbeat of a published node.
    pub fn apply_heartbeat(
        &mut self,
        now: Time,
        me: (VmId, Incarnation, RegionId),
        heartbeat: &Heartbeat,
        region_of: &BTreeMap<VmId, RegionId>,
    ) -> HeartbeatEffect {
        let mut effect = HeartbeatEffect::default();
        let Some(own) = heartbeat
            .records
            .first()
            .filter(|own| own.vm == heartbeat.from)
        else {
            return effect;
        };
        if let Some(peer) = self.peers.get(&heartbeat.from)
            && peer.direct_incarnation == own.incarnation
            && peer.sent >= heartbeat.sent
        {
            effect.stale = true;
            return effect;
        }
        // A shorter gap leaves the summaries time to arrive before they count as overdue.
        if now.since(self.last_received) >= self.region_lease / 2 {
            self.receiving_since = now;
        }
        self.last_received = now;
        for (index, record) in heartbeat.records.iter().enumerate() {
            let Some(region) = region_of.get(&record.vm).filter(|_| record.vm != me.0) else {
                continue;
            };
            effect.members_changed |= self.store_record(now, *region, record, index == 0);
        }
        if let Some(peer) = self.peers.get_mut(&heartbeat.from) {
            if peer.direct_incarnation != own.incarnation {
                peer.confirmation = None;
            }
            peer.sent = heartbeat.sent;
            peer.direct_incarnation = own.incarnation;
            peer.platform_reachable = heartbeat.platform_reachable;
            peer.items_revision = heartbeat.items_revision;
            peer.items_epoch = heartbeat.items_epoch;
        }
        if heartbeat.receiver_incarnation == me.1 {
            effect.echo = Some(Time(heartbeat.echo));
        }
        for summary in &heartbeat.summaries {
            if summary.region != me.2 && self.store_summary(now, summary) {
                effect.returned.push(summary.region);
            }
        }
        effect
    }

    /// Stores a record if it is newer.
    ///
    /// Returns whether its node became alive or changed its readiness.
    fn store_record(
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
                    refused: None,
                    sent: 0,
                    direct_incarnation: Incarnation(0),
                    platform_reachable: false,
                    items_revision: 0,
                    items_epoch: 0,
                    confirmation: None,
                },
            );
            return true;
        };
        let expired = now.since(peer.updated) >= lease;
        let newer = if peer.record.incarnation == record.incarnation {
            record.sequence > peer.record.sequence
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
        peer.refused = None;
        changed
    }

    /// Stores a region summary if it is newer.
    ///
    /// Returns whether the region's lease had expired and is valid again.
    fn store_summary(&mut self, now: Time, summary: &RegionSummary) -> bool {
        let origin = (summary.vm, summary.incarnation, summary.sequence);
        let age = Duration::from_millis(u64::from(summary.age));
        if let Some(known) = self.regions.get(&summary.region)
            && (known.origin == origin || Self::age(now, known) <= age)
        {
            return false;
        }
        if self.regions.len() >= MAX_REGIONS && !self.regions.contains_key(&summary.region) {
            return false;
        }
        self.regions.insert(
            summary.region,
            RegionState {
                summary: summary.clone(),
                received: now,
                origin,
            },
        );
        age < self.region_lease && self.expired_regions.remove(&summary.region)
    }

    fn age(now: Time, known: &RegionState) -> Duration {
        now.since(known.received) + Duration::from_millis(u64::from(known.summary.age))
    }

    /// Marks regions whose lease has expired, so that their return can be detected.
    pub fn expire(&mut self, now: Time) {
        for (region, known) in &self.regions {
            if Self::age(now, known) >= self.region_lease {
                self.expired_regions.insert(*region);
            }
        }
    }

    /// Removes all records and region summaries, for example after a pause.
    pub fn clear(&mut self, now: Time) {
        self.receiving_since = now;
        self.last_received = now;
        self.peers.clear();
        self.regions.clear();
    }

    /// Sets the VMs that the platform is about to remove.
    pub fn set_leaving(&mut self, leaving: BTreeSet<VmId>) {
        self.leaving = leaving;
    }

    /// Treats a node that refused a connection or is not ready as dead until a newer record arrives.
    pub fn mark_unreachable(&mut self, now: Time, vm: VmId) {
        if let Some(peer) = self.peers.get_mut(&vm) {
            peer.updated = Time(0);
            peer.refused = Some(now);
        }
    }

    /// Returns a node whose lease is valid.
    #[must_use]
    pub fn alive(&self, now: Time, vm: VmId) -> Option<&Peer> {
        self.peers
            .get(&vm)
            .filter(|peer| peer.updated.0 > 0 && now.since(peer.updated) < self.lease)
    }

    /// Returns a known node, alive or not.
    #[must_use]
    pub fn known(&self, vm: VmId) -> Option<&Peer> {
        self.peers.get(&vm)
    }

    /// Returns the live nodes of a region, except this one.
    pub fn live_in(&self, now: Time, region: RegionId) -> impl Iterator<Item = (VmId, &Peer)> + '_ {
        self.peers
            .iter()
            .filter(move |(vm, peer)| peer.region == region && self.alive(now, **vm).is_some())
            .map(|(vm, peer)| (*vm, peer))
    }

    /// Forgets up to which revision each node reported to know the items.
    pub fn forget_items(&mut self) {
        for peer in self.peers.values_mut() {
            peer.items_revision = 0;
        }
    }

    /// Forgets which items a node reported.
    pub fn forget_items_of(&mut self, vm: VmId) {
        if let Some(peer) = self.peers.get_mut(&vm) {
            peer.items_revision = 0;
        }
    }

    /// Records the confirmation that a node sent.
    pub fn note_confirmation(&mut self, vm: VmId, confirmation: ConfirmationAge) {
        if let Some(peer) = self.peers.get_mut(&vm) {
            peer.confirmation = Some(confirmation);
        }
    }

    /// Returns the age of the last confirmation that a node sent, without the time that it took to arrive.
    #[must_use]
    pub fn confirmation_age(&self, now: Time, vm: VmId) -> Option<Duration> {
        let confirmation = self.peers.get(&vm)?.confirmation?;
        Some(now.since(confirmation.received) + confirmation.age)
    }

    /// Returns the live nodes that have a newer item revision.
    pub fn ahead(&self, now: Time, revision: u64) -> impl Iterator<Item = (VmId, &Peer)> + '_ {
        self.peers
            .iter()
            .filter(move |(vm, peer)| {
                peer.items_revision > revision && self.alive(now, **vm).is_some()
            })
            .map(|(vm, peer)| (*vm, peer))
    }

    /// Returns the live nodes with a later configuration in force than `version` that know no more items than
    /// up to `revision`.
    pub fn later_config(
        &self,
        now: Time,
        version: u64,
        revision: u64,
    ) -> impl Iterator<Item = VmId> + '_ {
        let later = self.peers.iter().filter(move |(_, peer)| {
            let items = peer.items_revision;
            peer.record.revision > version && items > 0 && items <= revision
        });
        let live = later.filter(move |(vm, _)| self.alive(now, **vm).is_some());
        live.map(|(vm, _)| *vm)
    }

    /// Returns whether a node is alive and accepts new requests.
    #[must_use]
    pub fn ready(&self, now: Time, vm: VmId) -> bool {
        !self.leaving.contains(&vm) && self.alive(now, vm).is_some_and(|peer| peer.record.ready)
    }

    /// Returns whether the valid summary of a region lists a node, and nothing newer shows that the node
    /// accepts no requests.
    #[must_use]
    pub fn listed_ready(&self, now: Time, region: RegionId, vm: VmId) -> bool {
        let summary = self.region(now, region);
        let listed = summary.is_some_and(|summary| summary.nodes.contains(&vm));
        let unready = self.peers.get(&vm).and_then(|peer| {
            let record = (!peer.record.ready).then_some(peer.updated);
            peer.refused.or(record)
        });
        let newer = unready.is_some_and(|since| {
            let made = self.summary_made(region);
            made.is_none_or(|made| made <= since)
        });
        listed && !newer && !self.leaving.contains(&vm)
    }

    /// Returns a region's summary if its lease is valid.
    #[must_use]
    pub fn region(&self, now: Time, region: RegionId) -> Option<&RegionSummary> {
        self.regions
            .get(&region)
            .filter(|known| Self::age(now, known) < self.region_lease)
            .map(|known| &known.summary)
    }

    /// Returns whether nothing was received of a region for as long as a summary is valid, though its nodes
    /// did not report that they stop. A region is not silent before this node was in contact with others for
    /// that time.
    #[must_use]
    pub fn region_silent(&self, now: Time, region: RegionId) -> bool {
        let recent = |time: Time| now.since(time) < self.region_lease;
        let mut known = self.peers.values().filter(|peer| peer.region == region);
        let recorded = known.any(|peer| peer.updated.0 > 0 && recent(peer.updated));
        let last = self.regions.get(&region);
        let stopped = last.is_some_and(|known| known.summary.nodes.is_empty());
        let overdue = last.is_none_or(|known| Self::age(now, known) >= self.region_lease);
        !recent(self.receiving_since) && !recorded && !stopped && overdue
    }

    /// Returns when the current summary of a region arrived.
    #[must_use]
    pub fn summary_received(&self, region: RegionId) -> Option<Time> {
        self.regions.get(&region).map(|known| known.received)
    }

    /// Returns when the current summary of a region was made, on this node's clock.
    #[must_use]
    pub fn summary_made(&self, region: RegionId) -> Option<Time> {
        let known = self.regions.get(&region)?;
        let age = Duration::from_millis(u64::from(known.summary.age));
        Some(Time(
            known.received.0.saturating_sub(age.as_micros() as u64),
        ))
    }

    /// Returns a region's capacity for a service if the lease of its summary is valid.
    #[must_use]
    pub fn service_capacity(
        &self,
        now: Time,
        region: RegionId,
        service: ServiceTag,
    ) -> Option<ServiceCapacity> {
        self.region(now, region)?
            .capacities
            .iter()
            .find(|capacity| capacity.service == service)
            .copied()
    }

    /// Returns the load of a service at a node.
    #[must_use]
    pub fn load(peer: &Peer, service: ServiceTag) -> Option<ServiceLoad> {
        peer.record
            .loads
            .iter()
            .find(|load| load.service == service)
            .copied()
    }

    /// Returns the most recently updated records of live nodes, at most `limit`.
    #[must_use]
    pub fn freshest(
        &self,
        now: Time,
        region: RegionId,
        except: VmId,
        limit: usize,
    ) -> Vec<VmRecord> {
        let mut live: Vec<_> = self
            .live_in(now, region)
            .filter(|(vm, _)| *vm != except)
            .collect();
        live.sort_by_key(|(vm, peer)| (std::cmp::Reverse(peer.updated), *vm));
        live.truncate(limit);
        live.into_iter()
            .map(|(_, peer)| peer.record.clone())
            .collect()
    }

    /// Returns at most `limit` valid region summaries with their current age, starting at the
    /// position in the rotation for `turn`.
    #[must_use]
    pub fn summaries(
        &self,
        now: Time,
        turn: usize,
        except: RegionId,
        limit: usize,
    ) -> Vec<RegionSummary> {
        let live: Vec<&RegionState> = self
            .regions
            .values()
            .filter(|known| known.summary.region != except)
            .filter(|known| Self::age(now, known) < self.region_lease)
            .collect();
        let count = live.len();
        (0..limit.min(count))
            .map(|step| live[(turn * limit + step) % count])
            .map(|known| RegionSummary {
                age: Self::age(now, known).as_millis() as u32,
                ..known.summary.clone()
            })
            .collect()
    }

    /// Returns whether no other node is alive.
    #[must_use]
    pub fn none_alive(&self, now: Time) -> bool {
        !self.peers.keys().any(|vm| self.alive(now, *vm).is_some())
    }

    /// Returns the number of known nodes, alive or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no other node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}
