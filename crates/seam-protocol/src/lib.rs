//! Types and messages shared by all toucanseam crates: IDs, bundles, heartbeats and outcomes.

mod macros;

pub mod bundle;
pub mod digest;
pub mod heartbeat;
pub mod id;
pub mod inventory;
pub mod key;
pub mod outcome;
pub mod report;
pub mod response;
pub mod route;
pub mod shared;
pub mod tenant;
pub mod time;

/// Generated messages and gRPC service for calls between nodes.
///
/// The generated file is committed, so that a build does not need `protoc`. Its source is
/// `proto/peer.proto`.
#[allow(missing_docs, clippy::pedantic, clippy::large_enum_variant)]
pub mod peer {
    include!("generated/seam_peer.rs");
}

pub use bundle::{
    Bundle, Customer, DataCentre, Kind, Manifest, Region, Route, Service, Target, Vm,
};
pub use digest::Digest;
pub use heartbeat::{Heartbeat, RegionSummary, ServiceLoad, VmRecord};
pub use id::{
    CentreId, CustomerId, Fingerprint, Incarnation, RegionId, ServiceId, ServiceTag, StreamId,
    TargetId, TenantId, VersionId, VmId,
};
pub use inventory::{Delta, Entry, Inventory, ListedTarget, ParsedEntry, RawItem};
pub use key::{IssuedKey, KeyError};
pub use outcome::{Outcome, Problem, Reason};
pub use report::{CacheEvent, LoadReport, VmState};
pub use response::{HeaderField, StoredResponse};
pub use route::{CallLimits, HostRoute, RetryPolicy, RouteTable};
pub use shared::Shared;
pub use tenant::{Allowance, Tenant, TenantBounds};
pub use time::Time;
