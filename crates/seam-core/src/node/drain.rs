//! Planned stops: which requests a draining node still takes, and what the others are told.
//!
//! Another node can take at once what this one refuses, so a request is refused as soon as its answer might
//! come after the end of the process.

use std::time::Duration;

use seam_protocol::{Reason, Time};

use super::Node;
use super::dispatch::MIN_RETRY_AFTER;
use crate::command::Command;
use crate::handle::Ticket;
use crate::refusal::Refusal;
use crate::request::Request;

/// Time for which a draining node still accepts requests, so that callers can learn that it is
/// draining. It is at most half of the time until the process ends.
const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Multiple of the mean service time in which nearly all requests end.
const USUAL_TIMES: u32 = 2;

impl Node {
    /// Returns whether the node is draining.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.drain_since.is_some()
    }

    /// Returns whether the node is draining, its grace period is over and no request is left.
    #[must_use]
    pub fn drained(&self, now: Time) -> bool {
        self.grace_over(now) && self.requests.is_empty()
    }

    /// Returns whether the node is draining and accepts no request any more.
    pub(super) fn grace_over(&self, now: Time) -> bool {
        let Some(since) = self.drain_since else {
            return false;
        };
        let half = self.ends_at.map(|end| end.since(since) / 2);
        let grace = half.map_or(DRAIN_GRACE, |half| half.min(DRAIN_GRACE));
        now.since(since) >= grace
    }

    /// Returns whether a request might not have its answer when the process ends.
    ///
    /// One that may not be repeated needs all its time until then, since its caller cannot send it
    /// again; for any other one the usual time is enough.
    pub(super) fn outlasts_process(&self, now: Time, request: &Request) -> bool {
        let Some(end) = self.ends_at else {
            return false;
        };
        let usual_end = now + self.slot_time(request.service) * USUAL_TIMES;
        if request.repeatable {
            usual_end.min(request.deadline) >= end
        } else {
            request.deadline >= end
        }
    }

    /// Refuses a request that might outlast the process. Returns whether it was refused.
    pub(super) fn refuse_late(
        &mut self,
        now: Time,
        ticket: Ticket,
        out: &mut Vec<Command>,
    ) -> bool {
        let late = self.outlasts_process(now, &self.requests[&ticket]);
        if late {
            self.refuse(now, ticket, Self::draining_refusal(), out);
        }
        late
    }

    /// Gives every held request its final response, since the process ends.
    pub(super) fn end_drain(&mut self, now: Time, out: &mut Vec<Command>) {
        self.ends_at = Some(now);
        let held: Vec<Ticket> = self.requests.keys().copied().collect();
        for ticket in held {
            let unknown = Refusal::unknown(Reason::Stopped);
            self.give_up(now, ticket, Self::draining_refusal(), unknown, out);
        }
    }

    /// Returns the refusal of a request that other nodes can take at once.
    pub(super) fn draining_refusal() -> Refusal {
        Refusal::not_run(Reason::NotReady).with_retry_after(MIN_RETRY_AFTER)
    }
}
