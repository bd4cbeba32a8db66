//! Heartbeats between nodes, sent several times within the lease of a record. A node counts as dead
//! if no newer record of it arrives within the lease.
//!
//! Postcard encodes fields by position, so their order is part of the wire format.

use serde::{Deserialize, Serialize};

use crate::bundle::{Bundle, Vm};
use crate::id::{
    CustomerId, Fingerprint, Incarnation, RegionId, ServiceTag, StreamId, TargetId, TenantId,
    VersionId, VmId,
};

/// Largest number of tokens of a measurement, beyond any prompt with those before it.
const MAX_SAMPLE_TOKENS: u32 = 1 << 24;

/// Largest count of requests or units in a heartbeat, beyond what a node can hold at once.
pub const MAX_COUNT: u32 = 1 << 18;
/// Largest number of tokens in a heartbeat, beyond the memory of any engine.
const MAX_TOKENS: u64 = 1 << 40;

/// Load of a service at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Short ID of the service.
    pub service: ServiceTag,
    /// Requests that run at targets.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Total weight of the customers with requests at the node.
    pub weight: u32,
    /// Slots that the node could use, with a margin for requests that arrive before its next
    /// heartbeat.
    pub wanted: u32,
}

/// State of a VM, as reported by its node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// VM that the record describes.
    pub vm: VmId,
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Sequence number of the record within the incarnation.
    pub sequence: u32,
    /// Configuration revision that the node uses.
    pub revision: u64,
    /// Whether the node accepts new requests.
    pub ready: bool,
    /// Load of its busiest services.
    pub loads: Vec<ServiceLoad>,
}

/// Capacity of a service in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// Short ID of the service.
    pub service: ServiceTag,
    /// Free slots.
    pub free: u32,
    /// Predicted queueing time in milliseconds of a request that arrives now.
    pub wait: u32,
}

/// Summary of a region's state, made by one of its nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// Region that the summary describes.
    pub region: RegionId,
    /// VM of the node that made the summary.
    pub vm: VmId,
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Sequence number of the summary within the incarnation.
    pub sequence: u32,
    /// Age in milliseconds, summed over the nodes that forwarded it.
    pub age: u32,
    /// Configuration revision that the node uses.
    pub revision: u64,
    /// A few of the region's ready nodes.
    pub nodes: Vec<VmId>,
    /// Capacity of each service.
    pub capacities: Vec<ServiceCapacity>,
}

/// A request fingerprint suspected of crashing targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes attributed to it.
    pub crashes: u8,
}

/// A crash of a target that is attributed to a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The target.
    pub target: TargetId,
    /// Milliseconds until the sender forgets the crash.
    pub lifetime: u32,
    /// Whether a node had no other suspect at the target.
    pub alone: bool,
    /// Milliseconds that the request had been at the target.
    pub run: u32,
}

/// What a heartbeat says about the sender's quarantine beside the suspects that it lists.
///
/// It follows the other fields of the datagram and is left out if it says nothing, so that a process
/// of an earlier version reads the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Digest of what the quarantine follows from, zero for nothing.
    pub digest: u32,
    /// For each listed suspect, the crashes attributed to it.
    pub crashes: Vec<Vec<CrashReport>>,
}

/// A part of prompts suspected of crashing the targets that begin to answer a prompt with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// Fingerprint of the part.
    pub part: Fingerprint,
    /// Position of the part in its prompts.
    pub depth: u8,
    /// Milliseconds since a target began the last answer that is known to have crashed nothing.
    pub answered: Option<u32>,
    /// The crashes since then.
    pub crashes: Vec<CrashReport>,
}

/// The limit that a target names for the requests of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The target.
    pub target: TargetId,
    /// Requests per second; `None` if the target names no limit any more.
    pub rate: Option<f32>,
    /// Milliseconds since the answer that says so.
    pub age: u32,
}

/// The version of the software that began a stream, as far as the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The version; `None` in reply to a query about a stream that the sender does not know.
    pub version: Option<VersionId>,
}

/// What two nodes tell and ask each other about the origins of streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReport {
    /// Origins, unasked or in reply to queries.
    pub origins: Vec<StreamOrigin>,
    /// Streams whose origin the sender asks for.
    pub queries: Vec<StreamId>,
}

impl StreamReport {
    /// Returns whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty() && self.queries.is_empty()
    }
}

/// Whether the sender reaches targets of a service in its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReach {
    /// The service.
    pub service: ServiceTag,
    /// Milliseconds since a target last answered the sender; `None` if the sender has lost most of
    /// them.
    pub age: Option<u16>,
}

/// A target's statement of how long it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The target.
    pub target: TargetId,
    /// Milliseconds for which it is still cold, zero if it is not.
    pub remaining: u32,
    /// Milliseconds since it was asked.
    pub age: u32,
}

/// What the sender made of the configuration item that it uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigMeaning {
    /// Revision of the item, zero if the heartbeat does not report it.
    pub item_revision: u64,
    /// First six bytes of [`Bundle::meaning`], a number that is exact as a float.
    pub digest: u64,
}

impl ConfigMeaning {
    /// Returns what a node made of the item with a revision.
    ///
    /// ```
    /// # use seam_protocol::{Bundle, bundle::Deployment};
    /// # let deployment = Deployment {
    /// #   name: "d".into(), latency_weight: 0.5, regions: Default::default(), links: vec![],
    /// #   vms: Default::default(), loads_per_minute: 1, repeat_window: 1,
    /// # };
    /// use seam_protocol::heartbeat::ConfigMeaning;
    /// let bundle = Bundle::new(deployment);
    /// assert!(ConfigMeaning::of(40, &bundle).digest < 1 << 48);
    /// ```
    #[must_use]
    pub fn of(item_revision: u64, bundle: &Bundle) -> Self {
        Self {
            item_revision,
            digest: bundle.meaning().leading_u64() >> 16,
        }
    }
}

/// A request for more concurrency units for a customer at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortage {
    /// The customer.
    pub customer: CustomerId,
    /// Units lent by the receiver that the sender still uses; it returns the others.
    pub held: u32,
    /// Additional units that the sender could use now.
    pub more: u32,
}

/// Concurrency units lent to the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The customer.
    pub customer: CustomerId,
    /// Total units lent to the receiver from now on.
    pub units: u32,
    /// `sent` time of the heartbeat whose shortage this grant responds to, in microseconds on the
    /// receiver's clock.
    pub requested_at: u64,
}

/// Work of the sender's requests at a target of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWork {
    /// Target.
    pub target: TargetId,
    /// Running requests.
    pub running: u32,
    /// Prompt tokens that the target has not prefilled yet.
    pub prefill_tokens: u32,
    /// KV cache in tokens that is reserved for the requests.
    pub kv_tokens: u64,
}

/// A part of a prompt that a target prefills.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefilledPart {
    /// Target.
    pub target: TargetId,
    /// Digest that identifies the part.
    pub part: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// How much longer work takes at a target at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetMoment {
    /// Target.
    pub target: TargetId,
    /// Time of work in percent of the usual one.
    pub percent: u32,
    /// Milliseconds from the target's answer until the heartbeat was sent.
    pub age: u32,
}

/// A measured time to the first token at an engine, in a usual moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSample {
    /// Engine.
    pub target: TargetId,
    /// Tokens that it had to prefill.
    pub tokens: u32,
    /// Requests that ran there.
    pub running: u32,
    /// Microseconds to the first token.
    pub micros: u32,
}

/// What the sender just learned of the speeds of targets of its region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Unusual moments, and those that ended.
    pub moments: Vec<TargetMoment>,
    /// Measurements at engines whose speed is not well known.
    pub samples: Vec<TargetSample>,
}

impl SpeedReport {
    /// Returns whether it says nothing. Then a heartbeat has no section for it.
    ///
    /// ```
    /// use seam_protocol::heartbeat::TargetMoment;
    /// use seam_protocol::{Heartbeat, RegionId, TargetId, VmId};
    /// let mut heartbeat = Heartbeat::empty(VmId(1), RegionId(2));
    /// let empty = heartbeat.encode();
    /// let moment = TargetMoment { target: TargetId(3), percent: 250, age: 90 };
    /// heartbeat.speeds.moments.push(moment);
    /// let encoded = heartbeat.encode();
    /// assert!(encoded.len() > empty.len());
    /// assert_eq!(Heartbeat::decode(&encoded), Some(heartbeat));
    /// assert!(Heartbeat::decode(&empty).unwrap().speeds.is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.moments.is_empty() && self.samples.is_empty()
    }
}

/// How long ago the store showed that the sender's configuration is the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Revision of the item that the sender has in force.
    pub item_revision: u64,
    /// Milliseconds from the start of the call that showed it until the heartbeat was sent.
    pub age: u32,
}

/// A request for tokens of a tenant's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The tenant.
    pub tenant: TenantId,
    /// Tokens that the sender needs beyond those that it holds.
    pub tokens: f32,
    /// Unused tokens that the sender has removed from those that it holds.
    pub returned: f32,
}

/// Tokens of a tenant's allowance for the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The tenant.
    pub tenant: TenantId,
    /// Tokens, zero if there are none.
    pub tokens: f32,
    /// Milliseconds until there are as many as were asked for, zero if they are granted.
    pub wait: u32,
}

/// What a node and the coordinator of the allowances tell each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceReport {
    /// Milliseconds for which the sender lends its share of every allowance to the receiver.
    pub lease: u32,
    /// The sender's share of every allowance that the lease is about.
    pub share: f32,
    /// Requests for tokens.
    pub requests: Vec<TokenRequest>,
    /// Tokens granted in reply to the requests of one heartbeat.
    pub grants: Vec<TokenGrant>,
    /// `sent` time of that heartbeat, in microseconds on the receiver's clock.
    pub requested_at: u64,
}

impl AllowanceReport {
    /// Returns whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lease == 0 && self.requests.is_empty() && self.requested_at == 0
    }
}

/// A datagram between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// VM of the sender.
    pub from: VmId,
    /// Region of the sender.
    pub region: RegionId,
    /// Send time in microseconds on the sender's clock, which the receiver returns in `echo` and
    /// grants.
    pub sent: u64,
    /// Receiver's incarnation that the sender knows, zero if unknown.
    pub receiver_incarnation: Incarnation,
    /// Last `sent` time that the sender received from that incarnation.
    pub echo: u64,
    /// First eight bytes of the digest of the manifest that the sender uses.
    pub manifest: u64,
    /// Revision up to which the sender knows every item of the platform; zero if it knows none.
    pub items_revision: u64,
    /// Whether the sender can reach the platform.
    pub platform_reachable: bool,
    /// Addresses of VMs, the sender's first, if the platform does not publish a list of VMs.
    pub vms: Vec<Vm>,
    /// Records of VMs, the sender's first, then recent records of others.
    pub records: Vec<VmRecord>,
    /// Summaries of regions.
    pub summaries: Vec<RegionSummary>,
    /// Fingerprints suspected of crashing targets.
    pub suspects: Vec<Suspect>,
    /// Requests for concurrency units from the receiver.
    pub shortages: Vec<Shortage>,
    /// Concurrency units lent to the receiver.
    pub grants: Vec<Grant>,
    /// All of the sender's work at targets; `None` if the heartbeat does not report it.
    pub target_work: Option<Vec<TargetWork>>,
    /// Parts of prompts that targets recently prefilled for the sender.
    pub prefilled: Vec<PrefilledPart>,
    /// The sender's quarantine.
    #[serde(skip)]
    pub quarantine: QuarantineReport,
    /// Parts of prompts suspected of crashing targets. They follow the report of the quarantine, so
    /// that a process of an earlier version reads the rest.
    #[serde(skip)]
    pub suspect_parts: Vec<SuspectPart>,
    /// Limits that targets of the sender's region name. They come next, for the same reason.
    #[serde(skip)]
    pub limits: Vec<TargetLimit>,
    /// Origins of streams. They come last, for the same reason.
    #[serde(skip)]
    pub streams: StreamReport,
    /// Services whose targets the sender reached lately, or does not reach. They are in one section
    /// with the origins.
    #[serde(skip)]
    pub reached: Vec<ServiceReach>,
    /// Targets that say in their answers that they leave. They follow in a section of their own.
    #[serde(skip)]
    pub leaving: Vec<TargetId>,
    /// What targets just said to the sender of how long they are cold, in one section with the leaving
    /// ones.
    #[serde(skip)]
    pub cold: Vec<ColdReport>,
    /// What the sender made of its configuration item, in one section with `items_digest`.
    #[serde(skip)]
    pub config: ConfigMeaning,
    /// Digest of the sender's items at `items_revision`; `None` from a process of an earlier version. They
    /// follow in a section of their own.
    #[serde(skip)]
    pub items_digest: Option<u32>,
    /// Epoch of the sender's items; revisions of different epochs cannot be compared. It follows in a section of
    /// its own if it is not zero.
    #[serde(skip)]
    pub items_epoch: u32,
    /// Targets that just refused a connection of the sender. They follow in a section of their own.
    #[serde(skip)]
    pub refused: Vec<TargetId>,
    /// The sender's confirmation of its configuration, where API keys must be revoked in time.
    #[serde(skip)]
    pub confirmation: Option<Confirmation>,
    /// Leases and tokens of the tenants' allowances, in one section with the confirmation.
    #[serde(skip)]
    pub allowances: AllowanceReport,
    /// Speeds of targets. They follow in a section of their own.
    #[serde(skip)]
    pub speeds: SpeedReport,
}

impl Heartbeat {
    /// Encodes the heartbeat as a datagram.
    ///
    /// # Panics
    /// Never, since serialization of this type cannot fail.
    ///
    /// ```
    /// use seam_protocol::{Heartbeat, Incarnation, RegionId, VmId};
    /// let heartbeat = Heartbeat::empty(VmId(1), RegionId(2));
    /// assert_eq!(Heartbeat::decode(&heartbeat.encode()), Some(heartbeat));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_allocvec(self).expect("a heartbeat always serializes");
        let speeds = !self.speeds.is_empty();
        let tenants = speeds || self.confirmation.is_some() || !self.allowances.is_empty();
        let refused = tenants || !self.refused.is_empty();
        let epoch = refused || self.items_epoch != 0;
        let items = epoch || self.items_digest.is_some() || self.config != ConfigMeaning::default();
        let targets = items || !self.leaving.is_empty() || !self.cold.is_empty();
        let origins = targets || !self.streams.is_empty() || !self.reached.is_empty();
        let limits = origins || !self.limits.is_empty();
        let parts = limits || !self.suspect_parts.is_empty();
        if self.quarantine == QuarantineReport::default() && !parts {
            return bytes;
        }
        let bytes =
            postcard::to_extend(&self.quarantine, bytes).expect("a report always serializes");
        if !parts {
            return bytes;
        }
        let bytes =
            postcard::to_extend(&self.suspect_parts, bytes).expect("parts always serialize");
        if !limits {
            return bytes;
        }
        let bytes = postcard::to_extend(&self.limits, bytes).expect("limits always serialize");
        if !origins {
            return bytes;
        }
        let section = (&self.streams, &self.reached);
        let bytes =
            postcard::to_extend(&section, bytes).expect("origins and services always serialize");
        if !targets {
            return bytes;
        }
        let section = (&self.leaving, &self.cold);
        let bytes = postcard::to_extend(&section, bytes).expect("targets always serialize");
        if !items {
            return bytes;
        }
        let section = (&self.config, self.items_digest.map(u32::to_be_bytes));
        let bytes = postcard::to_extend(&section, bytes).expect("digests always serialize");
        if !epoch {
            return bytes;
        }
        let bytes =
            postcard::to_extend(&self.items_epoch, bytes).expect("a number always serializes");
        if !refused {
            return bytes;
        }
        let bytes = postcard::to_extend(&self.refused, bytes).expect("targets always serialize");
        if !tenants {
            return bytes;
        }
        let section = (self.confirmation, &self.allowances);
        let bytes = postcard::to_extend(&section, bytes).expect("numbers always serialize");
        if !speeds {
            return bytes;
        }
        postcard::to_extend(&self.speeds, bytes).expect("numbers always serialize")
    }

    /// Decodes a datagram. Returns `None` if it is not a heartbeat. Counts that no node reaches are
    /// limited, so that their sums over all nodes fit.
    ///
    /// ```
    /// use seam_protocol::heartbeat::{MAX_COUNT, TargetWork};
    /// use seam_protocol::{Heartbeat, RegionId, TargetId, VmId};
    /// let mut heartbeat = Heartbeat::empty(VmId(1), RegionId(2));
    /// let work = TargetWork {
    ///     target: TargetId(3), running: u32::MAX, prefill_tokens: 0, kv_tokens: 0,
    /// };
    /// heartbeat.target_work = Some(vec![work]);
    /// let decoded = Heartbeat::decode(&heartbeat.encode()).unwrap();
    /// assert_eq!(decoded.target_work.unwrap()[0].running, MAX_COUNT);
    /// ```
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut heartbeat = Self::decode_sections(bytes)?;
        heartbeat.limit_figures();
        Some(heartbeat)
    }

    fn limit_figures(&mut self) {
        let limit = |count: &mut u32| *count = (*count).min(MAX_COUNT);
        for load in self.records.iter_mut().flat_map(|record| &mut record.loads) {
            limit(&mut load.running);
            limit(&mut load.queued);
        }
        for work in self.target_work.iter_mut().flatten() {
            limit(&mut work.running);
            work.kv_tokens = work.kv_tokens.min(MAX_TOKENS);
        }
        for sample in &mut self.speeds.samples {
            sample.tokens = sample.tokens.min(MAX_SAMPLE_TOKENS);
            limit(&mut sample.running);
        }
        for shortage in &mut self.shortages {
            limit(&mut shortage.held);
            limit(&mut shortage.more);
        }
        for grant in &mut self.grants {
            limit(&mut grant.units);
        }
    }

    fn decode_sections(bytes: &[u8]) -> Option<Self> {
        let (mut heartbeat, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (quarantine, rest) = postcard::take_from_bytes(rest).ok()?;
        heartbeat.quarantine = quarantine;
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (parts, rest) = postcard::take_from_bytes(rest).ok()?;
        heartbeat.suspect_parts = parts;
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (limits, rest) = postcard::take_from_bytes(rest).ok()?;
        heartbeat.limits = limits;
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (section, rest) = postcard::take_from_bytes(rest).ok()?;
        (heartbeat.streams, heartbeat.reached) = section;
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (section, rest) = postcard::take_from_bytes(rest).ok()?;
        (heartbeat.leaving, heartbeat.cold) = section;
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (section, rest) = postcard::take_from_bytes::<(_, Option<[u8; 4]>)>(rest).ok()?;
        heartbeat.config = section.0;
        heartbeat.items_digest = section.1.map(u32::from_be_bytes);
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (epoch, rest) = postcard::take_from_bytes(rest).ok()?;
        heartbeat.items_epoch = epoch;
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (refused, rest) = postcard::take_from_bytes(rest).ok()?;
        heartbeat.refused = refused;
        if rest.is_empty() {
            return Some(heartbeat);
        }
        let (section, rest) = postcard::take_from_bytes(rest).ok()?;
        (heartbeat.confirmation, heartbeat.allowances) = section;
        if !rest.is_empty() {
            heartbeat.speeds = postcard::from_bytes(rest).ok()?;
        }
        Some(heartbeat)
    }

    /// Returns a heartbeat without contents.
    #[must_use]
    pub fn empty(from: VmId, region: RegionId) -> Self {
        Self {
            from,
            region,
            sent: 0,
            receiver_incarnation: Incarnation(0),
            echo: 0,
            manifest: 0,
            items_revision: 0,
            platform_reachable: false,
            vms: Vec::new(),
            records: Vec::new(),
            summaries: Vec::new(),
            suspects: Vec::new(),
            shortages: Vec::new(),
            grants: Vec::new(),
            target_work: None,
            prefilled: Vec::new(),
            quarantine: QuarantineReport::default(),
            suspect_parts: Vec::new(),
            limits: Vec::new(),
            streams: StreamReport::default(),
            reached: Vec::new(),
            leaving: Vec::new(),
            cold: Vec::new(),
            config: ConfigMeaning::default(),
            items_digest: None,
            items_epoch: 0,
            refused: Vec::new(),
            confirmation: None,
            allowances: AllowanceReport::default(),
            speeds: SpeedReport::default(),
        }
    }
}
