//! What a region tells others of its nodes and its room.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::heartbeat::ServiceRoom;
use seam_protocol::{Kind, RegionDigest, Time, VmId};

use super::Node;
use crate::peers::Peers;

/// Part of a service's slots that counts as plenty.
const PLENTY: u32 = 4;
/// Wait of a service without a target that takes work.
pub(super) const WAIT_NO_TARGET: u32 = u32::MAX;
/// Wait for engines of a region below which it is not told.
const LEAST_TOLD: Duration = Duration::from_millis(30);
/// Ready nodes named in a region's digest.
const DIGEST_NODES: usize = 4;
/// The same where nodes may be small: a region's spilled requests are too many for a few of them.
const DIGEST_NODES_LIVELY: usize = 16;

/// Returns the free slots from which on a service is not named in a digest.
pub(super) fn ample_slots(slots: u32) -> u32 {
    (slots / PLENTY).max(1)
}

impl Node {
    /// Sums up this region for other regions.
    pub(super) fn own_digest(&self, now: Time) -> RegionDigest {
        let mut nodes: Vec<VmId> = self
            .peers
            .live_in(now, self.id.region)
            .filter(|(vm, _)| self.peers.ready(now, *vm))
            .map(|(vm, _)| vm)
            .collect();
        let from = self.gossip.round() % nodes.len().max(1);
        nodes.rotate_left(from);
        if self.freshness.fresh() && self.drain_since.is_none() {
            nodes.insert(0, self.id.vm);
        }
        nodes.truncate(match self.roster {
            Some(_) => DIGEST_NODES_LIVELY,
            None => DIGEST_NODES,
        });
        RegionDigest {
            region: self.id.region,
            vm: self.id.vm,
            incarnation: self.id.incarnation,
            number: self.record_number,
            age: 0,
            revision: self.bundle.as_ref().map_or(0, |bundle| bundle.revision),
            nodes,
            rooms: self.service_rooms(now),
        }
    }

    /// Returns the room of the services that are short of it. Of a service that is not named, other
    /// regions take [`PLENTY`] of the slots as free.
    fn service_rooms(&self, now: Time) -> Vec<ServiceRoom> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let mut slots: BTreeMap<_, u32> = BTreeMap::new();
        for (_, state) in self.targets.all() {
            let serving = state.phase == crate::targets::Phase::Serving;
            *slots.entry(state.service).or_default() += u32::from(serving) * state.rule.slots;
        }
        let mut rooms = Vec::new();
        for (service, slots) in slots {
            let Some(rule) = bundle.services.get(&service) else {
                continue;
            };
            let (running, queued) = self.regional_load(now, service);
            let free = slots.saturating_sub(running + queued);
            let reading = match rule.kind {
                Kind::Engine => self.prompt_wait(now, service),
                Kind::Plain => Duration::ZERO,
            };
            let plenty = free >= ample_slots(rule.slots_in(self.id.region));
            if plenty && reading < LEAST_TOLD {
                continue;
            }
            let turns = f64::from((queued + 1).saturating_sub(slots.saturating_sub(running)));
            let wait = reading
                + self
                    .slot_time(service)
                    .mul_f64(turns / f64::from(slots.max(1)));
            rooms.push(ServiceRoom {
                service: service.tag(),
                free,
                wait: if slots == 0 {
                    WAIT_NO_TARGET
                } else {
                    wait.as_millis() as u32
                },
            });
        }
        rooms
    }

    /// Returns running and queued requests of a service over the live nodes of this region.
    pub(super) fn regional_load(&self, now: Time, service: seam_protocol::ServiceId) -> (u32, u32) {
        let own = self.service_states.get(&service).map_or((0, 0), |lane| {
            (lane.queue.running(), lane.queue.queued() as u32)
        });
        self.peers
            .live_in(now, self.id.region)
            .filter_map(|(_, peer)| Peers::load(peer, service.tag()))
            .fold(own, |(running, queued), load| {
                (running + load.running, queued + load.queued)
            })
    }
}
