//! Builds the summary of this region for other regions: its ready nodes and free capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::heartbeat::ServiceCapacity;
use seam_protocol::{Kind, RegionSummary, Time, VmId};

use super::Node;
use crate::peers::Peers;

/// A service is omitted from a summary while at least one in this many of its slots is free.
const AMPLE_DIVISOR: u32 = 4;
/// Wait in a summary that marks a service without a target that accepts work.
pub(super) const WAIT_NO_TARGET: u32 = u32::MAX;
/// Shortest wait for targets at which a service is listed in a summary even with enough free slots.
const MIN_REPORTED_WAIT: Duration = Duration::from_millis(30);
/// Maximum number of ready nodes in a region's summary.
const SUMMARY_NODES: usize = 4;
/// The same maximum where the member list is not published. Nodes may then be small, and a few of
/// them could not handle all requests that other regions send.
const SUMMARY_NODES_DISCOVERED: usize = 16;

/// Returns the number of free slots from which a service is omitted from a summary.
pub(super) fn ample_slots(slots: u32) -> u32 {
    (slots / AMPLE_DIVISOR).max(1)
}

impl Node {
    /// Returns a summary of this region for other regions.
    ///
    /// A node without a configuration knows no services, and leaves the summary to the ready nodes of its
    /// region if it knows any.
    pub(super) fn own_summary(&self, now: Time) -> Option<RegionSummary> {
        let mut nodes: Vec<VmId> = self
            .peers
            .live_in(now, self.id.region)
            .filter(|(vm, _)| self.peers.ready(now, *vm))
            .map(|(vm, _)| vm)
            .collect();
        if !self.configured() && !nodes.is_empty() {
            return None;
        }
        let offset = self.gossip.round() % nodes.len().max(1);
        nodes.rotate_left(offset);
        if self.ready(now) {
            nodes.insert(0, self.id.vm);
        }
        // Other regions cannot know which nodes lost their links to the targets here.
        if nodes.iter().any(|vm| !self.has_lost_targets(*vm)) {
            nodes.retain(|vm| !self.has_lost_targets(*vm));
        }
        nodes.truncate(match self.roster {
            Some(_) => SUMMARY_NODES_DISCOVERED,
            None => SUMMARY_NODES,
        });
        Some(RegionSummary {
            region: self.id.region,
            vm: self.id.vm,
            incarnation: self.id.incarnation,
            sequence: self.record_sequence,
            age: 0,
            revision: self.bundle.as_ref().map_or(0, |bundle| bundle.revision),
            nodes,
            capacities: self.service_capacities(now),
        })
    }

    /// Returns the free capacity of the services with few free slots or a long wait.
    ///
    /// For a service that is not listed, other regions assume [`ample_slots`] and no wait.
    fn service_capacities(&self, now: Time) -> Vec<ServiceCapacity> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let mut slots: BTreeMap<_, u32> = BTreeMap::new();
        for (_, state) in self.targets.all() {
            let serving = if self.reached_by_others(now, state.service) {
                state.phase.may_serve_others()
            } else {
                state.phase == crate::targets::Phase::Serving
            };
            *slots.entry(state.service).or_default() += u32::from(serving) * state.spec.slots;
        }
        let mut capacities = Vec::new();
        for (service, slots) in slots {
            let Some(spec) = bundle.services.get(&service) else {
                continue;
            };
            let (running, queued) = self.regional_load(now, service);
            let free = slots.saturating_sub(running + queued);
            let relayed = self.reached_by_others(now, service);
            let prompt_wait = match spec.kind {
                Kind::Engine if relayed => Duration::ZERO,
                Kind::Engine => self.prompt_wait(now, service, None),
                Kind::Plain => self.targets.queue_wait(now, service, None, queued),
            };
            let target_wait = prompt_wait.max(self.granted_wait(now, service, None));
            let ample = free >= ample_slots(spec.slots_in(self.id.region));
            let has_time = self.has_ample_time(now, service);
            if ample && has_time && target_wait < MIN_REPORTED_WAIT {
                continue;
            }
            let ahead = f64::from((queued + 1).saturating_sub(slots.saturating_sub(running)));
            let wait = target_wait
                + self
                    .slot_time(service)
                    .mul_f64(ahead / f64::from(slots.max(1)));
            capacities.push(ServiceCapacity {
                service: service.tag(),
                free,
                wait: if slots == 0 {
                    WAIT_NO_TARGET
                } else {
                    wait.as_millis() as u32
                },
            });
        }
        capacities
    }

    /// Returns the running and queued requests of a service at all live nodes of this region.
    pub(super) fn regional_load(&self, now: Time, service: seam_protocol::ServiceId) -> (u32, u32) {
        let own = self.service_states.get(&service).map_or((0, 0), |state| {
            (state.queue.running(), state.queue.queued() as u32)
        });
        self.peers
            .live_in(now, self.id.region)
            .filter_map(|(_, peer)| Peers::load(peer, service.tag()))
            .fold(own, |(running, queued), load| {
                (running + load.running, queued + load.queued)
            })
    }
}
