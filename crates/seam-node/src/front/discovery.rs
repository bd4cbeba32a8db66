//! Servers for readiness checks and for the directory of nodes.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use seam_core::{DirectoryAnswer, NamedRegions};
use seam_http::{Body, Listener, Stop, empty};
use seam_protocol::{Digest, RegionId};

use crate::control_port::serve_control;
use crate::dialect::DirectoryQuery;
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
                let (mut answer, config) = runtime.read(|node, now| {
                    let answer = node.directory_answer(now, region, host, caller);
                    (answer, node.config_version().revision)
                });
                answer.addresses.truncate(MAX_ADDRESSES);
                report(&runtime, &query, &answer, config);
                runtime
                    .dialect
                    .directory_response(&answer.addresses, CACHE_TIME)
            }
            None => not_found(),
        };
        async move { response }
    })
    .await;
}

/// Counts an answer, and logs one that names nodes of other regions than the caller asked for.
fn report(runtime: &NodeRuntime, query: &DirectoryQuery, answer: &DirectoryAnswer, config: u64) {
    runtime.metrics.directory_answered(answer.regions);
    if answer.regions == NamedRegions::Asked {
        return;
    }
    log::info!(
        target: "directory",
        region = query.region.as_deref().unwrap_or_default(), host = query.host.as_deref().unwrap_or_default(),
        regions = answer.regions.name(), nodes = answer.addresses.len() as u64,
        config = config;
        "directory answer without the region asked for"
    );
}

fn not_found() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
