//! The server for callers.

mod api;
mod discovery;
mod read;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use seam_core::Origin;
use seam_http::bounds::record_denied;
use seam_http::serve::MIN_HEAD_BYTES;
use seam_http::{Body, CallerLimits, Incoming, Listener, ServerLimits, Stop, serve_with_limits};
use seam_protocol::Reason;

use crate::config_log::{confirmed, meaning};
use crate::drive;
use crate::inbound::InboundRequest;
use crate::runtime::{NodeRuntime, Snapshot};
pub(crate) use read::{ExplainedHead, Rejection, read_explained};

pub use api::{EntriesResponse, Entry, KeyResponse};
pub use discovery::{serve_directory, serve_readiness};

/// Maximum number of requests at once on a caller's HTTP/2 connection.
const MAX_STREAMS: u32 = 100;
/// Bytes of all bodies that a caller's HTTP/2 connection holds before they are read.
const WINDOW_BYTES: u32 = 256 << 10;

/// Serves callers' requests until stopped.
pub async fn serve_callers(runtime: Arc<NodeRuntime>, listener: Listener, stop: Stop) {
    let server_limits = ServerLimits {
        connections: runtime.settings().connections,
        streams: MAX_STREAMS,
        window: WINDOW_BYTES,
        ..ServerLimits::default()
    };
    let limits_runtime = runtime.clone();
    let caller_limits = move || caller_limits(&limits_runtime);
    serve_with_limits(
        server_limits,
        caller_limits,
        listener,
        stop,
        move |request, from| {
            let runtime = runtime.clone();
            async move { handle(&runtime, request, from).await }
        },
    )
    .await;
}

/// Returns the limits on callers from the configuration, or the defaults.
///
/// A node without a configuration, or with one that may be outdated, reads large heads too, as it refuses
/// their requests for a time only.
fn caller_limits(runtime: &NodeRuntime) -> CallerLimits {
    let snapshot = runtime.snapshot();
    let unconfigured = |snapshot: &Arc<Snapshot>| {
        snapshot.bundle.revision == 0 && snapshot.bundle.limits.is_none()
    };
    let limits = snapshot
        .as_ref()
        .and_then(|snapshot| Some((snapshot, snapshot.bundle.limits.as_ref()?)));
    let limits = limits.map_or_else(CallerLimits::default, |(snapshot, limits)| CallerLimits {
        max_head_bytes: limits.header_bytes,
        max_body_bytes: limits.body_bytes,
        head_timeout: Duration::from_millis(limits.header_timeout),
        idle_timeout: Duration::from_millis(limits.idle_timeout),
        revision: snapshot.config.revision,
    });
    let reads_large = snapshot.as_ref().is_none_or(unconfigured)
        || runtime.items.is_some() && runtime.read(|node, _| node.config_outdated());
    let large_head = ServerLimits::default().head_bytes;
    CallerLimits {
        max_head_bytes: if reads_large {
            limits.max_head_bytes.max(large_head)
        } else {
            limits.max_head_bytes
        },
        ..limits
    }
}

/// Returns the maximum size of a head in a configuration.
fn head_limit(snapshot: &Snapshot) -> usize {
    let limits = snapshot.bundle.limits.as_ref();
    let default = || CallerLimits::default().max_head_bytes;
    let bytes = limits.map_or_else(default, |limits| limits.header_bytes);
    bytes.max(MIN_HEAD_BYTES)
}

async fn handle(
    runtime: &Arc<NodeRuntime>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Response<Body> {
    let mut response = if runtime.items.is_some() {
        handle_routed(runtime, request, from).await
    } else {
        handle_named(runtime, request, from).await
    };
    if runtime.read(|node, _| node.draining()) {
        // Makes the caller open its next connection to another node.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Handles a request whose path names a service.
async fn handle_named(
    runtime: &Arc<NodeRuntime>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Response<Body> {
    let id = read::new_request_id(runtime);
    if let Some(response) = api::respond(runtime, &request, &id) {
        return response;
    }
    let request_line = format!("{} {}", request.method(), request.uri().path());
    let uri = request.uri().clone();
    let inbound = read::read(runtime, request, &id, from.ip()).await;
    let response = serve(runtime, inbound, &id, &uri).await;
    log::debug!(
        "request {id} from {from}: {request_line}: {}",
        response.status()
    );
    response
}

/// Handles a request that is matched against the published routes.
async fn handle_routed(
    runtime: &Arc<NodeRuntime>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Response<Body> {
    let options = runtime.dialect.request_options(request.headers());
    let id = options.as_ref().ok().and_then(|options| options.id.clone());
    let id = id.unwrap_or_else(|| read::new_request_id(runtime));
    let uri = request.uri().clone();
    let inbound = read::read_routed(runtime, request, options, &id, from.ip()).await;
    serve(runtime, inbound, &id, &uri).await
}

/// Serves a request, or returns the refusal if it was rejected while it was read.
async fn serve(
    runtime: &Arc<NodeRuntime>,
    inbound: Result<InboundRequest, Rejection>,
    id: &str,
    uri: &Uri,
) -> Response<Body> {
    match inbound {
        Ok(inbound) => {
            let reader = drive::start(runtime, inbound, Origin::Caller);
            response::build(runtime, reader, id).await
        }
        Err(rejection) => {
            let dialect = &runtime.dialect;
            let response = dialect.refusal_response(id, rejection.refusal, &rejection.detail);
            log_rejection(runtime, (id, uri), &rejection, response.status());
            response
        }
    }
}

/// Logs the end of a request that was rejected while it was read.
fn log_rejection(
    runtime: &NodeRuntime,
    (id, uri): (&str, &Uri),
    rejection: &Rejection,
    status: StatusCode,
) {
    let config = rejection
        .config
        .map(|version| runtime.config_stamp(version));
    let config = config.unwrap_or_default();
    let path = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let reason = rejection.refusal.reason;
    record_denied(status, reason.slug());
    // While a request is read, only the configuration tells that a route has no target.
    if reason.by_configuration() || reason == Reason::NoTarget {
        runtime.metrics.refused_by_config(reason);
    }
    runtime.note_refusal(status, reason, &config);
    log::info!(
        target: "request",
        request = id, end = "refused", outcome:% = rejection.refusal.outcome,
        status = status.as_u16(), reason = reason.slug(), path = path, detail = rejection.detail.as_str(),
        config = config.revision, config_item = config.item_revision, config_age_ms = config.age_ms,
        confirmed_age_ms = confirmed(&config), meaning = meaning(&config);
        "request ended"
    );
}
