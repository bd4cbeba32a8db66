//! What a node wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Heartbeat, Outcome, Reason, ServiceId, StoredAnswer, TargetId, VmId};

use crate::audit::Audit;
use crate::event::Hop;
use crate::request::{AttemptKey, Ticket};

/// A final answer by the system itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When the caller may ask again.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal of a request that certainly did not run.
    ///
    /// ```
    /// use seam_core::Refusal;
    /// use seam_protocol::{Outcome, Reason};
    /// assert_eq!(Refusal::not_run(Reason::Rate).outcome, Outcome::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry: None,
        }
    }

    /// Builds a refusal of a request that may have run.
    ///
    /// ```
    /// use seam_core::Refusal;
    /// use seam_protocol::{Outcome, Reason};
    /// assert_eq!(Refusal::unknown(Reason::Broken).outcome, Outcome::Unknown);
    /// ```
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry: None,
        }
    }

    /// Adds the time after which the caller may ask again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::Refusal;
    /// use seam_protocol::Reason;
    /// let refusal = Refusal::not_run(Reason::Rate).after(Duration::from_secs(1));
    /// assert_eq!(refusal.retry, Some(Duration::from_secs(1)));
    /// ```
    #[must_use]
    pub fn after(mut self, retry: Duration) -> Self {
        self.retry = Some(retry);
        self
    }
}

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    Load(String),
    /// Unload a model.
    Unload(String),
}

/// What a target was chosen by, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grounds {
    /// Requests of all nodes that were estimated to run there.
    pub load: u32,
    /// Tokens of the prompt that were not expected in its cache.
    pub unread: u32,
    /// Predicted milliseconds to the first token, zero where nothing is predicted.
    pub predicted: u32,
}

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
        grounds: Grounds,
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
