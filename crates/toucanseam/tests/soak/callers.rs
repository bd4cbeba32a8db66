//! Callers that keep connections open and record the outcome of each call.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::{FutureExt, stream};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_http::{Body, Connection, full, lock};

use super::script::Script;
use super::target::{EVENTS, event, expected};

/// Time that a caller waits for a response after its stated deadline, which is no earlier than every
/// route's timeout.
const CALL_MARGIN: Duration = Duration::from_secs(1);
/// Base pause between two calls of one caller, varied at random.
const PAUSE: Duration = Duration::from_millis(15);

/// Largest number of parts of a body, and the size of each.
const MAX_PARTS: usize = 6;
const PART_BYTES: usize = 8 << 10;

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
    /// When the last byte of the request was sent, if it was.
    pub sent: Option<Instant>,
    pub end: Instant,
}

/// State that all callers share: their records, the nodes to call, and commands to the callers.
pub struct CallerState {
    pub calls: Mutex<Vec<CallRecord>>,
    pub nodes: Mutex<Vec<SocketAddr>>,
    pub stop: AtomicBool,
    /// Incremented to make all callers drop their connections.
    pub resets: AtomicU64,
    pub script: Script,
}

impl CallerState {
    pub fn new(script: Script) -> Self {
        Self {
            calls: Mutex::default(),
            nodes: Mutex::default(),
            stop: AtomicBool::default(),
            resets: AtomicU64::default(),
            script,
        }
    }
}

/// Returns the body of a request. In parts, it is longer.
fn request_body(kind: &str, attempt: &str, parts: &[Duration]) -> String {
    if kind == "view" {
        return String::new();
    }
    attempt.to_owned() + &"-".repeat(PART_BYTES * parts.len())
}

/// Returns a body of which a part is sent after each pause. `sent` receives the time of the last part.
fn body_in_parts(text: &str, pauses: &[Duration], sent: &Arc<OnceLock<Instant>>) -> Body {
    let size = text.len().div_ceil(pauses.len().max(1)).max(1);
    let pauses = pauses
        .iter()
        .copied()
        .chain(std::iter::repeat(Duration::ZERO));
    let parts: Vec<(Bytes, Duration)> = text
        .as_bytes()
        .chunks(size)
        .map(Bytes::copy_from_slice)
        .zip(pauses)
        .collect();
    let (mut parts, sent) = (VecDeque::from(parts), sent.clone());
    if parts.is_empty() {
        sent.get_or_init(Instant::now);
        return full("");
    }
    let stream = stream::unfold((), move |()| {
        let next = parts.pop_front();
        let (last, sent) = (parts.is_empty(), sent.clone());
        async move {
            let (part, pause) = next?;
            Timer::after(pause).await;
            if last {
                sent.get_or_init(Instant::now);
            }
            Some((Ok(Frame::data(part)), ()))
        }
    });
    StreamBody::new(stream).boxed_unsync()
}

/// Builds a request of a kind.
fn request(kind: &str, attempt: &str, text: &str, budget: Duration, body: Body) -> Request<Body> {
    let mut request = Request::builder();
    if !text.is_empty() {
        request = request.header("content-length", text.len());
    }
    request
        .method(if kind == "view" { "GET" } else { "POST" })
        .uri(format!("/{kind}/7"))
        .header("host", "salon.example")
        .header("attempt-id", attempt)
        .header("deadline-ms", budget.as_millis().to_string())
        .body(body)
        .expect("the request is valid")
}

/// Returns whether bytes are a prefix of the expected response, and whether they are all of it.
fn compare_body(kind: &str, attempt: &str, body: &str, bytes: &Bytes) -> (bool, bool) {
    let expected_body = match kind {
        "look" | "hint" => (1..=EVENTS).map(|number| event(attempt, number)).collect(),
        _ => expected(attempt, &format!("/{kind}/7"), body),
    };
    (
        expected_body.as_bytes().starts_with(bytes),
        expected_body.len() == bytes.len(),
    )
}

/// Makes one call on a connection, with the body in a part after each pause. Returns its record and
/// whether the connection can be reused.
async fn call(
    connection: &mut Connection,
    kind: &'static str,
    attempt: String,
    pauses: &[Duration],
    script: Script,
) -> (CallRecord, bool) {
    let budget = script.budget();
    let text = request_body(kind, &attempt, pauses);
    let sent: Arc<OnceLock<Instant>> = Arc::default();
    let body = body_in_parts(&text, pauses, &sent);
    let mut record = CallRecord {
        attempt: attempt.clone(),
        kind,
        status: None,
        complete: false,
        matches: true,
        start: Instant::now(),
        sent: None,
        end: Instant::now(),
    };
    let response = async {
        let request = request(kind, &attempt, &text, budget, body);
        let response = connection.send(request).await.ok()?;
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
            let filler = script.view_filler();
            let echo = if kind == "view" { &filler } else { &text };
            let (prefix, all) = compare_body(kind, &attempt, echo, &bytes.into());
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
        Timer::after(budget + CALL_MARGIN).await;
        None
    };
    let reusable = response.or(timeout).await.unwrap_or(false);
    record.sent = sent.get().copied();
    record.end = Instant::now();
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
        let pauses = if shared.script == Script::Planned {
            let count = rng.random_range(0..MAX_PARTS);
            (0..count)
                .map(|_| PAUSE.mul_f64(rng.random_range(0.0..4.0)))
                .collect()
        } else {
            Vec::new()
        };
        let (record, reusable) = call(&mut connection, kind, attempt, &pauses, shared.script).await;
        lock(&shared.calls).push(record);
        if reusable && connection.ready().await.is_ok() {
            open.insert(node, connection);
        }
    }
}

/// Makes one call of each kind to a node. Returns the kinds without a complete, expected response.
pub async fn call_each_kind(node: SocketAddr, name: &str, script: Script) -> Vec<&'static str> {
    let mut failed = Vec::new();
    for kind in KINDS {
        let Ok(mut connection) = Connection::open(node).await else {
            failed.push(kind);
            continue;
        };
        let (record, _) = call(&mut connection, kind, format!("{name}-{kind}"), &[], script).await;
        let served = record.status == Some(StatusCode::OK) && record.complete && record.matches;
        if !served {
            failed.push(kind);
        }
    }
    failed
}
