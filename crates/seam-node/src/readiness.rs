//! The readiness check.

use http::{Response, StatusCode};
use seam_http::{Body, json};

use crate::runtime::NodeRuntime;

/// Returns status 200 if the node accepts new requests, otherwise 503.
#[must_use]
pub fn readiness(runtime: &NodeRuntime) -> Response<Body> {
    let ready = runtime.read(seam_core::Node::ready);
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json(status, &ready)
}
