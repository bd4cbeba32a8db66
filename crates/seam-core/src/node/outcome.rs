//! Decides how a request continues after an attempt ended: with a response, a retry or a refusal.

use std::sync::Arc;

use seam_protocol::{Outcome, Reason, StoredResponse, Time};

use super::Node;
use crate::command::Command;
use crate::event::AttemptOutcome;
use crate::handle::{AttemptKey, Ticket};
use crate::refusal::Refusal;
use crate::request::{Attempt, Destination, Request, Stage};

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

impl Node {
    /// Finishes, retries or refuses a request after one of its attempts ended.
    pub(super) fn continue_request(
        &mut self,
        now: Time,
        attempt: Attempt,
        outcome: AttemptOutcome,
        out: &mut Vec<Command>,
    ) {
        let ticket = attempt.ticket;
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let sent_to_owner = request.key.is_some() && !request.local_key;
        let repeatable = request.repeatable;
        let may_have_run = !matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::Refused(_)
        );
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.runs += u32::from(may_have_run);
            if let Destination::Target(target) = attempt.destination {
                request.avoid.insert(target);
            }
        }
        let spends_budget = self.record_offer(ticket, &attempt, &outcome);
        let request = &self.requests[&ticket];
        match outcome {
            AttemptOutcome::Complete { response, .. } => self.complete(now, ticket, response, out),
            AttemptOutcome::NotSent if sent_to_owner => {
                self.pass_refusal(ticket, Refusal::unknown(Reason::KeyOwner), out);
            }
            AttemptOutcome::Refused(refusal) | AttemptOutcome::OutcomeUnknown(refusal)
                if sent_to_owner =>
            {
                self.pass_refusal(ticket, refusal, out);
            }
            AttemptOutcome::NotSent => {
                let refusal = Refusal::not_run(Reason::NoTarget);
                self.retry_or_refuse(now, ticket, refusal, spends_budget, out);
            }
            AttemptOutcome::Refused(refusal) => {
                if Self::is_permanent(refusal.reason) {
                    self.refuse(now, ticket, refusal, out);
                } else {
                    self.retry_or_refuse(now, ticket, refusal, spends_budget, out);
                }
            }
            AttemptOutcome::OutcomeUnknown(refusal) => {
                // The attempt of another node broke too.
                let forwarded = matches!(attempt.destination, Destination::Node { .. });
                let suspect = forwarded
                    && refusal.reason == Reason::Broken
                    && self.may_crash_targets(request);
                if repeatable && !suspect {
                    self.retry_or_refuse(now, ticket, refusal, true, out);
                } else {
                    self.refuse(now, ticket, refusal, out);
                }
            }
            AttemptOutcome::Broken { started } => {
                let reason = if attempt.silent.is_some() {
                    Reason::Silent
                } else {
                    Reason::Broken
                };
                let refusal = Refusal::unknown(reason);
                // A suspect whose connection breaks again may be crashing its targets, so it is not
                // retried.
                let suspect = attempt.silent.is_none() && self.may_crash_targets(request);
                // A node of an earlier version does not say which version began the stream.
                let bound = request.stream.is_none_or(|stream| stream.version.is_some());
                let resumable = request.route.is_some_and(|class| class.resumable) && bound;
                if repeatable && (!started || resumable) && !suspect {
                    self.retry_or_refuse(now, ticket, refusal, true, out);
                } else {
                    self.refuse(now, ticket, refusal, out);
                }
            }
        }
    }

    /// Records whether a request has reached a target. Returns whether it has, so that a further
    /// attempt uses the retry budget.
    ///
    /// A request that a target refused is load on it too, also if another node sent it there.
    fn record_offer(
        &mut self,
        ticket: Ticket,
        attempt: &Attempt,
        outcome: &AttemptOutcome,
    ) -> bool {
        let arrived = match (attempt.destination, outcome) {
            (Destination::Target(_), outcome) => !matches!(outcome, AttemptOutcome::NotSent),
            (Destination::Node { .. }, AttemptOutcome::Refused(refusal)) => {
                refusal.reason == Reason::Refused
            }
            (Destination::Node { .. }, _) => false,
        };
        let request = self.request_mut(ticket);
        request.offered |= arrived;
        request.offered
    }

    /// Returns whether a request whose connection broke may have crashed its target.
    fn may_crash_targets(&self, request: &Request) -> bool {
        let mut shared = request.shared();
        self.poison.suspected(request.fingerprint)
            || shared.any(|part| self.poison.part_suspected(part))
    }

    /// Returns whether every other node would refuse a request for the same reason.
    ///
    /// What another node's configuration lacks says nothing of this node's, which has admitted the
    /// request.
    fn is_permanent(reason: Reason) -> bool {
        reason == Reason::Poison
    }

    /// Retries a request, or refuses it if no retry is possible.
    ///
    /// With `spends_budget`, the retry uses the service's retry budget.
    fn retry_or_refuse(
        &mut self,
        now: Time,
        ticket: Ticket,
        refusal: Refusal,
        spends_budget: bool,
        out: &mut Vec<Command>,
    ) {
        let request = &self.requests[&ticket];
        let service = request.service;
        let exhausted = request.attempts >= MAX_ATTEMPTS
            || request.budget(now).is_zero()
            || !request.sendable()
            || Self::runs_left(request) == 0;
        if exhausted
            || request.orphaned
            || (spends_budget && !self.service_state(service).retry_budget.spend())
        {
            self.refuse(now, ticket, refusal, out);
            return;
        }
        self.counters.retries += 1;
        if refusal.outcome != Outcome::NotRun {
            // The request may have run, so a later refusal must not report it as not run.
            self.request_mut(ticket).maybe_ran = true;
        }
        self.request_mut(ticket).stage = Stage::Routing;
        self.route(now, ticket, out);
    }

    /// Finishes a request with a complete response.
    fn complete(
        &mut self,
        now: Time,
        ticket: Ticket,
        response: Option<Arc<StoredResponse>>,
        out: &mut Vec<Command>,
    ) {
        self.counters.complete += 1;
        self.finish(
            now,
            ticket,
            crate::keys::KeyOutcome::Complete(response),
            out,
        );
    }

    /// Handles an error response of a target.
    ///
    /// If the request may run again, the response is dropped and the request is retried at another
    /// target.
    pub(super) fn handle_target_error(
        &mut self,
        now: Time,
        key: AttemptKey,
        out: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(&key).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&attempt.ticket) else {
            return;
        };
        let service = request.service;
        let can_retry = request.repeatable
            && request.sendable()
            && !request.orphaned
            && !attempt.cancelled
            && Self::runs_left(request) > 1
            && request.budget(now) > self.expected_time(service);
        if can_retry && self.service_state(service).retry_budget.available() {
            out.push(Command::Discard(key));
        }
    }

    /// Returns how many more runs a request may have, including the current one.
    ///
    /// A forwarded request may run only once here; the forwarding node counts that as one run.
    pub(super) fn runs_left(request: &Request) -> u32 {
        let max_runs = match request.route {
            Some(_) if request.forwarded() => 1,
            Some(class) => class.max_attempts,
            None => MAX_ATTEMPTS,
        };
        max_runs.saturating_sub(request.runs)
    }
}
