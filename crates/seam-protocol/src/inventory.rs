//! Items that a platform publishes individually: configuration, targets and evacuations.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::bundle::{Bundle, Target};
use crate::id::{CentreId, ServiceId, TargetId};

/// A target, as it describes itself in its item.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedTarget {
    /// Name, address, location and slots.
    pub spec: Target,
    /// Number of the boot. It differs for each start of a target under the same name.
    pub boot: u64,
    /// Sequence number of the item within the boot.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Whether it is draining and about to leave.
    pub leaving: bool,
    /// Remaining time of its cold start, during which it is slow.
    pub cold: Duration,
}

impl ListedTarget {
    /// Returns the ID of this boot of the target.
    #[must_use]
    pub fn id(&self) -> TargetId {
        TargetId::of(&format!("{} {}", self.spec.name, self.boot))
    }
}

/// The parsed contents of an item.
#[derive(Clone, Debug)]
pub enum Entry {
    /// The configuration, without VMs and targets.
    Config(Arc<Bundle>),
    /// A target.
    Target(Box<ListedTarget>),
    /// A data centre whose targets must not receive requests.
    Evacuation(CentreId),
    /// Contents that are not valid, with the reason.
    Unusable(String),
}

/// A parsed item.
#[derive(Clone, Debug)]
pub struct ParsedEntry {
    /// The contents.
    pub entry: Entry,
    /// Values in it that are not used as written, each with its place and what is used.
    pub warnings: Vec<String>,
}

impl From<Entry> for ParsedEntry {
    fn from(entry: Entry) -> Self {
        let warnings = Vec::new();
        Self { entry, warnings }
    }
}

/// An item of the platform, as nodes send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawItem {
    /// Key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Value; `None` if the item was removed.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
    /// Whether the item may have been removed only because its lease expired while the platform was
    /// unavailable.
    pub lapsed: bool,
}

/// Maximum number of items in a [`Delta`]. Each takes far more memory than the four bytes of its
/// shortest encoding.
pub const MAX_ITEMS: usize = 1 << 16;

/// Items that update the receiver to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Items changed since the receiver's revision.
    pub items: Vec<RawItem>,
    /// Revision up to which the receiver knows every change afterwards.
    pub revision: u64,
    /// Whether the delta contains every item. Items that it lacks have been removed.
    pub full: bool,
}

impl Delta {
    /// Encodes the delta for other nodes.
    ///
    /// # Panics
    /// Never, since serialization of this type cannot fail.
    ///
    /// ```
    /// use seam_protocol::Delta;
    /// let delta = Delta { items: vec![], revision: 7, full: true };
    /// assert_eq!(Delta::decode(&delta.encode()), Some(delta));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a delta always serializes")
    }

    /// Decodes the output of [`Self::encode`]. Returns `None` for other bytes, and for more than
    /// [`MAX_ITEMS`].
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        // The delta begins with the number of its items.
        let (count, _) = postcard::take_from_bytes::<u64>(bytes).ok()?;
        if count > MAX_ITEMS as u64 {
            return None;
        }
        postcard::from_bytes(bytes).ok()
    }
}

/// The targets and evacuations that are currently published.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// Targets, by the key of their item.
    pub targets: BTreeMap<String, ListedTarget>,
    /// Data centres whose targets must not receive requests.
    pub evacuated: BTreeSet<CentreId>,
}
