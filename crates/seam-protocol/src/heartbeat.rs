//! What nodes tell each other, several times within a lease.

use serde::{Deserialize, Serialize};

use crate::bundle::Vm;
use crate::id::{CustomerId, Fingerprint, Incarnation, RegionId, ServiceTag, TargetId, VmId};

/// Load of one service at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service, in short.
    pub service: ServiceTag,
    /// Requests at targets.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Sum of the weights of the customers that are active there.
    pub weight: u32,
    /// Slots that the node could use, with a margin for arrivals before its next word.
    pub wanted: u32,
}

/// State of one VM as it said itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// The boot of its process.
    pub incarnation: Incarnation,
    /// Rises with each record of an incarnation.
    pub sequence: u32,
    /// Revision in force there.
    pub revision: u64,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Loads of its busiest services.
    pub loads: Vec<ServiceLoad>,
}

/// Capacity of one service in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// The service, in short.
    pub service: ServiceTag,
    /// Slots without a request.
    pub free: u32,
    /// Predicted wait in milliseconds of a request that arrives now.
    pub wait: u32,
}

/// State of a region as one of its nodes sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The region.
    pub region: RegionId,
    /// The node that made the digest.
    pub vm: VmId,
    /// The boot of its process.
    pub incarnation: Incarnation,
    /// Rises with each digest of an incarnation.
    pub sequence: u32,
    /// Age in milliseconds, summed over the nodes it passed.
    pub age: u32,
    /// Revision in force at the maker.
    pub revision: u64,
    /// Ready nodes, a few.
    pub nodes: Vec<VmId>,
    /// Capacity by service.
    pub capacities: Vec<ServiceCapacity>,
}

/// A fingerprint that crashed targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspect {
    /// What makes two requests the same.
    pub fingerprint: Fingerprint,
    /// Crashes ascribed to it.
    pub crashes: u8,
}

/// A customer that is short of concurrency at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortage {
    /// The customer.
    pub customer: CustomerId,
    /// Units lent by the receiver that the sender keeps; the others it has stopped using.
    pub held: u32,
    /// Further units that the sender could use now.
    pub more: u32,
}

/// Concurrency units lent to the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The customer.
    pub customer: CustomerId,
    /// All units lent to the receiver from now on.
    pub units: u32,
    /// The receiver's own time of the shortage that this grant answers, in microseconds.
    pub requested_at: u64,
}

/// A node's own work at a target of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWork {
    /// The target.
    pub target: TargetId,
    /// Its requests that run there.
    pub running: u32,
    /// Tokens of its prompts that are still to be read there.
    pub prefill_tokens: u32,
    /// Tokens that its requests may hold there.
    pub kv_tokens: u64,
}

/// A part of a prompt that a target reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefilledPart {
    /// The target.
    pub target: TargetId,
    /// The part.
    pub part: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// One datagram between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: VmId,
    /// The sender's region.
    pub region: RegionId,
    /// The sender's time, in microseconds, echoed in grants.
    pub sent: u64,
    /// The receiver's incarnation as the sender last heard it, zero if unknown.
    pub receiver_incarnation: Incarnation,
    /// The receiver's own `sent` time that the sender last heard from that incarnation.
    pub echo: u64,
    /// Digest of the manifest in force at the sender.
    pub manifest: u64,
    /// Revision up to which the sender knows every item of the platform, zero where there are none.
    pub items_revision: u64,
    /// Whether the platform answers the sender.
    pub platform_reachable: bool,
    /// The sender's address first, then those of other nodes, where no list of them is published.
    pub vms: Vec<Vm>,
    /// The sender's record first, then fresh ones of other VMs.
    pub records: Vec<VmRecord>,
    /// Digests of regions.
    pub summaries: Vec<RegionSummary>,
    /// Fingerprints that crashed targets.
    pub suspects: Vec<Suspect>,
    /// Customers short of concurrency at the sender.
    pub shortages: Vec<Shortage>,
    /// Units lent to the receiver.
    pub grants: Vec<Grant>,
    /// All of the sender's work at targets, if it tells of it.
    pub target_work: Option<Vec<TargetWork>>,
    /// Parts of prompts that the sender had read lately.
    pub prefilled: Vec<PrefilledPart>,
}

impl Heartbeat {
    /// Encodes for a datagram.
    ///
    /// # Panics
    /// Never: plain data always encodes.
    ///
    /// ```
    /// use seam_protocol::{Heartbeat, Incarnation, RegionId, VmId};
    /// let beat = Heartbeat::empty(VmId(1), RegionId(2));
    /// assert_eq!(Heartbeat::decode(&beat.encode()), Some(beat));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a heartbeat of plain data always encodes")
    }

    /// Decodes a datagram, `None` if it is not a heartbeat.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Returns a heartbeat without records.
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
        }
    }
}
