//! What a node wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Heartbeat, ServiceId, StoredAnswer, TargetId, VmId};

use crate::arrival::Hop;
use crate::audit::Audit;
use crate::handle::{AttemptKey, Ticket};
use crate::placement::Order;
use crate::refusal::Refusal;
use crate::spill::RoutingDecision;
use crate::targets::TargetEstimate;

/// An output of [`crate::Node::handle`].
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a request to a target.
    Send {
        /// The request.
        ticket: Ticket,
        /// Names this attempt in later events.
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
        /// Whether to hand the answer back in [`crate::Reply::Complete`].
        keep: bool,
        /// A target from which it can copy the parts of the prompt that it lacks.
        copy_from: Option<SocketAddr>,
        /// What the choice was made by.
        grounds: TargetEstimate,
    },
    /// Log what a request's placement was decided by, unless it starts here at once.
    Weighed {
        /// The request.
        ticket: Ticket,
        /// What was weighed.
        weighed: RoutingDecision,
    },
    /// Forward a request to a node, once.
    Forward {
        /// The request.
        ticket: Ticket,
        /// Names this attempt in later events.
        attempt: AttemptKey,
        /// The node.
        vm: VmId,
        /// Its address for peers.
        address: SocketAddr,
        /// Path so far, this node last.
        hops: Vec<Hop>,
        /// Revision by which it was routed.
        revision: u64,
        /// Time until the caller's deadline.
        budget: Duration,
    },
    /// Answer a request by the system itself.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The answer.
        refusal: Refusal,
    },
    /// Answer a request with a kept answer.
    Replay {
        /// The request.
        ticket: Ticket,
        /// The answer.
        answer: Arc<StoredAnswer>,
    },
    /// A request needs nothing more; its attempts have ended.
    Done(Ticket),
    /// Stop an attempt; report it as any other end.
    Cancel(AttemptKey),
    /// Try a fresh connection to a target and report [`crate::Event::Probed`].
    Probe {
        /// The target.
        target: TargetId,
        /// Its address.
        address: SocketAddr,
    },
    /// Send a heartbeat.
    Beat {
        /// The receiver.
        to: VmId,
        /// Its address for peers.
        address: SocketAddr,
        /// The heartbeat.
        beat: Box<Heartbeat>,
    },
    /// Ask a peer for its newest manifest and the parts that changed.
    Fetch {
        /// The peer.
        from: VmId,
        /// Its address for peers.
        address: SocketAddr,
    },
    /// Ask a peer for the items that changed since a revision.
    Pull {
        /// The peer.
        from: VmId,
        /// Its address for peers.
        address: SocketAddr,
        /// The revision.
        since: u64,
    },
    /// Drop an answer that an attempt has not passed on yet, since the request is tried again.
    Discard(AttemptKey),
    /// Give an order to an engine.
    Order {
        /// The target.
        target: TargetId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// Fencing number.
        fence: u64,
    },
    /// Append a line to the audit trail.
    Audit(Audit),
}
