//! The configuration service, the list of VMs, and nodes that join.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use seam_core::Event;
use seam_protocol::{Bundle, Incarnation, LoadReport, TargetId, Time, VmId, VmState};

use super::{Happening, World};
use crate::link::NEAR;
use crate::oracle::Breach;
use crate::tamper::Tamper;

/// Time within which a revision must be in force everywhere.
pub const REVISION_LIMIT: Duration = Duration::from_secs(4);
/// Time for the platform's list to show a change.
const LIST_LAG: Duration = Duration::from_millis(1500);
/// Time between two reads of the targets' loads, one target each time.
const POLL: Duration = Duration::from_secs(1);
/// Time between two tries of a node that has no configuration.
const JOIN_AGAIN: Duration = Duration::from_secs(1);

impl World {
    /// Reads the configuration for a node that has booted: from the service, and from any peer.
    pub(super) fn join(&mut self, vm: VmId, incarnation: Incarnation) {
        if self.node(vm).is_some_and(|node| node.bundle().is_some()) {
            return;
        }
        self.platform.calls += 1;
        let read = Duration::from_millis(20);
        if self.platform.down {
            let peers: Vec<VmId> = self
                .live()
                .into_iter()
                .filter(|peer| *peer != vm && self.open(vm, *peer))
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
            self.after(read, Happening::Deliver(vm, incarnation, event));
        }
        let list = Event::VmList(self.list());
        self.after(read * 2, Happening::Deliver(vm, incarnation, list));
        self.after(JOIN_AGAIN, Happening::Join(vm, incarnation));
    }

    fn list(&self) -> Vec<VmState> {
        self.names
            .iter()
            .map(|(id, name)| VmState {
                name: name.clone(),
                leaving: self.targets[id].leaving,
            })
            .collect()
    }

    /// Shows the list to every node, after its lag.
    pub(super) fn show_list(&mut self) {
        if self.tamper == Tamper::IgnoreList {
            return;
        }
        let list = self.list();
        let nodes: Vec<(VmId, Incarnation)> = self.incarnations();
        for (vm, incarnation) in nodes {
            let event = Event::VmList(list.clone());
            self.after(LIST_LAG, Happening::Deliver(vm, incarnation, event));
        }
    }

    pub(super) fn incarnations(&self) -> Vec<(VmId, Incarnation)> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.node.is_some())
            .map(|(vm, slot)| (*vm, slot.incarnation))
            .collect()
    }

    /// Publishes a revision that the service shows to one node only, as before an outage.
    pub fn publish_to_one(&mut self, vm: VmId) {
        self.platform.down = true;
        self.publish(|bundle| bundle.deployment.weight = 0.52);
        let event = Event::Bundle(self.platform.newest.clone());
        let incarnation = self.slots[&vm].incarnation;
        self.after(NEAR, Happening::Deliver(vm, incarnation, event));
    }

    /// Publishes a changed configuration as the next revision.
    pub fn publish(&mut self, change: impl FnOnce(&mut Bundle)) {
        let mut bundle = (*self.platform.newest).clone();
        bundle.parent = Some(bundle.digest);
        bundle.revision += 1;
        change(&mut bundle);
        crate::sizes::seal(&mut bundle);
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
            self.members_changed = self.now;
        }
        let revision = bundle.revision;
        self.platform.newest = Arc::new(bundle);
        if self.tamper == Tamper::NoNews {
            self.after(REVISION_LIMIT, Happening::CheckRevision(revision));
            return;
        }
        if !self.platform.down && !self.platform.stale {
            self.show_newest(Duration::from_millis(50));
            self.after(REVISION_LIMIT, Happening::CheckRevision(revision));
        }
    }

    /// Answers every waiting watch within a span.
    pub(super) fn show_newest(&mut self, within: Duration) {
        let newest = self.platform.newest.clone();
        for (vm, incarnation) in self.incarnations() {
            self.platform.calls += 2;
            let part = self.rng.random_range(0.05..1.0);
            let event = Event::Bundle(newest.clone());
            self.after(
                within.mul_f64(part),
                Happening::Deliver(vm, incarnation, event),
            );
        }
    }

    /// Shows the first revision to every watch, as a service restored from an old copy does.
    pub(super) fn show_first(&mut self) {
        let first = self.platform.first.clone();
        for (vm, incarnation) in self.incarnations() {
            self.platform.calls += 2;
            let event = Event::Bundle(first.clone());
            self.after(JOIN_AGAIN, Happening::Deliver(vm, incarnation, event));
        }
    }

    /// Reads a peer's newest bundle.
    pub(super) fn fetch(&mut self, vm: VmId, from: VmId) {
        if self.tamper == Tamper::NoNews {
            return;
        }
        let Some(bundle) = self.node(from).and_then(|node| node.bundle().cloned()) else {
            return;
        };
        if !self.open(vm, from) || self.slots[&from].asleep.is_some() {
            return;
        }
        self.counts.fetches += 1;
        let trip = self.delay(vm, from) * 4;
        let incarnation = self.slots[&vm].incarnation;
        let event = Event::Bundle(bundle);
        self.after(trip, Happening::Deliver(vm, incarnation, event));
    }

    /// Checks that a revision is in force at every node that could have heard of it.
    pub(super) fn check_revision(&mut self, revision: u64) {
        let now = self.now;
        if self.platform.trouble + REVISION_LIMIT > now && self.platform.trouble.0 > 0 {
            return;
        }
        for (vm, slot) in &self.slots {
            let Some(node) = &slot.node else {
                continue;
            };
            let young = now.since(slot.booted) < 2 * REVISION_LIMIT;
            if young || slot.asleep.is_some() || slot.ending {
                continue;
            }
            let held = node.bundle().map_or(0, |bundle| bundle.revision);
            if held < revision {
                let breach = Breach::SlowRevision(*vm, revision, REVISION_LIMIT);
                self.oracle.breaches.push(breach);
            }
        }
    }

    /// Reads the loads of the targets that a node uses.
    pub(super) fn poll(&mut self, vm: VmId, incarnation: Incarnation) {
        if !self.same(vm, incarnation) {
            return;
        }
        let turn = (self.now.0 / POLL.as_micros() as u64) as usize;
        let node = self.node(vm);
        let used = node
            .map(|node| node.targets_to_poll(turn))
            .unwrap_or_default();
        let target = used.get(turn % used.len().max(1));
        if let Some((target, _, _)) = target
            && let Some(report) = self.report(*target)
        {
            let event = Event::Load(*target, report);
            self.after(2 * NEAR, Happening::Deliver(vm, incarnation, event));
        }
        self.after(POLL, Happening::Poll(vm, incarnation));
    }

    fn report(&self, target: TargetId) -> Option<LoadReport> {
        let fake = self.targets.get(&target)?;
        let up = fake.accepts(self.now);
        up.then(|| LoadReport {
            running: fake.running.len() as u32,
            waiting: fake.waiting.len() as u32,
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

    /// Returns when the last of the live nodes put a revision in force.
    #[must_use]
    pub fn last_adoption(&self, revision: u64) -> Option<Time> {
        let times: Option<Vec<Time>> = self
            .live()
            .into_iter()
            .map(|vm| self.adopted.get(&(revision, vm)).copied())
            .collect();
        times?.into_iter().max()
    }
}
