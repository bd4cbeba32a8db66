//! Follows an attempt from its first byte to its end.

use seam_protocol::{Kind, RegionId, TargetId, Time};

use super::{CrashWatch, Node};
use crate::audit::Change;
use crate::command::Command;
use crate::event::Reply;
use crate::handle::{AttemptKey, TargetKey};
use crate::request::{Attempt, Place};
use crate::targets::PhaseChange;

/// Weight of a new sample in the mean service time.
const SAMPLE: f64 = 0.05;

impl Node {
    /// Decides at the last moment whether an attempt may still send its first byte.
    ///
    /// A process that was paused between a decision and its execution stops here, and so does a
    /// request whose residency changed in between.
    pub(super) fn sending(&mut self, now: Time, key: AttemptKey, out: &mut Vec<Command>) {
        let fresh = self.standing.fresh();
        let Some(attempt) = self.attempts.get_mut(&key) else {
            out.push(Command::Cancel(key));
            return;
        };
        let live = self
            .requests
            .get(&attempt.ticket)
            .is_some_and(|request| now < request.deadline || request.orphaned);
        let attempt = *attempt;
        let allowed = self
            .requests
            .get(&attempt.ticket)
            .is_some_and(|request| self.allows(request, self.region_of(attempt.place)));
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if !fresh || !live || !allowed || attempt.cancelled {
            attempt.cancelled = true;
            out.push(Command::Cancel(key));
            return;
        }
        attempt.sent = true;
        let ticket = attempt.ticket;
        self.request_mut(ticket).maybe_sent = true;
    }

    /// Returns the region in which an attempt runs.
    fn region_of(&self, place: Place) -> RegionId {
        match place {
            Place::Target(_) => self.id.region,
            Place::Node { region, .. } => region,
        }
    }

    pub(super) fn silent(&mut self, _now: Time, key: AttemptKey, out: &mut Vec<Command>) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.silent = true;
        match attempt.place {
            Place::Target(target) => {
                let state = self.targets.get(target);
                out.push(Command::Probe {
                    target: state.id,
                    address: state.rule.address,
                });
            }
            Place::Node { .. } => {
                attempt.cancelled = true;
                out.push(Command::Cancel(key));
            }
        }
    }

    /// Takes in whether a fresh connection to a target was accepted.
    pub(super) fn probed(
        &mut self,
        now: Time,
        target: TargetId,
        accepted: bool,
        out: &mut Vec<Command>,
    ) {
        let Some(key) = self.targets.key(target) else {
            return;
        };
        let turn = self.targets.record_probe(now, key, accepted);
        self.note_turn(now, turn, "probe", out);
        if let Some(watch) = self.crashes.remove(&key)
            && !accepted
        {
            self.prefixes.forget(key);
            self.blame(now, target, &watch, out);
        }
        self.cancel_silent(key, accepted, out);
        let service = self.targets.get(key).service;
        self.dispatch(now, service, out);
    }

    /// Ends silent attempts at a target.
    ///
    /// Where a fresh connection works, the old one is at fault: a request that may be repeated is
    /// taken off it, and one that may not be repeated waits for its deadline.
    fn cancel_silent(&mut self, target: TargetKey, accepted: bool, out: &mut Vec<Command>) {
        let engine = self.is_engine(self.targets.get(target).service);
        for (key, attempt) in &mut self.attempts {
            let here = attempt.place == Place::Target(target) && attempt.silent;
            let movable = self.requests.get(&attempt.ticket).is_some_and(|request| {
                request.repeatable && request.sendable() && Self::runs_left(request) > 1
            });
            // A prompt that waits in an engine's queue would only wait again elsewhere.
            let waits = accepted && engine && !attempt.response_started;
            if here && !attempt.cancelled && (movable || !accepted) && !waits {
                attempt.cancelled = true;
                out.push(Command::Cancel(*key));
            }
        }
    }

    fn is_engine(&self, service: seam_protocol::ServiceId) -> bool {
        let rule = self.bundle.as_ref().and_then(|b| b.services.get(&service));
        self.roster.is_some() && rule.is_some_and(|rule| rule.kind == Kind::Engine)
    }

    fn blame(&mut self, now: Time, target: TargetId, watch: &CrashWatch, out: &mut Vec<Command>) {
        let culprit = self.poison.record_crash(now, &watch.prints);
        if let Some(print) = culprit {
            let cause = format!("target {target} crashed under it");
            let subject = format!("fingerprint {print}");
            out.push(self.audit(
                now,
                Change::Quarantine,
                subject,
                ("suspect", "quarantined"),
                cause,
            ));
        }
        self.beat_urgently(now, out);
    }

    pub(super) fn note_turn(
        &mut self,
        now: Time,
        turn: Option<PhaseChange>,
        cause: &str,
        out: &mut Vec<Command>,
    ) {
        let Some(turn) = turn else {
            return;
        };
        self.counters.ejections += 1;
        out.push(self.audit(
            now,
            Change::Ejection,
            format!("target {}", turn.target),
            (format!("{:?}", turn.old), format!("{:?}", turn.new)),
            cause,
        ));
    }

    pub(super) fn reply(
        &mut self,
        now: Time,
        key: AttemptKey,
        reply: Reply,
        out: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        match attempt.place {
            Place::Target(target) => self.target_reply(now, attempt, target, reply, out),
            Place::Node { vm, region } => {
                if matches!(reply, Reply::NotSent) {
                    self.peers.mark_unreachable(vm);
                }
                // Another node of the region may be reached.
                let near = region == self.id.region || self.roster.is_some();
                let missed = near && matches!(reply, Reply::NotSent);
                let served = matches!(reply, Reply::Complete { .. });
                if !served
                    && !missed
                    && let Some(request) = self.requests.get_mut(&attempt.ticket)
                {
                    request.refused.insert(region);
                    let service = request.service;
                    self.away.entry((region, service)).or_default().full = true;
                }
                self.settle(now, attempt, reply, out);
            }
        }
    }

    fn target_reply(
        &mut self,
        now: Time,
        attempt: Attempt,
        target: TargetKey,
        reply: Reply,
        out: &mut Vec<Command>,
    ) {
        self.targets.end_request(target, attempt.suspect);
        self.targets
            .end_prompt(target, attempt.work, attempt.response_started);
        self.words.change();
        let service = self.targets.get(target).service;
        if let Some(request) = self.requests.get(&attempt.ticket) {
            let customer = self.flow(request.customer);
            self.lane(service).queue.end(customer);
        }
        match &reply {
            Reply::Complete { .. } => self.learn(now, &attempt, target),
            Reply::NotSent if !attempt.cancelled => {
                let turn = self.targets.record_failure(now, target, true);
                self.note_turn(now, turn, "connection refused", out);
            }
            Reply::Broken { .. } if !attempt.cancelled => {
                let turn = self.targets.record_failure(now, target, false);
                self.note_turn(now, turn, "broken connections", out);
                self.watch_crash(now, &attempt, target, out);
            }
            _ => {}
        }
        self.settle(now, attempt, reply, out);
        self.dispatch(now, service, out);
    }

    fn learn(&mut self, now: Time, attempt: &Attempt, target: TargetKey) {
        let took = now.since(attempt.started);
        let streams = self
            .requests
            .get(&attempt.ticket)
            .and_then(|request| request.route)
            .is_some_and(|class| class.streams);
        self.targets
            .record_success(target, (!streams).then_some(took));
        let Some(request) = self.requests.get(&attempt.ticket) else {
            return;
        };
        if attempt.suspect {
            self.poison.clear_suspect(request.fingerprint);
        }
        if let Some(prefix) = request.prefix {
            self.prefixes.record(now, target, prefix);
        }
        let service = request.service;
        if streams {
            let sample = took.as_secs_f64();
            let lane = self.lane(service);
            let before = lane.holding.unwrap_or(sample);
            lane.holding = Some(before + SAMPLE * (sample - before));
        } else {
            self.learn_time(service, took);
        }
    }

    /// Follows the time that a service takes, for streams to the first event.
    fn learn_time(&mut self, service: seam_protocol::ServiceId, took: std::time::Duration) {
        let sample = took.as_secs_f64();
        let before = self.expected(service).as_secs_f64();
        let after = if self.roster.is_none() {
            before + SAMPLE * (sample - before)
        } else if sample > before {
            // The median: a few requests that last to their timeout say nothing of the others.
            before * (1.0 + SAMPLE)
        } else {
            before / (1.0 + SAMPLE)
        };
        self.lane(service).mean = Some(after);
    }

    /// Takes in the first bytes of an answer.
    pub(super) fn first(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.response_started = true;
        let attempt = *attempt;
        let Place::Target(target) = attempt.place else {
            return;
        };
        let took = now.since(attempt.started);
        self.targets.record_prefill(target, attempt.work, took);
        self.words.change();
        let request = self.requests.get(&attempt.ticket);
        let streams = request.and_then(|request| request.route);
        if streams.is_some_and(|class| class.streams) {
            let service = self.targets.get(target).service;
            self.learn_time(service, took);
        }
    }

    /// Remembers whom a target's crash may be due to, and asks whether it crashed.
    fn watch_crash(
        &mut self,
        now: Time,
        attempt: &Attempt,
        target: TargetKey,
        out: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get(&attempt.ticket) else {
            return;
        };
        let state = self.targets.get(target);
        let probe = Command::Probe {
            target: state.id,
            address: state.rule.address,
        };
        let watch = self.crashes.entry(target).or_insert_with(|| {
            out.push(probe);
            CrashWatch {
                since: now,
                ..CrashWatch::default()
            }
        });
        watch.prints.insert(request.fingerprint);
    }
}
