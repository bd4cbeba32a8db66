//! The platform: configuration service, list of VMs, directory for clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use seam_config::PartSet;
use seam_http::{Body, empty, full, json, lock};
use seam_protocol::VmState;

use crate::server::Server;

/// Longest wait of a watch.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Values {
    values: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    vms: Vec<VmState>,
    directory: Vec<String>,
}

#[derive(Debug)]
struct Shared {
    values: Mutex<Values>,
    changed: Mutex<(async_channel::Sender<()>, async_channel::Receiver<()>)>,
    down: AtomicBool,
    calls: AtomicU64,
}

/// A platform that holds its values in memory.
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
    /// Starts a platform without values.
    #[must_use]
    pub fn start(address: SocketAddr) -> Self {
        let shared = Arc::new(Shared {
            values: Mutex::default(),
            changed: Mutex::new(async_channel::bounded(1)),
            down: AtomicBool::new(false),
            calls: AtomicU64::new(0),
        });
        let state = shared.clone();
        let server = Server::start_at(address, move |request, _| answer(state.clone(), request));
        Self { shared, server }
    }

    /// Returns its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets a value and wakes its watchers.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        let mut values = lock(&self.shared.values);
        values.version += 1;
        let version = values.version;
        values.values.insert(key.to_owned(), (version, value));
        drop(values);
        let mut changed = lock(&self.shared.changed);
        changed.0.close();
        *changed = async_channel::bounded(1);
    }

    /// Publishes a bundle, its manifest last.
    pub fn publish(&self, set: &PartSet) {
        for (digest, part) in &set.parts {
            self.put(&format!("part-{digest}"), part.clone());
        }
        self.put("manifest", set.manifest.clone());
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmState>) {
        lock(&self.shared.values).vms = vms;
    }

    /// Sets the directory for clients.
    pub fn set_directory(&self, addresses: Vec<String>) {
        let mut values = lock(&self.shared.values);
        values.directory = addresses;
    }

    /// Makes every call fail, or work again.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// Returns the calls so far, each waiting watch as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    if shared.down.load(Ordering::Relaxed) {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    match request.uri().path() {
        "/v1/vms" => json(StatusCode::OK, &lock(&shared.values).vms),
        "/v1/directory" => json(StatusCode::OK, &lock(&shared.values).directory),
        path => match path.strip_prefix("/v1/values/") {
            Some(key) => value(&shared, key, request.uri().query().unwrap_or("")).await,
            None => status(StatusCode::NOT_FOUND),
        },
    }
}

fn status(code: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = code;
    answer
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Answers with a value, after waiting for a version above the one that the caller has.
async fn value(shared: &Shared, key: &str, query: &str) -> Response<Body> {
    let after = parameter(query, "after").unwrap_or(0);
    let wait = parameter(query, "wait_s").unwrap_or(0);
    let limit = Duration::from_secs(wait).min(LONGEST_WAIT);
    let late = Timer::after(limit);
    let late = async {
        late.await;
        false
    };
    let mut late = std::pin::pin!(late);
    loop {
        let changed = lock(&shared.changed).1.clone();
        let found = lock(&shared.values).values.get(key).cloned();
        match found {
            Some((version, bytes)) if version > after => {
                let mut answer = Response::new(full(bytes));
                if let Ok(tag) = version.to_string().parse() {
                    answer.headers_mut().insert(header::ETAG, tag);
                }
                return answer;
            }
            None if wait == 0 => return status(StatusCode::NOT_FOUND),
            _ if wait == 0 => return status(StatusCode::NOT_MODIFIED),
            _ => {}
        }
        let woken = async {
            let _ = changed.recv().await;
            true
        };
        if !woken.or(late.as_mut()).await {
            return status(StatusCode::NOT_MODIFIED);
        }
        if shared.down.load(Ordering::Relaxed) {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}
