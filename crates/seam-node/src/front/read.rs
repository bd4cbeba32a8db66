//! Reads a caller's request.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use seam_core::Refusal;
use seam_protocol::{CustomerId, Digest, Reason, ServiceId};

use crate::hub::{Hub, Snapshot};
use crate::inbound::{DEADLINE_FIELD, Inbound, KEY_FIELD, strip};
use crate::link::key_name;

/// Time after which a node that is not ready may be asked again.
const SOON: Duration = Duration::from_secs(1);
/// Longest idempotency key in bytes.
const LONGEST_KEY: usize = 256;

/// Why a request could not be read.
#[derive(Debug)]
pub struct Fault {
    /// The answer.
    pub refusal: Refusal,
    /// What failed and where.
    pub detail: String,
}

impl Fault {
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
    format!("{incarnation}-{:x}", hub.ticket().0)
}

/// Returns the snapshot, or the answer of a node that has no configuration yet.
pub fn snapshot(hub: &Hub) -> Result<Arc<Snapshot>, Fault> {
    hub.snapshot().ok_or_else(|| Fault {
        refusal: Refusal::not_run(Reason::NotReady).after(SOON),
        detail: "no configuration is in force yet".to_owned(),
    })
}

/// Returns the customer that a bearer token names.
pub fn customer(snapshot: &Snapshot, fields: &HeaderMap) -> Result<CustomerId, Fault> {
    let token = fields
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim());
    let Some(token) = token else {
        let detail = "the request has no `Authorization: Bearer` header field";
        return Err(Fault::new(Reason::Credential, detail));
    };
    let digest = Digest::of(token.as_bytes());
    let found = snapshot.credentials.get(&digest).copied();
    found.ok_or_else(|| Fault::new(Reason::Credential, "no customer has this token"))
}

/// Splits `/service/rest` into the service's name and the rest.
fn split(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    match path.find('/') {
        Some(at) => path.split_at(at),
        None => (path, "/"),
    }
}

fn budget(fields: &HeaderMap, default: u64) -> Result<Duration, Fault> {
    const LONGEST_MS: u64 = 86_400_000;
    let Some(value) = fields.get(DEADLINE_FIELD) else {
        return Ok(Duration::from_millis(default));
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .filter(|millis| (1..=LONGEST_MS).contains(millis));
    millis.map(Duration::from_millis).ok_or_else(|| {
        let detail = format!("{DEADLINE_FIELD} is {value:?}, expected 1 to {LONGEST_MS}");
        Fault::new(Reason::Malformed, detail)
    })
}

fn key_text(fields: &HeaderMap) -> Result<String, Fault> {
    let mut values = fields.get_all(KEY_FIELD).iter();
    let Some(value) = values.next() else {
        return Ok(String::new());
    };
    let text = value.to_str().map(str::trim).unwrap_or_default();
    if text.is_empty() || text.len() > LONGEST_KEY || values.next().is_some() {
        let detail = format!("{KEY_FIELD} must be one text of 1 to {LONGEST_KEY} characters");
        return Err(Fault::new(Reason::KeyInvalid, detail));
    }
    Ok(text.to_owned())
}

/// Reads a whole request.
pub async fn read(hub: &Hub, request: Request<Incoming>, id: &str) -> Result<Inbound, Fault> {
    let snapshot = snapshot(hub)?;
    let (head, body) = request.into_parts();
    let customer = customer(&snapshot, &head.headers)?;
    let (name, rest) = split(head.uri.path());
    let service = ServiceId::of(name);
    let Some(rule) = snapshot.bundle.services.get(&service) else {
        let detail = format!("no service is named {name:?}");
        return Err(Fault::new(Reason::Service, detail));
    };
    let path = match head.uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    let budget = budget(&head.headers, rule.deadline)?;
    let key_text = key_text(&head.headers)?;
    let secret = hub.secrets().fleet;
    let key = key_name(&secret, customer, name, &key_text)
        .map_err(|error| Fault::new(Reason::KeyInvalid, error.to_string()))?;
    let limit = rule.body as usize;
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|error| {
        let reason = if error.is::<http_body_util::LengthLimitError>() {
            Reason::Oversize
        } else {
            Reason::Malformed
        };
        Fault::new(reason, format!("body of at most {limit} bytes: {error}"))
    })?;
    let mut fields = head.headers;
    strip(&mut fields);
    fields.remove(header::AUTHORIZATION);
    fields.remove(header::CONTENT_LENGTH);
    fields.remove(KEY_FIELD);
    Ok(Inbound {
        id: id.to_owned(),
        repeatable: rule.repeatable(head.method.as_str(), &path),
        method: head.method,
        path,
        fields,
        body: body.to_bytes(),
        name: snapshot.bundle.customers[&customer].name.clone(),
        customer,
        service,
        key,
        key_text,
        budget,
    })
}
