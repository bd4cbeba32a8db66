//! What happens to a node.

use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{
    Bundle, CacheEvent, CustomerId, Fingerprint, Heartbeat, IssuedKey, LoadReport, RegionId,
    ServiceId, StoredAnswer, TargetId, VmId, VmState,
};

use crate::catalogue::{News, Source};
use crate::command::Refusal;
use crate::prompt::Prompt;
use crate::request::{AttemptKey, Ticket};

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
pub enum KeyName {
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
    pub key: Option<KeyName>,
    /// What makes two requests the same for a target.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's prefix, for engines.
    pub prefix: Option<u64>,
    /// Time left until the caller's deadline.
    pub budget: Duration,
    /// Rules of its route, where routes are published.
    pub class: Option<Class>,
    /// What it asks of a model engine, where the caller says.
    pub prompt: Option<Arc<Prompt>>,
}

/// Rules of a published route that bind one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Most targets that may run the request.
    pub attempts: u32,
    /// Rank among routes, 0 being the most urgent.
    pub rank: u8,
    /// Whether the answer is a stream.
    pub streams: bool,
    /// Whether another target can go on with a stream that broke off.
    pub resumable: bool,
}

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
    Unsure(Refusal),
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
    First(AttemptKey),
    /// A target ran a request and answered with an error of its own.
    Faulty(AttemptKey),
    /// An attempt ended.
    Reply(AttemptKey, Reply),
    /// The caller left.
    Gone(Ticket),
    /// A fresh connection to a target was tried.
    Probed {
        /// The target.
        target: TargetId,
        /// Whether it was accepted.
        accepted: bool,
    },
    /// A heartbeat of a peer arrived, its MAC checked.
    Beat(Heartbeat),
    /// A whole and checked bundle was read.
    Bundle(Arc<Bundle>),
    /// The configuration service answered that this revision is the newest.
    Confirmed(u64),
    /// Items of the platform were read, or heard from a peer.
    Published(News, Source),
    /// The platform stopped answering this node, or answers again.
    PlatformAway(bool),
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
