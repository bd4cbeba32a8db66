//! Requests at targets, and crashes of targets.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use seam_core::{AttemptKey, AttemptOutcome, Command, Event, Refusal};
use seam_protocol::{Bundle, Incarnation, Reason, StoredResponse, TargetId, VmId};

use super::{Destination, OpId, RunId, RunState, SimEvent, World};
use crate::link::REGION_DELAY;
use crate::oracle::{Breach, Run};
use crate::target::FakeTarget;

/// Time after which a request that crashes its target does so.
const POISON_DELAY: Duration = Duration::from_millis(50);
/// Time for which such a target refuses connections.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time for which a target listed as leaving may still receive new requests: the delay of the list
/// and of reading it, and a few seconds.
const LEAVING_GRACE: Duration = Duration::from_secs(5);

impl World {
    pub(super) fn add_targets(&mut self, bundle: &Bundle) {
        for (service, config) in &bundle.services {
            let mean = Duration::from_millis(config.expected);
            for (id, target) in &config.targets {
                let fake =
                    FakeTarget::new(target.region, *service, config.kind, target.slots, mean);
                self.targets.insert(*id, fake);
                self.names.insert(*id, target.name.clone());
            }
        }
    }

    /// Returns a target of the same service in another region, for a mutation.
    pub(super) fn target_elsewhere(&self, vm: VmId, command: &Command) -> Option<TargetId> {
        let Command::Send { service, .. } = command else {
            return None;
        };
        let region = self.processes.get(&vm)?.region;
        self.targets
            .iter()
            .find(|(_, fake)| fake.service == *service && fake.region != region)
            .map(|(id, _)| *id)
    }

    pub(super) fn target_arrives(
        &mut self,
        target: TargetId,
        vm: VmId,
        incarnation: Incarnation,
        attempt: AttemptKey,
    ) {
        let now = self.now;
        let Some(request) = self.request_of(vm, incarnation, attempt) else {
            return;
        };
        let accepts = self.targets[&target].accepts(now);
        if !accepts {
            if self.is_current(vm, incarnation) {
                self.reply_after(
                    REGION_DELAY,
                    vm,
                    attempt,
                    AttemptOutcome::Broken { started: false },
                );
            }
            return;
        }
        self.last_request_at.insert(target, now);
        self.check_rate(target, vm, incarnation);
        let since = self.leaving_since.get(&target).copied();
        if let Some(since) = since
            && now.since(since) > LEAVING_GRACE
        {
            let late = now.since(since);
            self.oracle
                .record_breach(Breach::LeavingGotWork(target, late));
        }
        let run = RunId(self.next_id());
        if let Some(exchange) = self.exchange(vm, attempt) {
            exchange.run = Some(run);
        }
        let run_state = RunState {
            vm,
            incarnation,
            attempt,
            finished: false,
            failed: false,
            arrived_at: now,
            started_at: now,
            cache_hit: false,
        };
        self.run_states.insert(run, run_state);
        let op = self.oracle.requests[&request].op;
        let fake = self
            .targets
            .get_mut(&target)
            .expect("the target accepted the connection");
        let region = fake.region;
        // A request counts as run once the target has received it, even while it is queued there.
        let allowed = self
            .exchange(vm, attempt)
            .map(|exchange| exchange.allowed.clone())
            .unwrap_or_default();
        let started = Run {
            request,
            op,
            region,
        };
        self.oracle.run_started(run, started, &allowed);
        if self.call_states[&op].call.poison && self.settled(vm) {
            self.oracle.check_crashing_run(now, op);
        }
        let fake = self
            .targets
            .get_mut(&target)
            .expect("the target accepted the connection");
        if fake.running.len() < fake.slots as usize {
            self.start_run(target, run);
        } else {
            fake.waiting.push_back(run);
        }
    }

    /// Checks a request against the limit that its target names.
    fn check_rate(&mut self, target: TargetId, vm: VmId, incarnation: Incarnation) {
        let (now, settled) = (self.now, self.settled(vm));
        let limit = self.targets.get_mut(&target);
        let limit = limit
            .and_then(|fake| fake.limit.as_mut())
            .filter(|_| settled);
        let excess = limit.and_then(|limit| limit.record_arrival(now, (vm, incarnation)));
        if let Some(count) = excess {
            self.oracle.record_breach(Breach::OverRate(target, count));
        }
    }

    /// Tells a node the limit that an answer to its attempt names.
    fn tell_limit(&mut self, vm: VmId, attempt: AttemptKey, target: TargetId) {
        let now = self.now;
        let Some(process) = self.processes.get(&vm) else {
            return;
        };
        let incarnation = process.incarnation;
        let node = process.node.as_ref();
        let known = node.is_some_and(|node| node.is_rate_limited(target));
        let limit = self.targets.get_mut(&target);
        let limit = limit.and_then(|fake| fake.limit.as_mut());
        let rate = limit.map(|limit| {
            limit.received.entry((vm, incarnation)).or_insert(now);
            limit.rate
        });
        if rate.is_some() || known {
            self.handle(vm, Event::LimitAdvertised(attempt, rate));
        }
    }

    fn request_of(
        &self,
        vm: VmId,
        incarnation: Incarnation,
        attempt: AttemptKey,
    ) -> Option<crate::SendingId> {
        let process = self.processes.get(&vm)?;
        if process.incarnation != incarnation {
            return None;
        }
        let exchange = process.exchanges.get(&attempt)?;
        Some(process.tickets.get(&exchange.ticket)?.request())
    }

    fn start_run(&mut self, target: TargetId, run: RunId) {
        let now = self.now;
        let op = self.oracle.runs[&run].op;
        let call = self.call_states[&op].call;
        let Some(fake) = self.targets.get_mut(&target) else {
            return;
        };
        let before = fake.cache_hits;
        let span = fake.service_time(&mut self.rng, call.prefix);
        let cache_hit = fake.cache_hits > before;
        fake.running.insert(run, now);
        if let Some(run_state) = self.run_states.get_mut(&run) {
            run_state.started_at = now;
            run_state.cache_hit = cache_hit;
        }
        if call.poison {
            self.schedule_after(POISON_DELAY, SimEvent::Crash(target, RESTART_TIME));
        } else {
            self.schedule_after(span, SimEvent::TargetDone(target, run));
        }
    }

    fn start_waiting(&mut self, target: TargetId) {
        let Some(fake) = self.targets.get_mut(&target) else {
            return;
        };
        if fake.running.len() < fake.slots as usize
            && let Some(run) = fake.waiting.pop_front()
        {
            self.start_run(target, run);
        }
    }

    pub(super) fn cancel_run(&mut self, target: TargetId, run: RunId) {
        let Some(fake) = self.targets.get_mut(&target) else {
            return;
        };
        fake.running.remove(&run);
        fake.waiting.retain(|waiting| *waiting != run);
        self.start_waiting(target);
    }

    pub(super) fn target_done(&mut self, target: TargetId, run: RunId) {
        let Some(fake) = self.targets.get_mut(&target) else {
            return;
        };
        if fake.running.remove(&run).is_none() {
            return;
        }
        let failed = fake.complete_run();
        self.start_waiting(target);
        let Some(run_state) = self.run_states.get_mut(&run) else {
            return;
        };
        run_state.finished = true;
        run_state.failed = failed;
        let run_state = *run_state;
        let silent = self
            .exchange(run_state.vm, run_state.attempt)
            .is_some_and(|exchange| exchange.silent);
        if !silent {
            let reply =
                SimEvent::TargetReply(run_state.vm, run_state.incarnation, run_state.attempt, run);
            self.schedule_after(REGION_DELAY, reply);
        }
    }

    /// Handles a complete response of a target, which a node drops if it fails and is retried.
    pub(super) fn target_replies(&mut self, vm: VmId, attempt: AttemptKey, run: RunId) {
        let exchange = self.exchange(vm, attempt);
        let to = exchange.map(|exchange| exchange.to.clone());
        if let Some(Destination::Target(target)) = to {
            self.tell_limit(vm, attempt, target);
        }
        let failed = self.run_states[&run].failed;
        let discarded = failed && self.should_discard(vm, attempt);
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        let Some(exchange) = process.exchanges.remove(&attempt) else {
            return;
        };
        if discarded {
            let unknown = Refusal::unknown(Reason::Broken);
            let reply = AttemptOutcome::OutcomeUnknown(unknown);
            self.handle(vm, Event::AttemptEnded(attempt, reply));
            return;
        }
        let response = exchange.keep_response.then(|| {
            Arc::new(StoredResponse {
                status: if failed { 502 } else { 200 },
                headers: Vec::new(),
                body: run.0.to_be_bytes().to_vec(),
            })
        });
        let delivered = self.swapped_run(run);
        self.deliver_response(vm, exchange.ticket, delivered);
        self.handle(
            vm,
            Event::AttemptEnded(
                attempt,
                AttemptOutcome::Complete {
                    response,
                    success: !failed,
                },
            ),
        );
    }

    /// Returns whether a node drops the failure of an attempt to retry its request.
    fn should_discard(&mut self, vm: VmId, attempt: AttemptKey) -> bool {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&vm) else {
            return false;
        };
        let local = process.local_time(now);
        let Some(node) = &mut process.node else {
            return false;
        };
        let mut commands = Vec::new();
        node.handle(local, Event::ErrorResponse(attempt), &mut commands);
        let mut discarded = false;
        for command in commands {
            if matches!(command, Command::Discard(key) if key == attempt) {
                discarded = true;
            } else {
                self.perform(vm, command);
            }
        }
        discarded
    }

    /// Returns the run whose response is delivered, which a mutation swaps for another run.
    fn swapped_run(&self, run: RunId) -> RunId {
        if self.mutation != crate::mutation::Mutation::SwapResponses {
            return run;
        }
        let other = self.run_states.keys().find(|other| **other != run);
        other.copied().unwrap_or(run)
    }

    pub(super) fn crash(&mut self, target: TargetId, span: Duration) {
        let until = self.now + span;
        let Some(fake) = self.targets.get_mut(&target) else {
            return;
        };
        // Several runs of one operation at a target are one crash.
        let running = fake.running.keys().map(|run| self.oracle.runs[run].op);
        let culprits: BTreeSet<OpId> = running
            .filter(|op| self.call_states[op].call.poison)
            .collect();
        for op in culprits {
            self.oracle.record_crash(self.now, op);
        }
        let Some(fake) = self.targets.get_mut(&target) else {
            return;
        };
        let lost = fake.crash(until);
        for run in lost {
            let run_state = self.run_states[&run];
            if !self.is_current(run_state.vm, run_state.incarnation) {
                continue;
            }
            let started = self.rng.random_bool(0.3);
            let reply = AttemptOutcome::Broken { started };
            self.break_exchange(run_state, run, reply);
        }
    }

    /// Ends the exchange of a run whose connection broke.
    fn break_exchange(&mut self, run_state: RunState, run: RunId, reply: AttemptOutcome) {
        let Some(process) = self.processes.get_mut(&run_state.vm) else {
            return;
        };
        let Some(exchange) = process.exchanges.remove(&run_state.attempt) else {
            return;
        };
        let reply = self.mutation.reply(reply);
        if matches!(reply, AttemptOutcome::Complete { .. }) {
            self.deliver_response(run_state.vm, exchange.ticket, run);
        }
        let event = Event::AttemptEnded(run_state.attempt, reply);
        self.schedule_after(
            REGION_DELAY,
            SimEvent::Deliver(run_state.vm, run_state.incarnation, Box::new(event)),
        );
    }

    /// Makes every open connection to a target silent.
    pub(super) fn silence_target(&mut self, target: TargetId) {
        for process in self.processes.values_mut() {
            for exchange in process.exchanges.values_mut() {
                if matches!(exchange.to, Destination::Target(other) if other == target) {
                    exchange.silent = true;
                }
            }
        }
    }
}
