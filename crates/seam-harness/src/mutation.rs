//! Mutations of a node's inputs and commands, which show that the oracle detects wrong decisions.

use std::sync::Arc;

use seam_core::{Arrival, AttemptOutcome, Command, Event, Origin};
use seam_protocol::{Outcome, Reason, TargetId};

/// One way to make a node's decisions wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// No mutation.
    #[default]
    None,
    /// Requests are sent to targets of another region.
    AnyRegion,
    /// A forwarded request loses the list of nodes that it passed.
    DropHops,
    /// A broken exchange is reported as not sent.
    BrokenAsNotSent,
    /// An unknown outcome is returned as not run.
    UnknownAsNotRun,
    /// A truncated response is delivered as complete.
    CutAsWhole,
    /// A caller receives the response to another request.
    SwapResponses,
    /// Nodes receive no changes of the platform's list of VMs.
    IgnoreVmList,
    /// A draining node exits at once.
    DrainAtOnce,
    /// A node applies a revision older than its current one.
    AcceptOlder,
    /// Nodes receive new revisions neither from the service nor from peers.
    NoUpdates,
    /// Nodes send no refusals for missed deadlines.
    NoDeadline,
    /// Every node may use all of a customer's concurrency, not just its own units.
    AllUnits,
    /// Nodes do not see idempotency keys.
    DropKeys,
    /// Every node may use all of a rate limit that a target names, not just its own share.
    WholeLimit,
}

impl Mutation {
    /// Changes a request before a node handles it.
    pub fn arrival(self, arrival: &mut Arrival) {
        match self {
            Self::DropHops => arrival.origin = Origin::Caller,
            Self::DropKeys => arrival.key = None,
            _ => {}
        }
    }

    /// Changes the reply to an attempt before a node handles it.
    #[must_use]
    pub fn reply(self, reply: AttemptOutcome) -> AttemptOutcome {
        match (self, reply) {
            (Self::BrokenAsNotSent, AttemptOutcome::Broken { .. }) => AttemptOutcome::NotSent,
            (Self::CutAsWhole, AttemptOutcome::Broken { .. }) => AttemptOutcome::Complete {
                response: None,
                success: true,
            },
            (_, reply) => reply,
        }
    }

    /// Changes an event before a node handles it.
    #[must_use]
    pub fn event(self, event: Event) -> Event {
        /// Number of VMs in a history, which share a customer's concurrency and a target's limit.
        const FACTOR: u32 = 9;
        match (self, event) {
            (Self::AllUnits, Event::Bundle(bundle)) => {
                let mut bundle = (*bundle).clone();
                for customer in bundle.customers.values_mut() {
                    customer.concurrency *= FACTOR;
                }
                Event::Bundle(Arc::new(bundle))
            }
            (Self::WholeLimit, Event::LimitAdvertised(attempt, rate)) => {
                Event::LimitAdvertised(attempt, rate.map(|rate| rate * f64::from(FACTOR)))
            }
            (_, event) => event,
        }
    }

    /// Returns whether a node must apply a bundle that is older than its current one.
    #[must_use]
    pub fn accepts_older(self, event: &Event, revision: u64) -> bool {
        let older = matches!(event, Event::Bundle(bundle) if bundle.revision < revision);
        self == Self::AcceptOlder && older
    }

    /// Changes a command of a node before the world performs it. Returns whether to perform it.
    ///
    /// `elsewhere` is a target in another region.
    pub fn command(self, command: &mut Command, elsewhere: Option<TargetId>) -> bool {
        match (self, command) {
            (Self::UnknownAsNotRun, Command::Refuse { refusal, .. }) => {
                refusal.outcome = Outcome::NotRun;
            }
            (Self::NoDeadline, Command::Refuse { refusal, .. }) => {
                return refusal.reason != Reason::Deadline;
            }
            (Self::AnyRegion, Command::Send { target, .. }) => {
                if let Some(elsewhere) = elsewhere {
                    *target = elsewhere;
                }
            }
            _ => {}
        }
        true
    }
}
