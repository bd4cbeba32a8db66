//! Outcome of a request, as reported to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran. `NotRun` is never reported for a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its response is complete.
    Complete,
    /// The request did not run, for certain.
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
        /// Why the gateway, not a target, responded to a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason { $($(#[$meta])* $name,)* }

        impl Reason {
            /// All reasons, for tables in documentation and metrics.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// Returns the last segment of the problem type, which is stable.
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

            /// Returns advice for the caller.
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
    /// The credential is missing or belongs to no customer.
    Credential = "credential", 401, "send the bearer token of a customer or the API key of a tenant";
    /// The path names no service that the customer may call.
    Service = "service", 404, "check the first part of the path against the service's name";
    /// A header or the body is malformed or too large.
    Malformed = "malformed", 400, "correct the request before sending it again";
    /// The body exceeds the limit of the service.
    Oversize = "oversize", 413, "send a smaller body";
    /// The body did not arrive before the request's deadline.
    SlowBody = "slow-body", 408, "send the body faster, or allow more time";
    /// No region satisfies the residency of both the service and the customer.
    Residency = "residency", 403, "no target in an allowed region serves this request";
    /// The customer exceeds its request rate.
    Rate = "rate", 429, "send fewer requests a second";
    /// The customer exceeds its concurrency limit.
    Concurrency = "concurrency", 429, "wait for requests in flight to end";
    /// The predicted wait exceeds the deadline.
    Overload = "overload", 503, "send again after the stated time";
    /// The deadline passed before the request was sent to a target.
    Deadline = "deadline", 504, "allow more time";
    /// No target is available.
    NoTarget = "no-target", 503, "send again after the stated time";
    /// A stream can go on only at the version of the targets' software that began it, which is not
    /// known or has no target left.
    Version = "version", 503, "no target can continue this stream; begin it anew";
    /// The node is draining or not ready.
    NotReady = "not-ready", 503, "ask for the entries and use another";
    /// The node was paused or partitioned, so it does not run requests that must not be retried.
    Stale = "stale", 503, "send again after the stated time";
    /// Two requests with this fingerprint crashed their targets.
    Poison = "poison", 422, "this request crashes its targets; change it before sending it again";
    /// The idempotency key was used with a different request.
    KeyReuse = "key-reuse", 422, "use a new idempotency key for a different request";
    /// The idempotency key is malformed, expired or was not issued by this deployment.
    KeyInvalid = "key-invalid", 400, "ask for a new key";
    /// The table of idempotency keys is full.
    KeysFull = "keys-full", 503, "send again after the stated time";
    /// The node that owns the idempotency key is unavailable or does not know whether the key was
    /// used.
    KeyOwner = "key-owner", 503, "the earlier request may have run; check before asking with a new key";
    /// The request ran, but its response was too large to store.
    NotKept = "not-kept", 409, "the request ran once; its answer is no longer held";
    /// The target refused the request without running it.
    Refused = "refused", 503, "send again after the stated time";
    /// The target or a connection failed after the request was sent.
    Broken = "broken", 502, "the request may have run";
    /// The target stalled: it made no progress within the limit.
    Silent = "silent", 504, "the request may have run";
    /// The node ended before the response was complete.
    Stopped = "stopped", 502, "the request may have run";
    /// The node uses a different configuration revision than the node that routed the request.
    Revision = "revision", 503, "send again after the stated time";
    /// The request was already forwarded.
    Loop = "loop", 508, "a forwarded request is never forwarded again";
}

impl Reason {
    /// Returns whether the configuration alone decides such a refusal.
    ///
    /// ```
    /// use seam_protocol::Reason;
    /// assert!(Reason::Service.by_configuration());
    /// assert!(!Reason::Overload.by_configuration());
    /// ```
    #[must_use]
    pub fn by_configuration(self) -> bool {
        matches!(
            self,
            Self::Credential | Self::Service | Self::Oversize | Self::Residency | Self::Revision
        )
    }
}

crate::message! {
    /// Body of a response by the gateway itself, `application/problem+json` (RFC 9457).
    pub struct Problem {
        /// Problem type, `/problems/{slug}`. Stable.
        #[serde(rename = "type")]
        pub kind: String,
        /// Advice for the caller.
        pub title: String,
        /// HTTP status code.
        pub status: u16,
        /// Whether the request ran.
        pub outcome: Outcome,
        /// ID of the request.
        pub request: String,
        /// What failed and where.
        #[serde(skip_serializing_if = "String::is_empty", default)]
        pub detail: String,
        /// Milliseconds after which the caller may retry.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub retry_ms: Option<u64>,
    }
}
