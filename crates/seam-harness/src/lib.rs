//! Simulates gateway nodes in virtual time, with fakes at the interfaces of the decision core.
//!
//! A [`World`] runs real nodes with fake targets, links, callers and a fake configuration service.
//! An [`oracle::Oracle`] records each run and each outcome, and reports every violated guarantee.
//! Scenarios in TOML and random histories drive the same world.

pub mod deployments;
pub mod fault;
pub mod history;
pub mod ids;
pub mod link;
pub mod mutation;
pub mod oracle;
pub mod scenario;
pub mod stats;
pub mod target;
pub mod traffic;
pub mod world;

pub use fault::Fault;
pub use ids::{KeyChoice, OpId, SendingId};
pub use oracle::{Breach, Oracle};
pub use world::{Call, World};
