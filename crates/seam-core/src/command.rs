//! Commands from a node to its adapters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Heartbeat, ServiceId, StoredResponse, TargetId, TenantId, VersionId, VmId};

use crate::allowance::COORDINATORS;
use crate::arrival::Hop;
use crate::audit::Audit;
use crate::catalogue::Source;
use crate::config_version::ConfigChange;
use crate::handle::{AttemptKey, Ticket};
use crate::placement::Order;
use crate::refusal::Refusal;
use crate::spill::RoutingDecision;
use crate::store_call::StoreChange;
use crate::targets::TargetEstimate;

/// How a node found the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// It had recorded it.
    Known,
    /// Another node replied to its query.
    Reported,
    /// No node that it reached knows it.
    Unknown,
}

impl OriginSource {
    /// Returns the name for log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Reported => "reported",
            Self::Unknown => "unknown",
        }
    }
}

/// Why an attempt is not sent after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// It was cancelled meanwhile.
    Cancelled,
    /// The process was paused, and has not heard from others since.
    Paused,
    /// The request's deadline has passed.
    Deadline,
    /// Its answer might come after the end of this process.
    Draining,
    /// Its residency does not allow the region any more.
    Residency,
    /// The target leaves, or left, meanwhile.
    Leaving,
    /// This node's share of the rate that the target grants is used up.
    Rate,
}

impl Withheld {
    /// Returns the name for log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Paused => "paused",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::Residency => "residency",
            Self::Leaving => "leaving",
            Self::Rate => "rate",
        }
    }
}

/// Another node that has other items than this one, although both claim to know every change up to the same
/// revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemDifference {
    /// The other node.
    pub peer: VmId,
    /// The revision.
    pub revision: u64,
    /// Digest of this node's items.
    pub own: u32,
    /// Digest of the other node's items.
    pub other: u32,
}

/// What a node decided about the allowances of tenants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AllowanceEvent {
    /// A request is refused.
    Refused {
        /// The request.
        ticket: Ticket,
        /// Its tenant.
        tenant: TenantId,
        /// Tokens that it costs.
        cost: f64,
        /// Tokens that this node holds for the tenant.
        held: f64,
        /// Coordinators that were asked last.
        coordinators: [Option<VmId>; COORDINATORS],
        /// Time after which there are enough.
        wait: Duration,
    },
    /// Another coordinator of a part of this node's share is asked from now on.
    Coordinator {
        /// The one before.
        from: Option<VmId>,
        /// The new one.
        to: VmId,
        /// Size of the part.
        share: f64,
    },
}

/// An output of [`crate::Node::handle`].
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a request to a target.
    Send {
        /// The request.
        ticket: Ticket,
        /// Identifies this attempt in later events.
        attempt: AttemptKey,
        /// The target.
        target: TargetId,
        /// Its service.
        service: ServiceId,
        /// Its address.
        address: SocketAddr,
        /// Time without progress after which to report [`crate::Event::Silent`].
        silence: Duration,
        /// Time until the caller's deadline.
        budget: Duration,
        /// Whether to return the response in [`crate::AttemptOutcome::Complete`].
        keep_response: bool,
        /// Address of a target from which it can copy missing parts of the prompt cache.
        copy_from: Option<SocketAddr>,
        /// Estimates on which the choice of the target was based.
        estimate: TargetEstimate,
        /// Version of the target's software.
        version: VersionId,
    },
    /// Log which version began the stream that a request takes up.
    LogOrigin {
        /// The request.
        ticket: Ticket,
        /// The version, `None` if it is unknown.
        version: Option<VersionId>,
        /// How it was found.
        source: OriginSource,
    },
    /// Log a routing decision and its inputs. Omitted for a request that starts here at once.
    LogRouting {
        /// The request.
        ticket: Ticket,
        /// The decision and its inputs.
        decision: RoutingDecision,
    },
    /// Log why an attempt is not sent.
    LogWithheld {
        /// The request.
        ticket: Ticket,
        /// The attempt.
        attempt: AttemptKey,
        /// The reason.
        reason: Withheld,
    },
    /// Forward a request to another node, without retries.
    Forward {
        /// The request.
        ticket: Ticket,
        /// Identifies this attempt in later events.
        attempt: AttemptKey,
        /// The node.
        vm: VmId,
        /// Its address for peer traffic.
        address: SocketAddr,
        /// Nodes that have forwarded the request, ending with this one.
        hops: Vec<Hop>,
        /// Configuration revision used for routing.
        revision: u64,
        /// Version of the targets' software that alone may go on with the request's stream.
        version: Option<VersionId>,
        /// Time until the caller's deadline.
        budget: Duration,
    },
    /// Respond to a request with a refusal.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The refusal.
        refusal: Refusal,
    },
    /// Respond to a request with a stored response.
    Replay {
        /// The request.
        ticket: Ticket,
        /// The response.
        response: Arc<StoredResponse>,
    },
    /// Release a request whose attempts have all ended.
    Done(Ticket),
    /// Stop an attempt and report its end in [`crate::Event::AttemptEnded`].
    Cancel(AttemptKey),
    /// Open a new connection to a target and report [`crate::Event::Probed`].
    Probe {
        /// The target.
        target: TargetId,
        /// Its address.
        address: SocketAddr,
        /// Time for which to try again while connections hang.
        patience: Duration,
    },
    /// Ask a target for its health and report [`crate::Event::ColdReported`] if it says how long it is
    /// cold.
    CheckHealth {
        /// The target.
        target: TargetId,
        /// Its service.
        service: ServiceId,
        /// Its address.
        address: SocketAddr,
    },
    /// Send a heartbeat.
    Heartbeat {
        /// The receiver.
        to: VmId,
        /// Its address for peer traffic.
        address: SocketAddr,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// Fetch a peer's newest manifest and the parts that changed.
    FetchManifest {
        /// The peer.
        from: VmId,
        /// Its address for peer traffic.
        address: SocketAddr,
    },
    /// Fetch the items that changed since a revision from a peer.
    FetchItems {
        /// The peer.
        from: VmId,
        /// Its address for peer traffic.
        address: SocketAddr,
        /// The revision.
        since: u64,
        /// How to merge the items.
        source: Source,
    },
    /// Drop the response of an attempt before any of it is forwarded, because the request is
    /// retried.
    Discard(AttemptKey),
    /// Send an order to an engine.
    Order {
        /// The target.
        target: TargetId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// Fencing token of the order.
        fence: u64,
    },
    /// Log what this node learned of a version of the configuration.
    LogConfig(ConfigChange),
    /// Log that another node has other items than this one at the same revision.
    LogDifference(ItemDifference),
    /// Log a decision about the allowances of tenants.
    LogAllowance(AllowanceEvent),
    /// Log that this node begins or stops to admit requests with API keys.
    LogAdmission {
        /// Whether it admits them from now on.
        admits: bool,
        /// Age of the last confirmation of the configuration in force, if there is one.
        age: Option<Duration>,
    },
    /// Log what the store's answers say about what this node knew.
    LogStore(StoreChange),
    /// Append an entry to the audit trail.
    Audit(Audit),
}
