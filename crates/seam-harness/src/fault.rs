//! Faults, and actions of operators and the platform.

use serde::{Deserialize, Serialize};

/// A fault or action in a world. VMs, regions, targets and customers are given by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Fault {
    /// A node's process exits at once.
    Kill {
        /// VM name.
        vm: String,
    },
    /// A VM without a process starts one, with a new incarnation.
    Boot {
        /// VM name.
        vm: String,
    },
    /// A node's process is suspended and resumes later.
    Pause {
        /// VM name.
        vm: String,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// A node drains, and its process exits when no request is in flight.
    Drain {
        /// VM name.
        vm: String,
    },
    /// The link between two regions is cut.
    Part {
        /// One region.
        a: String,
        /// The other region.
        b: String,
    },
    /// A region's links to all other regions are cut.
    Isolate {
        /// Region name.
        region: String,
    },
    /// A node's links to all other nodes are cut.
    Cut {
        /// VM name.
        vm: String,
    },
    /// Every cut link is restored.
    Heal,
    /// Heartbeats are lost at random.
    Lose {
        /// Percentage of heartbeats lost.
        percent: u32,
    },
    /// A target crashes and restarts.
    Crash {
        /// Target name.
        target: String,
        /// Milliseconds until it accepts connections again.
        ms: u64,
    },
    /// A target sends nothing more on its open connections; new connections work.
    Silence {
        /// Target name.
        target: String,
    },
    /// Has no effect: silent connections stay silent, and new ones work.
    Speak {
        /// Target name.
        target: String,
    },
    /// A target becomes slower.
    Slow {
        /// Target name.
        target: String,
        /// Service time as a percentage of the normal one.
        percent: u32,
    },
    /// A target fails one in so many requests after it has run them, with a status by which callers know
    /// that a request was not run.
    Fail {
        /// Target name.
        target: String,
        /// Runs for each failure.
        runs: u64,
    },
    /// A target names a rate limit in its answers, or none any more.
    AdvertiseLimit {
        /// Target name.
        target: String,
        /// Thousandths of a request per second from all nodes together.
        millis: Option<u64>,
    },
    /// The platform lists a target as leaving, and the target exits later.
    Leave {
        /// Target name.
        target: String,
        /// Milliseconds until it exits.
        ms: u64,
    },
    /// The configuration service becomes unreachable.
    ServiceDown,
    /// The configuration service is reachable again and serves the newest revision.
    ServiceUp,
    /// The configuration service serves the first revision again, as if restored from a backup.
    ServiceStale,
    /// Operators publish a revision that changes one customer's residency.
    Publish {
        /// Customer name.
        customer: String,
        /// Allowed regions; empty allows every region.
        regions: Vec<String>,
    },
}
