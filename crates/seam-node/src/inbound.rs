//! A request received from a caller or another node.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::events::LAST_EVENT_ID_HEADER;
use crate::request_body::{BUFFERED_BYTES, BodyFailure, RequestBody};
use http::{HeaderMap, HeaderName, Method, header};
use seam_core::arrival::StreamPart;
use seam_core::poison::part_fingerprints;
use seam_core::{AttemptOutcome, ConfigVersion, IdempotencyKey, Prompt, Refusal, RouteRules};
use seam_http::Body;
use seam_protocol::{
    CustomerId, Digest, Fingerprint, HostRoute, Kind, Reason, RetryPolicy, Service, ServiceId,
    StreamId, Tenant, VersionId,
};

/// Prefix of headers that are reserved for the system.
pub const RESERVED_PREFIX: &str = "seam-";
/// Header with the caller's time limit in milliseconds.
pub const DEADLINE_HEADER: &str = "seam-deadline-ms";
/// Header with the outcome of a request.
pub const OUTCOME_HEADER: &str = "seam-outcome";
/// Header with the request's identifier.
pub const REQUEST_HEADER: &str = "seam-request-id";
/// Header with the customer's name, for targets.
pub const CUSTOMER_HEADER: &str = "seam-customer";
/// Header with an idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Length of the prompt prefix that is digested, in bytes.
const PREFIX_BYTES: usize = 1024;
/// Minimum length of a body for which the prefix is worth digesting, in bytes.
const MIN_PREFIX_BODY_BYTES: usize = 256;

/// Hop-by-hop headers.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
];

/// A request whose head was read, with its body or the first bytes of it.
#[derive(Debug)]
pub struct InboundRequest {
    /// Identifier for logs and responses.
    pub id: String,
    /// The caller's address, if known.
    pub caller: Option<IpAddr>,
    /// HTTP method.
    pub method: Method,
    /// Path below the service, with the query.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body. Only the first bytes of a long one are read in advance.
    pub body: RequestBody,
    /// The customer.
    pub customer: CustomerId,
    /// The customer's name.
    pub customer_name: String,
    /// The service.
    pub service: ServiceId,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// The idempotency key.
    pub key: Option<IdempotencyKey>,
    /// The idempotency key as the caller sent it, empty for none.
    pub key_text: String,
    /// Time until the deadline.
    pub budget: Duration,
    /// The host in the request, on a platform that publishes routes.
    pub host: Option<String>,
    /// Name of the tenant whose API key the request has.
    pub tenant: Option<String>,
    /// Rules of the matching route.
    pub rules: Option<RouteRules>,
    /// The prompt, for a model engine.
    pub prompt: Option<Arc<Prompt>>,
    /// The caller's identifier of the request that began the stream which this one takes up.
    pub resumes: Option<String>,
    /// Version of the targets' software that began the stream, if another node states it.
    pub version: Option<VersionId>,
    /// Digest that is equal for repeats of the same request.
    pub fingerprint: Fingerprint,
    /// The same digest without the caller.
    pub content: Fingerprint,
    /// The configuration by which it was read.
    pub config: ConfigVersion,
}

/// Something that a request may share with others to the same service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attribute {
    /// What it is, for log lines.
    pub kind: &'static str,
    /// Digest that is equal for requests that share it.
    pub fingerprint: Fingerprint,
}

impl Attribute {
    fn new(kind: &'static str, service: ServiceId, value: &str) -> Self {
        let text = format!("{} {kind} {value}", service.0);
        Self {
            kind,
            fingerprint: Fingerprint(Digest::of(text.as_bytes()).leading_u64()),
        }
    }
}

/// Removes hop-by-hop headers and those reserved for the system.
pub fn strip_headers(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.into_iter().chain(connection_headers) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(RESERVED_PREFIX))
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
}

/// Digests what identifies a request to a target: service, method, path, caller and body, of a long
/// body only the first [`BUFFERED_BYTES`], however many were read so far.
///
/// `caller` distinguishes callers on a platform where they have no credentials.
#[must_use]
pub fn fingerprint(
    service: ServiceId,
    method: &Method,
    path: &str,
    caller: Option<IpAddr>,
    body: &[u8],
) -> Fingerprint {
    let mut bytes = Vec::with_capacity(body.len() + path.len() + 64);
    bytes.extend_from_slice(&service.0.to_be_bytes());
    bytes.extend_from_slice(method.as_str().as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(path.as_bytes());
    bytes.push(0);
    if let Some(caller) = caller {
        bytes.extend_from_slice(caller.to_string().as_bytes());
        bytes.push(0);
    }
    bytes.extend_from_slice(&body[..body.len().min(BUFFERED_BYTES)]);
    Fingerprint(Digest::of(&bytes).leading_u64())
}

/// Returns the rules of a route that apply to a single request. The priority of its tenant replaces that of
/// the route.
#[must_use]
pub fn route_rules(route: &HostRoute, tenant: Option<&Tenant>) -> RouteRules {
    RouteRules {
        objective: Duration::from_millis(route.objective),
        max_attempts: u32::from(route.attempts.max(1)),
        rank: tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.rank),
        kind: route.rank,
        streams: route.streams,
        resumable: route.streams && route.retry_policy == RetryPolicy::Resumable,
    }
}

impl InboundRequest {
    /// Returns the body to send. If it can be sent only once and already was, logs that and returns
    /// `None`.
    #[must_use]
    pub fn open_body(&self) -> Option<Body> {
        let body = self.body.open();
        if body.is_none() {
            log::warn!(
                "request {}: the body was already sent and cannot be replayed",
                self.id
            );
        }
        body
    }

    /// Returns the result of an attempt that failed because the request body ended early, or `None` if
    /// the body is intact. The request may have run, as a part of it was sent.
    #[must_use]
    pub fn body_failure(&self) -> Option<AttemptOutcome> {
        let (reason, message) = match self.body.failure()? {
            BodyFailure::Aborted => (Reason::Malformed, "the caller aborted the request body"),
            BodyFailure::Oversize => (
                Reason::Oversize,
                "the request body exceeds the limit on bodies",
            ),
            BodyFailure::Memory => (
                Reason::Overload,
                "no memory left for the rest of the request body",
            ),
        };
        log::info!("request {}: {message}", self.id);
        Some(AttemptOutcome::OutcomeUnknown(Refusal::unknown(reason)))
    }

    /// Returns the stream that the request begins or takes up, if its response can be resumed.
    #[must_use]
    pub fn stream(&self) -> Option<StreamPart> {
        let resumable = self.rules.is_some_and(|rules| rules.resumable);
        let first = self.resumes.as_deref().unwrap_or(&self.id);
        let taken_up = self.resumes.is_some() || self.headers.contains_key(LAST_EVENT_ID_HEADER);
        resumable.then(|| StreamPart {
            id: StreamId::new(self.customer, first),
            begun: taken_up || self.version.is_some(),
            version: self.version,
        })
    }

    /// Returns the address of the caller as text, empty if unknown.
    #[must_use]
    pub fn caller_text(&self) -> String {
        let caller = self.caller.map(|caller| caller.to_string());
        caller.unwrap_or_default()
    }

    /// Returns what the request may share with others to the service, the narrowest last: its
    /// caller, the parameters of its query, its path, and all of it but the caller. Prompts share
    /// their parts instead of the first three.
    pub fn attributes(&self) -> impl Iterator<Item = Attribute> {
        const MAX_PARAMETERS: usize = 8;
        let (path, query) = self.path.split_once('?').unwrap_or((&self.path, ""));
        let service = self.service;
        let is_plain = self.prompt.is_none();
        let caller = self.caller.filter(|_| is_plain).map(|caller| {
            let caller = caller.to_string();
            Attribute::new("caller", service, &caller)
        });
        let parameters = query
            .split('&')
            .filter(move |text| is_plain && !text.is_empty());
        let parameters = parameters
            .take(MAX_PARAMETERS)
            .map(move |text| Attribute::new("parameter", service, text));
        let path = is_plain.then(|| Attribute::new("path", service, path));
        // Without a query and a body, the path is all that there is.
        let has_more = !is_plain || !query.is_empty() || !self.body.first().is_empty();
        let content = has_more && self.content != self.fingerprint;
        let content = content.then_some(Attribute {
            kind: "content",
            fingerprint: self.content,
        });
        caller
            .into_iter()
            .chain(parameters)
            .chain(path)
            .chain(content)
    }

    /// Returns what the request shares with others, for log lines: its attributes and the last parts
    /// of its prompt, the narrowest first. Each has its kind or identifier and the fingerprint that
    /// the quarantine names.
    #[must_use]
    pub fn shared_parts(&self) -> String {
        const MAX_LISTED: usize = 8;
        let attributes = self.attributes();
        let mut listed: Vec<String> = attributes
            .map(|attribute| format!("{}/{}", attribute.kind, attribute.fingerprint))
            .collect();
        listed.reverse();
        if let Some(prompt) = self.prompt.as_deref() {
            let fingerprints = part_fingerprints(self.service, prompt);
            let parts = prompt.shared_parts().iter().zip(&fingerprints).rev();
            let parts = parts.map(|(part, fingerprint)| format!("{:x}/{fingerprint}", part.id));
            listed.extend(parts);
        }
        listed.truncate(MAX_LISTED);
        listed.join(" ")
    }

    /// Digests the prefix of the prompt, for engines.
    #[must_use]
    pub fn prefix(&self, service: &Service) -> Option<u64> {
        let body = self.body.first();
        let long = body.len() >= MIN_PREFIX_BODY_BYTES;
        (service.kind == Kind::Engine && long).then(|| {
            let head = &body[..body.len().min(PREFIX_BYTES)];
            Digest::of(head).leading_u64()
        })
    }
}
