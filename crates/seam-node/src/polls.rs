//! Polls targets for their load and cache events, and sends orders to engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::{Request, StatusCode, header};
use seam_core::Event;
use seam_core::placement::Order;
use seam_http::{ClientError, Connection, empty, fetch, full, read_body};
use seam_protocol::{CacheEvent, Kind, LoadReport, TargetId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::odd_json::{readable_elements, readable_field};
use crate::runtime::NodeRuntime;

/// Interval between two polls. The targets are polled in turn, so the cost does not depend on their
/// number and is the same in every region.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for sending an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for one poll. A slower target is polled again in its next turn.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;
/// Number of load polls per poll of cache events.
const CACHE_POLL_TURNS: usize = 4;

/// The body of an order to an engine.
#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'a str,
    model: &'a str,
    fence: u64,
}

/// Polls the targets that this node uses in turn, on persistent connections, until cancelled.
pub async fn poll_targets(runtime: Arc<NodeRuntime>) {
    let mut open: BTreeMap<SocketAddr, Connection> = BTreeMap::new();
    for turn in 0_usize.. {
        Timer::after(POLL_INTERVAL).await;
        let targets = targets(&runtime, turn);
        let Some((target, address, kind)) = targets.get(turn % targets.len().max(1)).copied()
        else {
            continue;
        };
        let connection = open.remove(&address);
        let poll_cache = kind == Kind::Engine && turn % CACHE_POLL_TURNS == 0;
        if let Some(connection) = poll(&runtime, target, address, poll_cache, connection).await {
            open.insert(address, connection);
        }
    }
}

fn targets(runtime: &NodeRuntime, turn: usize) -> Vec<(TargetId, SocketAddr, Kind)> {
    let Some(snapshot) = runtime.snapshot() else {
        return Vec::new();
    };
    let used = runtime.read(|node, _| node.targets_to_poll(turn));
    used.into_iter()
        .filter_map(|(target, service, address)| {
            let kind = snapshot.bundle.services.get(&service)?.kind;
            Some((target, address, kind))
        })
        .collect()
}

/// Polls one target. Returns its connection if it can be reused.
async fn poll(
    runtime: &NodeRuntime,
    target: TargetId,
    address: SocketAddr,
    poll_cache: bool,
    connection: Option<Connection>,
) -> Option<Connection> {
    let mut connection = match connection.filter(Connection::usable) {
        Some(connection) => connection,
        None => Connection::open(address).await.ok()?,
    };
    let fields = read(&mut connection, address, "/load").await?;
    if let Some(report) = load_report(&fields) {
        runtime.handle(Event::Load(target, report));
    }
    if poll_cache {
        let events = read(&mut connection, address, "/cache").await?;
        let events: Vec<CacheEvent> = readable_elements(events, "cache events");
        if !events.is_empty() {
            runtime.handle(Event::Cache(target, events));
        }
    }
    Some(connection)
}

/// Reads a load report. Without a readable number of running requests it tells nothing.
fn load_report(fields: &Map<String, Value>) -> Option<LoadReport> {
    let models = readable_field(fields, "models").unwrap_or_default();
    Some(LoadReport {
        running: readable_field(fields, "running")?,
        waiting: readable_field(fields, "waiting").unwrap_or_default(),
        slots: readable_field(fields, "slots"),
        slowdown: readable_field(fields, "slowdown"),
        models: readable_elements(models, "models"),
        fence: readable_field(fields, "fence").unwrap_or_default(),
    })
}

/// Requests a JSON value on an open connection.
async fn read<T: DeserializeOwned>(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    let exchange = async {
        connection.ready().await.ok()?;
        let request = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(empty());
        let response = connection.send(request.ok()?).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = read_body(response.into_body(), MAX_REPORT_BYTES).await;
        serde_json::from_slice(&body.ok()?).ok()
    };
    let timeout = async {
        Timer::after(POLL_TIMEOUT).await;
        None
    };
    exchange.or(timeout).await
}

/// Sends an order with its fencing number to an engine.
///
/// # Errors
/// See [`ClientError`].
///
/// # Panics
/// Never, since plain data always serializes.
pub async fn send_order(address: SocketAddr, order: &Order, fence: u64) -> Result<(), ClientError> {
    const MAX_RESPONSE_BYTES: usize = 64 << 10;
    let (action, model) = match order {
        Order::Load(model) => ("load", model),
        Order::Unload(model) => ("unload", model),
    };
    let body = OrderBody {
        order: action,
        model,
        fence,
    };
    let bytes = serde_json::to_vec(&body).expect("plain data always serializes");
    let request = Request::post("/orders")
        .body(full(bytes))
        .expect("a fixed path is a valid URI");
    let response = fetch(address, request, ORDER_TIMEOUT, MAX_RESPONSE_BYTES).await?;
    let status = response.status();
    if status.is_success() {
        Ok(())
    } else {
        Err(ClientError::Status { address, status })
    }
}
