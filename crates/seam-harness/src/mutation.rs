//! Mutations of a node's inputs and commands, which show that the oracle detects wrong decisions.

use std::sync::Arc;

use seam_core::{Arrival, AttemptOutcome, Command, Event, Origin, Refusal};
use seam_protocol::{Outcome, Reason, TargetId};

/// The way of a target's response to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePath {
    /// From a target of the caller's node.
    Direct,
    /// Through another node of the same region.
    SameRegion,
    /// Through a node of another region.
    OtherRegion,
    /// After another run of the same request.
    Retried,
}

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
    /// A failure after a run keeps the status by which callers know that a request was not run.
    KeepStatus(ResponsePath),
    /// A refusal of a request that an earlier attempt may have run is returned as not run.
    RetriedAsNotRun,
    /// The end of a response that has started is reported as a refusal.
    StartedAsRefused,
    /// A cancelled attempt is reported as not sent.
    CancelledAsNotSent,
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
            (Self::StartedAsRefused, AttemptOutcome::Broken { started: true }) => {
                AttemptOutcome::Refused(Refusal::not_run(Reason::Refused))
            }
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
            (Self::RetriedAsNotRun, Command::Refuse { refusal, .. }) => {
                let own_failure = matches!(
                    refusal.reason,
                    Reason::Broken | Reason::Silent | Reason::Deadline | Reason::KeyOwner
                );
                if !own_failure {
                    refusal.outcome = Outcome::NotRun;
                }
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
