//! Incoming requests as adapters pass them to a node.

use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{
    CustomerId, Fingerprint, IssuedKey, RegionId, ServiceId, StreamId, TenantId, VersionId, VmId,
};

use crate::handle::Ticket;
use crate::prompt::Prompt;

/// A node that has forwarded a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
}

/// The sender of a request to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another node.
    Peer {
        /// Nodes that have forwarded the request, in order.
        hops: Vec<Hop>,
        /// Configuration revision that the sender used for routing.
        revision: u64,
    },
}

/// The idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdempotencyKey {
    /// A key that a node of this deployment issued.
    Issued(IssuedKey),
    /// A key chosen by the caller, hashed together with the service name.
    Caller {
        /// The customer. Keys of different customers never collide.
        customer: CustomerId,
        /// Digest of the service name and the key.
        digest: u64,
    },
}

/// The stream that a request begins or takes up, where another target can resume it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPart {
    /// Identifies the stream over all requests that take it up.
    pub id: StreamId,
    /// Whether an event of it may have reached its caller.
    pub begun: bool,
    /// Version of the targets' software that began it, if known.
    pub version: Option<VersionId>,
}

/// A request that an adapter has read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier assigned by the adapter, unique within the incarnation.
    pub ticket: Ticket,
    /// Who sent it.
    pub origin: Origin,
    /// The authenticated customer.
    pub customer: CustomerId,
    /// The service called.
    pub service: ServiceId,
    /// Whether running it more than once is safe.
    pub repeatable: bool,
    /// Whether its body is buffered, so that it can be sent more than once.
    pub replayable: bool,
    /// Its idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Fingerprint, equal for requests that a target cannot tell apart.
    pub fingerprint: Fingerprint,
    /// What it may share with other requests to the service besides parts of its prompt, such as
    /// its caller or its path, the narrowest last.
    pub attributes: Vec<Fingerprint>,
    /// Digest of the prompt prefix, for model engines.
    pub prefix: Option<u64>,
    /// Time left until the caller's deadline.
    pub budget: Duration,
    /// Tenant whose API key it has.
    pub tenant: Option<TenantId>,
    /// Rules of its route, if routes are published.
    pub route: Option<RouteRules>,
    /// Prompt for a model engine with its token counts, if the caller states them.
    pub prompt: Option<Arc<Prompt>>,
    /// Stream that it begins or takes up, if the response can be resumed.
    pub stream: Option<StreamPart>,
}

/// Rules that a published route sets for each of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRules {
    /// Latency up to which a response keeps its full value.
    pub objective: Duration,
    /// Maximum number of targets that may run the request.
    pub max_attempts: u32,
    /// Priority that targets are told. 0 is the most urgent.
    pub rank: u8,
    /// Rank of the route itself, which orders the kinds of requests of a service. 0 is the most urgent.
    pub kind: u8,
    /// Whether the response is a stream.
    pub streams: bool,
    /// Whether another target can resume a stream that was interrupted.
    pub resumable: bool,
}
