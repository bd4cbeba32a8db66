//! A closed-loop load generator: each connection sends its next request after the last response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::{Method, header};
use http_body_util::BodyExt;
use seam_http::{Connection, lock, spawn};

use crate::caller::Caller;

/// Requests of a load and the connections that send them.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Caller, with the address and the bearer token.
    pub caller: Caller,
    /// Method of every request.
    pub method: Method,
    /// Path of every request.
    pub path: String,
    /// Body of every request.
    pub body: String,
    /// Number of connections, each with one request at a time.
    pub connections: usize,
    /// Number of requests on each connection.
    pub requests: usize,
}

/// Result of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// Complete responses with a 2xx status.
    pub succeeded: u64,
    /// Requests without a complete 2xx response.
    pub failed: u64,
    /// Time from the start of the first request to the end of the last one.
    pub elapsed: Duration,
    /// Latency of the successful requests in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadResult {
    /// Returns the successful requests per second.
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

/// Sends a load and waits until every request has ended.
///
/// # Panics
/// If the task of a connection panicked.
pub async fn run(load: &LoadConfig) -> LoadResult {
    let latency = Arc::new(Mutex::new(
        Histogram::<u64>::new(3).expect("three digits are supported"),
    ));
    let succeeded = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let tasks: Vec<_> = (0..load.connections)
        .map(|_| {
            spawn(run_connection(
                load.clone(),
                latency.clone(),
                succeeded.clone(),
            ))
        })
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

async fn run_connection(
    load: LoadConfig,
    latency: Arc<Mutex<Histogram<u64>>>,
    succeeded: Arc<AtomicU64>,
) {
    let mut connection = None;
    for _ in 0..load.requests {
        let start = Instant::now();
        if send_request(&load, &mut connection).await.is_some() {
            succeeded.fetch_add(1, Ordering::Relaxed);
            let micros = start.elapsed().as_micros() as u64;
            let mut latency = lock(&latency);
            let _ = latency.record(micros);
        } else {
            connection = None;
        }
    }
}

async fn send_request(load: &LoadConfig, open: &mut Option<Connection>) -> Option<()> {
    if open.is_none() {
        *open = Some(Connection::open(load.caller.node).await.ok()?);
    }
    let connection = open.as_mut()?;
    connection.ready().await.ok()?;
    let mut request = load
        .caller
        .request(load.method.clone(), &load.path, &load.body);
    let host = host_header(load.caller.node)?;
    request.headers_mut().insert(header::HOST, host);
    let response = connection.send(request).await.ok()?;
    let succeeded = response.status().is_success();
    response.into_body().collect().await.ok()?;
    succeeded.then_some(())
}

fn host_header(address: SocketAddr) -> Option<http::HeaderValue> {
    address.to_string().parse().ok()
}
