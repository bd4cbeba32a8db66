//! A node process beside which other callers are served, while some machine sends bytes without end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use http::{Request, StatusCode};
use seam_http::{empty, fetch};

use crate::house::setup::{CALL_TIMEOUT, get};
use crate::house::store::Store;
use crate::soak::node::Node;

/// Memory of the smallest VM, as in its settings.
pub const VM_MEMORY: usize = 160 << 20;
/// Time that the callers of endless answers state.
pub const TIME_LIMIT: Duration = Duration::from_secs(2);
/// Time between two requests of other callers.
const INTERVAL: Duration = Duration::from_millis(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A node process with a store.
pub struct World {
    pub node: Node,
    pub store: Store,
    folder: std::path::PathBuf,
}

impl World {
    pub async fn start(name: &str) -> Self {
        let folder = format!("seam-endless-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let store = Store::start();
        store.configure_timeout(1, TIME_LIMIT);
        let mut node = Node::new(0, "north", &folder, store.address());
        node.start(&[]);
        let mut world = Self {
            node,
            store,
            folder,
        };
        while !world.is_ready().await {
            if !world.node.is_running() {
                world.node.change_ports();
                world.node.start(&[]);
            }
            Timer::after(POLL_INTERVAL).await;
        }
        world
    }

    async fn is_ready(&self) -> bool {
        let request = Request::get("/readiness").body(empty());
        let request = request.expect("the request is valid");
        let response = fetch(self.node.ports.readiness, request, CALL_TIMEOUT, 1000).await;
        response.is_ok_and(|response| response.status() == StatusCode::OK)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.node.kill();
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            println!("{} not removed: {error}", self.folder.display());
        }
    }
}

pub fn start_workers() {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| seam_http::start_workers(2));
}

/// Calls a sound server again and again for a time. Returns the number of calls and the longest time
/// that one took.
///
/// # Errors
/// The call that failed, and how.
pub async fn call_beside(caller: SocketAddr, span: Duration) -> Result<(usize, Duration), String> {
    let start = Instant::now();
    let mut count = 0;
    let mut slowest = Duration::ZERO;
    while start.elapsed() < span {
        let id = format!("beside-{count}");
        let sent = Instant::now();
        let response = fetch(caller, get("/look/1", &id), CALL_TIMEOUT, 4096).await;
        let response = response.map_err(|error| format!("{id}: {error}"))?;
        if response.status() != StatusCode::OK {
            return Err(format!("{id}: status {}", response.status()));
        }
        slowest = slowest.max(sent.elapsed());
        count += 1;
        Timer::after(INTERVAL).await;
    }
    Ok((count, slowest))
}

pub async fn wait_until_served(caller: SocketAddr) {
    for number in 0.. {
        let request = get("/look/1", &format!("first-{number}"));
        let response = fetch(caller, request, CALL_TIMEOUT, 4096).await;
        if response.is_ok_and(|response| response.status() == StatusCode::OK) {
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
