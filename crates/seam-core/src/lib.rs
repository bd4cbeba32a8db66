//! The decision logic of one node, without I/O, clocks, threads or a random source of its own.
//!
//! [`Node::handle`] is the only entry point. It takes the current time and an [`Event`] and
//! appends [`Command`]s for adapters to execute. [`Node`] holds all state, so any program that
//! supplies events and times can run a whole fleet.

pub mod admission;
pub mod allowance;
pub mod arrival;
pub mod audit;
pub mod catalogue;
pub mod command;
pub mod config_version;
pub mod event;
pub mod explain;
pub mod fair;
pub mod freshness;
pub mod gossip;
pub mod handle;
pub mod keys;
pub mod limits;
pub mod node;
pub mod peers;
pub mod placement;
pub mod poison;
pub mod prefix;
pub mod prompt;
pub mod refusal;
pub mod request;
pub mod retry;
pub mod roster;
pub mod share;
pub mod spill;
pub mod status;
pub mod store_call;
pub mod streams;
pub mod targets;
pub mod watch_cursor;

pub use arrival::{Arrival, Hop, IdempotencyKey, Origin, RouteRules};
pub use catalogue::{ItemBatch, PublishedItem, Source};
pub use command::Command;
pub use config_version::{ConfigStamp, ConfigVersion};
pub use event::{AttemptOutcome, Event};
pub use handle::{AttemptKey, TargetKey, Ticket};
pub use node::allowances::AllowanceStatus;
pub use node::directory::{DirectoryAnswer, NamedRegions};
pub use node::{Identity, Node};
pub use prompt::Prompt;
pub use refusal::Refusal;
pub use store_call::{StoreCall, StoreReading, StoreScope};
pub use watch_cursor::WatchCursor;
