//! The administration API, served on its own address.

mod explain;

use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use percent_encoding::percent_decode_str;
use seam_core::Event;
use seam_core::event::Drainable;
use seam_http::{Body, Incoming, Listener, Stop, full, json};
use seam_protocol::{Digest, TargetId};
use serde::Serialize;

use crate::control_port::serve_control;
use crate::readiness::readiness;
use crate::runtime::NodeRuntime;

/// What the holder of a token may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Read,
    Operate,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    help: &'a str,
}

/// Serves the administration API until stopped.
pub async fn serve_admin(runtime: Arc<NodeRuntime>, listener: Listener, stop: Stop) {
    serve_control(listener, stop, move |request, _| {
        let runtime = runtime.clone();
        async move {
            if is_explanation(&request) && role(&runtime, &request).is_some() {
                return explain::by_request(&runtime, request.into_body()).await;
            }
            handle(&runtime, &request)
        }
    })
    .await;
}

/// Returns whether a call asks for an explanation of a request in its body. It changes nothing, so that every role
/// may send it.
fn is_explanation(request: &Request<Incoming>) -> bool {
    request.method() == Method::POST && request.uri().path() == "/v1/explain"
}

fn error_response(status: StatusCode, error: &str, help: &str) -> Response<Body> {
    json(status, &ErrorBody { error, help })
}

fn role(runtime: &NodeRuntime, request: &Request<Incoming>) -> Option<Role> {
    let secrets = runtime.secrets();
    if secrets.read.is_empty() && secrets.operate.is_empty() {
        // Without configured tokens, everybody may read and nobody may operate.
        return Some(Role::Read);
    }
    let presented = request.headers().get(header::AUTHORIZATION)?;
    let token = presented.to_str().ok()?.strip_prefix("Bearer ")?;
    // Digests are compared so that the timing reveals nothing about the token.
    let presented = Digest::of(token.as_bytes());
    if presented == Digest::of(secrets.operate.as_bytes()) {
        Some(Role::Operate)
    } else if presented == Digest::of(secrets.read.as_bytes()) {
        Some(Role::Read)
    } else {
        None
    }
}

fn handle(runtime: &Arc<NodeRuntime>, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    match path {
        "/health" => return json(StatusCode::OK, "alive"),
        "/ready" => return readiness(runtime),
        _ => {}
    }
    let Some(role) = role(runtime, request) else {
        let help = "send the token of the role `read` or `operate` as a bearer token";
        return error_response(StatusCode::UNAUTHORIZED, "no valid token", help);
    };
    let required = if request.method() == Method::GET {
        Role::Read
    } else {
        Role::Operate
    };
    if role < required {
        let help = "this call needs the token of the role `operate`";
        return error_response(
            StatusCode::FORBIDDEN,
            "the role `read` changes nothing",
            help,
        );
    }
    match (request.method(), path) {
        (&Method::GET, "/v1/status") => {
            json(StatusCode::OK, &runtime.read(seam_core::Node::status))
        }
        (&Method::GET, "/v1/customers") => {
            json(StatusCode::OK, &runtime.read(|node, _| node.usage()))
        }
        (&Method::GET, "/v1/audit") => json(StatusCode::OK, &runtime.audit_trail.records()),
        (&Method::GET, "/v1/manifest") => manifest(runtime),
        (&Method::GET, "/v1/explain") => explain::by_names(runtime, request),
        (&Method::GET, "/metrics") => metrics(runtime),
        (&Method::POST, "/v1/drain") => drain(runtime, request, true),
        (&Method::POST, "/v1/undrain") => drain(runtime, request, false),
        _ => {
            let help = "see docs/openapi.yaml for the calls";
            error_response(StatusCode::NOT_FOUND, "no such call", help)
        }
    }
}

fn manifest(runtime: &NodeRuntime) -> Response<Body> {
    let (revision, bytes) = runtime.store.manifest();
    if revision == 0 {
        let help = "publish a configuration, or wait until this node has read it";
        return error_response(StatusCode::NOT_FOUND, "no configuration is in force", help);
    }
    let mut response = Response::new(full(bytes));
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn metrics(runtime: &NodeRuntime) -> Response<Body> {
    let status = runtime.read(seam_core::Node::status);
    let mut response = Response::new(full(runtime.metrics.text(&status)));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns the decoded value of a query parameter.
fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| percent_decode_str(value).decode_utf8_lossy().into_owned())
}

/// Starts or ends the drain of this node, or of one target in this node's view.
fn drain(runtime: &Arc<NodeRuntime>, request: &Request<Incoming>, on: bool) -> Response<Body> {
    let what = match query_parameter(request, "target") {
        None => Drainable::Node,
        Some(name) => {
            let target = TargetId::of(&name);
            let known = runtime.read(|node, _| node.has_target(target));
            if !known {
                let help = "the target must stand in this node's region";
                return error_response(StatusCode::NOT_FOUND, "no such target", help);
            }
            Drainable::Target(target)
        }
    };
    let actor = query_parameter(request, "actor").unwrap_or_else(|| "operator".to_owned());
    runtime.handle(Event::Drain { what, on, actor });
    json(StatusCode::OK, &runtime.read(seam_core::Node::status))
}
