//! Drives real decision cores in virtual time through small fakes at their interfaces.
//!
//! A [`World`] holds nodes, targets, links and a configuration service, all of them fakes but the
//! nodes. An [`oracle::Oracle`] sees what ran where and what each caller was told, and says which
//! promise was broken. Scenarios in TOML and histories made at random drive the same world.

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
pub use ids::{KeyChoice, OpId, RequestId};
pub use oracle::{Breach, Oracle};
pub use world::{Call, World};
