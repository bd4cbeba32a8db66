//! Lines of the audit trail.

use seam_protocol::Time;
use serde::Serialize;

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A revision came into force.
    Revision,
    /// Two bundles claim one revision.
    Conflict,
    /// This node drains or serves again.
    NodeDrain,
    /// A target takes no new work, or does again.
    TargetDrain,
    /// A target was ejected after failures, or came back.
    Ejection,
    /// A fingerprint was quarantined.
    Quarantine,
    /// The node found that it had been paused.
    Pause,
    /// An item of the platform says something new of a target, or cannot be used.
    Item,
    /// The platform stopped answering this node, or answers again.
    Platform,
    /// An order was given to an engine.
    Order,
}

/// One change: who or what, when, old and new, why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// When, on the node's clock.
    pub time: Time,
    /// What changed.
    pub change: Change,
    /// Who or what changed it.
    pub actor: String,
    /// What it concerns.
    pub subject: String,
    /// Value before.
    pub old: String,
    /// Value after.
    pub new: String,
    /// Why.
    pub cause: String,
}
