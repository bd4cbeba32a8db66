//! Unfinished requests of a node and their attempts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{
    CustomerId, Fingerprint, RegionId, ServiceId, TenantId, Time, VersionId, VmId,
};

use crate::arrival::{Arrival, Hop, IdempotencyKey, Origin, RouteRules, StreamPart};
use crate::fair::FlowKey;
use crate::handle::{AttemptKey, TargetKey, Ticket};
use crate::poison::part_fingerprints;
use crate::prompt::Prompt;
use crate::targets::PromptWork;

/// The processing stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a free concurrency unit of its customer.
    Parked,
    /// It waits for tokens of its tenant's allowance.
    AwaitingTokens,
    /// It waits for another request with the same key.
    Joined,
    /// It waits until other nodes say which version began its stream.
    Asking,
    /// Its region and node are being chosen.
    Routing,
    /// It waits for a free slot at a target.
    Queued,
    /// It runs at a target of this node's region.
    Running(AttemptKey),
    /// It runs at another node.
    Forwarded(AttemptKey),
}

/// A request that has no final response yet.
#[derive(Clone, Debug)]
pub struct Request {
    /// The customer.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceId,
    /// Regions that its customer and its tenant permitted when it arrived, all if `None`.
    pub residency: Option<BTreeSet<RegionId>>,
    /// Whether running it more than once is safe.
    pub repeatable: bool,
    /// Whether its body is buffered, so that it can be sent more than once.
    pub replayable: bool,
    /// Whether its first byte may have been sent.
    pub maybe_sent: bool,
    /// Its idempotency key, unless it is repeatable. A key has no effect on repeatable requests.
    pub key: Option<IdempotencyKey>,
    /// Whether its key is in the key table of this node.
    pub local_key: bool,
    /// The other node that is responsible for its key.
    pub key_owner: Option<VmId>,
    /// Fingerprint, equal for requests that a target cannot tell apart.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
    /// Fingerprints of its other attributes that other requests may share, the narrowest last.
    pub attributes: Vec<Fingerprint>,
    /// Whether it is served although a shared part or attribute is quarantined.
    pub trial: bool,
    /// Digest of the prompt prefix.
    pub prefix: Option<u64>,
    /// When it arrived.
    pub arrived: Time,
    /// The caller's deadline.
    pub deadline: Time,
    /// Nodes that have forwarded it, in order.
    pub hops: Vec<Hop>,
    /// Its processing stage.
    pub stage: Stage,
    /// Whether it is in excess of its tenant's usual load.
    pub excess: bool,
    /// Flow of the fair queue that it was last queued in.
    pub flow: FlowKey,
    /// Whether it counts against its customer's concurrency at this node.
    pub charged: bool,
    /// Tokens of its tenant's allowance that it took at this node.
    pub paid: Option<f64>,
    /// Regions that refused or failed it.
    pub refused: BTreeSet<RegionId>,
    /// Nodes that could not take it: they reach no target for it, or have another revision of the
    /// configuration.
    pub tried: BTreeSet<VmId>,
    /// Whether a node refused it because of another revision of the configuration.
    pub other_revision: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Whether the caller disconnected or got its response while an attempt continues.
    pub orphaned: bool,
    /// Whether an attempt may have run.
    pub maybe_ran: bool,
    /// Tenant whose API key it has.
    pub tenant: Option<TenantId>,
    /// Rules of its route.
    pub route: Option<RouteRules>,
    /// Prompt for a model engine with its token counts, if known.
    pub prompt: Option<Arc<Prompt>>,
    /// Stream that it begins or takes up, if the response can be resumed.
    pub stream: Option<StreamPart>,
    /// Number of attempts at targets that may have run.
    pub runs: u32,
    /// Targets that refused the request or failed while running it.
    pub avoid: BTreeSet<TargetKey>,
    /// Whether it has reached a target, of this node or of one that it was forwarded to.
    pub offered: bool,
}

impl Request {
    /// Creates a request from an arrival.
    #[must_use]
    pub fn new(now: Time, arrival: &Arrival) -> Self {
        let hops = match &arrival.origin {
            Origin::Caller => Vec::new(),
            Origin::Peer { hops, .. } => hops.clone(),
        };
        let prompt = arrival.prompt.as_deref();
        let parts = prompt.map(|prompt| part_fingerprints(arrival.service, prompt));
        let parts = parts.unwrap_or_default();
        Self {
            customer: arrival.customer,
            service: arrival.service,
            residency: None,
            repeatable: arrival.repeatable,
            replayable: arrival.replayable,
            maybe_sent: false,
            key: arrival.key.clone().filter(|_| !arrival.repeatable),
            local_key: false,
            key_owner: None,
            fingerprint: arrival.fingerprint,
            parts,
            attributes: arrival.attributes.clone(),
            trial: false,
            prefix: arrival.prefix,
            arrived: now,
            deadline: now + arrival.budget,
            hops,
            stage: Stage::Routing,
            excess: false,
            flow: FlowKey::default(),
            charged: false,
            paid: None,
            refused: BTreeSet::new(),
            tried: BTreeSet::new(),
            other_revision: false,
            attempts: 0,
            orphaned: false,
            maybe_ran: false,
            tenant: arrival.tenant,
            route: arrival.route,
            prompt: arrival.prompt.clone(),
            stream: arrival.stream,
            runs: 0,
            avoid: BTreeSet::new(),
            offered: false,
        }
    }

    /// Returns the fingerprints of all that it may share with other requests, for the table of
    /// suspects.
    pub fn shared(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.parts.iter().chain(&self.attributes).copied()
    }

    /// Returns the version of the targets' software that alone may go on with its stream, if the
    /// stream has begun.
    #[must_use]
    pub fn version(&self) -> Option<VersionId> {
        self.stream.and_then(|stream| stream.version)
    }

    /// Returns whether its customer and its tenant permitted a region when it arrived. Another route may have taken over
    /// the customer's name since.
    #[must_use]
    pub fn permits(&self, region: RegionId) -> bool {
        let residency = self.residency.as_ref();
        residency.is_none_or(|regions| regions.contains(&region))
    }

    /// Returns whether another node forwarded it.
    #[must_use]
    pub fn forwarded(&self) -> bool {
        !self.hops.is_empty()
    }

    /// Returns whether it can be sent again.
    #[must_use]
    pub fn sendable(&self) -> bool {
        self.replayable || !self.maybe_sent
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn budget(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}

/// Where an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
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

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its request.
    pub ticket: Ticket,
    /// Where it runs.
    pub destination: Destination,
    /// When the node decided to make the attempt.
    pub started: Time,
    /// Whether the first byte may have been sent.
    pub sent: bool,
    /// Since when it makes no progress, if that was reported.
    pub silent: Option<Time>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether the request was suspected of crashing targets when the attempt started.
    pub suspect: bool,
    /// Work that it adds to a model engine: prefill tokens, KV tokens and predicted time.
    pub work: PromptWork,
    /// When the first bytes of its response arrived.
    pub responded: Option<Time>,
}
