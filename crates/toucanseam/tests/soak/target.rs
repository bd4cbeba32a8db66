//! A target that records the requests that it runs, with scripted failures.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use seam_emulator::server::Server as HttpServer;
use seam_http::{Body, BodyError, Incoming, full, lock};
use serde_json::{Value, json};

use super::proxy::Proxy;
use super::script::Script;

/// Number of events in a stream.
pub const EVENTS: u64 = 12;
/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(5);

/// Failure of a target on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// The request is refused before it runs.
    Full,
    /// The request runs and its response is lost.
    Lost,
    /// The response is aborted after some events, or at once if it is not a stream.
    Cut,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub target: String,
    pub region: String,
    pub at: Instant,
    /// The last event that the caller has received, if the request resumes a stream.
    pub after: Option<u64>,
}

/// Runs at all targets.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A target with a proxy in front of it.
pub struct Target {
    pub id: String,
    pub region: String,
    pub service: String,
    faults: Arc<Mutex<VecDeque<TargetFault>>>,
    pub proxy: Proxy,
    _http_server: HttpServer,
}

impl Target {
    pub fn start(id: &str, region: &str, service: &str, script: Script, runs: &Runs) -> Self {
        let faults: Arc<Mutex<VecDeque<TargetFault>>> = Arc::default();
        let state = TargetState {
            id: id.to_owned(),
            region: region.to_owned(),
            faults: faults.clone(),
            script,
            runs: runs.clone(),
        };
        let state = Arc::new(state);
        let http_server = HttpServer::start(move |request, _| respond(state.clone(), request));
        Self {
            id: id.to_owned(),
            region: region.to_owned(),
            service: service.to_owned(),
            faults,
            proxy: Proxy::start(http_server.address),
            _http_server: http_server,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }

    /// Returns the item that the target publishes about itself.
    pub fn item(&self, draining: bool) -> Value {
        json!({
            "service": self.service, "address": self.address().to_string(),
            "zone": format!("{}-a", self.region), "version": "v1", "slots": 16,
            "state": if draining { "draining" } else { "ready" }, "coldRemainingMs": 0,
            "sequence": if draining { 2 } else { 1 }, "born": 1_700_000_000_000_u64,
        })
    }

    pub fn inject_fault(&self, fault: TargetFault) {
        lock(&self.faults).push_back(fault);
    }
}

struct TargetState {
    id: String,
    region: String,
    faults: Arc<Mutex<VecDeque<TargetFault>>>,
    script: Script,
    runs: Runs,
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn respond(state: Arc<TargetState>, request: Request<Incoming>) -> Response<Body> {
    let fault = lock(&state.faults).pop_front();
    let (head, body) = request.into_parts();
    let attempt = text(&head.headers, "attempt-id")
        .unwrap_or_default()
        .to_owned();
    let mut response = Response::new(full(""));
    if fault == Some(TargetFault::Full) || text(&head.headers, "expect-instance") != Some(&state.id)
    {
        *response.status_mut() = match fault {
            Some(TargetFault::Full) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::MISDIRECTED_REQUEST,
        };
        let not_executed = "1".parse().expect("the header value is valid");
        response.headers_mut().insert("not-executed", not_executed);
        return response;
    }
    let Ok(body) = body.collect().await else {
        return response;
    };
    let path = head.uri.path().to_owned();
    let after = text(&head.headers, "last-event-id").and_then(|id| id.parse().ok());
    lock(&state.runs).push(Run {
        attempt: attempt.clone(),
        path: path.clone(),
        target: state.id.clone(),
        region: state.region.clone(),
        at: Instant::now(),
        after,
    });
    Timer::after(RUN_TIME).await;
    let headers = response.headers_mut();
    for (name, value) in [
        ("attempt-id", attempt.as_str()),
        ("response-seal", state.id.as_str()),
        ("server-load", "1,0,16"),
    ] {
        headers.insert(name, value.parse().expect("the header value is valid"));
    }
    let streams = path.starts_with("/look/") || path.starts_with("/hint/");
    *response.body_mut() = if streams {
        let kind = "text/event-stream"
            .parse()
            .expect("the header value is valid");
        response.headers_mut().insert("content-type", kind);
        let interval = state.script.event_interval();
        events(&attempt, after.unwrap_or(0), interval, fault)
    } else if fault.is_some() {
        aborted_body()
    } else if path.starts_with("/view/") && state.script == Script::Planned {
        let text = expected(&attempt, &path, &state.script.view_filler());
        paused_body(text.into(), state.script.event_interval())
    } else {
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        full(expected(&attempt, &path, &text))
    };
    response
}

/// Returns the expected response body of a call.
pub fn expected(attempt: &str, path: &str, body: &str) -> String {
    format!("{attempt} {path} {body}")
}

/// Returns one event of a stream, as bytes of `text/event-stream`.
pub fn event(attempt: &str, number: u64) -> String {
    format!("id: {number}\ndata: {attempt}-{number}\n\n")
}

fn events(attempt: &str, after: u64, interval: Duration, fault: Option<TargetFault>) -> Body {
    let attempt = attempt.to_owned();
    let abort_at = fault.map(|_| after + 5);
    let parts = stream::unfold(after + 1, move |number| {
        let event = event(&attempt, number);
        async move {
            if abort_at == Some(number) {
                return Some((Err(BodyError::Truncated), EVENTS + 1));
            }
            if number > EVENTS {
                return None;
            }
            Timer::after(interval).await;
            Some((Ok(Frame::data(event.into())), number + 1))
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Returns a body whose first part is more than a node buffers, with a pause before each further part.
fn paused_body(text: Bytes, interval: Duration) -> Body {
    const FIRST_BYTES: usize = 70 << 10;
    const PART_BYTES: usize = 1 << 10;
    let parts = stream::unfold(text, move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        let first = rest.len() > FIRST_BYTES;
        let size = if first { FIRST_BYTES } else { PART_BYTES };
        if !first {
            Timer::after(interval).await;
        }
        let part = rest.split_to(size.min(rest.len()));
        Some((Ok(Frame::data(part)), rest))
    });
    StreamBody::new(parts).boxed_unsync()
}

fn aborted_body() -> Body {
    let parts = stream::once(Err(BodyError::Truncated));
    StreamBody::new(parts).boxed_unsync()
}

/// Returns the number of runs of each attempt, without runs that resume a stream.
pub fn first_runs(runs: &[Run]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for run in runs.iter().filter(|run| run.after.is_none()) {
        *counts.entry(run.attempt.as_str()).or_default() += 1;
    }
    counts
}
