//! The decisions of one node, without I/O, clock, thread or randomness of their own.
//!
//! [`Node::handle`] is the one entry point: it takes the present time and an [`Event`] and appends
//! typed [`Command`]s that adapters carry out. Everything a node believes lives in [`Node`], so any
//! program that hands in events and time drives a whole fleet.

pub mod arrival;
pub mod audit;
pub mod catalogue;
pub mod command;
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
pub mod targets;

pub use arrival::{Arrival, Hop, IdempotencyKey, Origin, RouteRules};
pub use catalogue::{ItemBatch, PublishedItem, Source};
pub use command::Command;
pub use event::{Event, Reply};
pub use handle::{AttemptKey, TargetKey, Ticket};
pub use node::{Identity, Node};
pub use prompt::Prompt;
pub use refusal::Refusal;
