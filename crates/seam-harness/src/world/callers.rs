//! What callers send and hear.

use std::time::Duration;

use rand::RngExt;
use seam_core::{Event, IdempotencyKey, Node, Origin, Refusal};
use seam_protocol::{Fingerprint, Outcome, RegionId, Time, VmId};

use super::{Call, Happening, KeyChoice, OpId, RunId, SendingId, Via, Wish, World};
use crate::link::CALLER;
use crate::oracle::{Breach, Op};

use crate::traffic::Traffic;

/// Entries over which a customer's callers spread.
const FIRST_ENTRIES: usize = 3;

impl Wish {
    /// Returns the key that every sending of an operation carries.
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
    /// Makes a caller ask for a new operation. Returns `None` if no key could be had for it.
    pub fn call(&mut self, call: Call) -> Option<OpId> {
        let op = OpId(self.fresh());
        let now = self.now;
        let issued = match call.key {
            KeyChoice::Issued => {
                let slot = self.slots.get_mut(&call.vm)?;
                let local = slot.local(now);
                let awake = slot.asleep.is_none();
                let node = slot.node.as_mut().filter(|_| awake)?;
                Some(node.issue_key(local, call.customer)?)
            }
            KeyChoice::None | KeyChoice::Caller => None,
        };
        let region = self.slots.get(&call.vm)?.region;
        let wish = Wish {
            call,
            issued,
            fingerprint: Fingerprint(seam_protocol::id::rank(op.0, 0x6670)),
            region,
            since: now,
            counted: self.stats.counting,
        };
        self.wishes.insert(op, wish);
        let rule = Op {
            repeatable: call.repeatable,
            keyed: call.key != KeyChoice::None && !call.repeatable,
            runs: Vec::new(),
            sendings: Vec::new(),
        };
        self.oracle.ops.insert(op, rule);
        self.send(op, call.vm);
        Some(op)
    }

    /// Returns the time since an operation was first sent.
    #[must_use]
    pub fn age(&self, op: OpId) -> Duration {
        self.wishes
            .get(&op)
            .map_or(Duration::MAX, |wish| self.now.since(wish.since))
    }

    /// Makes a caller send an operation's request again, to any node.
    pub fn resend(&mut self, op: OpId, vm: VmId) {
        if self.wishes.contains_key(&op) {
            self.send(op, vm);
        }
    }

    fn send(&mut self, op: OpId, vm: VmId) {
        let sending = SendingId(self.fresh());
        let (call, counted) = (self.wishes[&op].call, self.wishes[&op].counted);
        let deadline = self.now + call.budget;
        self.oracle.sent(sending, op, deadline);
        let region = self.wishes[&op].region;
        if counted {
            self.stats
                .note(call.customer, region, |tally| tally.sent += 1);
        }
        self.after(CALLER, Happening::CallerArrive(vm, sending));
    }

    pub(super) fn caller_arrives(&mut self, vm: VmId, sending: SendingId) {
        if self.node(vm).is_none() {
            // The connection is refused, which tells the caller nothing of other sendings.
            self.oracle.excuse(sending);
            return;
        }
        let deadline = self.oracle.sendings[&sending].deadline;
        let budget = deadline.since(self.now);
        if budget.is_zero() {
            self.oracle.excuse(sending);
            return;
        }
        self.arrive(vm, Via::Caller(sending), Origin::Caller, budget);
    }

    /// Makes the caller of an operation's last sending leave.
    pub fn leave(&mut self, op: OpId) {
        let last = self.oracle.ops.get(&op).and_then(|op| op.sendings.last());
        let Some(sending) = last.copied() else {
            return;
        };
        self.oracle.excuse(sending);
        let found = self.slots.iter().find_map(|(vm, slot)| {
            let ticket = slot
                .tickets
                .iter()
                .find(|(_, via)| matches!(via, Via::Caller(other) if *other == sending));
            ticket.map(|(ticket, _)| (*vm, slot.incarnation, *ticket))
        });
        if let Some((vm, incarnation, ticket)) = found {
            let event = Event::CallerGone(ticket);
            self.after(Duration::ZERO, Happening::Deliver(vm, incarnation, event));
        }
    }

    pub(super) fn tell(
        &mut self,
        sending: SendingId,
        outcome: Outcome,
        run: Option<RunId>,
        refusal: Option<Refusal>,
    ) {
        let now = self.now;
        let known = &self.oracle.sendings[&sending];
        let (op, deadline, first) = (known.op, known.deadline, known.told.is_none());
        if let Some(run) = run
            && first
            && !self.places.get(&run).is_some_and(|place| place.finished)
        {
            self.oracle.breach(Breach::CutAsWhole(sending));
        }
        self.oracle.told(now, sending, outcome, run);
        if !first || !self.wishes[&op].counted {
            return;
        }
        let call = self.wishes[&op].call;
        let region = self.wishes[&op].region;
        let ran_in = run
            .and_then(|run| self.oracle.runs.get(&run))
            .map(|run| run.region);
        let away = ran_in.is_some_and(|ran| ran != region);
        let place = run.and_then(|run| self.places.get(&run));
        let hit = place.is_some_and(|place| place.hit);
        let asked = deadline - call.budget;
        let wait = place.map_or(Duration::ZERO, |place| place.started.since(asked));
        let inside = place.map_or(Duration::ZERO, |place| place.started.since(place.arrived));
        let took = call.budget.saturating_sub(deadline.since(now)) + CALLER;
        self.stats
            .note(call.customer, region, |tally| match outcome {
                Outcome::Complete if run.is_some() => {
                    let in_time = now + CALLER <= deadline;
                    tally.good += u64::from(in_time);
                    tally.late += u64::from(!in_time);
                    tally.away += u64::from(away);
                    let _ = tally.latency.record(took.as_micros() as u64);
                    let _ = tally.wait.record(wait.as_micros() as u64);
                    let _ = tally.inside.record(inside.as_micros() as u64);
                    tally.hits += u64::from(hit);
                }
                Outcome::NotRun => tally.not_run += 1,
                _ => tally.unknown += 1,
            });
        if let Some(refusal) = refusal {
            self.stats.note(call.customer, region, |tally| {
                *tally.reasons.entry(refusal.reason).or_default() += 1;
            });
        }
    }

    /// Adds open-loop traffic and starts it.
    pub fn add_traffic(&mut self, traffic: Traffic) {
        let index = self.traffic.len();
        let start = traffic.from;
        self.traffic.push(traffic);
        self.at(start, Happening::Traffic(index));
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
            self.after(gap, Happening::Traffic(index));
            if now > traffic.from {
                self.emit(&traffic);
            }
        } else {
            self.after(Duration::from_secs(1), Happening::Traffic(index));
        }
    }

    fn emit(&mut self, traffic: &Traffic) {
        let Some(vm) = self.entry(traffic.region, traffic.customer) else {
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

    /// Returns a node that a customer's caller in a region would use.
    pub fn entry(&mut self, region: RegionId, customer: seam_protocol::CustomerId) -> Option<VmId> {
        let now = self.now;
        let asked = self.slots.values().find(|slot| {
            slot.region == region && slot.node.is_some() && slot.asleep.is_none() && !slot.ending
        })?;
        let local: Time = asked.local(now);
        let entries = asked
            .node
            .as_ref()
            .map(|node: &Node| node.entries(local, customer))?;
        let near: Vec<VmId> = entries
            .nodes
            .iter()
            .copied()
            .filter(|vm| self.slots.get(vm).is_some_and(|slot| slot.region == region))
            .collect();
        if near.is_empty() {
            return entries.nodes.first().copied();
        }
        let pick = self.rng.random_range(0..near.len().min(FIRST_ENTRIES));
        Some(near[pick])
    }
}
