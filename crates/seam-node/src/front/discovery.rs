//! Answers beside callers' requests: readiness, and which nodes to use.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use seam_http::{Body, Listener, Stop, empty, serve};
use seam_protocol::{Digest, RegionId};

use crate::hub::Hub;
use crate::readiness::readiness;

/// How long callers may keep an answer of the directory.
const VALID: Duration = Duration::from_secs(1);
/// Most addresses in an answer of the directory.
const MOST_ADDRESSES: usize = 64;

/// Tells whether the node takes requests, until stopped.
pub async fn serve_readiness(hub: Arc<Hub>, listener: Listener, stop: Stop) {
    serve(listener, stop, move |_, _| {
        let answer = readiness(&hub);
        async move { answer }
    })
    .await;
}

/// Tells callers which nodes to use, until stopped.
pub async fn serve_directory(hub: Arc<Hub>, listener: Listener, stop: Stop) {
    serve(listener, stop, move |request, from| {
        let answer = match hub.dialect.directory_query(&request) {
            Some(place) => {
                let region = place.region.as_deref().map(RegionId::of);
                let caller = Digest::of(from.ip().to_string().as_bytes()).head();
                let mut addresses = hub.read(|node, now| node.directory(now, region, caller));
                addresses.truncate(MOST_ADDRESSES);
                hub.dialect.directory_response(&addresses, VALID)
            }
            None => not_found(),
        };
        async move { answer }
    })
    .await;
}

fn not_found() -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = StatusCode::NOT_FOUND;
    answer
}
