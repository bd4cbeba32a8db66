//! What a caller is told of its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran. The three are never mixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and this is its whole answer.
    Complete,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! reasons {
    ($($(#[$meta:meta])* $name:ident = $slug:literal, $status:literal, $help:literal;)*) => {
        /// Why the system, not a target, answered a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason { $($(#[$meta])* $name,)* }

        impl Reason {
            /// Every reason, for tables in docs and metrics.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// Returns the stable last part of the problem type.
            ///
            /// ```
            /// assert_eq!(seam_protocol::Reason::Residency.slug(), "residency");
            /// ```
            #[must_use]
            pub fn slug(self) -> &'static str {
                match self { $(Self::$name => $slug,)* }
            }

            /// Returns the HTTP status code.
            ///
            /// ```
            /// assert_eq!(seam_protocol::Reason::Residency.status(), 403);
            /// ```
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns what the caller can do.
            ///
            /// ```
            /// assert!(!seam_protocol::Reason::Residency.help().is_empty());
            /// ```
            #[must_use]
            pub fn help(self) -> &'static str {
                match self { $(Self::$name => $help,)* }
            }
        }
    };
}

reasons! {
    /// No credential, or one that no customer has.
    Credential = "credential", 401, "send the customer's bearer token";
    /// The path names no service that the customer may call.
    Service = "service", 404, "check the first part of the path against the service's name";
    /// A header or the body is malformed or too large.
    Malformed = "malformed", 400, "correct the request before sending it again";
    /// Body above the limit of the service.
    Oversize = "oversize", 413, "send a smaller body";
    /// The body did not arrive within the request's own time.
    SlowBody = "slow-body", 408, "send the body faster, or allow more time";
    /// No region satisfies the residency of service and customer.
    Residency = "residency", 403, "no target in an allowed region serves this request";
    /// The customer is above its rate.
    Rate = "rate", 429, "send fewer requests a second";
    /// The customer is above its concurrency.
    Concurrency = "concurrency", 429, "wait for requests in flight to end";
    /// The predicted wait is longer than the deadline.
    Overload = "overload", 503, "send again after the stated time";
    /// The deadline passed before the request was sent to a target.
    Deadline = "deadline", 504, "allow more time";
    /// No target is available.
    NoTarget = "no-target", 503, "send again after the stated time";
    /// The node is leaving or not ready.
    NotReady = "not-ready", 503, "ask for the entries and use another";
    /// The node was paused or cut off and does not run what may not be repeated.
    Stale = "stale", 503, "send again after the stated time";
    /// Two requests of this kind crashed their targets.
    Poison = "poison", 422, "this request crashes its targets; change it before sending it again";
    /// The same key came with another request.
    KeyReuse = "key-reuse", 422, "use a new idempotency key for a different request";
    /// The key is malformed, expired or was not issued by this deployment.
    KeyInvalid = "key-invalid", 400, "ask for a new key";
    /// The table of keys is full.
    KeysFull = "keys-full", 503, "send again after the stated time";
    /// The node that owns the key is gone or cannot tell whether the key was used.
    KeyOwner = "key-owner", 503, "the earlier request may have run; check before asking with a new key";
    /// The request ran, but its answer is too large to have been kept.
    NotKept = "not-kept", 409, "the request ran once; its answer is no longer held";
    /// The target refused before running the request.
    Refused = "refused", 503, "send again after the stated time";
    /// The target or a link failed after the request was sent.
    Broken = "broken", 502, "the request may have run";
    /// The target made no progress for too long.
    Silent = "silent", 504, "the request may have run";
    /// The node has another revision than the one that the request was routed by.
    Revision = "revision", 503, "send again after the stated time";
    /// The request was forwarded before.
    Loop = "loop", 508, "a forwarded request is never forwarded again";
}

crate::message! {
    /// The body of an answer by the system itself, `application/problem+json`.
    pub struct Problem {
        /// Stable type, `/problems/{slug}`.
        #[serde(rename = "type")]
        pub kind: String,
        /// One sentence that tells what the caller can do.
        pub title: String,
        /// HTTP status code.
        pub status: u16,
        /// Whether the request ran.
        pub outcome: Outcome,
        /// The request's identifier.
        pub request: String,
        /// What failed and where.
        #[serde(skip_serializing_if = "String::is_empty", default)]
        pub detail: String,
        /// Milliseconds after which the caller may ask again.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub retry_ms: Option<u64>,
    }
}
