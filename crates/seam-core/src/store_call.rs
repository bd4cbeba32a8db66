//! Calls to the platform's store, and what their answers say about what this node knows.

use std::time::Duration;

use seam_protocol::Time;

use crate::catalogue::ItemBatch;

/// Time between two reads of the configuration's item, before jitter of up to a quarter less.
const KEY_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time between two reads of a large item.
const MAX_KEY_INTERVAL: Duration = Duration::from_secs(30);
/// Bytes a second that reads of the item take at most at a node of a large region.
const KEY_BYTE_RATE: u64 = 2000;
/// Bytes a second that they take at most at a node of a small region, which has few others to rely on.
const SMALL_REGION_RATE: u64 = 8000;

/// A call to the store, as it began.
///
/// The store's answers are linearizable: one to a call that began after a change was received has that change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCall {
    /// When it began.
    pub begun: Time,
    /// Revision up to which this node claimed to know every change.
    pub claim: u64,
    /// How often the items had been replaced by the store's.
    pub replacements: u32,
}

/// What a call to the store asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreScope {
    /// Changes after a revision.
    Changes,
    /// The item of the configuration.
    Config,
    /// All items.
    All,
}

/// The answer to a call to the store.
#[derive(Clone, Debug)]
pub struct StoreReading {
    /// The call.
    pub call: StoreCall,
    /// What it asked for.
    pub scope: StoreScope,
    /// The items.
    pub batch: ItemBatch,
    /// The store's revision, if the answer states it.
    pub stated: Option<u64>,
    /// Whether every element of the answer could be read.
    pub complete: bool,
}

/// A difference between what the store says and what this node knew when the call began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// The revision that this node knew.
    pub known: u64,
    /// The revision that the store states.
    pub stated: u64,
}

/// What a node learns about its knowledge from the store, for its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// An answer contradicts what this node knows.
    Contradicted(Contradiction),
    /// The items were replaced by those of the store, or of a peer that replaced its own.
    Replaced {
        /// The revision claimed before.
        before: u64,
        /// The revision claimed from now on.
        revision: u64,
        /// The epoch from now on.
        epoch: u32,
    },
    /// The store has no configuration. That in force is kept.
    NoConfig,
    /// No call was answered for some time.
    Silent(Duration),
}

impl StoreChange {
    /// Returns the name for metrics.
    ///
    /// ```
    /// assert_eq!(seam_core::store_call::StoreChange::NoConfig.name(), "no_config");
    /// ```
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Contradicted(_) => "contradicted",
            Self::Replaced { .. } => "replaced",
            Self::NoConfig => "no_config",
            Self::Silent(_) => "silent",
        }
    }
}

/// Returns the time between two reads of the configuration's item, which has `bytes`; `fraction` is between
/// zero and one.
///
/// ```
/// use std::time::Duration;
/// use seam_core::store_call::key_interval;
/// assert_eq!(key_interval(900, false, 0.0), Duration::from_secs(2));
/// assert_eq!(key_interval(9000, false, 0.0), Duration::from_secs(6));
/// assert_eq!(key_interval(9000, true, 0.0), Duration::from_secs(2));
/// assert_eq!(key_interval(900_000, true, 0.0), Duration::from_secs(30));
/// ```
#[must_use]
pub fn key_interval(bytes: usize, small_region: bool, fraction: f64) -> Duration {
    // Values are sent as base64.
    let sent = bytes as u64 * 4 / 3;
    let rate = if small_region {
        SMALL_REGION_RATE
    } else {
        KEY_BYTE_RATE
    };
    let scaled = Duration::from_millis(sent * 1000 / rate);
    let interval = scaled.clamp(KEY_INTERVAL, MAX_KEY_INTERVAL);
    interval.mul_f64(1.0 - fraction / 4.0)
}
