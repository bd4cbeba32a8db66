//! What happens to a node.

use std::sync::Arc;

use seam_protocol::{Bundle, CacheEvent, Heartbeat, LoadReport, StoredAnswer, TargetId, VmState};

use crate::arrival::Arrival;
use crate::catalogue::{ItemBatch, Source};
use crate::handle::{AttemptKey, Ticket};
use crate::refusal::Refusal;

/// How an attempt at a target or another node ended.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The whole answer passed to the caller.
    Complete {
        /// The answer, if it was small enough to keep.
        answer: Option<Arc<StoredAnswer>>,
    },
    /// Certainly nothing was sent.
    NotSent,
    /// The target or node refused before running.
    Refused(Refusal),
    /// Another node could not tell whether the request ran.
    OutcomeUnknown(Refusal),
    /// The exchange failed after something may have been sent.
    Broken {
        /// Whether a part of the answer reached the caller.
        started: bool,
    },
}

/// What is to be drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drainable {
    /// This node.
    Node,
    /// A target, on this node's belief.
    Target(TargetId),
}

/// An input of [`crate::Node::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Adapters hand this in every [`crate::node::TICK`].
    Tick,
    /// A request arrived.
    Arrive(Arrival),
    /// The adapter is about to send the first byte of an attempt.
    Sending(AttemptKey),
    /// An attempt made no progress for the service's silence limit.
    Silent(AttemptKey),
    /// The first bytes of an attempt's answer arrived.
    FirstBytes(AttemptKey),
    /// A target ran a request and answered with an error of its own.
    ErrorAnswer(AttemptKey),
    /// An attempt ended.
    Reply(AttemptKey, Reply),
    /// The caller left.
    CallerGone(Ticket),
    /// A fresh connection to a target was tried.
    Probed {
        /// The target.
        target: TargetId,
        /// Whether it was accepted.
        accepted: bool,
    },
    /// A heartbeat of a peer arrived, its MAC checked.
    Heartbeat(Heartbeat),
    /// A whole and checked bundle was read.
    Bundle(Arc<Bundle>),
    /// The configuration service answered that this revision is the newest.
    RevisionConfirmed(u64),
    /// Items of the platform were read, or heard from a peer.
    ItemsRead(ItemBatch, Source),
    /// The platform stopped answering this node, or answers again.
    PlatformUnreachable(bool),
    /// The platform's list of VMs and targets was read.
    VmList(Vec<VmState>),
    /// A target reported its load.
    Load(TargetId, LoadReport),
    /// A target reported changes of its prefix cache.
    Cache(TargetId, Vec<CacheEvent>),
    /// An operator drains something.
    Drain {
        /// What.
        what: Drainable,
        /// Whether to drain or to take back.
        on: bool,
        /// Who asked.
        actor: String,
    },
}
