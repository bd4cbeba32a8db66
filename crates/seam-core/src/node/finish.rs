//! Final responses to requests: refusals, replays, cancellations and deadlines.

use std::sync::Arc;

use seam_protocol::{Outcome, Reason, StoredResponse, Time};

use super::Node;
use crate::arrival::IdempotencyKey;
use crate::command::Command;
use crate::handle::Ticket;
use crate::keys::{Claim, KeyOutcome};
use crate::refusal::Refusal;
use crate::request::{Request, Stage};

impl Node {
    /// Refuses a request by a decision of this node.
    ///
    /// The reported outcome depends on the request's key. Another copy of a request with a key may
    /// still be in transit, so only the key's owner may report "not run", and it revokes the key at
    /// the same time. A request that may have run is never reported as not run.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        ticket: Ticket,
        refusal: Refusal,
        out: &mut Vec<Command>,
    ) {
        self.remove_from_queue(ticket);
        self.refuse_dequeued(now, ticket, refusal, out);
    }

    /// Refuses a request that is in no queue, with an outcome as in [`Self::refuse`].
    pub(super) fn refuse_dequeued(
        &mut self,
        now: Time,
        ticket: Ticket,
        mut refusal: Refusal,
        out: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if request.maybe_ran && refusal.outcome == Outcome::NotRun {
            refusal.outcome = Outcome::Unknown;
        }
        let no_room = matches!(
            refusal.reason,
            Reason::Overload | Reason::NoTarget | Reason::Deadline
        );
        let forwarded_on = request.forwarded() && request.offered && no_room;
        if no_room {
            self.record_no_room(now, ticket);
        }
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if forwarded_on {
            // The sender's next attempt is a retry.
            refusal.reason = Reason::Refused;
        }
        let may_have_run = refusal.outcome != Outcome::NotRun;
        let outcome = match &request.key {
            _ if may_have_run => KeyOutcome::Unknown,
            Some(IdempotencyKey::Issued(_)) => KeyOutcome::Revoked(refusal.reason),
            Some(IdempotencyKey::Caller { .. }) => {
                refusal.outcome = Outcome::Unknown;
                KeyOutcome::Released
            }
            None => KeyOutcome::Released,
        };
        if request.key.is_some() && !request.local_key {
            refusal.outcome = Outcome::Unknown;
        }
        self.send_refusal(ticket, refusal, out);
        self.finish(now, ticket, outcome, out);
    }

    /// Passes on a refusal unchanged, such as one from the key's owner.
    pub(super) fn pass_refusal(
        &mut self,
        ticket: Ticket,
        refusal: Refusal,
        out: &mut Vec<Command>,
    ) {
        self.send_refusal(ticket, refusal, out);
        self.remove_request(ticket, out);
    }

    /// Replays the stored response to a repeated request.
    pub(super) fn replay(
        &mut self,
        ticket: Ticket,
        response: Arc<StoredResponse>,
        out: &mut Vec<Command>,
    ) {
        self.counters.replayed += 1;
        out.push(Command::Replay { ticket, response });
        self.remove_request(ticket, out);
    }

    /// Sends a refusal unless the caller left or already has its response.
    fn send_refusal(&mut self, ticket: Ticket, refusal: Refusal, out: &mut Vec<Command>) {
        let orphan = self
            .requests
            .get(&ticket)
            .is_none_or(|request| request.orphaned);
        if orphan {
            return;
        }
        match refusal.outcome {
            Outcome::NotRun => self.counters.not_run += 1,
            Outcome::Unknown => self.counters.unknown += 1,
            Outcome::Complete => self.counters.complete += 1,
        }
        out.push(Command::Refuse { ticket, refusal });
    }

    /// Removes a request, settles its key, and responds to the repeats that waited for it.
    pub(super) fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: KeyOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let key = request.key.clone().filter(|_| request.local_key);
        self.remove_request(ticket, out);
        self.unpark(now, out);
        let Some(key) = key else {
            return;
        };
        let released = matches!(outcome, KeyOutcome::Released);
        for waiter in self.keys.settle(now, &key, outcome) {
            let claim = self.keys.settled_claim(&key);
            match claim {
                Some(Claim::Replay(response)) => self.replay(waiter, response, out),
                Some(Claim::Refuse(refusal)) => self.pass_refusal(waiter, refusal, out),
                _ => {
                    debug_assert!(released, "a settled key without a claim must be released");
                    let refusal = Refusal::unknown(Reason::Overload);
                    self.pass_refusal(waiter, refusal, out);
                }
            }
        }
    }

    /// Removes a request and releases its concurrency unit.
    pub(super) fn remove_request(&mut self, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(request) = self.requests.remove(&ticket) else {
            return;
        };
        self.deadlines.remove(&(request.deadline, ticket));
        out.push(Command::Done(ticket));
        if self.did_not_run(&request) {
            self.allowances.refund(&request);
        }
        if request.charged {
            self.limits.release(request.customer);
            self.freed_customers.insert(request.customer);
        }
    }

    /// Returns whether a request that is removed is certain not to have run.
    fn did_not_run(&self, request: &Request) -> bool {
        let sending = match request.stage {
            Stage::Running(key) | Stage::Forwarded(key) => {
                self.attempts.get(&key).is_some_and(|attempt| attempt.sent)
            }
            _ => false,
        };
        request.runs == 0 && !request.maybe_ran && !sending
    }

    /// Removes a request from the queue that it waits in, if any.
    pub(super) fn remove_from_queue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket).cloned() else {
            return;
        };
        match request.stage {
            Stage::Queued => {
                let flow = request.flow;
                self.service_state(request.service)
                    .queue
                    .remove(flow, ticket);
            }
            Stage::Parked => self.limits.remove_parked(request.customer, ticket),
            Stage::AwaitingTokens => self.allowances.remove_waiting(request.tenant, ticket),
            Stage::Joined => self.remove_key_waiter(&request, ticket),
            Stage::Asking => {
                if let Some(stream) = request.stream {
                    self.streams.remove_waiter(stream.id, ticket);
                }
            }
            Stage::Routing | Stage::Running(_) | Stage::Forwarded(_) => {}
        }
    }

    /// Removes a request from those that wait for its key.
    fn remove_key_waiter(&mut self, request: &Request, ticket: Ticket) {
        if let Some(key) = &request.key {
            self.keys.remove_waiter(key, ticket);
        }
    }

    /// Handles the disconnect of a caller.
    ///
    /// A running request whose key this node owns continues, so that a repeat gets its response.
    /// Every other request is cancelled or refused.
    pub(super) fn handle_disconnect(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        match request.stage {
            Stage::Running(_) | Stage::Forwarded(_) if request.local_key => request.orphaned = true,
            Stage::Running(attempt) | Stage::Forwarded(attempt) => {
                request.orphaned = true;
                self.cancel(attempt, out);
            }
            _ => {
                request.orphaned = true;
                let refusal = Refusal::not_run(Reason::Deadline);
                self.refuse(now, ticket, refusal, out);
            }
        }
    }

    /// Cancels an attempt unless it was cancelled before.
    pub(super) fn cancel(&mut self, key: crate::AttemptKey, out: &mut Vec<Command>) {
        if let Some(attempt) = self.attempts.get_mut(&key)
            && !attempt.cancelled
        {
            attempt.cancelled = true;
            out.push(Command::Cancel(key));
        }
    }

    /// Ends all requests whose deadline has passed.
    pub(super) fn expire_requests(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some((deadline, ticket)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.remove(&(deadline, ticket));
            self.expire_request(now, ticket, out);
        }
    }

    fn expire_request(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let [not_run, unknown] =
            [Refusal::not_run, Refusal::unknown].map(|refusal| refusal(Reason::Deadline));
        self.give_up(now, ticket, not_run, unknown, out);
    }

    /// Gives a request its final response now: one of two refusals, by whether it was sent.
    pub(super) fn give_up(
        &mut self,
        now: Time,
        ticket: Ticket,
        not_run: Refusal,
        unknown: Refusal,
        out: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let (Stage::Running(key) | Stage::Forwarded(key)) = request.stage else {
            let joined = request.stage == Stage::Joined;
            let refusal = if joined { unknown } else { not_run };
            self.refuse(now, ticket, refusal, out);
            return;
        };
        let owned = request.local_key;
        let sent = self.attempts.get(&key).is_some_and(|attempt| attempt.sent);
        if !sent {
            // [`Node::authorize_send`] prevents a cancelled attempt from sending its first byte.
            self.cancel(key, out);
            self.end_unsent(key, ticket);
            self.refuse_dequeued(now, ticket, not_run, out);
            return;
        }
        self.send_refusal(ticket, unknown, out);
        self.request_mut(ticket).orphaned = true;
        if !owned {
            self.cancel(key, out);
        }
    }

    /// Releases the slot of an attempt that was never sent.
    fn end_unsent(&mut self, key: crate::AttemptKey, ticket: Ticket) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        let crate::request::Destination::Target(target) = attempt.destination else {
            return;
        };
        self.targets.end_request(target, attempt.suspect);
        self.targets
            .end_prompt(target, attempt.work, attempt.responded.is_some());
        let request = &self.requests[&ticket];
        let (service, flow) = (request.service, request.flow);
        self.service_state(service).queue.end(flow);
    }
}
