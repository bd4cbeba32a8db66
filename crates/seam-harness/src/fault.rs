//! What can fail, and what operators and the platform do.

use serde::{Deserialize, Serialize};

/// One thing that happens to the world. Names are those of VMs, regions and targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Fault {
    /// A node's process ends at once.
    Kill {
        /// VM.
        vm: String,
    },
    /// A VM gets a fresh process with a new incarnation.
    Boot {
        /// VM.
        vm: String,
    },
    /// A node's process sleeps and wakes late.
    Pause {
        /// VM.
        vm: String,
        /// Milliseconds.
        ms: u64,
    },
    /// A node drains and ends when nothing is in flight.
    Drain {
        /// VM.
        vm: String,
    },
    /// Two regions lose each other.
    Part {
        /// One region.
        a: String,
        /// The other region.
        b: String,
    },
    /// A region loses all others.
    Isolate {
        /// Region.
        region: String,
    },
    /// A node loses all other nodes.
    Cut {
        /// VM.
        vm: String,
    },
    /// Every link works again.
    Heal,
    /// A part of heartbeats is lost.
    Lose {
        /// Part in hundredths.
        percent: u32,
    },
    /// A target crashes and comes back.
    Crash {
        /// Target.
        target: String,
        /// Milliseconds until it is back.
        ms: u64,
    },
    /// A target's open connections go silent; new ones work.
    Silence {
        /// Target.
        target: String,
    },
    /// A silent target's connections work again.
    Speak {
        /// Target.
        target: String,
    },
    /// A target becomes slower.
    Slow {
        /// Target.
        target: String,
        /// Factor on its service time in hundredths.
        percent: u32,
    },
    /// The platform lists a target as leaving, and it ends a while later.
    Leave {
        /// Target.
        target: String,
        /// Milliseconds until it ends.
        ms: u64,
    },
    /// The configuration service fails.
    ServiceDown,
    /// The configuration service works again.
    ServiceUp,
    /// The configuration service shows the first revision again, as from an old copy.
    ServiceStale,
    /// Operators publish a revision that changes one customer's residency.
    Publish {
        /// Customer.
        customer: String,
        /// Regions, every one if empty.
        regions: Vec<String>,
    },
}
