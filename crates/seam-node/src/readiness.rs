//! The readiness check.

use http::{Response, StatusCode};
use seam_http::{Body, json};

use crate::hub::Hub;

/// Returns status 200 if the node accepts new requests, otherwise 503.
#[must_use]
pub fn readiness(hub: &Hub) -> Response<Body> {
    let ready = hub.read(seam_core::Node::ready);
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json(status, &ready)
}
