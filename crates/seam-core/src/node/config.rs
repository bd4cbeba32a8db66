//! Takes in bundles, confirmations and drains.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Bundle, Kind, TargetId, Time, VmId, VmState};

use super::Node;
use super::admit::owner_region;
use crate::audit::Change;
use crate::command::Command;
use crate::event::Drainable;
use crate::handle::TargetKey;
use crate::targets::Phase;

/// Time after which a question to a peer that brought nothing is tried at another one.
const ASK_AGAIN: Duration = Duration::from_millis(500);

impl Node {
    /// Puts a bundle in force if it goes forward.
    ///
    /// Of two bundles with one revision the one with the lower digest wins at every node, and an
    /// alarm is raised.
    pub(super) fn adopt(&mut self, now: Time, bundle: &Arc<Bundle>, out: &mut Vec<Command>) {
        let old = self.bundle.clone();
        if let Some(old) = &old {
            if old.digest == bundle.digest || old.revision > bundle.revision {
                return;
            }
            if old.revision == bundle.revision {
                let kept = old.digest.min(bundle.digest);
                out.push(self.audit(
                    now,
                    Change::Conflict,
                    format!("revision {}", bundle.revision),
                    (old.digest.to_string(), kept.to_string()),
                    "two bundles claim one revision; the lower digest wins",
                ));
                if old.digest == kept {
                    return;
                }
            }
        }
        let revision = |bundle: &Bundle| format!("{} {}", bundle.revision, bundle.digest);
        let before = old.as_deref().map_or_else(String::new, revision);
        out.push(self.audit(
            now,
            Change::Revision,
            "configuration",
            (before, revision(bundle)),
            "newer revision read whole and checked",
        ));
        self.update_key_ownership(now, old.as_deref(), bundle);
        let _ = self.install(now, old.is_none(), bundle);
        // The list may have been read before the target was configured here.
        let _ = self.apply_vm_list(now, out);
        self.send_urgent_heartbeats(now, out);
        let services: Vec<_> = bundle.services.keys().copied().collect();
        for service in services {
            self.dispatch(now, service, out);
        }
    }

    /// Puts a bundle in place. Returns the targets that were gone and are back.
    pub(super) fn install(
        &mut self,
        now: Time,
        first: bool,
        bundle: &Arc<Bundle>,
    ) -> Vec<TargetId> {
        self.bundle = Some(bundle.clone());
        self.pending_fetch = None;
        self.regions = bundle
            .deployment
            .vms
            .iter()
            .map(|(id, vm)| (*id, vm.region))
            .collect();
        let regions = bundle.deployment.regions.len();
        let lively = self.roster.is_some();
        self.peers
            .adopt(&self.regions, regions, self.id.region, lively);
        self.gossip.adopt(bundle, self.id.vm, self.id.region);
        let window = Duration::from_secs(bundle.deployment.repeat_window);
        self.keys.set_window(window);
        let mut wanted = BTreeMap::new();
        for (service_id, service) in &bundle.services {
            for (id, target) in &service.targets {
                if target.region == self.id.region {
                    wanted.insert(*id, (*service_id, target.clone()));
                }
            }
        }
        let everywhere = bundle.services.iter();
        let everywhere = everywhere
            .filter(|(_, rule)| rule.kind == Kind::Plain || !rule.once.is_empty())
            .map(|(id, _)| *id);
        self.targets.set_everywhere(everywhere.collect());
        let back = self.targets.adopt(now, first, &wanted);
        for (id, service) in &bundle.services {
            self.targets.set_capacity(*id, service.capacity);
        }
        self.service_states.retain(|service, lane| {
            bundle.services.contains_key(service) || lane.queue.queued() > 0
        });
        self.refresh_members(now);
        back
    }

    /// Restarts the repeat window of keys that this node may newly own.
    fn update_key_ownership(&mut self, now: Time, old: Option<&Bundle>, new: &Bundle) {
        let Some(old) = old else {
            self.owner_since = now;
            return;
        };
        let nodes = |bundle: &Bundle| -> BTreeSet<VmId> {
            bundle.deployment.vms_in(self.id.region).collect()
        };
        let (before, after) = (nodes(old), nodes(new));
        let joined = !before.contains(&self.id.vm);
        let services = old.services.len() != new.services.len()
            || old.services.iter().any(|(id, service)| {
                new.services
                    .get(id)
                    .is_none_or(|other| regions_of(service) != regions_of(other))
            });
        if joined || services || !before.is_subset(&after) {
            self.owner_since = now;
        }
        let window = self.keys.window();
        self.owner_changes
            .retain(|_, since| now.since(*since) < window);
        for (id, customer) in &new.customers {
            let Some(earlier) = old.customers.get(id) else {
                continue;
            };
            if earlier.home == customer.home && earlier.residency == customer.residency {
                continue;
            }
            let moved = new.services.values().any(|service| {
                owner_region(old, service, earlier) != owner_region(new, service, customer)
            });
            if moved {
                self.owner_changes.insert(*id, now);
            }
        }
    }

    /// Takes in the configuration service's word on the newest revision.
    pub(super) fn confirmed(&mut self, now: Time, revision: u64) {
        let mine = self.bundle.as_ref().map_or(0, |bundle| bundle.revision);
        let alone = self.gossip.near().is_empty() && self.regions.len() <= 1;
        if alone && mine >= revision {
            self.freshness.confirm(now);
        }
    }

    /// Asks a peer for a newer revision, at most once in a while.
    pub(super) fn fetch_bundle(
        &mut self,
        now: Time,
        from: VmId,
        revision: u64,
        out: &mut Vec<Command>,
    ) {
        if let Some(address) = self.address_to_query(now, from, self.pending_fetch, revision) {
            self.pending_fetch = Some((revision, now));
            out.push(Command::Fetch { from, address });
        }
    }

    /// Returns the address of a peer that is to be asked for a revision, `None` while a question for
    /// it is still open.
    pub(super) fn address_to_query(
        &self,
        now: Time,
        peer: VmId,
        asked: Option<(u64, Time)>,
        revision: u64,
    ) -> Option<SocketAddr> {
        let open = |(wanted, since)| wanted >= revision && now.since(since) < ASK_AGAIN;
        if asked.is_some_and(open) {
            return None;
        }
        let vms = &self.bundle.as_ref()?.deployment.vms;
        vms.get(&peer).map(|vm| vm.peer)
    }

    pub(super) fn drain(
        &mut self,
        now: Time,
        what: Drainable,
        on: bool,
        actor: &str,
        out: &mut Vec<Command>,
    ) {
        let (change, subject) = match what {
            Drainable::Node => {
                if self.drain_since.is_some() == on {
                    return;
                }
                self.drain_since = on.then_some(now);
                (Change::NodeDrain, format!("node {}", self.id.vm))
            }
            Drainable::Target(target) => {
                let phase = if on { Phase::Drained } else { Phase::Serving };
                let key = self.targets.key(target);
                if key
                    .and_then(|key| self.targets.mark(now, key, phase))
                    .is_none()
                {
                    return;
                }
                (Change::TargetDrain, format!("target {target}"))
            }
        };
        let word = |on: bool| if on { "draining" } else { "serving" };
        let mut line = self.audit(now, change, subject, (word(!on), word(on)), "asked");
        if let Command::Audit(audit) = &mut line {
            actor.clone_into(&mut audit.actor);
        }
        out.push(line);
        self.send_urgent_heartbeats(now, out);
    }

    /// Takes in the platform's list. VMs and targets that it does not name are left alone.
    pub(super) fn vm_list(&mut self, now: Time, list: &[VmState], out: &mut Vec<Command>) {
        let leaving: BTreeSet<&str> = list
            .iter()
            .filter(|state| state.leaving)
            .map(|state| state.name.as_str())
            .collect();
        let vms = leaving.iter().map(|name| VmId::of(name)).collect();
        self.peers.set_leaving(vms);
        self.target_leaving = list
            .iter()
            .map(|state| (TargetId::of(&state.name), state.leaving))
            .collect();
        let _ = self.apply_vm_list(now, out);
    }

    /// Applies the platform's list to the targets that are configured now. Returns those that take
    /// work again.
    pub(super) fn apply_vm_list(&mut self, now: Time, out: &mut Vec<Command>) -> Vec<TargetId> {
        let mut back = Vec::new();
        let marks: Vec<(TargetKey, Phase)> = self
            .targets
            .all()
            .filter_map(|(key, state)| {
                let leaving = *self.target_leaving.get(&state.id)?;
                match (leaving, state.phase) {
                    (true, Phase::Leaving | Phase::Drained) | (false, Phase::Drained) => None,
                    (true, _) => Some((key, Phase::Leaving)),
                    (false, Phase::Leaving) => Some((key, Phase::Serving)),
                    (false, _) => None,
                }
            })
            .collect();
        for (key, phase) in marks {
            let turn = self.targets.mark(now, key, phase);
            if phase == Phase::Serving {
                back.push(self.targets.get(key).id);
            }
            self.record_phase_change(now, turn, "platform's list", out);
        }
        back
    }
}

fn regions_of(
    service: &seam_protocol::Service,
) -> (
    BTreeSet<seam_protocol::RegionId>,
    Option<&BTreeSet<seam_protocol::RegionId>>,
) {
    let regions = service.targets.values().map(|target| target.region);
    (regions.collect(), service.residency.as_ref())
}
