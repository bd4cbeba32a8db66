//! Callers that keep connections open, and note what they were told.

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

/// Time that a caller waits for an answer; a little above the longest route's timeout.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pause between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Kinds of request by the first part of their path.
pub const KINDS: [&str; 5] = ["view", "book", "look", "hint", "home"];

/// What became of one attempt.
#[derive(Clone, Debug)]
pub struct Told {
    pub attempt: String,
    pub kind: &'static str,
    pub status: Option<StatusCode>,
    /// Whether the answer ended as a whole one.
    pub whole: bool,
    /// Whether the bytes are the beginning of the right answer, or all of it.
    pub right: bool,
    pub start: Instant,
}

/// What all callers were told, and where they call.
#[derive(Default)]
pub struct Journal {
    pub told: Mutex<Vec<Told>>,
    pub nodes: Mutex<Vec<SocketAddr>>,
    pub stop: AtomicBool,
    /// Changes when all callers are to drop their connections.
    pub resets: AtomicU64,
}

/// Returns a request of a kind.
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
        .expect("it is a request")
}

/// Returns whether bytes are the right answer, and whether all of it.
fn judge(kind: &str, attempt: &str, bytes: &Bytes) -> (bool, bool) {
    let right = match kind {
        "look" | "hint" => (1..=EVENTS).map(|number| event(attempt, number)).collect(),
        "view" => expected(attempt, "/view/7", ""),
        _ => expected(attempt, &format!("/{kind}/7"), attempt),
    };
    (
        right.as_bytes().starts_with(bytes),
        right.len() == bytes.len(),
    )
}

/// Makes one call on a connection. Returns what it was told and whether the connection can go on.
async fn call(connection: &mut Connection, kind: &'static str, attempt: String) -> (Told, bool) {
    let mut told = Told {
        attempt: attempt.clone(),
        kind,
        status: None,
        whole: false,
        right: true,
        start: Instant::now(),
    };
    let answer = async {
        let answer = connection.send(request(kind, &attempt)).await.ok()?;
        let (head, mut body) = answer.into_parts();
        told.status = Some(head.status);
        let mut bytes = Vec::new();
        let whole = loop {
            match body.frame().await {
                Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        if head.status.is_success() {
            let (right, all) = judge(kind, &attempt, &bytes.into());
            told.right = right && (all || !whole);
        }
        told.whole = whole;
        let close = head
            .headers
            .get("connection")
            .is_some_and(|value| value == "close");
        Some(whole && !close)
    };
    let late = async {
        Timer::after(PATIENCE).await;
        None
    };
    let goes_on = answer.or(late).await.unwrap_or(false);
    (told, goes_on)
}

/// Calls nodes until told to stop.
pub async fn run(journal: Arc<Journal>, name: String, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut open: BTreeMap<SocketAddr, Connection> = BTreeMap::new();
    let mut number = 0;
    let mut resets = 0;
    while !journal.stop.load(Ordering::Relaxed) {
        let pause = PAUSE.mul_f64(rng.random_range(0.2..2.0));
        Timer::after(pause).await;
        let now = journal.resets.load(Ordering::Relaxed);
        if std::mem::replace(&mut resets, now) != now {
            open.clear();
        }
        let node = {
            let nodes = lock(&journal.nodes);
            nodes[rng.random_range(0..nodes.len())]
        };
        let held = open.remove(&node).filter(Connection::usable);
        let connection = match held {
            Some(connection) => Some(connection),
            None => Connection::open(node).await.ok(),
        };
        // A node that is down takes no connection.
        let Some(mut connection) = connection else {
            continue;
        };
        number += 1;
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let attempt = format!("{name}-{number}");
        let (told, goes_on) = call(&mut connection, kind, attempt).await;
        lock(&journal.told).push(told);
        if goes_on && connection.ready().await.is_ok() {
            open.insert(node, connection);
        }
    }
}

/// Makes one call of each kind at a node. Returns the kinds that were not answered whole.
pub async fn try_all(node: SocketAddr, name: &str) -> Vec<&'static str> {
    let mut failed = Vec::new();
    for kind in KINDS {
        let Ok(mut connection) = Connection::open(node).await else {
            failed.push(kind);
            continue;
        };
        let (told, _) = call(&mut connection, kind, format!("{name}-{kind}")).await;
        let served = told.status == Some(StatusCode::OK) && told.whole && told.right;
        if !served {
            failed.push(kind);
        }
    }
    failed
}
