//! Decides what the end of an attempt means for its request: an answer, another attempt, or a refusal.

use std::sync::Arc;

use seam_protocol::{Outcome, Reason, StoredAnswer, Time};

use super::Node;
use crate::command::Command;
use crate::event::Reply;
use crate::handle::{AttemptKey, Ticket};
use crate::refusal::Refusal;
use crate::request::{Attempt, Place, Request, Stage};

/// Attempts that one request may use.
const MOST_ATTEMPTS: u32 = 4;

impl Node {
    /// Decides what an attempt's end means for its request.
    pub(super) fn settle(
        &mut self,
        now: Time,
        attempt: Attempt,
        reply: Reply,
        out: &mut Vec<Command>,
    ) {
        let ticket = attempt.ticket;
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let owner_asked = request.key.is_some() && !request.owned;
        let repeatable = request.repeatable;
        let ran = !matches!(reply, Reply::NotSent | Reply::Refused(_));
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.runs += u32::from(ran);
            if let Place::Target(target) = attempt.place {
                request.avoid.insert(target);
            }
        }
        let request = &self.requests[&ticket];
        // A target counts what it refuses, too.
        let costs = matches!(attempt.place, Place::Target(_));
        match reply {
            Reply::Complete { answer } => self.complete(now, ticket, answer, out),
            Reply::NotSent if owner_asked => {
                self.pass_refusal(ticket, Refusal::unknown(Reason::KeyOwner), out);
            }
            Reply::Refused(refusal) | Reply::Unsure(refusal) if owner_asked => {
                self.pass_refusal(ticket, refusal, out);
            }
            Reply::NotSent => {
                let refusal = Refusal::not_run(Reason::NoTarget);
                self.retry_or_refuse(now, ticket, refusal, false, out);
            }
            Reply::Refused(refusal) => {
                if Self::is_permanent(refusal.reason) {
                    self.refuse(now, ticket, refusal, out);
                } else {
                    self.retry_or_refuse(now, ticket, refusal, costs, out);
                }
            }
            Reply::Unsure(refusal) => {
                if repeatable {
                    self.retry_or_refuse(now, ticket, refusal, true, out);
                } else {
                    self.refuse(now, ticket, refusal, out);
                }
            }
            Reply::Broken { started } => {
                let reason = if attempt.silent {
                    Reason::Silent
                } else {
                    Reason::Broken
                };
                let refusal = Refusal::unknown(reason);
                // A suspect whose exchange breaks again may be what crashes its targets.
                let suspect = !attempt.silent && self.poison.crashes(request.fingerprint) > 0;
                let resumable = request.class.is_some_and(|class| class.resumable);
                if repeatable && (!started || resumable) && !suspect {
                    self.retry_or_refuse(now, ticket, refusal, true, out);
                } else {
                    self.refuse(now, ticket, refusal, out);
                }
            }
        }
    }

    /// Tells whether another node would refuse for the same reason.
    fn is_permanent(reason: Reason) -> bool {
        matches!(
            reason,
            Reason::Poison | Reason::Residency | Reason::Service | Reason::Credential
        )
    }

    /// Tries a request again, or ends it with a refusal. Retries after a run cost budget.
    fn retry_or_refuse(
        &mut self,
        now: Time,
        ticket: Ticket,
        refusal: Refusal,
        costs: bool,
        out: &mut Vec<Command>,
    ) {
        let request = &self.requests[&ticket];
        let service = request.service;
        let spent = request.attempts >= MOST_ATTEMPTS
            || request.budget(now).is_zero()
            || !request.sendable()
            || Self::runs_left(request) == 0;
        if spent || request.orphan || (costs && !self.service_state(service).retry_budget.spend()) {
            self.refuse(now, ticket, refusal, out);
            return;
        }
        self.counters.retries += 1;
        if refusal.outcome != Outcome::NotRun {
            // The request may have run, so a later refusal must not call it not run.
            self.request_mut(ticket).tainted = true;
        }
        self.request_mut(ticket).stage = Stage::Placing;
        self.place(now, ticket, out);
    }

    fn complete(
        &mut self,
        now: Time,
        ticket: Ticket,
        answer: Option<Arc<StoredAnswer>>,
        out: &mut Vec<Command>,
    ) {
        self.counters.complete += 1;
        self.finish(now, ticket, crate::keys::Ending::Complete(answer), out);
    }

    /// Takes in that a target answered with an error of its own.
    ///
    /// Where the request may run again the answer is dropped, and the request is tried at another
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
        let again = request.repeatable
            && request.sendable()
            && !request.orphan
            && !attempt.cancelled
            && Self::runs_left(request) > 1
            && request.budget(now) > self.expected_time(service);
        if again && self.service_state(service).retry_budget.available() {
            out.push(Command::Discard(key));
        }
    }

    /// Returns how many more targets may run a request, the present one included.
    ///
    /// A node that forwarded the request counts one run for it.
    pub(super) fn runs_left(request: &Request) -> u32 {
        let most = match request.class {
            Some(_) if request.forwarded() => 1,
            Some(class) => class.attempts,
            None => MOST_ATTEMPTS,
        };
        most.saturating_sub(request.runs)
    }
}
