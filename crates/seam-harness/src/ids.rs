//! Small keys that name what a world holds.

seam_protocol::define_id! {
    /// Something that a caller wants done, however often it asks.
    OpId(u64);
    /// One request of a caller.
    RequestId(u64);
    /// One run at a target.
    RunId(u64);
}

/// Which key a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyChoice {
    /// None.
    None,
    /// One that the called node issues.
    Issued,
    /// One of the caller's own.
    Caller,
}
