//! Performs a node's commands, as the adapters of a real process do.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use seam_core::audit::Change;
use seam_core::{Arrival, AttemptKey, AttemptOutcome, Command, Event, Origin, Refusal, Ticket};
use seam_protocol::{Heartbeat, Incarnation, Outcome, VmId};

use super::{Destination, Exchange, Requester, RunId, SimEvent, World};
use crate::link::{REGION_DELAY, with_jitter};
use crate::mutation::{Mutation, ResponsePath};
use crate::oracle::Breach;

/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which missing pings close a broken connection.
const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that a MAC and the UDP and IP headers add to a heartbeat.
const HEADER_BYTES: u64 = 16 + 28;

impl World {
    pub(super) fn perform(&mut self, vm: VmId, mut command: Command) {
        if self.mutation != Mutation::None {
            let elsewhere = self.target_elsewhere(vm, &command);
            if !self.mutation.command(&mut command, elsewhere) {
                return;
            }
        }
        match command {
            Command::Send {
                ticket,
                attempt,
                target,
                silence,
                keep_response,
                ..
            } => {
                let exchange = Exchange {
                    ticket,
                    to: Destination::Target(target),
                    sent: false,
                    run: None,
                    silent: false,
                    silence,
                    keep_response,
                    allowed: BTreeSet::new(),
                };
                self.connect_target(vm, attempt, target, exchange);
            }
            Command::Forward {
                ticket,
                attempt,
                vm: to,
                hops,
                revision,
                budget,
                ..
            } => {
                self.check_path(vm, ticket);
                let exchange = Exchange {
                    ticket,
                    to: Destination::Node {
                        vm: to,
                        hops,
                        revision,
                        budget,
                    },
                    sent: false,
                    run: None,
                    silent: false,
                    silence: budget,
                    keep_response: false,
                    allowed: BTreeSet::new(),
                };
                self.connect_node(vm, attempt, to, exchange);
            }
            Command::Refuse { ticket, refusal } => self.refuse(vm, ticket, refusal),
            Command::Replay { ticket, response } => {
                let mut bytes = [0; 8];
                bytes.copy_from_slice(&response.body[..8]);
                self.deliver_response(vm, ticket, RunId(u64::from_be_bytes(bytes)));
            }
            Command::Done(ticket) => {
                if let Some(process) = self.processes.get_mut(&vm) {
                    process.tickets.remove(&ticket);
                }
            }
            Command::Cancel(attempt) => self.cancel(vm, attempt),
            Command::Probe { target, .. } => self.probe(vm, target),
            Command::Heartbeat { to, heartbeat, .. } => self.send_heartbeat(vm, to, *heartbeat),
            Command::FetchManifest { from, .. } => self.fetch(vm, from),
            Command::Order { target, fence, .. } => {
                self.orders.push((self.now, target, fence));
            }
            Command::Audit(audit) => {
                if matches!(audit.change, Change::Crash | Change::Quarantine) {
                    self.crash_audits.push((self.now, vm, audit));
                }
            }
            // A world keeps no other logs, publishes complete bundles instead of items, and its
            // targets are never cold. `should_discard` handles failures that are dropped.
            Command::LogRouting { .. }
            | Command::LogOrigin { .. }
            | Command::LogWithheld { .. }
            | Command::CheckHealth { .. }
            | Command::FetchItems { .. }
            | Command::LogConfig(_)
            | Command::LogDifference(_)
            | Command::LogAllowance(_)
            | Command::LogAdmission { .. }
            | Command::LogStore(_)
            | Command::Discard(_) => {}
        }
    }

    /// Records a loop if the request came from another node: it must not be forwarded again.
    fn check_path(&mut self, vm: VmId, ticket: Ticket) {
        if let Some(Requester::Peer { request, .. }) = self.processes[&vm].tickets.get(&ticket) {
            let breach = Breach::Loop(*request);
            self.oracle.record_breach(breach);
        }
    }

    fn incarnation(&self, vm: VmId) -> Incarnation {
        self.processes[&vm].incarnation
    }

    fn connect_target(
        &mut self,
        vm: VmId,
        attempt: AttemptKey,
        target: seam_protocol::TargetId,
        exchange: Exchange,
    ) {
        let incarnation = self.incarnation(vm);
        let accepts = self
            .targets
            .get(&target)
            .is_some_and(|fake| fake.accepts(self.now));
        if let Some(process) = self.processes.get_mut(&vm) {
            process.exchanges.insert(attempt, exchange);
        }
        if accepts {
            self.schedule_after(
                2 * REGION_DELAY,
                SimEvent::Sending(vm, incarnation, attempt),
            );
        } else {
            self.reply_after(2 * REGION_DELAY, vm, attempt, AttemptOutcome::NotSent);
        }
    }

    fn connect_node(&mut self, vm: VmId, attempt: AttemptKey, to: VmId, exchange: Exchange) {
        let incarnation = self.incarnation(vm);
        let delay = self.delay(vm, to);
        if let Some(process) = self.processes.get_mut(&vm) {
            process.exchanges.insert(attempt, exchange);
        }
        let alive = self.node(to).is_some();
        let connected = self.connected(vm, to);
        if connected && alive {
            self.schedule_after(Duration::ZERO, SimEvent::Sending(vm, incarnation, attempt));
        } else if connected {
            self.reply_after(2 * delay, vm, attempt, AttemptOutcome::NotSent);
        } else if self.rng.random_bool(0.5) {
            // Without an open connection, connecting times out.
            self.reply_after(CONNECT_TIMEOUT, vm, attempt, AttemptOutcome::NotSent);
        } else {
            // Only pings detect that an open connection is broken.
            self.schedule_after(Duration::ZERO, SimEvent::Sending(vm, incarnation, attempt));
        }
    }

    /// Schedules the reply to an attempt at its node.
    pub(super) fn reply_after(
        &mut self,
        span: Duration,
        vm: VmId,
        attempt: AttemptKey,
        reply: AttemptOutcome,
    ) {
        // The node received no part of a response, so none can be treated as complete.
        let reply = match self.mutation {
            Mutation::CutAsWhole => reply,
            mutation => mutation.reply(reply),
        };
        let incarnation = self.incarnation(vm);
        let event = Event::AttemptEnded(attempt, reply);
        self.schedule_after(span, SimEvent::Deliver(vm, incarnation, Box::new(event)));
    }

    pub(super) fn delay(&self, from: VmId, to: VmId) -> Duration {
        let regions = (self.processes[&from].region, self.processes[&to].region);
        let micros = self.platform.newest.delay(regions.0, regions.1);
        Duration::from_micros(micros) + REGION_DELAY
    }

    pub(super) fn connected(&self, from: VmId, to: VmId) -> bool {
        let of = |vm: VmId| (vm, self.processes[&vm].region);
        self.links.connected(of(from), of(to))
    }

    /// Sends the first byte of an attempt unless its node cancels it.
    pub(super) fn send_first_byte(&mut self, vm: VmId, attempt: AttemptKey) {
        let now = self.now;
        let incarnation = self.incarnation(vm);
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        if !process.exchanges.contains_key(&attempt) {
            return;
        }
        let local = process.local_time(now);
        let Some(node) = &mut process.node else {
            return;
        };
        let mut commands = Vec::new();
        node.handle(local, Event::Sending(attempt), &mut commands);
        let cancelled = Self::has_cancel(&commands, attempt);
        for command in commands {
            if !matches!(command, Command::Cancel(key) if key == attempt) {
                self.perform(vm, command);
            }
        }
        if cancelled {
            self.remove_exchange(vm, attempt);
            self.reply_after(Duration::ZERO, vm, attempt, AttemptOutcome::NotSent);
            return;
        }
        let allowed = self.allowed_for(vm, attempt);
        let Some(exchange) = self.exchange(vm, attempt) else {
            return;
        };
        exchange.sent = true;
        exchange.allowed = allowed;
        let exchange = exchange.clone();
        let timer = SimEvent::SilenceTimer(vm, incarnation, attempt);
        match exchange.to {
            Destination::Target(target) => {
                self.schedule_after(exchange.silence, timer);
                let arrive = SimEvent::TargetArrive(target, vm, incarnation, attempt);
                self.schedule_after(REGION_DELAY, arrive);
            }
            Destination::Node {
                vm: to,
                hops,
                revision,
                budget,
            } => {
                let Some(requester) = self.processes[&vm].tickets.get(&exchange.ticket) else {
                    return;
                };
                let request = requester.request();
                let arrive = SimEvent::PeerArrive {
                    to,
                    from: vm,
                    incarnation,
                    attempt,
                    request,
                    hops,
                    revision,
                    budget,
                };
                let delay = self.delay(vm, to);
                let delay = with_jitter(&mut self.rng, delay);
                self.schedule_after(delay, arrive);
            }
        }
    }

    /// Returns the regions that a node's configuration allows for the request of an attempt.
    fn allowed_for(&self, vm: VmId, attempt: AttemptKey) -> BTreeSet<seam_protocol::RegionId> {
        let process = &self.processes[&vm];
        let op = process
            .exchanges
            .get(&attempt)
            .and_then(|exchange| process.tickets.get(&exchange.ticket))
            .and_then(|requester| self.oracle.requests.get(&requester.request()))
            .map(|request| request.op);
        let Some(call) = op
            .and_then(|op| self.call_states.get(&op))
            .map(|call_state| call_state.call)
        else {
            return BTreeSet::new();
        };
        self.allowed(vm, call.customer, call.service)
    }

    pub(super) fn exchange(&mut self, vm: VmId, attempt: AttemptKey) -> Option<&mut Exchange> {
        self.processes.get_mut(&vm)?.exchanges.get_mut(&attempt)
    }

    fn remove_exchange(&mut self, vm: VmId, attempt: AttemptKey) -> Option<Exchange> {
        self.processes.get_mut(&vm)?.exchanges.remove(&attempt)
    }

    /// Cancels an attempt and replies "not sent", or "broken" if it was sent.
    fn cancel(&mut self, vm: VmId, attempt: AttemptKey) {
        let Some(exchange) = self.remove_exchange(vm, attempt) else {
            return;
        };
        let incarnation = self.incarnation(vm);
        match exchange.to {
            Destination::Target(target) => {
                if let Some(run) = exchange.run {
                    self.cancel_run(target, run);
                }
            }
            Destination::Node { vm: to, .. } if exchange.sent => {
                let delay = self.delay(vm, to);
                let cancel = SimEvent::PeerCancel {
                    to,
                    from: vm,
                    incarnation,
                    attempt,
                };
                self.schedule_after(delay, cancel);
            }
            Destination::Node { .. } => {}
        }
        let reply = if exchange.sent && self.mutation != Mutation::CancelledAsNotSent {
            AttemptOutcome::Broken { started: false }
        } else {
            AttemptOutcome::NotSent
        };
        self.reply_after(Duration::ZERO, vm, attempt, reply);
    }

    pub(super) fn silence_timer(&mut self, vm: VmId, attempt: AttemptKey) {
        let Some(exchange) = self.exchange(vm, attempt) else {
            return;
        };
        let silence = exchange.silence;
        // A running engine sends progress, so only a silent connection sends nothing.
        let silent = exchange.silent;
        if silent {
            self.handle(vm, Event::Silent(attempt));
        }
        let incarnation = self.incarnation(vm);
        self.schedule_after(silence, SimEvent::SilenceTimer(vm, incarnation, attempt));
    }

    fn probe(&mut self, vm: VmId, target: seam_protocol::TargetId) {
        let accepted = self
            .targets
            .get(&target)
            .is_some_and(|fake| fake.accepts(self.now));
        let incarnation = self.incarnation(vm);
        let event = Event::Probed { target, accepted };
        self.schedule_after(
            2 * REGION_DELAY,
            SimEvent::Deliver(vm, incarnation, Box::new(event)),
        );
    }

    fn send_heartbeat(&mut self, from: VmId, to: VmId, heartbeat: Heartbeat) {
        self.counters.heartbeats += 1;
        self.counters.heartbeat_bytes += heartbeat.encode().len() as u64 + HEADER_BYTES;
        let lost = self.links.loss > 0.0 && self.rng.random_bool(self.links.loss);
        if lost || !self.processes.contains_key(&to) || !self.connected(from, to) {
            return;
        }
        let delay = self.delay(from, to);
        let delay = with_jitter(&mut self.rng, delay);
        let incarnation = self.incarnation(to);
        let event = Event::Heartbeat(Box::new(heartbeat));
        self.schedule_after(delay, SimEvent::Deliver(to, incarnation, Box::new(event)));
    }

    /// Sends a refusal to the caller or node that waits for a ticket.
    fn refuse(&mut self, vm: VmId, ticket: Ticket, refusal: Refusal) {
        let Some(requester) = self.processes[&vm].tickets.get(&ticket).copied() else {
            return;
        };
        match requester {
            Requester::Caller(request) => {
                self.finish_request(request, refusal.outcome, None, Some(refusal));
            }
            Requester::Peer { .. } => {
                let reply = match refusal.outcome {
                    Outcome::NotRun => AttemptOutcome::Refused(refusal),
                    Outcome::Unknown | Outcome::Complete => AttemptOutcome::OutcomeUnknown(refusal),
                };
                self.respond_to_peer(vm, requester, reply, None);
            }
        }
    }

    /// Delivers a complete response to the caller or node that waits for a ticket.
    pub(super) fn deliver_response(&mut self, vm: VmId, ticket: Ticket, run: RunId) {
        let Some(requester) = self.processes[&vm].tickets.get(&ticket).copied() else {
            return;
        };
        match requester {
            Requester::Caller(request) => {
                if self.claims_no_run(vm, request, run) {
                    self.finish_request(request, Outcome::NotRun, None, None);
                } else {
                    self.finish_request(request, Outcome::Complete, Some(run), None);
                }
            }
            Requester::Peer { .. } => {
                let reply = AttemptOutcome::Complete {
                    response: None,
                    success: true,
                };
                self.respond_to_peer(vm, requester, reply, Some(run));
            }
        }
    }

    /// Returns whether a response says by its status that the request was not run. Nodes replace the
    /// status of such a failure, unless a mutation prevents it.
    fn claims_no_run(&self, vm: VmId, request: crate::SendingId, run: RunId) -> bool {
        let Mutation::KeepStatus(kept) = self.mutation else {
            return false;
        };
        let Some(run_state) = self.run_states.get(&run).filter(|state| state.failed) else {
            return false;
        };
        let op = self.oracle.requests[&request].op;
        let mut runs = self.oracle.ops[&op].runs.iter();
        let retried = runs.any(|id| *id != run && self.oracle.runs[id].request == request);
        let path = if retried {
            ResponsePath::Retried
        } else if run_state.vm == vm {
            ResponsePath::Direct
        } else if self.oracle.runs[&run].region == self.processes[&vm].region {
            ResponsePath::SameRegion
        } else {
            ResponsePath::OtherRegion
        };
        path == kept
    }

    fn respond_to_peer(
        &mut self,
        from: VmId,
        requester: Requester,
        reply: AttemptOutcome,
        run: Option<RunId>,
    ) {
        let Requester::Peer {
            vm,
            incarnation,
            attempt,
            ..
        } = requester
        else {
            return;
        };
        if !self.processes.contains_key(&vm) {
            return;
        }
        let delay = self.delay(from, vm);
        let delay = with_jitter(&mut self.rng, delay);
        if !self.connected(from, vm) {
            if self.is_current(vm, incarnation) {
                self.reply_after(
                    PING_TIMEOUT,
                    vm,
                    attempt,
                    AttemptOutcome::Broken { started: false },
                );
            }
            return;
        }
        let sim_event = match run {
            Some(run) => SimEvent::PeerResponse {
                vm,
                incarnation,
                attempt,
                run,
            },
            None => SimEvent::Deliver(
                vm,
                incarnation,
                Box::new(Event::AttemptEnded(attempt, reply)),
            ),
        };
        self.schedule_after(delay, sim_event);
    }

    /// Handles an event on the link between two nodes.
    pub(super) fn dispatch_peer(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::PeerArrive {
                to,
                from,
                incarnation,
                attempt,
                request,
                hops,
                revision,
                budget,
            } => {
                let lost = !self.connected(from, to);
                if lost || self.node(to).is_none() {
                    if self.is_current(from, incarnation) {
                        let span = if lost { PING_TIMEOUT } else { REGION_DELAY };
                        self.reply_after(
                            span,
                            from,
                            attempt,
                            AttemptOutcome::Broken { started: false },
                        );
                    }
                    return;
                }
                let requester = Requester::Peer {
                    vm: from,
                    incarnation,
                    attempt,
                    request,
                };
                let origin = Origin::Peer { hops, revision };
                self.arrive(to, requester, origin, budget);
            }
            SimEvent::PeerCancel {
                to,
                from,
                incarnation,
                attempt,
            } => {
                let ticket = self.processes[&to].tickets.iter().find_map(|(ticket, requester)| {
                    let same = matches!(requester, Requester::Peer { vm, incarnation: i, attempt: a, .. }
                        if (*vm, *i, *a) == (from, incarnation, attempt));
                    same.then_some(*ticket)
                });
                if let Some(ticket) = ticket
                    && self.connected(from, to)
                {
                    self.handle(to, Event::CallerGone(ticket));
                }
            }
            SimEvent::PeerResponse {
                vm,
                incarnation,
                attempt,
                run,
            } => {
                if !self.is_current(vm, incarnation) {
                    return;
                }
                if let Some(exchange) = self.remove_exchange(vm, attempt) {
                    self.deliver_response(vm, exchange.ticket, run);
                    let failed = self.run_states.get(&run).is_some_and(|state| state.failed);
                    let reply = AttemptOutcome::Complete {
                        response: None,
                        success: !failed,
                    };
                    self.handle(vm, Event::AttemptEnded(attempt, reply));
                }
            }
            _ => {}
        }
    }

    /// Passes a request to a node.
    pub(super) fn arrive(
        &mut self,
        vm: VmId,
        requester: Requester,
        origin: Origin,
        budget: Duration,
    ) {
        let request = requester.request();
        let Some(op) = self.oracle.requests.get(&request).map(|request| request.op) else {
            return;
        };
        let call_state = self.call_states[&op].clone();
        let ticket = Ticket(self.next_id());
        if let Some(process) = self.processes.get_mut(&vm) {
            process.tickets.insert(ticket, requester);
        }
        let mut arrival = Arrival {
            ticket,
            origin,
            customer: call_state.call.customer,
            service: call_state.call.service,
            repeatable: call_state.call.repeatable,
            replayable: true,
            key: call_state.key(op),
            fingerprint: call_state.fingerprint,
            attributes: Vec::new(),
            prefix: call_state.call.prefix,
            budget,
            tenant: None,
            route: None,
            prompt: None,
            stream: None,
        };
        self.mutation.arrival(&mut arrival);
        self.handle(vm, Event::Arrive(arrival));
    }
}
