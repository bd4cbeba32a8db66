//! Small keys that name what a node holds.

seam_protocol::define_id! {
    /// A request, named by the adapter that read it.
    Ticket(u64);
    /// One attempt of a request at a target or node.
    AttemptKey(u64);
    /// Position of a target in [`crate::targets::Targets`].
    TargetKey(u32);
}
