//! The configuration service, the platform's list of VMs, and nodes that join the fleet.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use seam_core::Event;
use seam_protocol::{Bundle, Incarnation, LoadReport, TargetId, Time, VmId, VmState};

use super::{SimEvent, World};
use crate::link::REGION_DELAY;
use crate::mutation::Mutation;
use crate::oracle::Breach;

/// Time within which every node must apply a revision.
pub const MAX_REVISION_DELAY: Duration = Duration::from_secs(4);
/// Delay until nodes see a change of the platform's list.
const LIST_DELAY: Duration = Duration::from_millis(1500);
/// Interval between two load reads of a node, one target each.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two attempts of a node without configuration to read one.
const JOIN_RETRY: Duration = Duration::from_secs(1);

impl World {
    /// Reads the configuration for a node that has none: from the service, or from a random peer
    /// while the service is unreachable.
    pub(super) fn join(&mut self, vm: VmId, incarnation: Incarnation) {
        if self.node(vm).is_some_and(|node| node.bundle().is_some()) {
            return;
        }
        self.platform.calls += 1;
        let read_delay = Duration::from_millis(20);
        if self.platform.down {
            let peers: Vec<VmId> = self
                .running_vms()
                .into_iter()
                .filter(|peer| *peer != vm && self.connected(vm, *peer))
                .collect();
            if !peers.is_empty() {
                let pick = self.rng.random_range(0..peers.len());
                self.fetch(vm, peers[pick]);
            }
        } else {
            let bundle = if self.platform.stale {
                self.platform.first.clone()
            } else {
                self.platform.newest.clone()
            };
            let event = Event::Bundle(bundle);
            self.schedule_after(
                read_delay,
                SimEvent::Deliver(vm, incarnation, Box::new(event)),
            );
        }
        let list = Event::VmList(self.vm_list());
        self.schedule_after(
            read_delay * 2,
            SimEvent::Deliver(vm, incarnation, Box::new(list)),
        );
        self.schedule_after(JOIN_RETRY, SimEvent::Join(vm, incarnation));
    }

    fn vm_list(&self) -> Vec<VmState> {
        self.names
            .iter()
            .map(|(id, name)| VmState {
                name: name.clone(),
                leaving: self.targets[id].leaving,
            })
            .collect()
    }

    /// Sends the list to every node after [`LIST_DELAY`].
    pub(super) fn send_vm_list(&mut self) {
        if self.mutation == Mutation::IgnoreVmList {
            return;
        }
        let list = self.vm_list();
        let nodes: Vec<(VmId, Incarnation)> = self.incarnations();
        for (vm, incarnation) in nodes {
            let event = Event::VmList(list.clone());
            self.schedule_after(
                LIST_DELAY,
                SimEvent::Deliver(vm, incarnation, Box::new(event)),
            );
        }
    }

    pub(super) fn incarnations(&self) -> Vec<(VmId, Incarnation)> {
        self.processes
            .iter()
            .filter(|(_, process)| process.node.is_some())
            .map(|(vm, process)| (*vm, process.incarnation))
            .collect()
    }

    /// Publishes a revision that reaches only one node before the service becomes unreachable.
    pub fn publish_to_one(&mut self, vm: VmId) {
        self.platform.down = true;
        self.publish(|bundle| bundle.deployment.latency_weight = 0.52);
        let event = Event::Bundle(self.platform.newest.clone());
        let incarnation = self.processes[&vm].incarnation;
        self.schedule_after(
            REGION_DELAY,
            SimEvent::Deliver(vm, incarnation, Box::new(event)),
        );
    }

    /// Publishes a changed configuration as the next revision.
    pub fn publish(&mut self, change: impl FnOnce(&mut Bundle)) {
        let mut bundle = (*self.platform.newest).clone();
        bundle.parent = Some(bundle.digest);
        bundle.revision += 1;
        change(&mut bundle);
        crate::deployments::set_digest(&mut bundle);
        let vms: std::collections::BTreeSet<VmId> = bundle.deployment.vms.keys().copied().collect();
        if vms
            != self
                .platform
                .newest
                .deployment
                .vms
                .keys()
                .copied()
                .collect()
        {
            self.membership_changed_at = self.now;
        }
        let revision = bundle.revision;
        self.platform.newest = Arc::new(bundle);
        if self.mutation == Mutation::NoUpdates {
            self.schedule_after(MAX_REVISION_DELAY, SimEvent::CheckRevision(revision));
            return;
        }
        if !self.platform.down && !self.platform.stale {
            self.send_newest(Duration::from_millis(50));
            self.schedule_after(MAX_REVISION_DELAY, SimEvent::CheckRevision(revision));
        }
    }

    /// Sends the newest bundle to every node, at random times within a duration.
    pub(super) fn send_newest(&mut self, within: Duration) {
        let newest = self.platform.newest.clone();
        for (vm, incarnation) in self.incarnations() {
            self.platform.calls += 2;
            let fraction = self.rng.random_range(0.05..1.0);
            let event = Event::Bundle(newest.clone());
            self.schedule_after(
                within.mul_f64(fraction),
                SimEvent::Deliver(vm, incarnation, Box::new(event)),
            );
        }
    }

    /// Sends the first revision to every node, as a service restored from a backup does.
    pub(super) fn send_first(&mut self) {
        let first = self.platform.first.clone();
        for (vm, incarnation) in self.incarnations() {
            self.platform.calls += 2;
            let event = Event::Bundle(first.clone());
            self.schedule_after(
                JOIN_RETRY,
                SimEvent::Deliver(vm, incarnation, Box::new(event)),
            );
        }
    }

    /// Fetches a peer's bundle.
    pub(super) fn fetch(&mut self, vm: VmId, from: VmId) {
        if self.mutation == Mutation::NoUpdates {
            return;
        }
        let Some(bundle) = self.node(from).and_then(|node| node.bundle().cloned()) else {
            return;
        };
        if !self.connected(vm, from) || self.processes[&from].paused_until.is_some() {
            return;
        }
        self.counters.fetches += 1;
        let delay = self.delay(vm, from) * 4;
        let incarnation = self.processes[&vm].incarnation;
        let event = Event::Bundle(bundle);
        self.schedule_after(delay, SimEvent::Deliver(vm, incarnation, Box::new(event)));
    }

    /// Checks that every node that had time to receive a revision has applied it.
    pub(super) fn check_revision(&mut self, revision: u64) {
        let now = self.now;
        if self.platform.disrupted_at + MAX_REVISION_DELAY > now && self.platform.disrupted_at.0 > 0
        {
            return;
        }
        for (vm, process) in &self.processes {
            let Some(node) = &process.node else {
                continue;
            };
            let just_booted = now.since(process.booted_at) < 2 * MAX_REVISION_DELAY;
            if just_booted || process.paused_until.is_some() || process.draining {
                continue;
            }
            let applied = node.bundle().map_or(0, |bundle| bundle.revision);
            if applied < revision {
                let breach = Breach::SlowRevision(*vm, revision, MAX_REVISION_DELAY);
                self.oracle.breaches.push(breach);
            }
        }
    }

    /// Reads the load of one target that a node uses, in turn.
    pub(super) fn poll(&mut self, vm: VmId, incarnation: Incarnation) {
        if !self.is_current(vm, incarnation) {
            return;
        }
        let turn = (self.now.0 / POLL_INTERVAL.as_micros() as u64) as usize;
        let node = self.node(vm);
        let used = node
            .map(|node| node.targets_to_poll(turn))
            .unwrap_or_default();
        let target = used.get(turn % used.len().max(1));
        if let Some((target, _, _)) = target
            && let Some(report) = self.report(*target)
        {
            let event = Event::Load(*target, report);
            self.schedule_after(
                2 * REGION_DELAY,
                SimEvent::Deliver(vm, incarnation, Box::new(event)),
            );
        }
        self.schedule_after(POLL_INTERVAL, SimEvent::Poll(vm, incarnation));
    }

    fn report(&self, target: TargetId) -> Option<LoadReport> {
        let fake = self.targets.get(&target)?;
        let up = fake.accepts(self.now);
        up.then(|| LoadReport {
            running: fake.running.len() as u32,
            waiting: fake.waiting.len() as u32,
            slots: None,
            slowdown: None,
            models: Vec::new(),
            fence: self
                .orders
                .iter()
                .filter(|(_, other, _)| *other == target)
                .map(|(_, _, fence)| *fence)
                .max()
                .unwrap_or(0),
        })
    }

    /// Returns when the last running node applied a revision, or `None` if one has not.
    #[must_use]
    pub fn last_applied(&self, revision: u64) -> Option<Time> {
        let times: Option<Vec<Time>> = self
            .running_vms()
            .into_iter()
            .map(|vm| self.applied_at.get(&(revision, vm)).copied())
            .collect();
        times?.into_iter().max()
    }
}
