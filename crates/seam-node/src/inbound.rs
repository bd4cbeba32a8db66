//! A request as it was read, whoever handed it in.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::request_body::RequestBody;
use http::{HeaderMap, HeaderName, Method, header};
use seam_core::{Class, KeyName, Prompt, Refusal, Reply};
use seam_http::Body;
use seam_protocol::{
    CustomerId, Digest, Fingerprint, HostRoute, Kind, Reason, Repeat, Service, ServiceId,
};

/// Prefix of header fields that belong to the system.
pub const OWN_PREFIX: &str = "seam-";
/// Header field with the caller's time limit in milliseconds.
pub const DEADLINE_FIELD: &str = "seam-deadline-ms";
/// Header field with the outcome of a request.
pub const OUTCOME_FIELD: &str = "seam-outcome";
/// Header field with the request's identifier.
pub const REQUEST_FIELD: &str = "seam-request-id";
/// Header field that tells a target the customer's name.
pub const CUSTOMER_FIELD: &str = "seam-customer";
/// Header field with an idempotency key.
pub const KEY_FIELD: &str = "idempotency-key";

/// Bytes at the head of a prompt that stand for its prefix.
const PREFIX_BYTES: usize = 1024;
/// Shortest body whose prefix is worth following.
const LEAST_PREFIX: usize = 256;

/// Header fields that concern one connection only.
const HOP_FIELDS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
];

/// A request whose head was read.
#[derive(Debug)]
pub struct InboundRequest {
    /// Identifier for logs and answers.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path below the service, with the query.
    pub path: String,
    /// End-to-end header fields.
    pub headers: HeaderMap,
    /// Its body, whole unless it is long.
    pub body: RequestBody,
    /// The customer.
    pub customer: CustomerId,
    /// The customer's name.
    pub customer_name: String,
    /// The service.
    pub service: ServiceId,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Its idempotency key.
    pub key: Option<KeyName>,
    /// The key as the caller wrote it.
    pub key_text: String,
    /// Time until the deadline.
    pub budget: Duration,
    /// Host that the caller named, where routes are published.
    pub host: Option<String>,
    /// Rules of its route.
    pub class: Option<Class>,
    /// What it asks of a model engine.
    pub prompt: Option<Arc<Prompt>>,
    /// What makes two requests the same for a target.
    pub fingerprint: Fingerprint,
}

/// Removes header fields that concern one connection or belong to the system.
pub fn strip_headers(fields: &mut HeaderMap) {
    let named: Vec<HeaderName> = fields
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_FIELDS.into_iter().chain(named) {
        fields.remove(name);
    }
    fields.remove("keep-alive");
    fields.remove("proxy-connection");
    let own: Vec<HeaderName> = fields
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        fields.remove(name);
    }
}

/// Digests what makes two requests the same for a target, of a long body its first bytes.
///
/// Where callers have no credentials, `caller` tells the requests of two apart.
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
    bytes.extend_from_slice(body);
    Fingerprint(Digest::of(&bytes).head())
}

/// Returns the rules of a route that bind one request.
#[must_use]
pub fn route_class(route: &HostRoute) -> Class {
    Class {
        objective: Duration::from_millis(route.objective),
        attempts: u32::from(route.attempts.max(1)),
        rank: route.rank,
        streams: route.streams,
        resumable: route.streams && route.repeat == Repeat::Resumable,
    }
}

impl InboundRequest {
    /// Returns the body to be sent, `None` with a log line if it could be sent only once and was.
    #[must_use]
    pub fn open_body(&self) -> Option<Body> {
        let body = self.body.open();
        if body.is_none() {
            log::warn!("request {}: its body was sent before", self.id);
        }
        body
    }

    /// Returns how an attempt ended whose exchange failed since the caller broke the body off.
    #[must_use]
    pub fn body_failure(&self) -> Option<Reply> {
        self.body.failed().then(|| {
            log::info!("request {}: its caller broke the body off", self.id);
            Reply::Unsure(Refusal::unknown(Reason::Malformed))
        })
    }

    /// Digests the head of the prompt, for engines.
    #[must_use]
    pub fn prefix(&self, service: &Service) -> Option<u64> {
        let body = self.body.first();
        let long = body.len() >= LEAST_PREFIX;
        (service.kind == Kind::Engine && long).then(|| {
            let head = &body[..body.len().min(PREFIX_BYTES)];
            Digest::of(head).head()
        })
    }
}
