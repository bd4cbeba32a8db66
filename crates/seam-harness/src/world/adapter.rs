//! Carries out a node's commands, as the adapters of a real process do.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use seam_core::{Arrival, AttemptKey, Command, Event, Origin, Refusal, Reply, Ticket};
use seam_protocol::{Heartbeat, Incarnation, Outcome, VmId};

use super::{Flight, Goal, Happening, RunId, Via, World};
use crate::link::{NEAR, spread};
use crate::oracle::Breach;
use crate::tamper::Tamper;

/// Time after which a connection that is not accepted is given up.
const CONNECT: Duration = Duration::from_secs(2);
/// Time after which pings find a connection dead.
const PINGS: Duration = Duration::from_secs(10);
/// Bytes of MAC and UDP headers around a heartbeat.
const AROUND: u64 = 16 + 28;

impl World {
    pub(super) fn perform(&mut self, vm: VmId, mut command: Command) {
        if self.tamper != Tamper::None {
            let elsewhere = self.target_elsewhere(vm, &command);
            if !self.tamper.command(&mut command, elsewhere) {
                return;
            }
        }
        match command {
            Command::Send {
                ticket,
                attempt,
                target,
                silence,
                keep_response: keep,
                ..
            } => {
                let flight = Flight {
                    ticket,
                    to: Goal::Target(target),
                    sent: false,
                    run: None,
                    mute: false,
                    silence,
                    keep,
                    allowed: BTreeSet::new(),
                };
                self.connect_target(vm, attempt, target, flight);
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
                let flight = Flight {
                    ticket,
                    to: Goal::Node {
                        vm: to,
                        hops,
                        revision,
                        budget,
                    },
                    sent: false,
                    run: None,
                    mute: false,
                    silence: budget,
                    keep: false,
                    allowed: BTreeSet::new(),
                };
                self.connect_node(vm, attempt, to, flight);
            }
            Command::Refuse { ticket, refusal } => self.refuse(vm, ticket, refusal),
            Command::Replay {
                ticket,
                response: answer,
            } => {
                let mut bytes = [0; 8];
                bytes.copy_from_slice(&answer.body[..8]);
                self.deliver(vm, ticket, RunId(u64::from_be_bytes(bytes)));
            }
            Command::Done(ticket) => {
                if let Some(slot) = self.slots.get_mut(&vm) {
                    slot.tickets.remove(&ticket);
                }
            }
            Command::Cancel(attempt) => self.cancel(vm, attempt),
            Command::Probe { target, .. } => self.probe(vm, target),
            Command::Heartbeat {
                to,
                heartbeat: beat,
                ..
            } => self.beat(vm, to, *beat),
            Command::FetchManifest { from, .. } => self.fetch(vm, from),

            Command::Order { target, fence, .. } => {
                self.orders.push((self.now, target, fence));
            }
            // Worlds publish bundles, and their targets answer without errors of their own.
            Command::Audit(_)
            | Command::LogRouting { .. }
            | Command::FetchItems { .. }
            | Command::Discard(_) => {}
        }
    }

    /// A request that another node handed in must not be handed on.
    fn check_path(&mut self, vm: VmId, ticket: Ticket) {
        if let Some(Via::Peer { sending, .. }) = self.slots[&vm].tickets.get(&ticket) {
            let breach = Breach::Loop(*sending);
            self.oracle.breach(breach);
        }
    }

    fn incarnation(&self, vm: VmId) -> Incarnation {
        self.slots[&vm].incarnation
    }

    fn connect_target(
        &mut self,
        vm: VmId,
        attempt: AttemptKey,
        target: seam_protocol::TargetId,
        flight: Flight,
    ) {
        let incarnation = self.incarnation(vm);
        let accepts = self
            .targets
            .get(&target)
            .is_some_and(|fake| fake.accepts(self.now));
        if let Some(slot) = self.slots.get_mut(&vm) {
            slot.flights.insert(attempt, flight);
        }
        if accepts {
            self.after(2 * NEAR, Happening::Sending(vm, incarnation, attempt));
        } else {
            self.reply_after(2 * NEAR, vm, attempt, Reply::NotSent);
        }
    }

    fn connect_node(&mut self, vm: VmId, attempt: AttemptKey, to: VmId, flight: Flight) {
        let incarnation = self.incarnation(vm);
        let delay = self.delay(vm, to);
        if let Some(slot) = self.slots.get_mut(&vm) {
            slot.flights.insert(attempt, flight);
        }
        let alive = self.node(to).is_some();
        let open = self.open(vm, to);
        if open && alive {
            self.after(Duration::ZERO, Happening::Sending(vm, incarnation, attempt));
        } else if open {
            self.reply_after(2 * delay, vm, attempt, Reply::NotSent);
        } else if self.rng.random_bool(0.5) {
            // No connection was open, and none can be made.
            self.reply_after(CONNECT, vm, attempt, Reply::NotSent);
        } else {
            // The open connection leads nowhere, which only pings find out.
            self.after(Duration::ZERO, Happening::Sending(vm, incarnation, attempt));
        }
    }

    /// Schedules the end of an attempt at its node.
    pub(super) fn reply_after(
        &mut self,
        span: Duration,
        vm: VmId,
        attempt: AttemptKey,
        reply: Reply,
    ) {
        // An exchange that ends here passed no part of an answer that could count as whole.
        let reply = match self.tamper {
            Tamper::CutAsWhole => reply,
            tamper => tamper.reply(reply),
        };
        let incarnation = self.incarnation(vm);
        let event = Event::Reply(attempt, reply);
        self.after(span, Happening::Deliver(vm, incarnation, event));
    }

    pub(super) fn delay(&self, from: VmId, to: VmId) -> Duration {
        let regions = (self.slots[&from].region, self.slots[&to].region);
        let micros = self.platform.newest.delay(regions.0, regions.1);
        Duration::from_micros(micros) + NEAR
    }

    pub(super) fn open(&self, from: VmId, to: VmId) -> bool {
        let of = |vm: VmId| (vm, self.slots[&vm].region);
        self.links.open(of(from), of(to))
    }

    /// The adapter is about to send the first byte.
    pub(super) fn sending(&mut self, vm: VmId, attempt: AttemptKey) {
        let now = self.now;
        let incarnation = self.incarnation(vm);
        let Some(slot) = self.slots.get_mut(&vm) else {
            return;
        };
        if !slot.flights.contains_key(&attempt) {
            return;
        }
        let local = slot.local(now);
        let Some(node) = &mut slot.node else {
            return;
        };
        let mut commands = Vec::new();
        node.handle(local, Event::Sending(attempt), &mut commands);
        let stopped = Self::cancel_command(&commands, attempt);
        for command in commands {
            if !matches!(command, Command::Cancel(key) if key == attempt) {
                self.perform(vm, command);
            }
        }
        if stopped {
            self.drop_flight(vm, attempt);
            self.reply_after(Duration::ZERO, vm, attempt, Reply::NotSent);
            return;
        }
        let allowed = self.allowed_for(vm, attempt);
        let Some(flight) = self.flight(vm, attempt) else {
            return;
        };
        flight.sent = true;
        flight.allowed = allowed;
        let flight = flight.clone();
        let timer = Happening::SilenceTimer(vm, incarnation, attempt);
        match flight.to {
            Goal::Target(target) => {
                self.after(flight.silence, timer);
                let arrive = Happening::TargetArrive(target, vm, incarnation, attempt);
                self.after(NEAR, arrive);
            }
            Goal::Node {
                vm: to,
                hops,
                revision,
                budget,
            } => {
                let Some(via) = self.slots[&vm].tickets.get(&flight.ticket) else {
                    return;
                };
                let sending = via.sending();
                let arrive = Happening::PeerArrive {
                    to,
                    from: vm,
                    incarnation,
                    attempt,
                    sending,
                    hops,
                    revision,
                    budget,
                };
                let delay = self.delay(vm, to);
                let delay = spread(&mut self.rng, delay);
                self.after(delay, arrive);
            }
        }
    }

    /// Returns the regions that a node's configuration allows an attempt's request now.
    fn allowed_for(&self, vm: VmId, attempt: AttemptKey) -> BTreeSet<seam_protocol::RegionId> {
        let slot = &self.slots[&vm];
        let op = slot
            .flights
            .get(&attempt)
            .and_then(|flight| slot.tickets.get(&flight.ticket))
            .and_then(|via| self.oracle.sendings.get(&via.sending()))
            .map(|sending| sending.op);
        let Some(call) = op.and_then(|op| self.wishes.get(&op)).map(|wish| wish.call) else {
            return BTreeSet::new();
        };
        self.allowed(vm, call.customer, call.service)
    }

    pub(super) fn flight(&mut self, vm: VmId, attempt: AttemptKey) -> Option<&mut Flight> {
        self.slots.get_mut(&vm)?.flights.get_mut(&attempt)
    }

    fn drop_flight(&mut self, vm: VmId, attempt: AttemptKey) -> Option<Flight> {
        self.slots.get_mut(&vm)?.flights.remove(&attempt)
    }

    /// Stops an attempt and reports what is certain of it.
    fn cancel(&mut self, vm: VmId, attempt: AttemptKey) {
        let Some(flight) = self.drop_flight(vm, attempt) else {
            return;
        };
        let incarnation = self.incarnation(vm);
        match flight.to {
            Goal::Target(target) => {
                if let Some(run) = flight.run {
                    self.cancel_run(target, run);
                }
            }
            Goal::Node { vm: to, .. } if flight.sent => {
                let delay = self.delay(vm, to);
                let gone = Happening::PeerGone {
                    to,
                    from: vm,
                    incarnation,
                    attempt,
                };
                self.after(delay, gone);
            }
            Goal::Node { .. } => {}
        }
        let reply = if flight.sent {
            Reply::Broken { started: false }
        } else {
            Reply::NotSent
        };
        self.reply_after(Duration::ZERO, vm, attempt, reply);
    }

    pub(super) fn silence_timer(&mut self, vm: VmId, attempt: AttemptKey) {
        let Some(flight) = self.flight(vm, attempt) else {
            return;
        };
        let silence = flight.silence;
        // An engine that still computes sends progress; only a mute connection sends nothing.
        let quiet = flight.mute;
        if quiet {
            self.handle(vm, Event::Silent(attempt));
        }
        let incarnation = self.incarnation(vm);
        self.after(silence, Happening::SilenceTimer(vm, incarnation, attempt));
    }

    fn probe(&mut self, vm: VmId, target: seam_protocol::TargetId) {
        let accepted = self
            .targets
            .get(&target)
            .is_some_and(|fake| fake.accepts(self.now));
        let incarnation = self.incarnation(vm);
        let event = Event::Probed { target, accepted };
        self.after(2 * NEAR, Happening::Deliver(vm, incarnation, event));
    }

    fn beat(&mut self, from: VmId, to: VmId, beat: Heartbeat) {
        self.counts.beats += 1;
        self.counts.beat_bytes += beat.encode().len() as u64 + AROUND;
        let lost = self.links.loss > 0.0 && self.rng.random_bool(self.links.loss);
        if lost || !self.slots.contains_key(&to) || !self.open(from, to) {
            return;
        }
        let delay = self.delay(from, to);
        let delay = spread(&mut self.rng, delay);
        let incarnation = self.incarnation(to);
        let event = Event::Heartbeat(beat);
        self.after(delay, Happening::Deliver(to, incarnation, event));
    }

    /// Answers a caller or node with a refusal.
    fn refuse(&mut self, vm: VmId, ticket: Ticket, refusal: Refusal) {
        let Some(via) = self.slots[&vm].tickets.get(&ticket).copied() else {
            return;
        };
        match via {
            Via::Caller(sending) => self.tell(sending, refusal.outcome, None, Some(refusal)),
            Via::Peer { .. } => {
                let reply = match refusal.outcome {
                    Outcome::NotRun => Reply::Refused(refusal),
                    Outcome::Unknown | Outcome::Complete => Reply::OutcomeUnknown(refusal),
                };
                self.answer_peer(vm, via, reply, None);
            }
        }
    }

    /// Passes a whole answer on to whoever waits for a ticket.
    pub(super) fn deliver(&mut self, vm: VmId, ticket: Ticket, run: RunId) {
        let Some(via) = self.slots[&vm].tickets.get(&ticket).copied() else {
            return;
        };
        match via {
            Via::Caller(sending) => self.tell(sending, Outcome::Complete, Some(run), None),
            Via::Peer { .. } => {
                let reply = Reply::Complete { response: None };
                self.answer_peer(vm, via, reply, Some(run));
            }
        }
    }

    fn answer_peer(&mut self, from: VmId, via: Via, reply: Reply, run: Option<RunId>) {
        let Via::Peer {
            vm,
            incarnation,
            attempt,
            ..
        } = via
        else {
            return;
        };
        if !self.slots.contains_key(&vm) {
            return;
        }
        let delay = self.delay(from, vm);
        let delay = spread(&mut self.rng, delay);
        if !self.open(from, vm) {
            if self.same(vm, incarnation) {
                self.reply_after(PINGS, vm, attempt, Reply::Broken { started: false });
            }
            return;
        }
        let happening = match run {
            Some(run) => Happening::PeerWhole {
                vm,
                incarnation,
                attempt,
                run,
            },
            None => Happening::Deliver(vm, incarnation, Event::Reply(attempt, reply)),
        };
        self.after(delay, happening);
    }

    /// What happens on the link between two nodes.
    pub(super) fn peer(&mut self, happening: Happening) {
        match happening {
            Happening::PeerArrive {
                to,
                from,
                incarnation,
                attempt,
                sending,
                hops,
                revision,
                budget,
            } => {
                let lost = !self.open(from, to);
                if lost || self.node(to).is_none() {
                    if self.same(from, incarnation) {
                        let span = if lost { PINGS } else { NEAR };
                        self.reply_after(span, from, attempt, Reply::Broken { started: false });
                    }
                    return;
                }
                let via = Via::Peer {
                    vm: from,
                    incarnation,
                    attempt,
                    sending,
                };
                let origin = Origin::Peer { hops, revision };
                self.arrive(to, via, origin, budget);
            }
            Happening::PeerGone {
                to,
                from,
                incarnation,
                attempt,
            } => {
                let ticket = self.slots[&to].tickets.iter().find_map(|(ticket, via)| {
                    let same = matches!(via, Via::Peer { vm, incarnation: i, attempt: a, .. }
                        if (*vm, *i, *a) == (from, incarnation, attempt));
                    same.then_some(*ticket)
                });
                if let Some(ticket) = ticket
                    && self.open(from, to)
                {
                    self.handle(to, Event::CallerGone(ticket));
                }
            }
            Happening::PeerWhole {
                vm,
                incarnation,
                attempt,
                run,
            } => {
                if !self.same(vm, incarnation) {
                    return;
                }
                if let Some(flight) = self.drop_flight(vm, attempt) {
                    self.deliver(vm, flight.ticket, run);
                    let reply = Reply::Complete { response: None };
                    self.handle(vm, Event::Reply(attempt, reply));
                }
            }
            _ => {}
        }
    }

    /// Hands a request to a node.
    pub(super) fn arrive(&mut self, vm: VmId, via: Via, origin: Origin, budget: Duration) {
        let sending = via.sending();
        let Some(op) = self.oracle.sendings.get(&sending).map(|sending| sending.op) else {
            return;
        };
        let wish = self.wishes[&op].clone();
        let ticket = Ticket(self.fresh());
        if let Some(slot) = self.slots.get_mut(&vm) {
            slot.tickets.insert(ticket, via);
        }
        let mut arrival = Arrival {
            ticket,
            origin,
            customer: wish.call.customer,
            service: wish.call.service,
            repeatable: wish.call.repeatable,
            replayable: true,
            key: wish.key(op),
            fingerprint: wish.fingerprint,
            prefix: wish.call.prefix,
            budget,
            route: None,
            prompt: None,
        };
        self.tamper.arrival(&mut arrival);
        self.handle(vm, Event::Arrive(arrival));
    }
}
