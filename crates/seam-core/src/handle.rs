//! Identifiers of the requests, attempts and targets that a node tracks.

seam_protocol::define_id! {
    /// A request. The adapter that reads it assigns the identifier.
    Ticket(u64);
    /// One attempt to run a request at a target or another node.
    AttemptKey(u64);
    /// Index of a target in [`crate::targets::Targets`].
    TargetKey(u32);
}
