//! What the platform publishes of VMs and targets.

crate::message! {
    /// A target's own word on its load. It arrives late.
    pub struct LoadReport {
        /// Requests that run now, from every node.
        pub running: u32,
        /// Requests that wait inside the target.
        pub waiting: u32,
        /// Models and adapters loaded now.
        #[serde(default)]
        pub models: Vec<String>,
        /// Highest fencing number that the target has obeyed.
        #[serde(default)]
        pub fence: u64,
    }

    /// One change of a target's prefix cache. Numbers can be missing.
    pub struct CacheEvent {
        /// Rises by one with each event of a target.
        pub number: u64,
        /// Digest of the prefix.
        pub prefix: u64,
        /// Whether the prefix is now held.
        pub held: bool,
    }

    /// A VM's entry in the platform's lagging list.
    pub struct VmState {
        /// The VM's or target's name.
        pub name: String,
        /// Whether it is about to leave.
        #[serde(default)]
        pub leaving: bool,
    }
}
