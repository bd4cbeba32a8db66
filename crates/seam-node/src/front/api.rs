//! The API for callers below `/v1/`.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use seam_core::Refusal;
use seam_http::{Body, Incoming, json};
use seam_protocol::key::KEY_LIFETIME;
use seam_protocol::{Reason, ServiceId};
use serde::{Deserialize, Serialize};

use super::read::{Rejection, customer, snapshot};
use crate::problem::problem;
use crate::readiness::readiness;
use crate::runtime::NodeRuntime;

/// Time after which a caller may retry at a node that is not ready.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A node that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its address for callers, as `IP:PORT`.
    pub address: String,
}

/// The response to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesResponse {
    /// Nodes, best first.
    pub entries: Vec<Entry>,
    /// Time for which the response is valid, in milliseconds.
    pub valid_ms: u64,
    /// An idempotency key for the next non-idempotent request.
    pub key: Option<String>,
}

/// The response to `POST /v1/keys`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyResponse {
    /// The key, for the header `idempotency-key`.
    pub key: String,
    /// Time for which the key is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Returns the response to a request of this API, or `None` for any other path.
pub fn respond(
    runtime: &Arc<NodeRuntime>,
    request: &Request<Incoming>,
    id: &str,
) -> Option<Response<Body>> {
    let path = request.uri().path();
    let response = match (request.method(), path) {
        (&Method::GET, "/v1/ready") => Ok(readiness(runtime)),
        (&Method::GET, "/v1/entries") => entries(runtime, request),
        (&Method::POST, "/v1/keys") => key(runtime, request),
        _ if path.starts_with("/v1/") => Err(rejection(
            Refusal::not_run(Reason::Service),
            "the system's own paths are GET /v1/entries, POST /v1/keys and GET /v1/ready",
        )),
        _ => return None,
    };
    Some(response.unwrap_or_else(|rejection| problem(id, rejection.refusal, &rejection.detail)))
}

fn rejection(refusal: Refusal, detail: &str) -> Rejection {
    Rejection {
        refusal,
        detail: detail.to_owned(),
        config: None,
    }
}

fn entries(
    runtime: &NodeRuntime,
    request: &Request<Incoming>,
) -> Result<Response<Body>, Rejection> {
    let snapshot = snapshot(runtime)?;
    let customer = customer(&snapshot, request.headers())?;
    let entries = runtime.read(|node, now| node.entries(now, customer));
    let deployment = &snapshot.bundle.deployment;
    let nodes = entries.nodes.iter().filter_map(|id| {
        let vm = deployment.vms.get(id)?;
        Some(Entry {
            name: vm.name.clone(),
            region: deployment.regions.get(&vm.region)?.name.clone(),
            address: vm.caller.to_string(),
        })
    });
    let response = EntriesResponse {
        entries: nodes.collect(),
        valid_ms: entries.valid.as_millis() as u64,
        key: issue_key(runtime, customer),
    };
    Ok(json(StatusCode::OK, &response))
}

fn issue_key(runtime: &NodeRuntime, customer: seam_protocol::CustomerId) -> Option<String> {
    let secret = runtime.secrets().fleet;
    let key = runtime.update(|node, now| node.issue_key(now, customer))?;
    Some(key.encode(&secret))
}

/// Issues an idempotency key. With `?service=NAME`, refuses if no region may serve the customer's
/// requests for that service.
fn key(runtime: &NodeRuntime, request: &Request<Incoming>) -> Result<Response<Body>, Rejection> {
    let snapshot = snapshot(runtime)?;
    let id = customer(&snapshot, request.headers())?;
    let query = request.uri().query().unwrap_or_default();
    let service_name = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("service="));
    if let Some(name) = service_name {
        let service = snapshot.bundle.services.get(&ServiceId::of(name));
        let Some(service) = service else {
            let detail = format!("no service is named {name:?}");
            return Err(rejection(Refusal::not_run(Reason::Service), &detail));
        };
        let customer = &snapshot.bundle.customers[&id];
        if snapshot
            .bundle
            .allowed_regions(service, customer)
            .is_empty()
        {
            let refusal = Refusal::not_run(Reason::Residency);
            return Err(rejection(refusal, "no region may serve this request"));
        }
    }
    let not_ready = Refusal::not_run(Reason::NotReady).with_retry_after(RETRY_AFTER);
    let key =
        issue_key(runtime, id).ok_or_else(|| rejection(not_ready, "this node is not ready"))?;
    let response = KeyResponse {
        key,
        valid_ms: KEY_LIFETIME.as_millis() as u64,
    };
    Ok(json(StatusCode::CREATED, &response))
}
