//! The system's own paths below `/v1/`.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use seam_core::Refusal;
use seam_http::{Body, json};
use seam_protocol::key::KEY_LIFETIME;
use seam_protocol::{Reason, ServiceId};
use serde::{Deserialize, Serialize};

use super::read::{Rejection, customer, snapshot};
use crate::hub::Hub;
use crate::problem::problem;
use crate::readiness::readiness;

/// Time after which a node that is not ready may be asked again.
const SOON: Duration = Duration::from_secs(1);

/// One node that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its address for callers.
    pub address: String,
}

/// The answer of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesResponse {
    /// Nodes, best first.
    pub entries: Vec<Entry>,
    /// Milliseconds for which the answer holds.
    pub valid_ms: u64,
    /// An idempotency key, for the next request that may not be repeated.
    pub key: Option<String>,
}

/// The answer of `POST /v1/keys`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyResponse {
    /// The key, for the header field `idempotency-key`.
    pub key: String,
    /// Milliseconds for which it may be used.
    pub valid_ms: u64,
}

/// Answers a request for one of the system's own paths.
pub fn respond(hub: &Arc<Hub>, request: &Request<Incoming>, id: &str) -> Option<Response<Body>> {
    let path = request.uri().path();
    let answer = match (request.method(), path) {
        (&Method::GET, "/v1/ready") => Ok(readiness(hub)),
        (&Method::GET, "/v1/entries") => entries(hub, request),
        (&Method::POST, "/v1/keys") => key(hub, request),
        _ if path.starts_with("/v1/") => Err(rejection(
            Refusal::not_run(Reason::Service),
            "the system's own paths are GET /v1/entries, POST /v1/keys and GET /v1/ready",
        )),
        _ => return None,
    };
    Some(answer.unwrap_or_else(|rejection| problem(id, rejection.refusal, &rejection.detail)))
}

fn rejection(refusal: Refusal, detail: &str) -> Rejection {
    Rejection {
        refusal,
        detail: detail.to_owned(),
    }
}

fn entries(hub: &Hub, request: &Request<Incoming>) -> Result<Response<Body>, Rejection> {
    let snapshot = snapshot(hub)?;
    let customer = customer(&snapshot, request.headers())?;
    let entries = hub.read(|node, now| node.entries(now, customer));
    let deployment = &snapshot.bundle.deployment;
    let nodes = entries.nodes.iter().filter_map(|id| {
        let vm = deployment.vms.get(id)?;
        Some(Entry {
            name: vm.name.clone(),
            region: deployment.regions.get(&vm.region)?.name.clone(),
            address: vm.caller.to_string(),
        })
    });
    let answer = EntriesResponse {
        entries: nodes.collect(),
        valid_ms: entries.valid.as_millis() as u64,
        key: issue(hub, customer),
    };
    Ok(json(StatusCode::OK, &answer))
}

fn issue(hub: &Hub, customer: seam_protocol::CustomerId) -> Option<String> {
    let secret = hub.secrets().fleet;
    let key = hub.update(|node, now| node.issue_key(now, customer))?;
    Some(key.encode(&secret))
}

/// Issues a key. With `?service=NAME`, a node outside the regions that may serve it refuses, since
/// a request with its key could not run here.
fn key(hub: &Hub, request: &Request<Incoming>) -> Result<Response<Body>, Rejection> {
    let snapshot = snapshot(hub)?;
    let id = customer(&snapshot, request.headers())?;
    let query = request.uri().query().unwrap_or_default();
    let named = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("service="));
    if let Some(name) = named {
        let rule = snapshot.bundle.services.get(&ServiceId::of(name));
        let Some(rule) = rule else {
            let detail = format!("no service is named {name:?}");
            return Err(rejection(Refusal::not_run(Reason::Service), &detail));
        };
        let who = &snapshot.bundle.customers[&id];
        if snapshot.bundle.allowed(rule, who).is_empty() {
            let refusal = Refusal::not_run(Reason::Residency);
            return Err(rejection(refusal, "no region may serve this request"));
        }
    }
    let not_ready = Refusal::not_run(Reason::NotReady).after(SOON);
    let key = issue(hub, id).ok_or_else(|| rejection(not_ready, "this node is not ready"))?;
    let answer = KeyResponse {
        key,
        valid_ms: KEY_LIFETIME.as_millis() as u64,
    };
    Ok(json(StatusCode::CREATED, &answer))
}
