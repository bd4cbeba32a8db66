//! Whether a node takes new requests, for whoever asks.

use http::{Response, StatusCode};
use seam_http::{Body, json};

use crate::hub::Hub;

/// Answers whether a node takes new requests.
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
