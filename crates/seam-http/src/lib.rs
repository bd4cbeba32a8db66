//! HTTP plumbing on the executor that every toucanseam program shares.

pub mod body;
pub mod client;
pub mod exec;
pub mod serve;
pub mod sync;

pub use body::{Body, BodyError, empty, full, json};
pub use client::{ClientError, Connection, get_json, request_whole};
pub use exec::{Spawner, block_on, spawn, start_workers};
pub use serve::{CallerBounds, Listener, Stop, serve, serve_within};
pub use sync::lock;
