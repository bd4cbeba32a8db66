//! Requests that a node holds and their attempts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{CustomerId, Fingerprint, RegionId, ServiceId, Time, VmId};

use crate::arrival::{Arrival, Class, Hop, KeyName, Origin};
use crate::handle::{AttemptKey, TargetKey, Ticket};
use crate::prompt::Prompt;
use crate::targets::PromptWork;

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for concurrency units of its customer.
    Parked,
    /// It waits for another request with the same key.
    Joined,
    /// It is being placed.
    Placing,
    /// It waits for a slot of a target.
    Queued,
    /// It runs at a target of this node's region.
    Running(AttemptKey),
    /// It runs at another node.
    Away(AttemptKey),
}

/// A request that has no final answer yet.
#[derive(Clone, Debug)]
pub struct Request {
    /// The customer.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceId,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Whether its body is held, so that it can be sent more than once.
    pub replayable: bool,
    /// Whether its first byte may have left.
    pub opened: bool,
    /// Its idempotency key, if it may not be repeated. Otherwise a key changes nothing.
    pub key: Option<KeyName>,
    /// Whether this node's key table decides on its key.
    pub owned: bool,
    /// The other node that decides on its key.
    pub owner: Option<VmId>,
    /// What makes two requests the same for a target.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's prefix.
    pub prefix: Option<u64>,
    /// When it arrived.
    pub arrived: Time,
    /// The caller's deadline.
    pub deadline: Time,
    /// Nodes it passed before this one.
    pub hops: Vec<Hop>,
    /// Where it is.
    pub stage: Stage,
    /// Whether it holds a unit of its customer's concurrency here.
    pub charged: bool,
    /// Regions that refused it.
    pub refused: BTreeSet<RegionId>,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether the caller left or had its answer while an attempt goes on.
    pub orphan: bool,
    /// Whether an attempt may have run.
    pub tainted: bool,
    /// Rules of its route.
    pub class: Option<Class>,
    /// What it asks of a model engine.
    pub prompt: Option<Arc<Prompt>>,
    /// Attempts at targets that may have run.
    pub runs: u32,
    /// Targets that refused or failed it.
    pub avoid: BTreeSet<TargetKey>,
}

impl Request {
    /// Takes in an arrival.
    #[must_use]
    pub fn new(now: Time, arrival: &Arrival) -> Self {
        let hops = match &arrival.origin {
            Origin::Caller => Vec::new(),
            Origin::Peer { hops, .. } => hops.clone(),
        };
        Self {
            customer: arrival.customer,
            service: arrival.service,
            repeatable: arrival.repeatable,
            replayable: arrival.replayable,
            opened: false,
            key: arrival.key.clone().filter(|_| !arrival.repeatable),
            owned: false,
            owner: None,
            fingerprint: arrival.fingerprint,
            prefix: arrival.prefix,
            arrived: now,
            deadline: now + arrival.budget,
            hops,
            stage: Stage::Placing,
            charged: false,
            refused: BTreeSet::new(),
            attempts: 0,
            orphan: false,
            tainted: false,
            class: arrival.class,
            prompt: arrival.prompt.clone(),
            runs: 0,
            avoid: BTreeSet::new(),
        }
    }

    /// Tells whether another node handed it in.
    #[must_use]
    pub fn forwarded(&self) -> bool {
        !self.hops.is_empty()
    }

    /// Tells whether it can be sent once more.
    #[must_use]
    pub fn sendable(&self) -> bool {
        self.replayable || !self.opened
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn budget(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}

/// Where an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// At a target.
    Target(TargetKey),
    /// At another node.
    Node {
        /// The node.
        vm: VmId,
        /// Its region.
        region: RegionId,
    },
}

/// An attempt without an end yet.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its request.
    pub ticket: Ticket,
    /// Where it runs.
    pub place: Place,
    /// When it was decided.
    pub started: Time,
    /// Whether the first byte may have left.
    pub sent: bool,
    /// Whether it was found silent.
    pub silent: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether its request was a suspect when it started.
    pub suspect: bool,
    /// What it brings to an engine.
    pub work: PromptWork,
    /// Whether the first bytes of its answer arrived.
    pub started_answer: bool,
}
