//! The protocol between nodes over gRPC: forwarding requests, and fetching bundles and items.

mod client;
mod numbering;
pub(crate) mod wire;

pub use client::{FetchError, fetch_bundle, fetch_items, forward};
pub use numbering::FrameNumbers;
pub use wire::key_name;
