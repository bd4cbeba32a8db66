//! Attempts of requests: runs at targets, and transfers to other nodes.

use std::time::Duration;

use seam_core::{Arrival, AttemptKey, AttemptOutcome, Command, Event, Origin, Refusal, Ticket};
use seam_protocol::{HostRoute, Outcome, Reason, ServiceId, Time};

use crate::callers::rules;
use crate::fleet::{PLAIN, address, arrival};
use crate::mutants::InjectedFault;
use crate::oracle::{APPLY_TIME, Handling};
use crate::readers::Fetch;
use crate::versions::{HOST, REGIONS, prefix, route_customer};
use crate::world::Simulation;

/// Usual time of a run.
const RUN_TIME: Duration = Duration::from_millis(20);
/// Time beyond which a request that has not run has waited in a queue.
const QUEUED_AFTER: Duration = Duration::from_millis(300);
/// Time after which a request may come back that a node refused by its version.
const REFUSED_FOR: Duration = Duration::from_secs(1);
/// An attempt that ends without a response after something may have been sent.
const BROKEN: AttemptOutcome = AttemptOutcome::Broken { started: false };

/// A request that one node forwards to another.
pub struct Transfer {
    from: usize,
    attempt: AttemptKey,
    /// Ticket of the caller's request.
    root: u64,
    to: usize,
    /// Ticket at the other node.
    ticket: u64,
    at: Time,
    /// The request, until it has arrived.
    arrival: Option<Arrival>,
}

/// The end of an attempt at another node, on its way back.
pub struct Reply {
    ticket: u64,
    at: Time,
    outcome: AttemptOutcome,
}

/// A run at a target.
pub struct Run {
    node: usize,
    attempt: AttemptKey,
    ticket: u64,
    ends: Time,
}

impl Simulation {
    /// Passes on what is due: requests, forwarded ones, ends of runs, and replies.
    pub fn pass_on(&mut self) {
        self.arrive();
        self.collect();
        self.deliver_transfers();
        self.collect();
        self.end_runs();
        self.collect();
        self.deliver_replies();
        self.collect();
        self.end_overdue();
    }

    /// Carries out commands until none is left.
    pub fn collect(&mut self) {
        while !self.fleet.commands.is_empty() {
            for (node, command) in std::mem::take(&mut self.fleet.commands) {
                self.execute(node, command);
            }
        }
    }

    fn execute(&mut self, node: usize, command: Command) {
        match command {
            Command::Send {
                ticket,
                attempt,
                service,
                ..
            } => self.run(node, ticket.0, attempt, service),
            Command::Forward { .. } => self.forward(node, command),
            Command::Cancel(attempt) => self.cancel(node, attempt),
            Command::Refuse { ticket, refusal } => match self.transfer(ticket.0) {
                Some(index) => self.reply_refused(index, refusal),
                None => self.end_refused(ticket.0, refusal),
            },
            Command::Probe { target, .. } => {
                let accepted = true;
                self.fleet.handle(node, Event::Probed { target, accepted });
            }
            Command::Heartbeat {
                address: to,
                heartbeat,
                ..
            } => self.send_heartbeat(node, to, heartbeat),
            Command::FetchItems {
                address: from,
                since,
                source,
                ..
            } => {
                let from = (0..self.nodes.len()).find(|other| address(*other) == from);
                self.fetches.extend(from.map(|from| Fetch {
                    node,
                    from,
                    since,
                    source,
                    begun: self.fleet.now,
                    batch: None,
                }));
            }
            _ => {}
        }
    }

    /// Returns whether a node still sends an attempt, and reports it as not sent if not.
    fn authorized(&mut self, node: usize, attempt: AttemptKey) -> bool {
        self.fleet.handle(node, Event::Sending(attempt));
        let cancels = |(index, command): &(usize, Command)| {
            *index == node && matches!(command, Command::Cancel(other) if *other == attempt)
        };
        let Some(cancel) = self.fleet.commands.iter().position(cancels) else {
            return true;
        };
        self.fleet.commands.remove(cancel);
        let unsent = Event::AttemptEnded(attempt, AttemptOutcome::NotSent);
        self.fleet.handle(node, unsent);
        false
    }

    /// Returns the transfer that brought a request to a node.
    fn transfer(&self, ticket: u64) -> Option<usize> {
        let mut transfers = self.traffic.transfers.iter();
        transfers.position(|transfer| transfer.ticket == ticket)
    }

    /// Runs a request at a target in the region of a node.
    fn run(&mut self, node: usize, ticket: u64, attempt: AttemptKey, service: ServiceId) {
        if !self.authorized(node, attempt) {
            return;
        }
        let now = self.fleet.now;
        let transfer = self.transfer(ticket);
        let root = transfer.map_or(ticket, |index| self.traffic.transfers[index].root);
        if let Some(request) = self.traffic.open.remove(&root) {
            self.judge(&request, Handling::Run(service));
            self.judge(&request, Handling::RunIn(self.region(node)));
            self.judge(&request, Handling::RunBy(service, self.region(node)));
            let counts = &mut self.traffic.counts;
            counts.runs += 1;
            counts.forwarded += u64::from(transfer.is_some());
            counts.in_time += u64::from(request.bound == Some(APPLY_TIME));
            counts.longer += u64::from(request.bound > Some(APPLY_TIME));
            let waited = request.passed.map(|passed| now.since(passed));
            counts.queued += u64::from(waited > Some(QUEUED_AFTER));
            self.traffic.open.insert(root, request);
        }
        let time = self.traffic.run_times.get(&service).copied();
        self.traffic.runs.push(Run {
            node,
            attempt,
            ticket,
            ends: now + time.unwrap_or(RUN_TIME),
        });
    }

    /// Ends runs whose time has come.
    fn end_runs(&mut self) {
        let now = self.fleet.now;
        for run in std::mem::take(&mut self.traffic.runs) {
            if run.ends > now || self.fleet.down[run.node] {
                self.traffic.runs.push(run);
                continue;
            }
            self.fleet.complete(run.node, run.attempt);
            match self.transfer(run.ticket) {
                Some(index) => {
                    let outcome = AttemptOutcome::Complete {
                        response: None,
                        success: true,
                    };
                    self.reply(index, outcome);
                }
                None => self.answer(run.ticket),
            }
        }
    }

    /// Forwards a request as its node decided.
    fn forward(&mut self, node: usize, command: Command) {
        let Command::Forward {
            ticket,
            attempt,
            address: to,
            hops,
            revision,
            budget,
            ..
        } = command
        else {
            return;
        };
        let to = (0..self.nodes.len()).find(|other| address(*other) == to);
        let request = self.traffic.open.get(&ticket.0);
        let decision = request.and_then(|request| request.decision);
        let Some((to, decision)) = to.zip(decision) else {
            return;
        };
        if !self.authorized(node, attempt) {
            return;
        }
        let to = self.destination(node, to);
        if let Some(request) = self.traffic.open.remove(&ticket.0) {
            self.judge(&request, Handling::BodyIn(self.region(to)));
            self.traffic.open.insert(ticket.0, request);
        }
        self.traffic.tickets += 1;
        let remote = self.traffic.tickets;
        let arrival = Arrival {
            ticket: Ticket(remote),
            origin: Origin::Peer { hops, revision },
            customer: decision.customer,
            service: decision.service,
            budget,
            ..arrival(remote, "", PLAIN, 1)
        };
        self.traffic.transfers.push(Transfer {
            from: node,
            attempt,
            root: ticket.0,
            to,
            ticket: remote,
            at: self.fleet.now + self.latency(node, to),
            arrival: Some(arrival),
        });
    }

    /// Returns the node to which a request is forwarded that its node sends to `to`.
    fn destination(&self, node: usize, to: usize) -> usize {
        if self.fault != InjectedFault::ForwardElsewhere {
            return to;
        }
        let regions = [self.region(node), self.region(to)];
        let third = (0..REGIONS.len()).find(|region| !regions.contains(region));
        self.nodes_in(third.unwrap_or(regions[1]))
            .first()
            .copied()
            .unwrap_or(to)
    }

    /// Delivers forwarded requests. The other node finds the route itself.
    fn deliver_transfers(&mut self) {
        let now = self.fleet.now;
        for index in 0..self.traffic.transfers.len() {
            let transfer = &mut self.traffic.transfers[index];
            let (from, to, ticket) = (transfer.from, transfer.to, transfer.ticket);
            if transfer.at > now || self.fleet.down[to] {
                continue;
            }
            if transfer.arrival.is_some() && !self.fleet.connected(from, to) {
                transfer.arrival = None;
                self.reply(index, AttemptOutcome::NotSent);
                continue;
            }
            let root = transfer.root;
            let Some(arrival) = transfer.arrival.take() else {
                continue;
            };
            let request = self.traffic.open.get(&root);
            let path = request.map(|request| prefix(request.route));
            let bundle = self.fleet.nodes[to].bundle();
            let found = path.zip(bundle);
            let matched = found.and_then(|(path, bundle)| bundle.routes.find(HOST, &path));
            debug_assert_eq!(arrival.ticket, Ticket(ticket));
            let arrival = match matched {
                Some(route) if self.names_older_service(to, route, &arrival) => {
                    let refusal = Refusal::not_run(Reason::Revision);
                    self.reply_refused(index, refusal.with_retry_after(REFUSED_FOR));
                    continue;
                }
                Some(route) => Arrival {
                    tenant: None,
                    route: Some(rules(route)),
                    customer: route_customer(route, self.fault),
                    ..arrival
                },
                None => arrival,
            };
            self.fleet.arrive(to, arrival);
        }
    }

    /// Returns whether a node has a version no older than the sender's, in which a route has another
    /// service.
    fn names_older_service(&self, node: usize, route: &HostRoute, arrival: &Arrival) -> bool {
        let own = self.fleet.nodes[node].config_version().revision;
        let Origin::Peer { revision, .. } = arrival.origin else {
            return false;
        };
        revision <= own && route.service(0) != Some(arrival.service)
    }

    fn reply_refused(&mut self, index: usize, refusal: Refusal) {
        let by_revision = refusal.reason == Reason::Revision;
        if by_revision && self.fault == InjectedFault::PassRefusals {
            let root = self.traffic.transfers[index].root;
            self.end_refused(root, Refusal::not_run(Reason::Residency));
        }
        let outcome = match refusal.outcome {
            Outcome::NotRun => AttemptOutcome::Refused(refusal),
            Outcome::Unknown | Outcome::Complete => AttemptOutcome::OutcomeUnknown(refusal),
        };
        self.reply(index, outcome);
    }

    /// Sends the end of an attempt back to the node that forwarded the request.
    fn reply(&mut self, index: usize, outcome: AttemptOutcome) {
        let Transfer {
            from, to, ticket, ..
        } = self.traffic.transfers[index];
        let at = self.fleet.now + self.latency(from, to);
        self.traffic.replies.push(Reply {
            ticket,
            at,
            outcome,
        });
    }

    fn deliver_replies(&mut self) {
        let now = self.fleet.now;
        for reply in std::mem::take(&mut self.traffic.replies) {
            let Some(index) = self.transfer(reply.ticket) else {
                continue;
            };
            let Transfer {
                from, to, attempt, ..
            } = self.traffic.transfers[index];
            let unsent = matches!(reply.outcome, AttemptOutcome::NotSent);
            let arrives = unsent || self.fleet.connected(from, to);
            if reply.at > now || self.fleet.down[from] || !arrives {
                self.traffic.replies.push(reply);
                continue;
            }
            let transfer = self.traffic.transfers.remove(index);
            if matches!(reply.outcome, AttemptOutcome::Complete { .. }) {
                self.fleet.complete(from, attempt);
                self.answer(transfer.root);
            } else {
                let ended = Event::AttemptEnded(attempt, reply.outcome);
                self.fleet.handle(from, ended);
            }
        }
    }

    /// Stops an attempt of a node.
    fn cancel(&mut self, node: usize, attempt: AttemptKey) {
        let own = |run: &Run| run.node == node && run.attempt == attempt;
        self.traffic.runs.retain(|run| !own(run));
        let mut transfers = self.traffic.transfers.iter();
        let forwarded = transfers.position(|other| other.from == node && other.attempt == attempt);
        if let Some(index) = forwarded {
            let transfer = self.traffic.transfers.remove(index);
            if transfer.arrival.is_none() && !self.fleet.down[transfer.to] {
                let gone = Event::CallerGone(Ticket(transfer.ticket));
                self.fleet.handle(transfer.to, gone);
            }
        }
        self.fleet
            .handle(node, Event::AttemptEnded(attempt, BROKEN));
    }

    /// Drops what a node that restarts held.
    pub fn drop_requests(&mut self, node: usize) {
        let traffic = &mut self.traffic;
        traffic.open.retain(|_, request| request.node != node);
        traffic.runs.retain(|run| run.node != node);
        let transfers = std::mem::take(&mut traffic.transfers);
        for transfer in transfers {
            if transfer.to == node && !self.fleet.down[transfer.from] {
                let ended = Event::AttemptEnded(transfer.attempt, BROKEN);
                self.fleet.handle(transfer.from, ended);
            } else if transfer.to != node && transfer.from != node {
                self.traffic.transfers.push(transfer);
            }
        }
    }
}
