//! Broken decisions, put between a node and the world to prove that the oracle sees them.

use std::sync::Arc;

use seam_core::{Arrival, Command, Event, Origin, Reply};
use seam_protocol::{Outcome, Reason, TargetId};

/// One way of breaking a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// Nothing is broken.
    #[default]
    None,
    /// Requests go to targets of any region.
    AnyRegion,
    /// A forwarded request forgets its path.
    DropHops,
    /// A broken exchange counts as not sent.
    BrokenAsNotSent,
    /// An unknown outcome is told as not run.
    UnknownAsNotRun,
    /// A cut answer counts as whole.
    CutAsWhole,
    /// Answers of two requests are swapped.
    SwapResponses,
    /// The platform's list is not read.
    IgnoreVmList,
    /// A draining node ends at once.
    DrainAtOnce,
    /// A node may take an older revision.
    AcceptOlder,
    /// Nobody passes revisions on and nobody watches.
    NoUpdates,
    /// Deadlines are not enforced.
    NoDeadline,
    /// Every node thinks that it holds all units of a customer.
    AllUnits,
    /// A key is forgotten at once.
    DropKeys,
}

impl Mutation {
    /// Changes a request on its way into a node.
    pub fn arrival(self, arrival: &mut Arrival) {
        match self {
            Self::DropHops => arrival.origin = Origin::Caller,
            Self::DropKeys => arrival.key = None,
            _ => {}
        }
    }

    /// Changes the end of an attempt on its way into a node.
    #[must_use]
    pub fn reply(self, reply: Reply) -> Reply {
        match (self, reply) {
            (Self::BrokenAsNotSent, Reply::Broken { .. }) => Reply::NotSent,
            (Self::CutAsWhole, Reply::Broken { .. }) => Reply::Complete { response: None },
            (_, reply) => reply,
        }
    }

    /// Changes an event on its way into a node.
    #[must_use]
    pub fn event(self, event: Event) -> Event {
        const FACTOR: u32 = 9;
        match (self, event) {
            (Self::AllUnits, Event::Bundle(bundle)) => {
                let mut bundle = (*bundle).clone();
                for customer in bundle.customers.values_mut() {
                    customer.concurrency *= FACTOR;
                }
                Event::Bundle(Arc::new(bundle))
            }
            (_, event) => event,
        }
    }

    /// Tells whether a node takes a bundle that is older than the one in force.
    #[must_use]
    pub fn accepts_older(self, event: &Event, revision: u64) -> bool {
        let older = matches!(event, Event::Bundle(bundle) if bundle.revision < revision);
        self == Self::AcceptOlder && older
    }

    /// Changes a command on its way out of a node. Returns whether it is carried out at all.
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
