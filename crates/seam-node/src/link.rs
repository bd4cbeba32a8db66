//! The link between nodes: forwarding and the passing on of bundles, over `tonic`.

mod client;
pub(crate) mod wire;

pub use client::{FetchError, forward, items, newest};
pub use wire::key_name;
