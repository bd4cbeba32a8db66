//! Values of the configuration service that are large.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use http::{Response, StatusCode, header};
use seam_emulator::server::Server;
use seam_fleet::with_fleet;
use seam_http::{Body, empty, full, lock, spawn};
use seam_node::watch::{HttpPlatform, Platform, watch_config};

const MEBIBYTE: usize = 1 << 20;
/// Version of the value that the service has.
const VERSION: u64 = 5;

/// A configuration service with one value.
struct Service {
    server: Server,
    calls: Arc<Mutex<Vec<String>>>,
}

impl Service {
    fn start(bytes: usize) -> Self {
        let calls: Arc<Mutex<Vec<String>>> = Arc::default();
        let shared = calls.clone();
        let server = Server::start(move |request, _| {
            let calls = shared.clone();
            async move {
                let query = request.uri().query().unwrap_or_default().to_owned();
                lock(&calls).push(query.clone());
                respond(&query, bytes).await
            }
        });
        Self { server, calls }
    }

    fn platform(&self) -> HttpPlatform {
        let address = self.server.address;
        HttpPlatform {
            config: address,
            vms: address,
            directory: address,
        }
    }
}

/// Answers a watch of a value of this size.
async fn respond(query: &str, bytes: usize) -> Response<Body> {
    if query.contains(&format!("after={VERSION}&")) {
        Timer::after(Duration::from_secs(25)).await;
        let mut response = Response::new(empty());
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        return response;
    }
    let mut response = Response::new(full(vec![b'x'; bytes]));
    let tag = format!("\"{VERSION}\"").parse().expect("a valid header");
    response.headers_mut().insert(header::ETAG, tag);
    response
}

/// Guards against a value that is never read, since it has more than a mebibyte.
#[test]
fn read_whole() {
    with_fleet(|_| async {
        let service = Service::start(4 * MEBIBYTE);
        let platform = service.platform();
        let found = platform.watch("manifest", 0, Duration::ZERO).await;
        let value = found.unwrap().expect("the service has a version");
        assert_eq!((value.version, value.bytes.len()), (VERSION, 4 * MEBIBYTE));
    });
}

/// Guards against a value that is too large and is read again and again.
#[test]
fn asked_once() {
    with_fleet(|fleet| async move {
        let service = Service::start(64 * MEBIBYTE);
        let runtime = fleet.nodes.values().next().unwrap().runtime().clone();
        let _watch = spawn(watch_config(runtime, service.platform(), 7));
        Timer::after(Duration::from_secs(4)).await;
        let calls = lock(&service.calls).clone();
        assert_eq!(calls.len(), 2, "{calls:?}");
    });
}
