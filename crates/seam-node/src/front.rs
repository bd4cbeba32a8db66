//! Serves callers.

mod api;
mod discovery;
mod read;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use seam_core::Origin;
use seam_http::{Body, CallerLimits, Listener, Stop, serve_with_limits};

use crate::drive;
use crate::hub::Hub;
use crate::inbound::InboundRequest;
use read::Rejection;

pub use api::{EntriesResponse, Entry, KeyResponse};
pub use discovery::{serve_directory, serve_readiness};

/// Serves callers until stopped.
pub async fn serve_callers(hub: Arc<Hub>, listener: Listener, stop: Stop) {
    let most = hub.settings().connections;
    let publisher = hub.clone();
    let bounds = move || bounds(&publisher);
    serve_with_limits(most, bounds, listener, stop, move |request, from| {
        let hub = hub.clone();
        async move { handle(&hub, request, from).await }
    })
    .await;
}

/// Returns what callers may send, where the configuration bounds it.
fn bounds(hub: &Hub) -> CallerLimits {
    let snapshot = hub.snapshot();
    let limits = snapshot.as_ref();
    let limits = limits.and_then(|snapshot| snapshot.bundle.limits.as_ref());
    limits.map_or_else(CallerLimits::default, |limits| CallerLimits {
        max_head_bytes: limits.header_bytes,
        head_timeout: Duration::from_millis(limits.header_time),
        idle_timeout: Duration::from_millis(limits.idle_time),
    })
}

async fn handle(hub: &Arc<Hub>, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
    let mut answer = if hub.items.is_some() {
        routed(hub, request, from).await
    } else {
        named(hub, request, from).await
    };
    if hub.read(|node, _| node.draining()) {
        // The caller opens its next connection at another node.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Answers a request whose path names a service.
async fn named(hub: &Arc<Hub>, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
    let id = read::identifier(hub);
    if let Some(answer) = api::respond(hub, &request, &id) {
        return answer;
    }
    let line = format!("{} {}", request.method(), request.uri().path());
    let inbound = read::read(hub, request, &id).await;
    let answer = serve(hub, inbound, &id).await;
    log::debug!("request {id} from {from}: {line}: {}", answer.status());
    answer
}

/// Answers a request for a published route.
async fn routed(hub: &Arc<Hub>, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
    let asked = hub.dialect.request_options(request.headers());
    let id = asked.as_ref().ok().and_then(|asked| asked.id.clone());
    let id = id.unwrap_or_else(|| read::identifier(hub));
    let inbound = read::read_routed(hub, request, asked, &id, from.ip()).await;
    serve(hub, inbound, &id).await
}

/// Answers a request that was read, or why it could not be.
async fn serve(
    hub: &Arc<Hub>,
    inbound: Result<InboundRequest, Rejection>,
    id: &str,
) -> Response<Body> {
    match inbound {
        Ok(inbound) => {
            let reader = drive::start(hub, inbound, Origin::Caller);
            response::build(hub, reader, id).await
        }
        Err(rejection) => {
            log_rejection(id, &rejection);
            hub.dialect
                .refusal_response(id, rejection.refusal, &rejection.detail)
        }
    }
}

/// Writes the closing line of a request that could not be read.
fn log_rejection(id: &str, rejection: &Rejection) {
    log::info!(
        target: "request",
        request = id, end = "refused", outcome:% = rejection.refusal.outcome,
        reason = rejection.refusal.reason.slug(), detail = rejection.detail.as_str();
        "request ended"
    );
}
