//! Callers that keep connections open and record the outcome of each call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_http::{Connection, full, lock};

use super::target::{EVENTS, event, expected};

/// Time that a caller waits for a response, longer than its stated deadline and every route's
/// timeout.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Base pause between two calls of one caller, varied at random.
const PAUSE: Duration = Duration::from_millis(15);

/// Kinds of request by the first part of their path.
pub const KINDS: [&str; 5] = ["view", "book", "look", "hint", "home"];

/// Outcome of one attempt.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub attempt: String,
    pub kind: &'static str,
    pub status: Option<StatusCode>,
    /// Whether the response ended without an error.
    pub complete: bool,
    /// Whether the body is the expected one, or a prefix of it if the response is incomplete.
    pub matches: bool,
    pub start: Instant,
}

/// State that all callers share: their records, the nodes to call, and commands to the callers.
#[derive(Default)]
pub struct CallerState {
    pub calls: Mutex<Vec<CallRecord>>,
    pub nodes: Mutex<Vec<SocketAddr>>,
    pub stop: AtomicBool,
    /// Incremented to make all callers drop their connections.
    pub resets: AtomicU64,
}

/// Builds a request of a kind.
fn request(kind: &str, attempt: &str) -> Request<seam_http::Body> {
    let body = if kind == "view" { "" } else { attempt };
    let method = if kind == "view" { "GET" } else { "POST" };
    Request::builder()
        .method(method)
        .uri(format!("/{kind}/7"))
        .header("host", "salon.example")
        .header("attempt-id", attempt)
        .header("deadline-ms", "3000")
        .body(full(body.to_owned()))
        .expect("the request is valid")
}

/// Returns whether bytes are a prefix of the expected response, and whether they are all of it.
fn compare_body(kind: &str, attempt: &str, bytes: &Bytes) -> (bool, bool) {
    let expected_body = match kind {
        "look" | "hint" => (1..=EVENTS).map(|number| event(attempt, number)).collect(),
        "view" => expected(attempt, "/view/7", ""),
        _ => expected(attempt, &format!("/{kind}/7"), attempt),
    };
    (
        expected_body.as_bytes().starts_with(bytes),
        expected_body.len() == bytes.len(),
    )
}

/// Makes one call on a connection. Returns its record and whether the connection can be reused.
async fn call(
    connection: &mut Connection,
    kind: &'static str,
    attempt: String,
) -> (CallRecord, bool) {
    let mut record = CallRecord {
        attempt: attempt.clone(),
        kind,
        status: None,
        complete: false,
        matches: true,
        start: Instant::now(),
    };
    let response = async {
        let response = connection.send(request(kind, &attempt)).await.ok()?;
        let (head, mut body) = response.into_parts();
        record.status = Some(head.status);
        let mut bytes = Vec::new();
        let complete = loop {
            match body.frame().await {
                Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        if head.status.is_success() {
            let (prefix, all) = compare_body(kind, &attempt, &bytes.into());
            record.matches = prefix && (all || !complete);
        }
        record.complete = complete;
        let close = head
            .headers
            .get("connection")
            .is_some_and(|value| value == "close");
        Some(complete && !close)
    };
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        None
    };
    let reusable = response.or(timeout).await.unwrap_or(false);
    (record, reusable)
}

/// Calls nodes until `stop` is set.
pub async fn run_caller(shared: Arc<CallerState>, name: String, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut open: BTreeMap<SocketAddr, Connection> = BTreeMap::new();
    let mut number = 0;
    let mut resets = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        let pause = PAUSE.mul_f64(rng.random_range(0.2..2.0));
        Timer::after(pause).await;
        let now = shared.resets.load(Ordering::Relaxed);
        if std::mem::replace(&mut resets, now) != now {
            open.clear();
        }
        let node = {
            let nodes = lock(&shared.nodes);
            nodes[rng.random_range(0..nodes.len())]
        };
        let pooled = open.remove(&node).filter(Connection::usable);
        let connection = match pooled {
            Some(connection) => Some(connection),
            None => Connection::open(node).await.ok(),
        };
        // A node that is down accepts no connection.
        let Some(mut connection) = connection else {
            continue;
        };
        number += 1;
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let attempt = format!("{name}-{number}");
        let (record, reusable) = call(&mut connection, kind, attempt).await;
        lock(&shared.calls).push(record);
        if reusable && connection.ready().await.is_ok() {
            open.insert(node, connection);
        }
    }
}

/// Makes one call of each kind to a node. Returns the kinds without a complete, expected response.
pub async fn call_each_kind(node: SocketAddr, name: &str) -> Vec<&'static str> {
    let mut failed = Vec::new();
    for kind in KINDS {
        let Ok(mut connection) = Connection::open(node).await else {
            failed.push(kind);
            continue;
        };
        let (record, _) = call(&mut connection, kind, format!("{name}-{kind}")).await;
        let served = record.status == Some(StatusCode::OK) && record.complete && record.matches;
        if !served {
            failed.push(kind);
        }
    }
    failed
}
