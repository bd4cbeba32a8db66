//! A request as adapters hand it in.

use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{CustomerId, Fingerprint, IssuedKey, RegionId, ServiceId, VmId};

use crate::handle::Ticket;
use crate::prompt::Prompt;

/// A node that a request has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
}

/// Who handed a request to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another node.
    Peer {
        /// Nodes that the request has passed, the first one first.
        hops: Vec<Hop>,
        /// Revision by which it was routed.
        revision: u64,
    },
}

/// The idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdempotencyKey {
    /// A key that a node of this deployment issued.
    Issued(IssuedKey),
    /// A key that the caller made, digested together with the service's name.
    Caller {
        /// The customer; keys of two customers never meet.
        customer: CustomerId,
        /// Digest of service and key.
        digest: u64,
    },
}

/// A request as adapters have read it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The adapter's name for it, unique within the incarnation.
    pub ticket: Ticket,
    /// Who handed it in.
    pub origin: Origin,
    /// The authenticated customer.
    pub customer: CustomerId,
    /// The service called.
    pub service: ServiceId,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Whether its body is held, so that it can be sent more than once.
    pub replayable: bool,
    /// Its idempotency key.
    pub key: Option<IdempotencyKey>,
    /// What makes two requests the same for a target.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's prefix, for engines.
    pub prefix: Option<u64>,
    /// Time left until the caller's deadline.
    pub budget: Duration,
    /// Rules of its route, where routes are published.
    pub route: Option<RouteRules>,
    /// What it asks of a model engine, where the caller says.
    pub prompt: Option<Arc<Prompt>>,
}

/// Rules of a published route that bind one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRules {
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Most targets that may run the request.
    pub max_attempts: u32,
    /// Rank among routes, 0 being the most urgent.
    pub rank: u8,
    /// Whether the answer is a stream.
    pub streams: bool,
    /// Whether another target can go on with a stream that broke off.
    pub resumable: bool,
}
