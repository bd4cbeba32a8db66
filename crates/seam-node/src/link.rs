//! The link between nodes: forwarding and the passing on of bundles, over `tonic`.

mod client;
pub(crate) mod wire;

pub use client::{FetchError, fetch_bundle, fetch_items, forward};
pub use wire::key_name;
