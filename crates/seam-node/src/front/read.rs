//! Reads a caller's request.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::{HeaderMap, Request, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use seam_core::Refusal;
use seam_http::BodyError;
use seam_protocol::{CustomerId, Digest, Reason, Repeat, ServiceId};

use crate::dialect::RequestOptions;
use crate::hub::{Hub, Snapshot};
use crate::inbound::{InboundRequest, KEY_FIELD, fingerprint, route_class};
use crate::link::key_name;
use crate::request_body::{ReadError, RequestBody};

/// Time after which a node that is not ready may be asked again.
const SOON: Duration = Duration::from_secs(1);
/// Largest body in bytes where the platform states no limit.
const LARGEST_BODY: usize = 4 << 20;
/// Longest idempotency key in bytes.
const LONGEST_KEY: usize = 256;

/// Why a request could not be read.
#[derive(Debug)]
pub struct Rejection {
    /// The answer.
    pub refusal: Refusal,
    /// What failed and where.
    pub detail: String,
}

impl Rejection {
    fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::not_run(reason),
            detail: detail.into(),
        }
    }
}

/// Returns a new identifier for a request.
pub fn identifier(hub: &Hub) -> String {
    let incarnation = hub.read(|node, _| node.identity().incarnation);
    format!("{incarnation}-{:x}", hub.next_ticket().0)
}

/// Returns the snapshot, or the answer of a node that has no configuration yet.
pub fn snapshot(hub: &Hub) -> Result<Arc<Snapshot>, Rejection> {
    let configured = hub.read(|node, _| node.configured());
    let snapshot = hub.snapshot().filter(|_| configured);
    snapshot.ok_or_else(|| Rejection {
        refusal: Refusal::not_run(Reason::NotReady).after(SOON),
        detail: "no configuration is in force yet".to_owned(),
    })
}

/// Returns the customer that a bearer token names.
pub fn customer(snapshot: &Snapshot, headers: &HeaderMap) -> Result<CustomerId, Rejection> {
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim());
    let Some(token) = token else {
        let detail = "the request has no `Authorization: Bearer` header field";
        return Err(Rejection::new(Reason::Credential, detail));
    };
    let digest = Digest::of(token.as_bytes());
    let found = snapshot.credentials.get(&digest).copied();
    found.ok_or_else(|| Rejection::new(Reason::Credential, "no customer has this token"))
}

/// Splits `/service/rest` into the service's name and the rest.
fn split(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    match path.find('/') {
        Some(at) => path.split_at(at),
        None => (path, "/"),
    }
}

fn key_text(headers: &HeaderMap) -> Result<String, Rejection> {
    let mut values = headers.get_all(KEY_FIELD).iter();
    let Some(value) = values.next() else {
        return Ok(String::new());
    };
    let text = value.to_str().map(str::trim).unwrap_or_default();
    if text.is_empty() || text.len() > LONGEST_KEY || values.next().is_some() {
        let detail = format!("{KEY_FIELD} must be one text of 1 to {LONGEST_KEY} characters");
        return Err(Rejection::new(Reason::KeyInvalid, detail));
    }
    Ok(text.to_owned())
}

/// Reads a body, of a long one the first bytes.
async fn read_body(hub: &Hub, body: Incoming, limit: usize) -> Result<RequestBody, Rejection> {
    let body = body.map_err(|source| BodyError::Connection { source });
    let read = RequestBody::read(body.boxed_unsync(), limit, hub.body_memory.reservation()).await;
    read.map_err(|error| {
        let refusal = match error {
            ReadError::Oversize { .. } => Refusal::not_run(Reason::Oversize),
            ReadError::Broken { .. } => Refusal::not_run(Reason::Malformed),
            ReadError::Memory => Refusal::not_run(Reason::Overload).after(SOON),
        };
        Rejection {
            refusal,
            detail: error.to_string(),
        }
    })
}

/// Returns the host that a request names, without the dot at its end.
fn host_of(request: &http::request::Parts) -> Option<String> {
    let named = request.uri.authority().map(http::uri::Authority::as_str);
    let field = || request.headers.get(header::HOST)?.to_str().ok();
    let host = named.or_else(field)?;
    Some(host.trim_end_matches('.').to_owned())
}

/// Reads a request for a published route.
///
/// `asked` is what its header fields say. The time that the body takes counts against the request's
/// own.
pub async fn read_routed(
    hub: &Hub,
    request: Request<Incoming>,
    asked: Result<RequestOptions, String>,
    id: &str,
    from: IpAddr,
) -> Result<InboundRequest, Rejection> {
    let start = hub.now();
    let snapshot = snapshot(hub)?;
    let (head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let Some(host) = host_of(&head) else {
        return Err(Rejection::new(
            Reason::Malformed,
            "the request names no host",
        ));
    };
    let Some(route) = snapshot.bundle.routes.find(&host, head.uri.path()) else {
        let detail = format!("no route of {host:?} serves this path");
        return Err(Rejection::new(Reason::Service, detail));
    };
    let service = route.service(Digest::of(id.as_bytes()).head());
    let Some(service) = service else {
        let detail = format!("no service serves the route {:?}", route.name);
        return Err(Rejection::new(Reason::NoTarget, detail));
    };
    let asked = asked.map_err(|detail| Rejection::new(Reason::Malformed, detail))?;
    let most = Duration::from_millis(route.timeout);
    let budget = asked.budget.map_or(most, |budget| budget.min(most));
    let limit = snapshot.bundle.limits.as_ref();
    let limit = limit.map_or(LARGEST_BODY, |limits| limits.body_bytes);
    let late = async {
        Timer::after(budget).await;
        Err(Rejection::new(Reason::SlowBody, "the body took too long"))
    };
    let body = read_body(hub, body, limit).or(late).await?;
    let mut headers = head.headers;
    hub.dialect.strip_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let path = path.to_owned();
    Ok(InboundRequest {
        id: id.to_owned(),
        repeatable: route.repeat != Repeat::Once,
        fingerprint: fingerprint(service, &head.method, &path, Some(from), body.first()),
        class: Some(route_class(route)),
        prompt: asked.prompt.map(Arc::new),
        host: Some(host),
        method: head.method,
        path,
        headers,
        body,
        customer: CustomerId::of(&route.name),
        customer_name: route.name.clone(),
        service,
        key: None,
        key_text: String::new(),
        budget: budget.saturating_sub(hub.now().since(start)),
    })
}

/// Reads a request for a service that its path names.
pub async fn read(
    hub: &Hub,
    request: Request<Incoming>,
    id: &str,
) -> Result<InboundRequest, Rejection> {
    let snapshot = snapshot(hub)?;
    let (head, body) = request.into_parts();
    let customer = customer(&snapshot, &head.headers)?;
    let (name, rest) = split(head.uri.path());
    let service = ServiceId::of(name);
    let Some(rule) = snapshot.bundle.services.get(&service) else {
        let detail = format!("no service is named {name:?}");
        return Err(Rejection::new(Reason::Service, detail));
    };
    let path = match head.uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    let asked = hub.dialect.request_options(&head.headers);
    let asked = asked.map_err(|detail| Rejection::new(Reason::Malformed, detail))?;
    let default = Duration::from_millis(rule.deadline);
    let budget = asked.budget.unwrap_or(default);
    let key_text = key_text(&head.headers)?;
    let secret = hub.secrets().fleet;
    let key = key_name(&secret, customer, name, &key_text)
        .map_err(|error| Rejection::new(Reason::KeyInvalid, error.to_string()))?;
    let body = read_body(hub, body, rule.body as usize).await?;
    let mut headers = head.headers;
    hub.dialect.strip_headers(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(KEY_FIELD);
    Ok(InboundRequest {
        id: id.to_owned(),
        repeatable: rule.repeatable(head.method.as_str(), &path),
        fingerprint: fingerprint(service, &head.method, &path, None, body.first()),
        host: None,
        class: None,
        prompt: asked.prompt.map(Arc::new),
        method: head.method,
        path,
        headers,
        body,
        customer_name: snapshot.bundle.customers[&customer].name.clone(),
        customer,
        service,
        key,
        key_text,
        budget,
    })
}
