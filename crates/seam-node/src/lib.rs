//! The toucanseam process as a library: network and platform adapters around `seam-core`, which
//! makes all decisions.

pub mod admin;
mod allowances;
pub mod budget;
pub mod clock;
mod config_log;
mod control_port;
pub mod daemon;
mod dependency;
pub mod dialect;
pub mod drive;
pub mod events;
pub mod front;
pub mod health;
pub mod heartbeats;
pub mod inbound;
pub mod item_store;
pub mod items;
pub mod link;
pub mod logs;
pub mod messages;
pub mod metrics;
pub mod odd_json;
pub mod peer_connections;
pub mod peer_server;
pub mod polls;
pub mod pool;
pub mod problem;
pub mod progress;
pub mod published_places;
pub mod readiness;
pub mod request_body;
pub mod response_writer;
pub mod runtime;
pub mod stalls;
pub mod store;
pub mod targets;
pub mod trail;
pub mod transfers;
pub mod unconfirmed;
pub mod verification;
pub mod watch;

pub use daemon::{Daemon, DaemonError};
pub use runtime::{NodeRuntime, PlatformAdapter};
