//! Ports for short calls with a small body or none: readiness, the directory and administration.

use std::future::Future;
use std::net::SocketAddr;

use http::{Request, Response};
use seam_http::{Body, CallerLimits, Incoming, Listener, ServerLimits, Stop, serve_with_limits};

/// Limits on the connections of a port.
const SERVER_LIMITS: ServerLimits = ServerLimits {
    connections: 1024,
    streams: 8,
    head_bytes: MAX_HEAD_BYTES,
    window: 64 << 10,
    keeps_idle: false,
};
/// Maximum size of the head of a call in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Serves calls until stopped.
pub async fn serve_control<F, R>(listener: Listener, stop: Stop, handler: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let limits = || CallerLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        ..CallerLimits::default()
    };
    serve_with_limits(SERVER_LIMITS, limits, listener, stop, handler).await;
}
