//! Planned stops of a node process whose target answers late or not at all, as its callers see them.

#[allow(dead_code, reason = "the platform's own tests use the rest")]
#[path = "../../../platform/tests/house/store.rs"]
mod store;

#[allow(dead_code, reason = "the soak test uses the rest")]
mod soak {
    pub mod node;
    pub mod proxy;
}

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use rustix::process::Signal;
use seam_emulator::server::Server as HttpServer;
use seam_http::{Body, Incoming, empty, fetch, lock, spawn};
use serde_json::json;
use soak::node::Node;
use store::Store;

/// Timeout of the routes, longer than the drain.
const TIMEOUT: Duration = Duration::from_secs(15);
/// `drain_limit_s` of the node's settings.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);
/// Time within which a signal reaches the process.
const SIGNAL_DELAY: Duration = Duration::from_millis(300);
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(50);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of a large answer, which no buffer between a target and a caller holds.
const LARGE_BYTES: usize = 64 << 20;
const CHUNK_BYTES: usize = 64 << 10;

/// Identifiers of the requests that reached the target, and when.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// A node process with a store and one target.
struct Stop {
    node: Node,
    arrivals: Arrivals,
    folder: PathBuf,
    _store: Store,
    _target: HttpServer,
}

impl Drop for Stop {
    fn drop(&mut self) {
        self.node.kill();
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            println!("{} not removed: {error}", self.folder.display());
        }
    }
}

fn start_workers() {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| seam_http::start_workers(2));
}

/// Answers paths that end in `large` with a large body, and no other request.
async fn respond(arrivals: Arrivals, request: Request<Incoming>) -> Response<Body> {
    let headers = request.headers();
    let id = headers.get("attempt-id").and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    lock(&arrivals).push((id.clone(), Instant::now()));
    if !request.uri().path().ends_with("large") {
        std::future::pending::<()>().await;
    }
    let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
    let parts =
        stream::iter((0..LARGE_BYTES / CHUNK_BYTES).map(move |_| Ok(Frame::data(chunk.clone()))));
    let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
    for (name, value) in [
        ("attempt-id", id.as_str()),
        ("response-seal", "t1"),
        ("content-length", &LARGE_BYTES.to_string()),
    ] {
        let value = value.parse().expect("the header value is valid");
        response.headers_mut().insert(name, value);
    }
    response
}

impl Stop {
    async fn start(name: &str) -> Self {
        let folder = format!("seam-stop-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let store = Store::start();
        store.configure_timeout(1, TIMEOUT);
        let arrivals = Arrivals::default();
        let shared = arrivals.clone();
        let target = HttpServer::start(move |request, _| respond(shared.clone(), request));
        let item = json!({
            "service": "desk", "address": target.address.to_string(), "zone": "north-a",
            "version": "v1", "slots": 400, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": 1_700_000_000_000_u64,
        });
        store.put_item("t1", &item);
        let mut node = Node::new(0, "north", &folder, store.address());
        node.start(&[]);
        let mut stop = Self {
            node,
            arrivals,
            folder,
            _store: store,
            _target: target,
        };
        while !stop.is_ready().await {
            if !stop.node.is_running() {
                stop.node.change_ports();
                stop.node.start(&[]);
            }
            Timer::after(POLL_INTERVAL).await;
        }
        stop
    }

    async fn is_ready(&self) -> bool {
        let request = Request::get("/readiness").body(empty());
        let request = request.expect("the request is valid");
        let response = fetch(self.node.ports.readiness, request, DRAIN_LIMIT, 1000).await;
        response.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    /// Waits until the process ends by itself. Returns the time since the signal.
    async fn wait_for_end(&mut self, signalled: Instant) -> Duration {
        while self.node.is_running() {
            assert!(
                signalled.elapsed() < DRAIN_LIMIT,
                "the process outlives its limit"
            );
            Timer::after(POLL_INTERVAL).await;
        }
        signalled.elapsed()
    }

    fn arrived_after(&self, time: Instant, prefix: &str) -> Vec<String> {
        let arrivals = lock(&self.arrivals);
        let late = arrivals
            .iter()
            .filter(|(id, at)| *at > time && id.starts_with(prefix));
        late.map(|(id, _)| id.clone()).collect()
    }
}

fn call(method: &str, path: &str, id: &str) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "salon.example")
        .header("attempt-id", id)
        .header("deadline-ms", TIMEOUT.as_millis().to_string())
        .body(empty())
        .expect("the request is valid")
}

/// Sends requests that may and that may not be repeated until a time. Returns the status of each,
/// `None` for a connection that closed without an answer.
async fn send_traffic(address: SocketAddr, span: Duration) -> Vec<(String, Option<StatusCode>)> {
    let start = Instant::now();
    let mut calls = Vec::new();
    let mut number = 0;
    while start.elapsed() < span {
        number += 1;
        for (method, route) in [("POST", "book"), ("GET", "view")] {
            let id = format!("{route}-{number}");
            let request = call(method, &format!("/{route}/{number}"), &id);
            calls.push(spawn(async move {
                let response = fetch(address, request, TIMEOUT, 4096).await;
                (id, response.ok().map(|response| response.status()))
            }));
        }
        Timer::after(INTERVAL).await;
    }
    let mut ended = Vec::new();
    for call in calls {
        ended.push(call.await);
    }
    ended
}

/// Guards against requests that a node takes shortly before it ends, and against ones that it holds
/// then and that get no answer.
#[test]
fn held_requests() {
    start_workers();
    seam_http::block_on(async {
        let mut stop = Stop::start("held").await;
        let address = stop.node.ports.caller;
        let calls = spawn(send_traffic(address, Duration::from_secs(5)));
        Timer::after(Duration::from_secs(1)).await;
        let signalled = Instant::now();
        stop.node.signal(Signal::TERM);
        stop.wait_for_end(signalled).await;
        let calls = calls.await;
        let lost: Vec<&String> = calls
            .iter()
            .filter_map(|(id, status)| status.is_none().then_some(id))
            .collect();
        assert!(
            lost.is_empty(),
            "{} of {} without an answer",
            lost.len(),
            calls.len()
        );
        let late = stop.arrived_after(signalled + SIGNAL_DELAY, "book");
        assert!(
            late.is_empty(),
            "sent, though their time ends after the process: {late:?}"
        );
        let arrived: BTreeSet<String> = lock(&stop.arrivals)
            .iter()
            .map(|(id, _)| id.clone())
            .collect();
        for (id, status) in &calls {
            let promised = *status == Some(StatusCode::SERVICE_UNAVAILABLE);
            assert_ne!(promised, arrived.contains(id), "{id}: {status:?}");
        }
    });
}

/// Guards against a node that ends while a caller reads an answer that its target has completed.
#[test]
fn slow_reader() {
    start_workers();
    let (mut stop, address) = seam_http::block_on(async {
        let stop = Stop::start("reader").await;
        let address = stop.node.ports.caller;
        (stop, address)
    });
    let reader = std::thread::spawn(move || {
        let mut connection = TcpStream::connect(address).expect("the node listens");
        let request =
            "GET /view/large HTTP/1.1\r\nhost: salon.example\r\nattempt-id: large\r\n\r\n";
        connection
            .write_all(request.as_bytes())
            .expect("the node reads");
        let mut part = vec![0; 1 << 20];
        let mut read = 0;
        while read < LARGE_BYTES {
            // 64 MB in about five seconds.
            std::thread::sleep(Duration::from_millis(80));
            match connection.read(&mut part) {
                Ok(0) | Err(_) => return read,
                Ok(count) => read += count,
            }
        }
        read
    });
    seam_http::block_on(async {
        Timer::after(Duration::from_millis(300)).await;
        let signalled = Instant::now();
        stop.node.signal(Signal::TERM);
        stop.wait_for_end(signalled).await;
    });
    let read = reader.join().expect("the reader ends");
    assert!(read >= LARGE_BYTES, "{read} of {LARGE_BYTES} bytes");
}
