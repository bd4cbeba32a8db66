//! Requests that callers send and outcomes that they receive.

use std::time::Duration;

use rand::RngExt;
use seam_core::{Event, IdempotencyKey, Node, Origin, Refusal};
use seam_protocol::{Fingerprint, Outcome, RegionId, Time, VmId};

use super::{Call, CallState, KeyChoice, OpId, Requester, RunId, SendingId, SimEvent, World};
use crate::link::CALLER_DELAY;
use crate::oracle::{Breach, Op};
use crate::traffic::Traffic;

/// Maximum number of nodes over which a customer's callers in a region spread their requests.
const MAX_ENTRY_NODES: usize = 3;

impl CallState {
    /// Returns the idempotency key that every request of an operation carries.
    pub(super) fn key(&self, op: OpId) -> Option<IdempotencyKey> {
        match self.call.key {
            KeyChoice::None => None,
            KeyChoice::Issued => self.issued.map(IdempotencyKey::Issued),
            KeyChoice::Caller => Some(IdempotencyKey::Caller {
                customer: self.call.customer,
                digest: seam_protocol::id::rank(op.0, 0x6f70),
            }),
        }
    }
}

impl World {
    /// Makes a caller start an operation. Returns `None` if the VM is unknown or issues no key.
    pub fn call(&mut self, call: Call) -> Option<OpId> {
        let op = OpId(self.next_id());
        let now = self.now;
        let issued = match call.key {
            KeyChoice::Issued => {
                let process = self.processes.get_mut(&call.vm)?;
                let local = process.local_time(now);
                let unpaused = process.paused_until.is_none();
                let node = process.node.as_mut().filter(|_| unpaused)?;
                Some(node.issue_key(local, call.customer)?)
            }
            KeyChoice::None | KeyChoice::Caller => None,
        };
        let region = self.processes.get(&call.vm)?.region;
        let call_state = CallState {
            call,
            issued,
            fingerprint: Fingerprint(seam_protocol::id::rank(op.0, 0x6670)),
            region,
            started_at: now,
            counted: self.stats.counting,
        };
        self.call_states.insert(op, call_state);
        let state = Op {
            repeatable: call.repeatable,
            keyed: call.key != KeyChoice::None && !call.repeatable,
            runs: Vec::new(),
            requests: Vec::new(),
            crashes: Vec::new(),
            late_runs: 0,
        };
        self.oracle.ops.insert(op, state);
        self.send(op, call.vm);
        Some(op)
    }

    /// Returns the time since an operation started.
    #[must_use]
    pub fn age(&self, op: OpId) -> Duration {
        self.call_states
            .get(&op)
            .map_or(Duration::MAX, |call_state| {
                self.now.since(call_state.started_at)
            })
    }

    /// Makes a caller send an operation's request again, to any node.
    pub fn resend(&mut self, op: OpId, vm: VmId) {
        if self.call_states.contains_key(&op) {
            self.send(op, vm);
        }
    }

    fn send(&mut self, op: OpId, vm: VmId) {
        let request = SendingId(self.next_id());
        let (call, counted) = (self.call_states[&op].call, self.call_states[&op].counted);
        let deadline = self.now + call.budget;
        self.oracle.record_request(request, op, deadline);
        let region = self.call_states[&op].region;
        if counted {
            self.stats
                .record(call.customer, region, |tally| tally.sent += 1);
        }
        self.schedule_after(CALLER_DELAY, SimEvent::CallerArrive(vm, request));
    }

    pub(super) fn caller_arrives(&mut self, vm: VmId, request: SendingId) {
        if self.node(vm).is_none() {
            // A refused connection says nothing about other requests of the operation.
            self.oracle.excuse(request);
            return;
        }
        let deadline = self.oracle.requests[&request].deadline;
        let budget = deadline.since(self.now);
        if budget.is_zero() {
            self.oracle.excuse(request);
            return;
        }
        self.arrive(vm, Requester::Caller(request), Origin::Caller, budget);
    }

    /// Disconnects the caller of an operation's last request.
    pub fn disconnect_caller(&mut self, op: OpId) {
        let last = self.oracle.ops.get(&op).and_then(|op| op.requests.last());
        let Some(request) = last.copied() else {
            return;
        };
        self.oracle.excuse(request);
        let found = self.processes.iter().find_map(|(vm, process)| {
            let ticket = process.tickets.iter().find(
                |(_, requester)| matches!(requester, Requester::Caller(other) if *other == request),
            );
            ticket.map(|(ticket, _)| (*vm, process.incarnation, *ticket))
        });
        if let Some((vm, incarnation, ticket)) = found {
            let event = Event::CallerGone(ticket);
            self.schedule_after(
                Duration::ZERO,
                SimEvent::Deliver(vm, incarnation, Box::new(event)),
            );
        }
    }

    pub(super) fn finish_request(
        &mut self,
        request: SendingId,
        outcome: Outcome,
        run: Option<RunId>,
        refusal: Option<Refusal>,
    ) {
        let now = self.now;
        let known = &self.oracle.requests[&request];
        let (op, deadline, first_outcome) = (known.op, known.deadline, known.outcome.is_none());
        if let Some(run) = run
            && first_outcome
            && !self
                .run_states
                .get(&run)
                .is_some_and(|run_state| run_state.finished)
        {
            self.oracle.record_breach(Breach::CutAsWhole(request));
        }
        self.oracle.record_outcome(now, request, outcome, run);
        if !first_outcome || !self.call_states[&op].counted {
            return;
        }
        let call = self.call_states[&op].call;
        let region = self.call_states[&op].region;
        let ran_in = run
            .and_then(|run| self.oracle.runs.get(&run))
            .map(|run| run.region);
        let remote = ran_in.is_some_and(|ran| ran != region);
        let run_state = run.and_then(|run| self.run_states.get(&run));
        let failed = run_state.is_some_and(|run_state| run_state.failed);
        let cache_hit = run_state.is_some_and(|run_state| run_state.cache_hit);
        let called_at = deadline - call.budget;
        let wait = run_state.map_or(Duration::ZERO, |run_state| {
            run_state.started_at.since(called_at)
        });
        let target_wait = run_state.map_or(Duration::ZERO, |run_state| {
            run_state.started_at.since(run_state.arrived_at)
        });
        let latency = call.budget.saturating_sub(deadline.since(now)) + CALLER_DELAY;
        self.stats
            .record(call.customer, region, |tally| match outcome {
                Outcome::Complete if run.is_some() && !failed => {
                    let in_time = now + CALLER_DELAY <= deadline;
                    tally.good += u64::from(in_time);
                    tally.late += u64::from(!in_time);
                    tally.remote += u64::from(remote);
                    let _ = tally.latency.record(latency.as_micros() as u64);
                    let _ = tally.wait.record(wait.as_micros() as u64);
                    let _ = tally.target_wait.record(target_wait.as_micros() as u64);
                    tally.cache_hits += u64::from(cache_hit);
                }
                Outcome::NotRun => tally.not_run += 1,
                _ => tally.unknown += 1,
            });
        if let Some(refusal) = refusal {
            self.stats.record(call.customer, region, |tally| {
                *tally.reasons.entry(refusal.reason).or_default() += 1;
            });
        }
    }

    /// Adds open-loop traffic and schedules its start.
    pub fn add_traffic(&mut self, traffic: Traffic) {
        let index = self.traffic.len();
        let start = traffic.from;
        self.traffic.push(traffic);
        self.schedule_at(start, SimEvent::Traffic(index));
    }

    pub(super) fn traffic_due(&mut self, index: usize) {
        let now = self.now;
        let traffic = self.traffic[index].clone();
        if now >= traffic.until {
            return;
        }
        let rate = traffic.rate_at(now);
        if rate > 0.0 {
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let gap = Duration::from_secs_f64((-draw.ln() / rate).min(60.0));
            self.schedule_after(gap, SimEvent::Traffic(index));
            if now > traffic.from {
                self.send_traffic_call(&traffic);
            }
        } else {
            self.schedule_after(Duration::from_secs(1), SimEvent::Traffic(index));
        }
    }

    fn send_traffic_call(&mut self, traffic: &Traffic) {
        let Some(vm) = self.entry_node(traffic.region, traffic.customer) else {
            return;
        };
        let prefix = (traffic.prefixes > 0).then(|| {
            let number = self.rng.random_range(0..traffic.prefixes);
            seam_protocol::id::rank(traffic.customer.0, number)
        });
        self.call(Call {
            customer: traffic.customer,
            service: traffic.service,
            vm,
            repeatable: traffic.repeatable,
            key: traffic.key,
            prefix,
            poison: false,
            budget: traffic.budget,
        });
    }

    /// Returns a node that a customer's caller in a region would call.
    pub fn entry_node(
        &mut self,
        region: RegionId,
        customer: seam_protocol::CustomerId,
    ) -> Option<VmId> {
        let now = self.now;
        let contacted = self.processes.values().find(|process| {
            process.region == region
                && process.node.is_some()
                && process.paused_until.is_none()
                && !process.draining
        })?;
        let local: Time = contacted.local_time(now);
        let entries = contacted
            .node
            .as_ref()
            .map(|node: &Node| node.entries(local, customer))?;
        let local_nodes: Vec<VmId> = entries
            .nodes
            .iter()
            .copied()
            .filter(|vm| {
                self.processes
                    .get(vm)
                    .is_some_and(|process| process.region == region)
            })
            .collect();
        if local_nodes.is_empty() {
            return entries.nodes.first().copied();
        }
        let pick = self
            .rng
            .random_range(0..local_nodes.len().min(MAX_ENTRY_NODES));
        Some(local_nodes[pick])
    }
}
