//! Applies configuration bundles, drain requests and the platform's VM list.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Bundle, Kind, TargetId, Time, VmId, VmState};

use super::Node;
use super::admit::owner_region;
use crate::audit::Change;
use crate::command::Command;
use crate::config_version::ConfigVersion;
use crate::event::Drainable;
use crate::handle::TargetKey;
use crate::targets::Phase;

/// Time after which an unfinished fetch from a peer may be repeated from another one.
const REFETCH_INTERVAL: Duration = Duration::from_millis(500);

impl Node {
    /// Applies a bundle if it is newer than the one in force.
    ///
    /// Two different bundles with the same revision are audited as a conflict; every node keeps the
    /// one with the lower digest.
    pub(super) fn apply_bundle(&mut self, now: Time, bundle: &Arc<Bundle>, out: &mut Vec<Command>) {
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
        self.config_view.version = ConfigVersion {
            revision: bundle.revision,
            item_revision: 0,
            taken: now,
        };
        self.update_key_ownership(now, old.as_deref(), bundle);
        let _ = self.install(now, old.is_none(), bundle);
        // The VM list may have named a target before this bundle configured it.
        let _ = self.apply_vm_list(now, out);
        self.refuse_unserved(now, out);
        self.send_urgent_heartbeats(now, out);
        let services: Vec<_> = bundle.services.keys().copied().collect();
        for service in services {
            self.dispatch(now, service, out);
        }
    }

    /// Installs a bundle and updates all state derived from it. Returns the targets that had been
    /// removed and are configured again.
    pub(super) fn install(
        &mut self,
        now: Time,
        first: bool,
        bundle: &Arc<Bundle>,
    ) -> Vec<TargetId> {
        self.bundle = Some(bundle.clone());
        self.pending_manifest = None;
        self.regions = bundle
            .deployment
            .vms
            .iter()
            .map(|(id, vm)| (*id, vm.region))
            .collect();
        let regions = bundle.deployment.regions.len();
        let discovered = self.roster.is_some();
        self.peers
            .set_members(&self.regions, regions, self.id.region, discovered);
        self.gossip.set_members(bundle, self.id.vm, self.id.region);
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
            .filter(|(_, spec)| spec.kind == Kind::Plain || !spec.once.is_empty())
            .map(|(id, _)| *id);
        self.targets.set_every_node(everywhere.collect());
        let returned = self.targets.update_config(now, first, &wanted);
        for (id, service) in &bundle.services {
            self.targets.set_capacity(*id, service.capacity);
        }
        self.service_states.retain(|service, state| {
            bundle.services.contains_key(service) || state.queue.queued() > 0
        });
        self.refresh_members(now);
        returned
    }

    /// Restarts the repeat window of the keys that this node may not have owned under the old
    /// bundle.
    fn update_key_ownership(&mut self, now: Time, old: Option<&Bundle>, new: &Bundle) {
        let Some(old) = old else {
            self.owner_since = now;
            return;
        };
        let nodes = |bundle: &Bundle| -> BTreeSet<VmId> {
            bundle.deployment.vms_in(self.id.region).collect()
        };
        let (before, after) = (nodes(old), nodes(new));
        let added = !before.contains(&self.id.vm);
        let services_changed = old.services.len() != new.services.len()
            || old.services.iter().any(|(id, service)| {
                new.services
                    .get(id)
                    .is_none_or(|other| regions_of(service) != regions_of(other))
            });
        if added || services_changed || !before.is_subset(&after) {
            self.owner_since = now;
        }
        let window = self.keys.window();
        self.owner_changes
            .retain(|_, since| now.since(*since) < window);
        for (id, customer) in &new.customers {
            let Some(previous) = old.customers.get(id) else {
                continue;
            };
            if previous.home == customer.home && previous.residency == customer.residency {
                continue;
            }
            let owner_changed = new.services.values().any(|service| {
                owner_region(old, service, previous) != owner_region(new, service, customer)
            });
            if owner_changed {
                self.owner_changes.insert(*id, now);
            }
        }
    }

    /// Handles the newest revision, as reported by the configuration service.
    ///
    /// For a node without peers, this confirms that its view is fresh.
    pub(super) fn confirm_revision(&mut self, now: Time, revision: u64) {
        let own_revision = self.bundle.as_ref().map_or(0, |bundle| bundle.revision);
        let alone = self.gossip.local_peers().is_empty() && self.regions.len() <= 1;
        if alone && own_revision >= revision {
            self.freshness.confirm(now);
        }
    }

    /// Fetches a newer bundle from a peer, unless a fetch of it is still pending.
    pub(super) fn fetch_manifest(
        &mut self,
        now: Time,
        from: VmId,
        revision: u64,
        out: &mut Vec<Command>,
    ) {
        if let Some(address) =
            self.address_to_fetch_from(now, from, self.pending_manifest, revision)
        {
            self.pending_manifest = Some((revision, now));
            out.push(Command::FetchManifest { from, address });
        }
    }

    /// Returns the address of a peer to fetch a revision from, `None` while an earlier fetch of it
    /// is still pending.
    pub(super) fn address_to_fetch_from(
        &self,
        now: Time,
        peer: VmId,
        last_fetch: Option<(u64, Time)>,
        revision: u64,
    ) -> Option<SocketAddr> {
        let pending = |(wanted, since)| wanted >= revision && now.since(since) < REFETCH_INTERVAL;
        if last_fetch.is_some_and(pending) {
            return None;
        }
        let vms = &self.bundle.as_ref()?.deployment.vms;
        vms.get(&peer).map(|vm| vm.peer)
    }

    /// Starts or ends draining of this node or of a target, at an operator's request.
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
                    .and_then(|key| self.targets.set_phase(now, key, phase))
                    .is_none()
                {
                    return;
                }
                (Change::TargetDrain, format!("target {target}"))
            }
        };
        let state = |on: bool| if on { "draining" } else { "serving" };
        let mut entry = self.audit(now, change, subject, (state(!on), state(on)), "asked");
        if let Command::Audit(audit) = &mut entry {
            actor.clone_into(&mut audit.actor);
        }
        out.push(entry);
        self.send_urgent_heartbeats(now, out);
    }

    /// Handles the platform's list of VMs. VMs and targets that are not listed keep their state.
    pub(super) fn handle_vm_list(&mut self, now: Time, list: &[VmState], out: &mut Vec<Command>) {
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

    /// Applies the platform's VM list to the configured targets. Returns those that return to
    /// service.
    pub(super) fn apply_vm_list(&mut self, now: Time, out: &mut Vec<Command>) -> Vec<TargetId> {
        let mut returned = Vec::new();
        let changes: Vec<(TargetKey, Phase)> = self
            .targets
            .all()
            .filter_map(|(key, state)| {
                let leaving = *self.target_leaving.get(&state.id)?;
                match (leaving, state.phase) {
                    (true, Phase::Leaving | Phase::Drained) | (false, Phase::Drained) => None,
                    (true, _) => Some((key, Phase::Leaving)),
                    (false, Phase::Leaving) if !state.says_leaving() => Some((key, Phase::Serving)),
                    (false, _) => None,
                }
            })
            .collect();
        for (key, phase) in changes {
            let change = self.targets.set_phase(now, key, phase);
            if phase == Phase::Serving {
                returned.push(self.targets.get(key).id);
            }
            self.record_phase_change(now, change, "platform's list", out);
        }
        returned
    }
}

/// Returns the regions of a service's targets, and its residency rule.
fn regions_of(
    service: &seam_protocol::Service,
) -> (
    BTreeSet<seam_protocol::RegionId>,
    Option<&BTreeSet<seam_protocol::RegionId>>,
) {
    let regions = service.targets.values().map(|target| target.region);
    (regions.collect(), service.residency.as_ref())
}
