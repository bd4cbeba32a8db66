//! A small load generator.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::{Method, header};
use http_body_util::BodyExt;
use seam_http::{Connection, lock, spawn};

use crate::caller::Caller;

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Who calls whom.
    pub caller: Caller,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
    /// Connections, each with one request at a time.
    pub connections: usize,
    /// Requests of each connection.
    pub requests: usize,
}

/// What came of it.
#[derive(Debug)]
pub struct LoadResult {
    /// Whole answers with status 200.
    pub succeeded: u64,
    /// Everything else.
    pub failed: u64,
    /// From the first request to the last answer.
    pub elapsed: Duration,
    /// Latency in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadResult {
    /// Returns answers a second.
    #[must_use]
    pub fn throughput(&self) -> f64 {
        self.succeeded as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns a quantile of the latency in microseconds.
    #[must_use]
    pub fn latency_micros(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }
}

/// Sends a load and waits for its end.
///
/// # Panics
/// If a worker panicked.
pub async fn run(load: &LoadConfig) -> LoadResult {
    let latency = Arc::new(Mutex::new(
        Histogram::<u64>::new(3).expect("three digits are supported"),
    ));
    let succeeded = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let tasks: Vec<_> = (0..load.connections)
        .map(|_| spawn(one(load.clone(), latency.clone(), succeeded.clone())))
        .collect();
    for task in tasks {
        task.await;
    }
    let succeeded = succeeded.load(Ordering::Relaxed);
    let sent = (load.connections * load.requests) as u64;
    let latency = lock(&latency).clone();
    LoadResult {
        succeeded,
        failed: sent - succeeded,
        elapsed: start.elapsed(),
        latency,
    }
}

async fn one(load: LoadConfig, latency: Arc<Mutex<Histogram<u64>>>, succeeded: Arc<AtomicU64>) {
    let mut connection = None;
    for _ in 0..load.requests {
        let start = Instant::now();
        if exchange(&load, &mut connection).await.is_some() {
            succeeded.fetch_add(1, Ordering::Relaxed);
            let micros = start.elapsed().as_micros() as u64;
            let mut latency = lock(&latency);
            let _ = latency.record(micros);
        } else {
            connection = None;
        }
    }
}

async fn exchange(load: &LoadConfig, open: &mut Option<Connection>) -> Option<()> {
    if open.is_none() {
        *open = Some(Connection::open(load.caller.node).await.ok()?);
    }
    let connection = open.as_mut()?;
    connection.ready().await.ok()?;
    let mut request = load
        .caller
        .request(load.method.clone(), &load.path, &load.body);
    let host = host(load.caller.node)?;
    request.headers_mut().insert(header::HOST, host);
    let answer = connection.send(request).await.ok()?;
    let right = answer.status().is_success();
    answer.into_body().collect().await.ok()?;
    right.then_some(())
}

fn host(address: SocketAddr) -> Option<http::HeaderValue> {
    address.to_string().parse().ok()
}
