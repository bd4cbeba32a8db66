//! Identifiers of operations, requests and runs in a world.

seam_protocol::define_id! {
    /// An operation that a caller wants done, in one or more requests.
    OpId(u64);
    /// One request that a caller sends.
    SendingId(u64);
    /// One execution of a request at a target.
    RunId(u64);
}

/// Kind of idempotency key that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyChoice {
    /// No key.
    None,
    /// A key issued by the called node.
    Issued,
    /// A key chosen by the caller.
    Caller,
}
