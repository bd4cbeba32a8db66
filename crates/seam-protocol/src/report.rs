//! State of VMs and targets, as the platform and the targets publish it.

crate::message! {
    /// Load of a target, as reported by itself. Reports can be out of date.
    pub struct LoadReport {
        /// Running requests, from all nodes.
        pub running: u32,
        /// Requests that wait in the target's own queue.
        pub waiting: u32,
        /// Slots, if the target states them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub slots: Option<u32>,
        /// How long work takes at this moment, in percent of the usual time, if the target states it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub slowdown: Option<u32>,
        /// Loaded models and adapters.
        #[serde(default)]
        pub models: Vec<String>,
        /// Highest fencing token that the target has accepted.
        #[serde(default)]
        pub fence: u64,
    }

    /// A change of a target's prefix cache. Events can be lost, which leaves gaps in the
    /// sequence.
    pub struct CacheEvent {
        /// Increases by one with each event of a target.
        #[serde(rename = "number")]
        pub sequence: u64,
        /// Digest that identifies the prefix.
        pub prefix: u64,
        /// Whether the prefix was cached (`true`) or evicted.
        #[serde(rename = "held")]
        pub cached: bool,
    }

    /// Entry of a VM or target in the platform's list, which can be out of date.
    pub struct VmState {
        /// Name of the VM or target.
        pub name: String,
        /// Whether it is about to leave.
        #[serde(default)]
        pub leaving: bool,
    }
}
