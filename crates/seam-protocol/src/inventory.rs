//! What a platform publishes item by item: configuration, targets, evacuations.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::bundle::{Bundle, Target};
use crate::id::{CentreId, ServiceId, TargetId};

/// A target as it describes itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedTarget {
    /// Name, address, place and slots.
    pub spec: Target,
    /// Differs for each start of a target that keeps its name.
    pub boot: u64,
    /// Counts what this start of the target wrote of itself.
    pub sequence: u64,
    /// The service that it serves.
    pub service: ServiceId,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

impl ListedTarget {
    /// Returns the key of this start of the target.
    #[must_use]
    pub fn id(&self) -> TargetId {
        TargetId::of(&format!("{} {}", self.spec.name, self.boot))
    }
}

/// What an item says, once read.
#[derive(Clone, Debug)]
pub enum Entry {
    /// The configuration, without VMs and targets.
    Config(Arc<Bundle>),
    /// A target.
    Target(Box<ListedTarget>),
    /// A data centre whose targets are to get nothing.
    Evacuation(CentreId),
    /// Nothing that can be used, and why.
    Unusable(String),
}

/// An item of the platform as it is passed on between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawItem {
    /// Key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Value, `None` if the item was removed.
    pub value: Option<Vec<u8>>,
    /// Whether the item may have been removed only because its lease ran out while the platform
    /// was not available.
    pub lapsed: bool,
}

/// Items that bring their receiver up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Items changed since the receiver's revision.
    pub items: Vec<RawItem>,
    /// Revision up to which the receiver then knows every change.
    pub revision: u64,
    /// Whether the items are all there are, so that any other one was removed.
    pub full: bool,
}

impl Delta {
    /// Encodes for the link between nodes.
    ///
    /// # Panics
    /// Never: plain data always encodes.
    ///
    /// ```
    /// use seam_protocol::Delta;
    /// let delta = Delta { items: vec![], revision: 7, full: true };
    /// assert_eq!(Delta::decode(&delta.encode()), Some(delta));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("items of plain data always encode")
    }

    /// Decodes what [`Self::encode`] made, `None` if it is something else.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Targets and evacuations at one time.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// Targets by the key of their item.
    pub targets: BTreeMap<String, ListedTarget>,
    /// Data centres whose targets are to get nothing.
    pub evacuated: BTreeSet<CentreId>,
}
