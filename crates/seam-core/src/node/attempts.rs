//! Handles the events of an attempt, from the check before its first byte to its end.

use std::time::Duration;

use seam_protocol::{Fingerprint, Kind, Reason, RegionId, ServiceId, TargetId, Time};

use super::admit::TRANSIENT_RETRY_AFTER;
use super::{CrashWatch, Node};
use crate::audit::Change;
use crate::command::{Command, Withheld};
use crate::event::AttemptOutcome;
use crate::handle::{AttemptKey, TargetKey};
use crate::poison::QuarantineChange;
use crate::refusal::Refusal;
use crate::request::{Attempt, Destination, Request};
use crate::targets::{Phase, PhaseChange};

/// Maximum number of fingerprints in the audit entry of a crash.
const MAX_LISTED_FINGERPRINTS: usize = 8;
/// Longest time for which a sound target may be silent, with a margin for lost packets to be sent
/// again.
pub(super) const MAX_SILENCE: Duration = Duration::from_millis(1800);
/// Time after which a connection that could not be opened was not refused, but hung.
const HUNG_AFTER: Duration = Duration::from_millis(500);
/// Time after the first bytes of an answer in which it counts as beginning.
const ANSWER_BEGINS: Duration = Duration::from_millis(250);
/// Weight of a new sample in the mean service and slot times.
const SMOOTHING: f64 = 0.05;

/// What a probe of a target found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeResult {
    Accepted,
    /// No process listens, so that the requests there have ended.
    Refused,
    /// The target is gone or silent, which cannot be told apart.
    Hung,
}

impl Node {
    /// Decides just before the first byte whether an attempt may still be sent.
    ///
    /// This catches a process that was paused between the decision and its execution, a request
    /// whose residency rules changed in between, and a target that left or became cold meanwhile.
    pub(super) fn authorize_send(&mut self, now: Time, key: AttemptKey, out: &mut Vec<Command>) {
        let Some(attempt) = self.attempts.get(&key).copied() else {
            out.push(Command::Cancel(key));
            return;
        };
        let ticket = attempt.ticket;
        let reason = self.reason_to_withhold(now, &attempt);
        let reason = reason.or_else(|| self.exceeded_rate(now, &attempt));
        if let Some(reason) = reason {
            out.push(Command::LogWithheld {
                ticket,
                attempt: key,
                reason,
            });
            if let Some(attempt) = self.attempts.get_mut(&key) {
                attempt.cancelled = true;
            }
            out.push(Command::Cancel(key));
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.sent = true;
        }
        self.request_mut(ticket).maybe_sent = true;
    }

    /// Returns why an attempt may not be sent any more, if there is a reason.
    fn reason_to_withhold(&self, now: Time, attempt: &Attempt) -> Option<Withheld> {
        let request = self.requests.get(&attempt.ticket);
        let allows = |request: &Request| self.allows(request, self.region_of(attempt.destination));
        match request {
            _ if attempt.cancelled => Some(Withheld::Cancelled),
            _ if !self.freshness.fresh() => Some(Withheld::Paused),
            Some(request) if self.outlasts_process(now, request) => Some(Withheld::Draining),
            Some(request) if now < request.deadline || request.orphaned => {
                if allows(request) {
                    self.target_reason(attempt)
                } else {
                    Some(Withheld::Residency)
                }
            }
            _ => Some(Withheld::Deadline),
        }
    }

    /// Returns why the target of an attempt takes no request any more, if there is a reason.
    fn target_reason(&self, attempt: &Attempt) -> Option<Withheld> {
        let Destination::Target(target) = attempt.destination else {
            return None;
        };
        let open = self.targets.get(target).phase.may_serve_others();
        (!open).then_some(Withheld::Leaving)
    }

    /// Counts an attempt that is sent now, or returns the reason if its target grants no more.
    fn exceeded_rate(&mut self, now: Time, attempt: &Attempt) -> Option<Withheld> {
        let Destination::Target(target) = attempt.destination else {
            return None;
        };
        let granted = self.targets.confirm_grant(now, target, attempt.started);
        (!granted).then_some(Withheld::Rate)
    }

    /// Returns the region of an attempt's target or node.
    fn region_of(&self, destination: Destination) -> RegionId {
        match destination {
            Destination::Target(_) => self.id.region,
            Destination::Node { region, .. } => region,
        }
    }

    /// Handles an attempt that made no progress for the service's silence time.
    ///
    /// A silent target is probed with a new connection; an attempt at a node is cancelled.
    pub(super) fn handle_silence(&mut self, now: Time, key: AttemptKey, out: &mut Vec<Command>) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let destination = attempt.destination;
        let request = self.requests.get(&attempt.ticket);
        let limit = request.map_or(MAX_SILENCE, |request| self.silence(request.service));
        if let Some(attempt) = self.attempts.get_mut(&key) {
            // A silence that goes on is reported again after each limit.
            attempt.silent.get_or_insert(now - limit);
        }
        match destination {
            Destination::Target(target) => {
                // A target that is slow can fall silent as the probe begins.
                self.probe(now, target, MAX_SILENCE, out);
            }
            Destination::Node { .. } => self.cancel(key, out),
        }
    }

    /// Handles progress of an attempt that was silent.
    pub(super) fn end_silence(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.silent = None;
        if let Destination::Target(target) = attempt.destination {
            self.targets.record_answer(now, target);
        }
    }

    /// Probes a target, for at least `patience` while connections to it hang.
    pub(super) fn probe(
        &mut self,
        now: Time,
        target: TargetKey,
        patience: Duration,
        out: &mut Vec<Command>,
    ) {
        // Of several at once, none could be told which of them the target has answered since.
        if !self.targets.begin_probe(now, target) {
            return;
        }
        let state = self.targets.get(target);
        out.push(Command::Probe {
            target: state.id,
            address: state.spec.address,
            patience,
        });
    }

    /// Handles the result of a probe, which opens a new connection to a target.
    pub(super) fn handle_probe(
        &mut self,
        now: Time,
        target: TargetId,
        result: ProbeResult,
        out: &mut Vec<Command>,
    ) {
        let Some(key) = self.targets.key(target) else {
            return;
        };
        // A target that answered while connections to it hung was only silent.
        let answered = self.targets.end_probe(key);
        let result = if answered && result == ProbeResult::Hung {
            ProbeResult::Accepted
        } else {
            result
        };
        let accepted = result == ProbeResult::Accepted;
        let suspended = self.targets.is_suspended(key);
        if result == ProbeResult::Refused {
            self.report_refusal(now, key, out);
        }
        let change = self.targets.record_probe(now, key, accepted);
        let found = accepted && !answered && (change.is_some() || suspended);
        self.record_phase_change(now, change, "probe", out);
        // A hang does not tell a crash, so the next probe decides.
        let decided = result != ProbeResult::Hung;
        let watch = decided.then(|| self.crash_watches.remove(&key)).flatten();
        // A target that starts again breaks all its connections at once.
        let broke = watch
            .as_ref()
            .is_some_and(|watch| watch.runs.requests.len() > 1);
        if let Some(watch) = watch
            && !accepted
        {
            self.prefixes.forget(key);
            self.blame_crash(now, target, &watch, out);
        }
        if found || (accepted && broke) {
            if change.is_none() {
                self.targets.record_loss(now, key);
            }
            self.check_restart(now, key, out);
        }
        self.cancel_silent(now, key, result, out);
        let service = self.targets.get(key).service;
        self.dispatch(now, service, out);
    }

    /// Cancels silent attempts at a target after a probe.
    ///
    /// If the target refused the probe, all of them have ended. Otherwise, one that is silent for longer
    /// than a sound target is cancelled if another one can still give the whole answer, and any other
    /// one waits for its deadline.
    fn cancel_silent(
        &mut self,
        now: Time,
        target: TargetKey,
        result: ProbeResult,
        out: &mut Vec<Command>,
    ) {
        let gone = result == ProbeResult::Refused;
        let accepted = result == ProbeResult::Accepted;
        let engine = self.is_engine(self.targets.get(target).service);
        for (key, attempt) in &mut self.attempts {
            let too_long = |since: Time| gone || now.since(since) >= MAX_SILENCE;
            let affected = attempt.destination == Destination::Target(target)
                && attempt.silent.is_some_and(too_long);
            let can_retry = self.requests.get(&attempt.ticket).is_some_and(|request| {
                let resumable = request.route.is_some_and(|class| class.resumable);
                let replaceable = attempt.responded.is_none() || resumable;
                request.repeatable
                    && replaceable
                    && request.sendable()
                    && Self::runs_left(request) > 1
            });
            // A prompt that waits in the queue of a live engine would only wait again at another
            // one.
            let queued = accepted && engine && attempt.responded.is_none();
            if affected && !attempt.cancelled && (can_retry || gone) && !queued {
                attempt.cancelled = true;
                out.push(Command::Cancel(*key));
            }
        }
    }

    /// Returns whether a service's targets are model engines that the platform publishes.
    fn is_engine(&self, service: ServiceId) -> bool {
        let spec = self.bundle.as_ref().and_then(|b| b.services.get(&service));
        self.roster.is_some() && spec.is_some_and(|spec| spec.kind == Kind::Engine)
    }

    /// Attributes a target's crash to the requests that ran there, and audits a new quarantine.
    fn blame_crash(
        &mut self,
        now: Time,
        target: TargetId,
        watch: &CrashWatch,
        out: &mut Vec<Command>,
    ) {
        let known = |fingerprint: &&Fingerprint| self.poison.suspected(**fingerprint);
        let requests = &watch.runs.requests;
        let suspects = requests.keys().filter(known).count();
        let ran = requests.len();
        self.counters.crashes += 1;
        if let Some(key) = self.targets.key(target) {
            let service = self.targets.get(key).service;
            self.service_state(service).last_crash = Some(now);
        }
        out.push(self.audit(
            now,
            Change::Crash,
            format!("target {target}"),
            (
                format!("{suspects} suspects ran"),
                format!("{ran} requests ran"),
            ),
            format!(
                "fingerprints {}; shared parts {}",
                list(requests.keys()),
                list(watch.runs.parts.keys())
            ),
        ));
        let changes = self.poison.record_crash(now, target, &watch.runs);
        let cause = format!("target {target} crashed under it");
        self.audit_quarantine(now, &changes, &cause, out);
        self.send_urgent_heartbeats(now, out);
    }

    /// Audits fingerprints that entered or left the quarantine.
    pub(super) fn audit_quarantine(
        &self,
        now: Time,
        changes: &[QuarantineChange],
        cause: &str,
        out: &mut Vec<Command>,
    ) {
        for change in changes {
            let kind = if change.is_part {
                "shared part"
            } else {
                "fingerprint"
            };
            let subject = format!("{kind} {}", change.fingerprint);
            let states = if change.quarantined {
                ("suspect", "quarantined")
            } else {
                ("quarantined", "suspect")
            };
            out.push(self.audit(now, Change::Quarantine, subject, states, cause));
        }
    }

    /// Counts a target's change of phase as an ejection and audits it.
    pub(super) fn record_phase_change(
        &mut self,
        now: Time,
        change: Option<PhaseChange>,
        cause: &str,
        out: &mut Vec<Command>,
    ) {
        let Some(change) = change else {
            return;
        };
        self.counters.ejections += 1;
        out.push(self.audit(
            now,
            Change::Ejection,
            format!("target {}", change.target),
            (format!("{:?}", change.old), format!("{:?}", change.new)),
            cause,
        ));
        if let Some(key) = self.targets.key(change.target) {
            if matches!(change.new, Phase::Ejected(_)) {
                self.targets.record_loss(now, key);
                self.suspect_restart(now, key, out);
            }
            let service = self.targets.get(key).service;
            self.update_reach(now, service, out);
        }
    }

    /// Handles an answer that says for how long its target wants no requests. A short time is left to
    /// the retries of single requests.
    pub(super) fn handle_closed(
        &mut self,
        now: Time,
        key: AttemptKey,
        time: Duration,
        out: &mut Vec<Command>,
    ) {
        /// Shortest time that is kept.
        const MIN_CLOSED: Duration = Duration::from_millis(500);
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        if let Destination::Target(target) = attempt.destination
            && time >= MIN_CLOSED
        {
            let change = self.targets.close(target, now + time);
            self.record_phase_change(now, change, "status 503 with Retry-After", out);
        }
    }

    /// Handles an answer of another target at the address of one. The platform lists an earlier start,
    /// or the one that is listed has ended, so it is not asked with each request.
    pub(super) fn handle_moved(&mut self, now: Time, target: TargetId, out: &mut Vec<Command>) {
        /// Time after which the address is tried again.
        const MOVED_TIME: Duration = Duration::from_secs(2);
        if let Some(key) = self.targets.key(target) {
            let change = self.targets.close(key, now + MOVED_TIME);
            self.record_phase_change(now, change, "another target answers", out);
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn end_attempt(
        &mut self,
        now: Time,
        key: AttemptKey,
        outcome: AttemptOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        match attempt.destination {
            Destination::Target(target) => {
                self.end_target_attempt(now, attempt, target, outcome, out);
            }
            Destination::Node { vm, region } => {
                let outcome = relayed_outcome(outcome);
                let node_unavailable = match outcome {
                    AttemptOutcome::NotSent => true,
                    AttemptOutcome::Refused(refusal) => refusal.reason == Reason::NotReady,
                    _ => false,
                };
                if node_unavailable {
                    self.peers.mark_unreachable(now, vm);
                }
                // Another node of the same region may still be reachable and ready.
                let other_nodes = region == self.id.region || self.roster.is_some();
                let can_retry = other_nodes && node_unavailable;
                let served = matches!(outcome, AttemptOutcome::Complete { .. });
                // These refusals say nothing of the load there.
                let unrelated_to_load = matches!(
                    outcome,
                    AttemptOutcome::Refused(refusal)
                        if matches!(refusal.reason, Reason::Version | Reason::Revision)
                );
                let other_revision = matches!(
                    outcome,
                    AttemptOutcome::Refused(refusal) if refusal.reason == Reason::Revision
                );
                let no_target = matches!(
                    outcome,
                    AttemptOutcome::Refused(refusal)
                        if matches!(refusal.reason, Reason::NoTarget | Reason::Version)
                );
                if no_target && region == self.id.region {
                    // Another node of this region may reach one.
                    self.record_unreached(attempt.ticket, vm);
                } else if other_revision {
                    // Another node of that region may have the revision. Of this region, those that
                    // use the same targets are few.
                    if let Some(request) = self.requests.get_mut(&attempt.ticket) {
                        request.tried.insert(vm);
                        request.other_revision = true;
                        if region == self.id.region {
                            request.refused.insert(region);
                        }
                    }
                } else if !served
                    && !can_retry
                    && let Some(request) = self.requests.get_mut(&attempt.ticket)
                {
                    request.refused.insert(region);
                    let service = request.service;
                    if !unrelated_to_load {
                        self.region_sends.entry((region, service)).or_default().full = true;
                    }
                }
                self.continue_request(now, attempt, outcome, out);
            }
        }
    }

    /// Handles the end of an attempt at a target, and starts queued requests in its slot.
    fn end_target_attempt(
        &mut self,
        now: Time,
        attempt: Attempt,
        target: TargetKey,
        outcome: AttemptOutcome,
        out: &mut Vec<Command>,
    ) {
        self.targets.end_request(target, attempt.suspect);
        self.targets
            .end_prompt(target, attempt.work, attempt.responded.is_some());
        self.pending_update.mark_changed();
        let service = self.targets.get(target).service;
        if let Some(request) = self.requests.get(&attempt.ticket) {
            let flow = request.flow;
            self.service_state(service).queue.end(flow);
        }
        match &outcome {
            AttemptOutcome::Complete { success, .. } => {
                self.record_success(now, &attempt, target);
                // Requests with different long bodies can have the same fingerprint.
                if *success
                    && let Some(request) = self.requests.get(&attempt.ticket)
                    && request.replayable
                {
                    self.poison.record_completion(now, request.fingerprint);
                }
                if *success {
                    self.record_answer(now, &attempt, out);
                }
            }
            AttemptOutcome::Refused(_) => self.targets.record_rejection(now, target),
            AttemptOutcome::NotSent if !attempt.cancelled => {
                self.record_not_sent(now, attempt.started, target, out);
            }
            AttemptOutcome::Broken { .. } if !attempt.cancelled => {
                let change = self.targets.record_failure(now, target, false);
                self.record_phase_change(now, change, "broken connections", out);
                self.watch_crash(now, &attempt, target, out);
            }
            _ => {}
        }
        self.continue_request(now, attempt, outcome, out);
        self.dispatch(now, service, out);
    }

    /// Handles a connection to a target that could not be opened: a refused one ejects the target, and
    /// one that hung makes others preferred until a probe ends.
    fn record_not_sent(
        &mut self,
        now: Time,
        started: Time,
        target: TargetKey,
        out: &mut Vec<Command>,
    ) {
        let tried = now.since(started);
        if tried < HUNG_AFTER {
            self.report_refusal(now, target, out);
            let change = self.targets.record_failure(now, target, true);
            self.record_phase_change(now, change, "connection refused", out);
        } else if self.targets.suspend(target) {
            self.probe(now, target, MAX_SILENCE.saturating_sub(tried), out);
        }
    }

    /// Records that what a request shares with others crashed no target when its answer began.
    fn record_answer(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<Command>) {
        let request = self.requests.get(&attempt.ticket);
        let Some((request, began)) = request.zip(attempt.responded) else {
            return;
        };
        let changes: Vec<QuarantineChange> = request
            .shared()
            .flat_map(|part| self.poison.record_answer(part, began))
            .collect();
        self.audit_quarantine(now, &changes, "a target answers a request with it", out);
    }

    /// Records the answers that targets are writing since [`ANSWER_BEGINS`] or longer. Answers that
    /// ended are recorded then.
    pub(super) fn record_open_answers(&mut self, now: Time, out: &mut Vec<Command>) {
        let begun = |attempt: &&Attempt| {
            let responded = attempt.responded;
            responded.is_some_and(|responded| now.since(responded) >= ANSWER_BEGINS)
        };
        let begun: Vec<Attempt> = self.attempts.values().filter(begun).copied().collect();
        for attempt in begun {
            self.record_answer(now, &attempt, out);
        }
    }

    /// Updates measurements and recorded prefixes after a complete response.
    fn record_success(&mut self, now: Time, attempt: &Attempt, target: TargetKey) {
        let elapsed = now.since(attempt.started);
        let streams = self
            .requests
            .get(&attempt.ticket)
            .and_then(|request| request.route)
            .is_some_and(|class| class.streams);
        let usual = self.usual_time(now, attempt, target);
        self.targets
            .record_success(target, (!streams).then_some(usual));
        let Some(request) = self.requests.get(&attempt.ticket) else {
            return;
        };
        if let Some(prefix) = request.prefix {
            self.prefixes.record(now, target, prefix);
        }
        let service = request.service;
        self.record_contact(now, service);
        self.service_state(service).last_answer = Some(now);
        if streams {
            let sample = elapsed.as_secs_f64();
            let state = self.service_state(service);
            let before = state.slot_secs.unwrap_or(sample);
            state.slot_secs = Some(before + SMOOTHING * (sample - before));
        } else {
            self.record_service_time(service, usual);
        }
    }

    /// Returns how long an attempt has taken, divided by how much slower its target was meanwhile.
    fn usual_time(&self, now: Time, attempt: &Attempt, target: TargetKey) -> Duration {
        let end = self.targets.get(target).moment.recent_factor(now);
        let (factor, _) = attempt.work.mean_factor(end);
        now.since(attempt.started).div_f64(factor)
    }

    /// Updates a service's mean service time; for streams, the time to the first event.
    fn record_service_time(&mut self, service: ServiceId, elapsed: std::time::Duration) {
        let sample = elapsed.as_secs_f64();
        let before = self.expected_time(service).as_secs_f64();
        let after = if self.roster.is_none() {
            before + SMOOTHING * (sample - before)
        } else if sample > before {
            // Tracks the median, since a few requests that run into their timeout would distort the
            // mean.
            before * (1.0 + SMOOTHING)
        } else {
            before / (1.0 + SMOOTHING)
        };
        self.service_state(service).mean_secs = Some(after);
    }

    /// Handles the first bytes of a response.
    pub(super) fn handle_first_bytes(
        &mut self,
        now: Time,
        key: AttemptKey,
        out: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.responded = Some(now);
        attempt.silent = None;
        let attempt = *attempt;
        let Destination::Target(target) = attempt.destination else {
            return;
        };
        self.begin_stream(now, key, self.targets.get(target).version, out);
        let elapsed = now.since(attempt.started);
        self.record_contact(now, self.targets.get(target).service);
        self.targets.record_answer(now, target);
        let sample = self
            .targets
            .record_prefill(now, target, attempt.work, elapsed);
        if let Some(sample) = sample {
            self.share_sample(target, sample);
        }
        self.pending_update.mark_changed();
        let request = self.requests.get(&attempt.ticket);
        let streams = request.and_then(|request| request.route);
        if streams.is_some_and(|class| class.streams) {
            let service = self.targets.get(target).service;
            let usual = self.usual_time(now, &attempt, target);
            self.record_service_time(service, usual);
        }
    }

    /// Returns whether a service answered requests since its last crash, or shortly before.
    ///
    /// Targets that crash under every request say nothing of what these requests are like.
    fn answers_between_crashes(&self, now: Time, service: ServiceId) -> bool {
        const ANSWER_TTL: Duration = Duration::from_secs(10);
        let Some(state) = self.service_states.get(&service) else {
            return true;
        };
        let answered = state.last_answer.unwrap_or_default();
        let crashed = state.last_crash;
        crashed.is_none_or(|crashed| answered > crashed) || now.since(answered) < ANSWER_TTL
    }

    /// Remembers which requests may have crashed a target, and probes whether it crashed.
    fn watch_crash(
        &mut self,
        now: Time,
        attempt: &Attempt,
        target: TargetKey,
        out: &mut Vec<Command>,
    ) {
        let known = self.requests.contains_key(&attempt.ticket);
        if known && !self.crash_watches.contains_key(&target) {
            self.probe(now, target, MAX_SILENCE, out);
        }
        let Some(request) = self.requests.get(&attempt.ticket) else {
            return;
        };
        let answers = self.answers_between_crashes(now, request.service);
        let watch = self
            .crash_watches
            .entry(target)
            .or_insert_with(|| CrashWatch {
                since: now,
                ..CrashWatch::default()
            });
        let run = now.since(attempt.started);
        let requests = &mut watch.runs.requests;
        let known = requests.entry(request.fingerprint).or_insert(run);
        *known = run.min(*known);
        let begins = attempt
            .responded
            .is_none_or(|responded| now.since(responded) < ANSWER_BEGINS);
        if begins {
            let shared: Vec<Fingerprint> = if answers {
                request.shared().collect()
            } else {
                request.parts.clone()
            };
            watch.runs.parts.extend(shared.into_iter().zip(0..));
        }
    }
}

/// Returns the first fingerprints as text.
fn list<'a>(fingerprints: impl Iterator<Item = &'a Fingerprint>) -> String {
    let listed = fingerprints.take(MAX_LISTED_FINGERPRINTS);
    let listed: Vec<String> = listed.map(ToString::to_string).collect();
    listed.join(" ")
}

/// Returns the outcome of an attempt at another node as this node sees it.
///
/// This node has found the request's service and customer in its own configuration, so a node that
/// lacks them has another revision.
fn relayed_outcome(outcome: AttemptOutcome) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Refused(refusal)
            if matches!(
                refusal.reason,
                Reason::Residency | Reason::Service | Reason::Credential
            ) =>
        {
            AttemptOutcome::Refused(Refusal {
                reason: Reason::Revision,
                retry_after: refusal.retry_after.or(Some(TRANSIENT_RETRY_AFTER)),
                ..refusal
            })
        }
        outcome => outcome,
    }
}
