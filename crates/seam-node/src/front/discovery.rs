//! Servers for readiness checks and for the directory of nodes.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use seam_http::{Body, Listener, Stop, empty};
use seam_protocol::{Digest, RegionId};

use crate::control_port::serve_control;
use crate::readiness::readiness;
use crate::runtime::NodeRuntime;

/// Time for which callers may cache a response of the directory.
const CACHE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of addresses in a response of the directory.
const MAX_ADDRESSES: usize = 64;

/// Serves the readiness check until stopped.
pub async fn serve_readiness(runtime: Arc<NodeRuntime>, listener: Listener, stop: Stop) {
    serve_control(listener, stop, move |_, _| {
        let response = readiness(&runtime);
        async move { response }
    })
    .await;
}

/// Serves the directory, which lists the nodes that callers should use, until stopped.
pub async fn serve_directory(runtime: Arc<NodeRuntime>, listener: Listener, stop: Stop) {
    serve_control(listener, stop, move |request, from| {
        let response = match runtime.dialect.directory_query(&request) {
            Some(query) => {
                let region = query.region.as_deref().map(RegionId::of);
                let caller = Digest::of(from.ip().to_string().as_bytes()).leading_u64();
                let host = query.host.as_deref();
                let mut addresses =
                    runtime.read(|node, now| node.directory(now, region, host, caller));
                addresses.truncate(MAX_ADDRESSES);
                runtime.dialect.directory_response(&addresses, CACHE_TIME)
            }
            None => not_found(),
        };
        async move { response }
    })
    .await;
}

fn not_found() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
