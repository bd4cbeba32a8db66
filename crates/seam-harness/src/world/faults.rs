//! Applies faults to a world.

use std::time::Duration;

use seam_core::Event;
use seam_core::event::Drainable;
use seam_protocol::{CustomerId, RegionId, TargetId, VmId};

use super::{Requester, SimEvent, World};
use crate::fault::Fault;
use crate::mutation::Mutation;
use crate::oracle::{Breach, CONTACT_TIME};
use crate::target::FakeLimit;

/// Time within which nodes read the configuration after the service is reachable again.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

impl World {
    pub(super) fn apply_fault(&mut self, fault: &Fault) {
        self.note_disturbed();
        self.change(fault);
        self.note_disturbed();
    }

    /// Records the time for every VM that is paused or disconnected now.
    pub(super) fn note_disturbed(&mut self) {
        let disturbed: Vec<VmId> = self
            .processes
            .keys()
            .copied()
            .filter(|vm| self.disturbed(*vm))
            .collect();
        for vm in disturbed {
            self.disturbed_at.insert(vm, self.now);
        }
    }

    /// Returns whether a VM is paused, disconnected or loses heartbeats now.
    fn disturbed(&self, vm: VmId) -> bool {
        let process = &self.processes[&vm];
        let mut others = self.processes.keys();
        process.paused_until.is_some()
            || self.links.loss > 0.0
            || others.any(|other| !self.connected(vm, *other))
    }

    /// Returns whether a VM's process has been running, unpaused and connected for
    /// [`CONTACT_TIME`].
    pub(super) fn settled(&self, vm: VmId) -> bool {
        let process = &self.processes[&vm];
        let disturbed_at = self.disturbed_at.get(&vm).copied();
        let since = disturbed_at.map_or(process.booted_at, |at| at.max(process.booted_at));
        !self.disturbed(vm) && self.now.since(since) >= CONTACT_TIME
    }

    fn change(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill { vm } => self.kill(VmId::of(vm)),
            Fault::Boot { vm } => {
                let vm = VmId::of(vm);
                if self.node(vm).is_none() {
                    self.membership_changed_at = self.now;
                    self.boot(vm);
                }
            }
            Fault::Pause { vm, ms } => self.pause(VmId::of(vm), Duration::from_millis(*ms)),
            Fault::Drain { vm } => self.drain(VmId::of(vm)),
            Fault::Part { a, b } => {
                self.links
                    .set_region_link(RegionId::of(a), RegionId::of(b), true);
            }
            Fault::Isolate { region } => self.isolate(RegionId::of(region)),
            Fault::Cut { vm } => self.links.set_node_links(VmId::of(vm), true),
            Fault::Heal => self.links.heal(),
            Fault::Lose { percent } => self.links.loss = f64::from(*percent) / 100.0,
            Fault::Crash { target, ms } => {
                self.crash(TargetId::of(target), Duration::from_millis(*ms));
            }
            Fault::Silence { target } => self.silence_target(TargetId::of(target)),
            Fault::Speak { .. } => {}
            Fault::Slow { target, percent } => {
                if let Some(fake) = self.targets.get_mut(&TargetId::of(target)) {
                    fake.slowdown = f64::from(*percent) / 100.0;
                }
            }
            Fault::Fail { target, runs } => {
                if let Some(fake) = self.targets.get_mut(&TargetId::of(target)) {
                    fake.failure_interval = Some(*runs);
                }
            }
            Fault::AdvertiseLimit { target, millis } => {
                let limit = millis.map(|millis| FakeLimit::new(self.now, millis as f64 / 1000.0));
                if let Some(fake) = self.targets.get_mut(&TargetId::of(target)) {
                    fake.limit = limit;
                }
            }
            Fault::Leave { target, ms } => self.leave_target(target, *ms),
            Fault::ServiceDown => self.platform.down = true,
            Fault::ServiceUp => self.service_up(),
            Fault::ServiceStale => {
                self.platform.stale = true;
                self.send_first();
                self.platform.disrupted_at = self.now;
            }
            Fault::Publish { customer, regions } => self.publish_residency(customer, regions),
        }
        if matches!(fault, Fault::ServiceDown) {
            self.platform.disrupted_at = self.now;
        }
    }

    /// Stops a process at once.
    fn kill(&mut self, vm: VmId) {
        self.membership_changed_at = self.now;
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        process.node = None;
        process.paused_until = None;
        process.deferred.clear();
        process.exchanges.clear();
        let tickets = std::mem::take(&mut process.tickets);
        for requester in tickets.into_values() {
            match requester {
                Requester::Caller(request) => self.oracle.excuse(request),
                Requester::Peer {
                    vm: from,
                    incarnation,
                    attempt,
                    ..
                } => {
                    if self.is_current(from, incarnation) {
                        let delay = self.delay(vm, from);
                        let reply = seam_core::AttemptOutcome::Broken { started: false };
                        self.reply_after(delay, from, attempt, reply);
                    }
                }
            }
        }
    }

    fn pause(&mut self, vm: VmId, span: Duration) {
        let until = self.now + span;
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        if process.node.is_none() {
            return;
        }
        self.membership_changed_at = self.now;
        process.paused_until = Some(process.paused_until.map_or(until, |old| old.max(until)));
        let waiting: Vec<_> = process
            .tickets
            .values()
            .filter_map(|requester| match requester {
                Requester::Caller(request) => Some(*request),
                Requester::Peer { .. } => None,
            })
            .collect();
        // A paused process cannot respond in time.
        for request in waiting {
            self.oracle.excuse(request);
        }
        self.schedule_at(until, SimEvent::Resume(vm));
    }

    fn drain(&mut self, vm: VmId) {
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        if process.node.is_none() {
            return;
        }
        process.draining = true;
        let incarnation = process.incarnation;
        let event = Event::Drain {
            what: Drainable::Node,
            on: true,
            actor: "harness".to_owned(),
        };
        self.schedule_after(
            Duration::ZERO,
            SimEvent::Deliver(vm, incarnation, Box::new(event)),
        );
    }

    /// Stops a process whose drain has ended, and records each request that is still in flight.
    pub(super) fn end_if_drained(&mut self, vm: VmId) {
        let now = self.now;
        let process = &self.processes[&vm];
        if !process.draining {
            return;
        }
        let at_once = self.mutation == Mutation::DrainAtOnce;
        let local = process.local_time(now);
        let drained = process
            .node
            .as_ref()
            .is_some_and(|node| node.drained(local));
        if !drained && !at_once {
            return;
        }
        let in_flight: Vec<_> = process
            .tickets
            .values()
            .map(|requester| requester.request())
            .filter(|request| {
                let known = &self.oracle.requests[request];
                known.outcome.is_none() && !known.excused
            })
            .collect();
        for request in in_flight {
            self.oracle.record_breach(Breach::DrainCut(request));
        }
        self.kill(vm);
    }

    fn isolate(&mut self, region: RegionId) {
        let others: Vec<RegionId> = self
            .platform
            .newest
            .deployment
            .regions
            .keys()
            .copied()
            .filter(|other| *other != region)
            .collect();
        for other in others {
            self.links.set_region_link(region, other, true);
        }
    }

    fn leave_target(&mut self, name: &str, ms: u64) {
        let id = TargetId::of(name);
        let Some(fake) = self.targets.get_mut(&id) else {
            return;
        };
        fake.leaving = true;
        self.leaving_since.insert(id, self.now);
        self.send_vm_list();
        let forever = Duration::from_secs(1_000_000);
        self.schedule_after(Duration::from_millis(ms), SimEvent::Crash(id, forever));
    }

    fn service_up(&mut self) {
        if !self.platform.down && !self.platform.stale {
            return;
        }
        self.platform.down = false;
        self.platform.stale = false;
        self.platform.disrupted_at = self.now + RECOVERY_TIME;
        self.send_newest(RECOVERY_TIME);
    }

    fn publish_residency(&mut self, customer: &str, regions: &[String]) {
        let id = CustomerId::of(customer);
        let set: std::collections::BTreeSet<RegionId> =
            regions.iter().map(|name| RegionId::of(name)).collect();
        self.publish(|bundle| {
            if let Some(config) = bundle.customers.get_mut(&id) {
                config.residency = (!set.is_empty()).then_some(set);
            }
        });
    }
}
