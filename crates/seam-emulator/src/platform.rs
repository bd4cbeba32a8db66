//! An emulated platform: configuration service, list of VMs and targets, and directory for clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode, header};
use seam_config::PartSet;
use seam_http::{Body, Incoming, empty, full, json, lock};
use seam_protocol::VmState;

use crate::server::Server;

/// Maximum time that a watch stays open, even if its `wait_s` is longer.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct State {
    /// Version and bytes of each value, by key.
    values: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    vms: Vec<VmState>,
    directory: Vec<String>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Closed and replaced at each change of a value, which ends the wait of all open watches.
    changed: Mutex<(async_channel::Sender<()>, async_channel::Receiver<()>)>,
    down: AtomicBool,
    calls: AtomicU64,
}

/// An emulated platform that keeps its values in memory.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Default for Platform {
    fn default() -> Self {
        Self::start(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

impl Platform {
    /// Starts a platform without values on the given address.
    #[must_use]
    pub fn start(address: SocketAddr) -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Mutex::new(async_channel::bounded(1)),
            down: AtomicBool::new(false),
            calls: AtomicU64::new(0),
        });
        let handler_shared = shared.clone();
        let server = Server::start_at(address, move |request, _| {
            handle(handler_shared.clone(), request)
        });
        Self { shared, server }
    }

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Stores a value under a new version and notifies all open watches.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        let version = state.version;
        state.values.insert(key.to_owned(), (version, value));
        drop(state);
        let mut changed = lock(&self.shared.changed);
        changed.0.close();
        *changed = async_channel::bounded(1);
    }

    /// Publishes a bundle. The manifest comes last, because it refers to the parts.
    pub fn publish(&self, set: &PartSet) {
        for (digest, part) in &set.parts {
            self.put(&format!("part-{digest}"), part.clone());
        }
        self.put("manifest", set.manifest.clone());
    }

    /// Replaces the list of VMs and targets.
    pub fn set_vms(&self, vms: Vec<VmState>) {
        lock(&self.shared.state).vms = vms;
    }

    /// Replaces the addresses of the directory for clients.
    pub fn set_directory(&self, addresses: Vec<String>) {
        let mut state = lock(&self.shared.state);
        state.directory = addresses;
    }

    /// Sets whether every call fails with status 503.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// Returns the number of calls so far; a watch counts once, however long it waits.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    if shared.down.load(Ordering::Relaxed) {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match request.uri().path() {
        "/v1/vms" => json(StatusCode::OK, &lock(&shared.state).vms),
        "/v1/directory" => json(StatusCode::OK, &lock(&shared.state).directory),
        path => match path.strip_prefix("/v1/values/") {
            Some(key) => get_value(&shared, key, request.uri().query().unwrap_or("")).await,
            None => empty_response(StatusCode::NOT_FOUND),
        },
    }
}

fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = code;
    response
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Responds with a value whose version is above `after`, and waits up to `wait_s` seconds for it.
async fn get_value(shared: &Shared, key: &str, query: &str) -> Response<Body> {
    let after = query_number(query, "after").unwrap_or(0);
    let wait = query_number(query, "wait_s").unwrap_or(0);
    let limit = Duration::from_secs(wait).min(MAX_WATCH_WAIT);
    let timeout = Timer::after(limit);
    let timeout = async {
        timeout.await;
        false
    };
    let mut timeout = std::pin::pin!(timeout);
    loop {
        let changed = lock(&shared.changed).1.clone();
        let found = lock(&shared.state).values.get(key).cloned();
        match found {
            Some((version, bytes)) if version > after => {
                let mut response = Response::new(full(bytes));
                if let Ok(tag) = version.to_string().parse() {
                    response.headers_mut().insert(header::ETAG, tag);
                }
                return response;
            }
            None if wait == 0 => return empty_response(StatusCode::NOT_FOUND),
            _ if wait == 0 => return empty_response(StatusCode::NOT_MODIFIED),
            _ => {}
        }
        let notified = async {
            let _ = changed.recv().await;
            true
        };
        if !notified.or(timeout.as_mut()).await {
            return empty_response(StatusCode::NOT_MODIFIED);
        }
        if shared.down.load(Ordering::Relaxed) {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}
