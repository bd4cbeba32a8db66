//! Typed keys for the objects that a node tracks.

seam_protocol::define_id! {
    /// A request, identified by the adapter that read it.
    Ticket(u64);
    /// One attempt to run a request at a target or another node.
    AttemptKey(u64);
    /// Index of a target in [`crate::targets::Targets`].
    TargetKey(u32);
}
