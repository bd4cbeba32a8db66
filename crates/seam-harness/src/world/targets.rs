//! What happens at targets.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use seam_core::{AttemptKey, Command, Event, Reply};
use seam_protocol::{Bundle, Incarnation, StoredResponse, TargetId, VmId};

use super::{Goal, Happening, RunId, RunPlace, World};
use crate::link::NEAR;
use crate::oracle::{Breach, Run};
use crate::target::FakeTarget;

/// Time for which a request runs before it crashes its target.
const POISON: Duration = Duration::from_millis(50);
/// Time for which a crashed target is down.
const RESTART: Duration = Duration::from_secs(3);
/// Time after the platform lists a target as leaving within which it may still get new work: the
/// list's lag and the read of it, then a few seconds.
const LEAVING: Duration = Duration::from_secs(5);

impl World {
    pub(super) fn add_targets(&mut self, bundle: &Bundle) {
        for (service, rule) in &bundle.services {
            let mean = Duration::from_millis(rule.expected);
            for (id, target) in &rule.targets {
                let fake = FakeTarget::new(target.region, *service, rule.kind, target.slots, mean);
                self.targets.insert(*id, fake);
                self.names.insert(*id, target.name.clone());
            }
        }
    }

    /// Returns a target of another region, for a decision that is broken on purpose.
    pub(super) fn target_elsewhere(&self, vm: VmId, command: &Command) -> Option<TargetId> {
        let Command::Send { service, .. } = command else {
            return None;
        };
        let region = self.slots.get(&vm)?.region;
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
        let Some(sending) = self.sending_of(vm, incarnation, attempt) else {
            return;
        };
        let accepts = self.targets[&target].accepts(now);
        if !accepts {
            if self.same(vm, incarnation) {
                self.reply_after(NEAR, vm, attempt, Reply::Broken { started: false });
            }
            return;
        }
        self.last_work.insert(target, now);
        let since = self.listed.get(&target).copied();
        if let Some(since) = since
            && now.since(since) > LEAVING
        {
            let late = now.since(since);
            self.oracle.breach(Breach::LeavingGotWork(target, late));
        }
        let run = RunId(self.fresh());
        if let Some(flight) = self.flight(vm, attempt) {
            flight.run = Some(run);
        }
        let place = RunPlace {
            vm,
            incarnation,
            attempt,
            finished: false,
            arrived: now,
            started: now,
            hit: false,
        };
        self.places.insert(run, place);
        let op = self.oracle.sendings[&sending].op;
        let fake = self.targets.get_mut(&target).expect("checked above");
        let region = fake.region;
        // A request counts as run once the target has it, even while it waits inside.
        let allowed = self
            .flight(vm, attempt)
            .map(|flight| flight.allowed.clone())
            .unwrap_or_default();
        let seen = Run {
            sending,
            op,
            region,
        };
        self.oracle.began(run, seen, &allowed);
        let fake = self.targets.get_mut(&target).expect("checked above");
        if fake.running.len() < fake.slots as usize {
            self.start_run(target, run);
        } else {
            fake.waiting.push_back(run);
        }
    }

    fn sending_of(
        &self,
        vm: VmId,
        incarnation: Incarnation,
        attempt: AttemptKey,
    ) -> Option<crate::SendingId> {
        let slot = self.slots.get(&vm)?;
        if slot.incarnation != incarnation {
            return None;
        }
        let flight = slot.flights.get(&attempt)?;
        Some(slot.tickets.get(&flight.ticket)?.sending())
    }

    fn start_run(&mut self, target: TargetId, run: RunId) {
        let now = self.now;
        let op = self.oracle.runs[&run].op;
        let call = self.wishes[&op].call;
        let Some(fake) = self.targets.get_mut(&target) else {
            return;
        };
        let before = fake.hits;
        let span = fake.service_time(&mut self.rng, call.prefix);
        let hit = fake.hits > before;
        fake.running.insert(run, now);
        if let Some(place) = self.places.get_mut(&run) {
            place.started = now;
            place.hit = hit;
        }
        if call.poison {
            self.after(POISON, Happening::Crash(target, RESTART));
        } else {
            self.after(span, Happening::TargetDone(target, run));
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
        self.start_waiting(target);
        let Some(place) = self.places.get_mut(&run) else {
            return;
        };
        place.finished = true;
        let place = *place;
        let mute = self
            .flight(place.vm, place.attempt)
            .is_some_and(|flight| flight.mute);
        if !mute {
            let reply = Happening::TargetReply(place.vm, place.incarnation, place.attempt, run);
            self.after(NEAR, reply);
        }
    }

    /// A whole answer arrives at the node's adapter.
    pub(super) fn target_replies(&mut self, vm: VmId, attempt: AttemptKey, run: RunId) {
        let Some(slot) = self.slots.get_mut(&vm) else {
            return;
        };
        let Some(flight) = slot.flights.remove(&attempt) else {
            return;
        };
        let answer = flight.keep.then(|| {
            Arc::new(StoredResponse {
                status: 200,
                headers: Vec::new(),
                body: run.0.to_be_bytes().to_vec(),
            })
        });
        let shown = self.swapped(run);
        self.deliver(vm, flight.ticket, shown);
        self.handle(
            vm,
            Event::Reply(attempt, Reply::Complete { response: answer }),
        );
    }

    /// Returns the run whose answer is shown, another one if answers are swapped on purpose.
    fn swapped(&self, run: RunId) -> RunId {
        if self.tamper != crate::tamper::Tamper::SwapAnswers {
            return run;
        }
        let other = self.places.keys().find(|other| **other != run);
        other.copied().unwrap_or(run)
    }

    pub(super) fn crash(&mut self, target: TargetId, span: Duration) {
        let until = self.now + span;
        let Some(fake) = self.targets.get_mut(&target) else {
            return;
        };
        let lost = fake.crash(until);
        for run in lost {
            let place = self.places[&run];
            if !self.same(place.vm, place.incarnation) {
                continue;
            }
            let started = self.rng.random_bool(0.3);
            let reply = Reply::Broken { started };
            self.lose(place, run, reply);
        }
    }

    /// Ends an attempt whose connection broke.
    fn lose(&mut self, place: RunPlace, run: RunId, reply: Reply) {
        let Some(slot) = self.slots.get_mut(&place.vm) else {
            return;
        };
        let Some(flight) = slot.flights.remove(&place.attempt) else {
            return;
        };
        let reply = self.tamper.reply(reply);
        if matches!(reply, Reply::Complete { .. }) {
            self.deliver(place.vm, flight.ticket, run);
        }
        let event = Event::Reply(place.attempt, reply);
        self.after(NEAR, Happening::Deliver(place.vm, place.incarnation, event));
    }

    /// Makes every open connection to a target mute.
    pub(super) fn silence(&mut self, target: TargetId) {
        for slot in self.slots.values_mut() {
            for flight in slot.flights.values_mut() {
                if matches!(flight.to, Goal::Target(other) if other == target) {
                    flight.mute = true;
                }
            }
        }
    }
}
