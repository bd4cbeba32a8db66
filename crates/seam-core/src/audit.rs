//! Entries of the audit trail.

use seam_protocol::Time;
use serde::Serialize;

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A configuration revision took effect.
    Revision,
    /// Two different bundles have the same revision.
    Conflict,
    /// This node started draining or resumed serving.
    NodeDrain,
    /// A target stopped or resumed accepting new work.
    TargetDrain,
    /// A target was ejected after failures or returned to service.
    Ejection,
    /// This node reaches no target of a service any more, or reaches one again.
    Reach,
    /// A target crashed while requests ran there.
    Crash,
    /// A fingerprint was quarantined.
    Quarantine,
    /// The node detected that its process had been paused.
    Pause,
    /// This node may not know the state of its targets, or knows it again.
    OutOfStep,
    /// An item published by the platform changed the state of a target or cannot be used.
    Item,
    /// The platform became unreachable or reachable again.
    Platform,
    /// A target named a limit of requests per second, another one, or none any more.
    RateLimit,
    /// A target became cold, so that it takes few requests for some time.
    Cold,
    /// The targets of a service became brittle or are no longer.
    Brittle,
    /// An order was sent to an engine.
    Order,
}

/// One audited change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// When it happened, on the node's monotonic clock.
    pub time: Time,
    /// Kind of the change.
    pub change: Change,
    /// Who or what made the change.
    pub actor: String,
    /// The object that changed.
    pub subject: String,
    /// Previous value.
    pub old: String,
    /// New value.
    pub new: String,
    /// Reason for the change.
    pub cause: String,
}
