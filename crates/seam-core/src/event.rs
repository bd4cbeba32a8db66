//! Events that adapters report to a node.

use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{
    Bundle, CacheEvent, Heartbeat, LoadReport, StoredResponse, TargetId, Time, VersionId, VmId,
    VmState,
};

use crate::arrival::Arrival;
use crate::catalogue::{ItemBatch, Source};
use crate::handle::{AttemptKey, Ticket};
use crate::refusal::Refusal;
use crate::store_call::StoreReading;

/// How an attempt at a target or another node ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// The complete response was passed to the caller.
    Complete {
        /// The response, if it was small enough to keep.
        response: Option<Arc<StoredResponse>>,
        /// Whether it reports success.
        success: bool,
    },
    /// It is certain that nothing was sent.
    NotSent,
    /// The target or node refused the request without running it.
    Refused(Refusal),
    /// Another node responded that it does not know whether the request ran.
    OutcomeUnknown(Refusal),
    /// The exchange failed after something may have been sent.
    Broken {
        /// Whether part of the response reached the caller.
        started: bool,
    },
}

/// What an operator can drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drainable {
    /// This node.
    Node,
    /// A target, for requests from this node only.
    Target(TargetId),
}

/// An input of [`crate::Node::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Adapters send this every [`crate::node::TICK`].
    Tick,
    /// A request arrived.
    Arrive(Arrival),
    /// The adapter is about to send the first byte of an attempt.
    Sending(AttemptKey),
    /// An attempt made no progress within the service's silence limit.
    Silent(AttemptKey),
    /// An attempt that was reported as silent made progress.
    Progress(AttemptKey),
    /// The first bytes of the response to an attempt arrived.
    FirstBytes(AttemptKey),
    /// Another node passes on the beginning of an answer by a version of the targets' software.
    StreamBegan(AttemptKey, VersionId),
    /// A target ran a request and responded with its own error.
    ErrorResponse(AttemptKey),
    /// An attempt ended.
    AttemptEnded(AttemptKey, AttemptOutcome),
    /// The caller disconnected.
    CallerGone(Ticket),
    /// A probe, which is a new connection to a target, ended.
    Probed {
        /// The target.
        target: TargetId,
        /// Whether the target accepted the connection, or refused it.
        accepted: bool,
    },
    /// A probe ended, as connections to the target hang. It may be gone or only silent.
    ProbeHung(TargetId),
    /// A heartbeat of a peer with a valid message authentication code arrived.
    Heartbeat(Box<Heartbeat>),
    /// A complete and verified bundle was read.
    Bundle(Arc<Bundle>),
    /// The configuration service confirmed that this revision is the newest.
    RevisionConfirmed(u64),
    /// Items were read from the platform or received from a peer.
    ItemsRead(ItemBatch, Source),
    /// The store answered a call.
    StoreRead(StoreReading),
    /// Items were fetched from a peer.
    ItemsFetched {
        /// The peer.
        from: VmId,
        /// Epoch of its items.
        epoch: u32,
        /// The items.
        items: ItemBatch,
        /// How to merge them.
        source: Source,
    },
    /// Items could not be fetched from this peer.
    ItemsNotRead(VmId),
    /// The platform became unreachable (`true`) or reachable again (`false`).
    PlatformUnreachable(bool),
    /// The platform's list of VMs and targets was read.
    VmList(Vec<VmState>),
    /// A target reported its load.
    Load(TargetId, LoadReport),
    /// The head of an answer arrived that names the requests per second which the target takes from
    /// all nodes together, or (`None`) that names no such limit.
    LimitAdvertised(AttemptKey, Option<f64>),
    /// The head of an answer arrived, here or at another node, that says that its target is about to
    /// leave.
    TargetLeaves(TargetId),
    /// Another target answered at the address of this one.
    TargetMoved(TargetId),
    /// A target said in a health check how long it is cold.
    ColdReported {
        /// The target.
        target: TargetId,
        /// Time for which it is cold, zero if it is not.
        cold: Duration,
        /// When it was asked.
        asked: Time,
    },
    /// The head of an answer arrived with status 503 and the time after which its target takes requests
    /// again.
    TargetClosed(AttemptKey, Duration),
    /// The head of an answer arrived that says whether the targets of the service are brittle: they
    /// fall over if they have to turn away many requests.
    Brittle(AttemptKey, bool),
    /// A target reported changes to its prefix cache.
    Cache(TargetId, Vec<CacheEvent>),
    /// An operator drains a node or target, or ends the drain.
    Drain {
        /// What to drain.
        what: Drainable,
        /// Whether to start the drain (`true`) or to end it (`false`).
        on: bool,
        /// Who requested it.
        actor: String,
    },
    /// A planned stop has begun, and the process ends after this time.
    EndsIn(Duration),
    /// The process ends now, whatever it still holds.
    DrainOver,
}
