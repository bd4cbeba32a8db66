//! Reads callers' requests.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, header};
use http_body_util::BodyExt;
use seam_core::{ConfigVersion, Refusal};
use seam_http::{BodyError, Incoming};
use seam_protocol::{CustomerId, Digest, HostRoute, Reason, RetryPolicy, ServiceId, Tenant};

use crate::dialect::RequestOptions;
use crate::inbound::{InboundRequest, KEY_HEADER, fingerprint, route_rules};
use crate::link::key_name;
use crate::request_body::{BodyLimit, ReadError, RequestBody};
use crate::runtime::{NodeRuntime, Snapshot};

/// Time after which a caller may retry at a node that is not ready or short of memory.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a body in bytes if the configuration states no limit.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Why a request is rejected while it is read.
#[derive(Debug)]
pub struct Rejection {
    /// The refusal to send to the caller.
    pub refusal: Refusal,
    /// What is wrong, and with what.
    pub detail: String,
    /// The configuration that decided it, if it was read.
    pub config: Option<ConfigVersion>,
}

impl Rejection {
    fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::not_run(reason),
            detail: detail.into(),
            config: None,
        }
    }

    /// Creates a rejection by the configuration. It is for a time only if a later one may allow the request.
    fn by_config(runtime: &NodeRuntime, reason: Reason, detail: impl Into<String>) -> Self {
        if runtime.read(|node, _| node.config_outdated()) {
            return Self::for_a_time(detail);
        }
        Self::new(reason, detail)
    }

    /// Creates a rejection by a configuration that is not the only one to decide.
    fn for_a_time(detail: impl Into<String>) -> Self {
        let mut rejection = Self::new(Reason::Revision, detail);
        rejection.refusal.retry_after = Some(RETRY_AFTER);
        rejection
    }

    /// Creates a rejection by a route that cannot be read, for a time.
    fn unread(detail: impl Into<String>) -> Self {
        let mut rejection = Self::new(Reason::NoTarget, detail);
        rejection.refusal.retry_after = Some(RETRY_AFTER);
        rejection
    }

    /// Adds the configuration that decided it, unless it states one.
    fn by(self, snapshot: &Snapshot) -> Self {
        Self {
            config: self.config.or(Some(snapshot.config)),
            ..self
        }
    }
}

/// Returns a new identifier for a request.
pub fn new_request_id(runtime: &NodeRuntime) -> String {
    let incarnation = runtime.read(|node, _| node.identity().incarnation);
    format!("{incarnation}-{:x}", runtime.next_ticket().0)
}

/// Returns the active configuration, or a rejection if the node has none yet.
pub fn snapshot(runtime: &NodeRuntime) -> Result<Arc<Snapshot>, Rejection> {
    let configured = runtime.read(|node, _| node.configured());
    let snapshot = runtime.snapshot().filter(|_| configured);
    snapshot.ok_or_else(|| Rejection {
        refusal: Refusal::not_run(Reason::NotReady).with_retry_after(RETRY_AFTER),
        detail: "no configuration is in force yet".to_owned(),
        config: None,
    })
}

/// Returns the customer whose bearer token the headers contain.
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
fn split_service(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    match path.find('/') {
        Some(at) => path.split_at(at),
        None => (path, "/"),
    }
}

fn key_text(headers: &HeaderMap) -> Result<String, Rejection> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(String::new());
    };
    let text = value.to_str().map(str::trim).unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES || values.next().is_some() {
        let detail = format!("{KEY_HEADER} must be one text of 1 to {MAX_KEY_BYTES} characters");
        return Err(Rejection::new(Reason::KeyInvalid, detail));
    }
    Ok(text.to_owned())
}

/// Reads a body, or the first bytes of a long one.
async fn read_body(
    runtime: &NodeRuntime,
    body: Incoming,
    limit: impl Into<BodyLimit>,
) -> Result<RequestBody, Rejection> {
    let body = body.map_err(|source| BodyError::Connection { source });
    let read = RequestBody::read(
        body.boxed_unsync(),
        limit,
        runtime.body_memory.reservation(),
    )
    .await;
    read.map_err(|error| {
        let detail = error.to_string();
        match error {
            ReadError::Oversize { .. } => Rejection::by_config(runtime, Reason::Oversize, detail),
            ReadError::Broken { .. } => Rejection::new(Reason::Malformed, detail),
            ReadError::Memory => {
                let mut rejection = Rejection::new(Reason::Overload, detail);
                rejection.refusal.retry_after = Some(RETRY_AFTER);
                rejection
            }
        }
    })
}

/// Returns the maximum size of a body in a configuration.
fn body_limit(snapshot: &Snapshot) -> usize {
    let limits = snapshot.bundle.limits.as_ref();
    limits.map_or(MAX_BODY_BYTES, |limits| limits.body_bytes)
}

/// Returns the largest of a limit on bodies and those in force whenever a part of the body arrived.
///
/// What a limit has allowed is kept to, also if it is lowered before the body ends.
fn raised_limit(runtime: &Arc<NodeRuntime>, limit: usize) -> BodyLimit {
    let runtime = Arc::downgrade(runtime);
    let largest = AtomicUsize::new(limit);
    BodyLimit::new(move || {
        let snapshot = runtime.upgrade().and_then(|runtime| runtime.snapshot());
        let in_force = snapshot.map_or(0, |snapshot| body_limit(&snapshot));
        let before = largest.fetch_max(in_force, Ordering::Relaxed);
        before.max(in_force)
    })
}

/// Rejects a body that was read by another limit than the one in force, if it is larger than that. One
/// of unknown size is refused for a time.
fn check_limit(
    runtime: &NodeRuntime,
    body: &RequestBody,
    (read_by, in_force): (usize, usize),
) -> Result<(), Rejection> {
    let detail = format!("the limit on bodies is {in_force} bytes now");
    let known = body.length().unwrap_or(body.first().len() as u64);
    if known > in_force as u64 {
        return Err(Rejection::by_config(runtime, Reason::Oversize, detail));
    }
    match body.length() {
        Some(_) => Ok(()),
        None if in_force >= read_by => Ok(()),
        None => Err(Rejection::for_a_time(detail)),
    }
}

/// Rejects a request whose API key was found in a configuration that may be outdated by more than the limit on
/// revocation. Has to follow the read of the head and the look-up of the key at once.
fn check_revocation(runtime: &NodeRuntime, snapshot: &Snapshot) -> Result<(), Rejection> {
    let checked = runtime.update(|node, now| {
        let checked = node.check_keyed(now, &snapshot.config);
        checked.map_err(|refusal| (refusal, node.confirmation_age(now)))
    });
    checked.map_err(|(refusal, age)| {
        let age = age.map_or_else(
            || "never".to_owned(),
            |age| format!("{} ms ago", age.as_millis()),
        );
        Rejection {
            refusal,
            detail: format!("the configuration was confirmed {age}"),
            config: None,
        }
    })
}

/// Rejects a head that exceeds the limit in force. It was read because the configuration may be outdated.
fn check_head(head: &http::request::Parts, limit: usize) -> Result<(), Rejection> {
    if head_bytes(head) <= limit {
        return Ok(());
    }
    let detail = format!("the limit on heads is {limit} bytes");
    Err(Rejection::for_a_time(detail))
}

/// Returns the least number of bytes that a head takes as text.
fn head_bytes(head: &http::request::Parts) -> usize {
    /// Bytes beside the name and the value of a field: a colon and the end of the line.
    const SEPARATOR_BYTES: usize = 3;
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES);
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    head.method.as_str().len() + path + fields.sum::<usize>()
}

/// Returns the host of a request without a trailing dot.
fn request_host(request: &http::request::Parts) -> Option<String> {
    let authority = request.uri.authority().map(http::uri::Authority::as_str);
    let host_header = || request.headers.get(header::HOST)?.to_str().ok();
    let host = authority.or_else(host_header)?;
    Some(host.trim_end_matches('.').to_owned())
}

/// Returns the route of a request, and the service that handles it.
///
/// A node whose configuration may be outdated refuses what it lacks for a time only.
fn find_route<'a>(
    runtime: &NodeRuntime,
    snapshot: &'a Snapshot,
    host: &str,
    path: &str,
    id: &str,
) -> Result<(&'a HostRoute, ServiceId), Rejection> {
    let Some(route) = snapshot.bundle.routes.find(host, path) else {
        if snapshot.bundle.routes.may_serve(host, path) {
            return Err(Rejection::unread("the place of a route cannot be read"));
        }
        let detail = format!("no route of {host:?} serves this path");
        return Err(Rejection::by_config(runtime, Reason::Service, detail));
    };
    let service = route.service(Digest::of(id.as_bytes()).leading_u64());
    let Some(service) = service else {
        let detail = format!("no service serves the route {:?}", route.name);
        return Err(Rejection::unread(detail));
    };
    Ok((route, service))
}

/// Returns the tenant whose API key a request has, `None` if its route needs no key.
///
/// A node whose configuration may be outdated refuses what it does not know for a time only.
fn find_tenant<'a>(
    runtime: &NodeRuntime,
    snapshot: &'a Snapshot,
    route: &HostRoute,
    key: &Result<Option<Digest>, String>,
) -> Result<Option<&'a Tenant>, Rejection> {
    let tenants = &snapshot.bundle.tenants;
    if !snapshot.bundle.needs_key(route) {
        return Ok(None);
    }
    if tenants.values().all(Tenant::is_unread) {
        return Err(Rejection::unread("the tenants cannot be read"));
    }
    let found = match key {
        Ok(Some(key)) => {
            let id = snapshot.api_keys.get(key);
            let tenant = id.and_then(|id| tenants.get(id));
            tenant.ok_or("no tenant has the API key of the request")
        }
        Ok(None) => Err("the request has no API key"),
        Err(malformed) => Err(malformed.as_str()),
    };
    match found {
        Ok(tenant) => Ok(Some(tenant)),
        // A key that was added since the configuration was last confirmed is unknown here.
        Err(detail) if !runtime.read(seam_core::Node::admits_keyed) => {
            Err(Rejection::for_a_time(detail))
        }
        Err(detail) => Err(Rejection::by_config(runtime, Reason::Credential, detail)),
    }
}

/// Reads a request and matches it against the published routes.
///
/// The time spent on reading the body counts against the request's deadline.
pub async fn read_routed(
    runtime: &Arc<NodeRuntime>,
    request: Request<Incoming>,
    options: Result<RequestOptions, String>,
    id: &str,
    from: IpAddr,
) -> Result<InboundRequest, Rejection> {
    let snapshot = snapshot(runtime)?;
    let read = read_matched(runtime, &snapshot, request, options, id, from).await;
    read.map_err(|rejection| rejection.by(&snapshot))
}

async fn read_matched(
    runtime: &Arc<NodeRuntime>,
    snapshot: &Snapshot,
    request: Request<Incoming>,
    options: Result<RequestOptions, String>,
    id: &str,
    from: IpAddr,
) -> Result<InboundRequest, Rejection> {
    let start = runtime.now();
    let (head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let Some(host) = request_host(&head) else {
        return Err(Rejection::new(
            Reason::Malformed,
            "the request names no host",
        ));
    };
    let (route, _) = find_route(runtime, snapshot, &host, head.uri.path(), id)?;
    let key = runtime.dialect.api_key(&head.headers);
    if find_tenant(runtime, snapshot, route, &key)?.is_some() {
        check_revocation(runtime, snapshot)?;
    }
    check_head(&head, super::head_limit(snapshot))?;
    let options = options.map_err(|detail| Rejection::new(Reason::Malformed, detail))?;
    let stated_budget = options.budget.unwrap_or(Duration::MAX);
    let budget_on = |route: &HostRoute| stated_budget.min(Duration::from_millis(route.timeout));
    let budget_in_force = || {
        let snapshot = runtime.snapshot()?;
        let route = snapshot.bundle.routes.find(&host, head.uri.path())?;
        Some(budget_on(route))
    };
    let limit = body_limit(snapshot);
    let timeout = async {
        let mut budget = budget_on(route);
        loop {
            let elapsed = runtime.now().since(start);
            if elapsed >= budget {
                break;
            }
            Timer::after(budget.saturating_sub(elapsed)).await;
            budget = budget_in_force().unwrap_or_default();
        }
        Err(Rejection::new(Reason::SlowBody, "the body took too long"))
    };
    let body = read_body(runtime, body, raised_limit(runtime, limit));
    let body = body.or(timeout).await?;
    // Another configuration may be in force since the head was read.
    let snapshot = self::snapshot(runtime)?;
    let found = find_route(runtime, &snapshot, &host, head.uri.path(), id);
    let (route, service) = found.map_err(|rejection| rejection.by(&snapshot))?;
    let tenant = find_tenant(runtime, &snapshot, route, &key)
        .map_err(|rejection| rejection.by(&snapshot))?;
    check_limit(runtime, &body, (limit, body_limit(&snapshot)))
        .map_err(|rejection| rejection.by(&snapshot))?;
    let path = path.to_owned();
    let mut headers = head.headers;
    runtime.dialect.strip_request_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let budget = budget_on(route).saturating_sub(runtime.now().since(start));
    let found = Found {
        snapshot: &snapshot,
        route,
        service,
        tenant,
        host,
        path,
    };
    let head = (head.method, headers);
    Ok(found.request(id, Some(from), head, body, options, budget))
}

/// A route that a request matches, and the tenant whose API key it has.
struct Found<'a> {
    snapshot: &'a Snapshot,
    route: &'a HostRoute,
    service: ServiceId,
    tenant: Option<&'a Tenant>,
    host: String,
    /// Path with the query.
    path: String,
}

impl Found<'_> {
    /// Returns the request with its method and the headers for its target.
    fn request(
        self,
        id: &str,
        from: Option<IpAddr>,
        (method, headers): (Method, HeaderMap),
        body: RequestBody,
        options: RequestOptions,
        budget: Duration,
    ) -> InboundRequest {
        let (route, service, path) = (self.route, self.service, self.path);
        InboundRequest {
            id: id.to_owned(),
            caller: from,
            repeatable: route.retry_policy != RetryPolicy::Once,
            fingerprint: fingerprint(service, &method, &path, from, body.first()),
            content: fingerprint(service, &method, &path, None, body.first()),
            tenant: self.tenant.map(|tenant| tenant.name.clone()),
            rules: Some(route_rules(route, self.tenant)),
            prompt: options.prompt.map(Arc::new),
            resumes: options.resumes,
            version: None,
            customer: route.customer_id(&self.host),
            host: Some(self.host),
            method,
            path,
            headers,
            body,
            customer_name: route.name.clone(),
            service,
            config: self.snapshot.config,
            key: None,
            key_text: String::new(),
            budget,
        }
    }
}

/// The head of a request that is explained and not sent.
pub struct ExplainedHead {
    /// HTTP method.
    pub method: Method,
    /// Host.
    pub host: String,
    /// Path, with the query if there is one.
    pub path: PathAndQuery,
    /// Headers by which a caller states its API key and its prompt.
    pub headers: HeaderMap,
    /// Identifier, by which a service of the route is chosen.
    pub id: String,
}

/// Matches a request that is explained against the published routes, like one that is sent, but with an empty
/// body. Changes and counts nothing.
///
/// # Errors
/// Why a request with this head is rejected while it is read.
pub fn read_explained(
    runtime: &NodeRuntime,
    head: ExplainedHead,
) -> Result<InboundRequest, Rejection> {
    let snapshot = snapshot(runtime)?;
    let host = head.host.trim_end_matches('.').to_owned();
    let (route, service) = find_route(runtime, &snapshot, &host, head.path.path(), &head.id)?;
    let key = runtime.dialect.api_key(&head.headers);
    let tenant = find_tenant(runtime, &snapshot, route, &key)?;
    let options = runtime.dialect.request_options(&head.headers);
    let options = options.map_err(|detail| Rejection::new(Reason::Malformed, detail))?;
    let found = Found {
        snapshot: &snapshot,
        route,
        service,
        tenant,
        host,
        path: head.path.as_str().to_owned(),
    };
    let body = RequestBody::whole(Vec::new());
    let budget = Duration::from_millis(route.timeout);
    let sent = (head.method, HeaderMap::new());
    Ok(found.request(&head.id, None, sent, body, options, budget))
}

/// Reads a request whose path names a service.
pub async fn read(
    runtime: &NodeRuntime,
    request: Request<Incoming>,
    id: &str,
    from: IpAddr,
) -> Result<InboundRequest, Rejection> {
    let snapshot = snapshot(runtime)?;
    let read = read_named(runtime, &snapshot, request, id, from).await;
    read.map_err(|rejection| rejection.by(&snapshot))
}

async fn read_named(
    runtime: &NodeRuntime,
    snapshot: &Snapshot,
    request: Request<Incoming>,
    id: &str,
    from: IpAddr,
) -> Result<InboundRequest, Rejection> {
    let (head, body) = request.into_parts();
    let customer = customer(snapshot, &head.headers)?;
    let (name, rest) = split_service(head.uri.path());
    let service = ServiceId::of(name);
    let Some(service_config) = snapshot.bundle.services.get(&service) else {
        let detail = format!("no service is named {name:?}");
        return Err(Rejection::new(Reason::Service, detail));
    };
    let path = match head.uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    let options = runtime.dialect.request_options(&head.headers);
    let options = options.map_err(|detail| Rejection::new(Reason::Malformed, detail))?;
    let default = Duration::from_millis(service_config.deadline);
    let budget = options.budget.unwrap_or(default);
    let key_text = key_text(&head.headers)?;
    let secret = runtime.secrets().fleet;
    let key = key_name(&secret, customer, name, &key_text)
        .map_err(|error| Rejection::new(Reason::KeyInvalid, error.to_string()))?;
    let body = read_body(runtime, body, service_config.max_body as usize).await?;
    let mut headers = head.headers;
    runtime.dialect.strip_request_headers(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(KEY_HEADER);
    let content = fingerprint(service, &head.method, &path, None, body.first());
    Ok(InboundRequest {
        id: id.to_owned(),
        caller: Some(from),
        repeatable: service_config.repeatable(head.method.as_str(), &path),
        fingerprint: content,
        content,
        host: None,
        tenant: None,
        rules: None,
        prompt: options.prompt.map(Arc::new),
        resumes: options.resumes,
        version: None,
        method: head.method,
        path,
        headers,
        body,
        customer_name: snapshot.bundle.customers[&customer].name.clone(),
        customer,
        service,
        config: snapshot.config,
        key,
        key_text,
        budget,
    })
}
