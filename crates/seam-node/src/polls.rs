//! Reads what targets publish and gives engines their orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use seam_core::Event;
use seam_core::placement::Order;
use seam_http::{ClientError, Connection, empty, fetch, full};
use seam_protocol::{CacheEvent, Kind, LoadReport, TargetId};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::hub::Hub;

/// Time between two reads, whatever the number of targets, so that reading costs the same in every
/// region. Each target is read in turn.
pub const READ: Duration = Duration::from_secs(1);
/// Time for one call.
const CALL: Duration = Duration::from_secs(2);
/// Time for one read; a slower target is read again in its next turn.
const LATE: Duration = Duration::from_millis(400);
/// Largest report in bytes.
const LARGEST: usize = 256 << 10;
/// Reads of a load for each read of cache events.
const CACHE_TURN: usize = 4;

/// An order on its way to an engine.
#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'a str,
    model: &'a str,
    fence: u64,
}

/// Reads the loads of the targets that this node uses in turn, for ever, on kept connections.
pub async fn poll_targets(hub: Arc<Hub>) {
    let mut open: BTreeMap<SocketAddr, Connection> = BTreeMap::new();
    for turn in 0_usize.. {
        Timer::after(READ).await;
        let targets = targets(&hub, turn);
        let Some((target, address, kind)) = targets.get(turn % targets.len().max(1)).copied()
        else {
            continue;
        };
        let held = open.remove(&address);
        let cache = kind == Kind::Engine && turn % CACHE_TURN == 0;
        if let Some(connection) = poll(&hub, target, address, cache, held).await {
            open.insert(address, connection);
        }
    }
}

fn targets(hub: &Hub, turn: usize) -> Vec<(TargetId, SocketAddr, Kind)> {
    let Some(snapshot) = hub.snapshot() else {
        return Vec::new();
    };
    let used = hub.read(|node, _| node.read_targets(turn));
    used.into_iter()
        .filter_map(|(target, service, address)| {
            let kind = snapshot.bundle.services.get(&service)?.kind;
            Some((target, address, kind))
        })
        .collect()
}

/// Reads one target. Returns its connection if it can be used again.
async fn poll(
    hub: &Hub,
    target: TargetId,
    address: SocketAddr,
    cache: bool,
    held: Option<Connection>,
) -> Option<Connection> {
    let mut connection = match held.filter(Connection::usable) {
        Some(connection) => connection,
        None => Connection::open(address).await.ok()?,
    };
    let report: LoadReport = read(&mut connection, address, "/load").await?;
    hub.handle(Event::Load(target, report));
    if cache {
        let events: Vec<CacheEvent> = read(&mut connection, address, "/cache").await?;
        if !events.is_empty() {
            hub.handle(Event::Cache(target, events));
        }
    }
    Some(connection)
}

/// Reads a JSON value on a kept connection.
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
        let answer = connection.send(request.ok()?).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(answer.into_body(), LARGEST)
            .collect()
            .await
            .ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    };
    let late = async {
        Timer::after(LATE).await;
        None
    };
    exchange.or(late).await
}

/// Gives an order to an engine.
///
/// # Errors
/// See [`ClientError`].
///
/// # Panics
/// Never: plain data always serializes.
pub async fn send_order(address: SocketAddr, order: &Order, fence: u64) -> Result<(), ClientError> {
    const MOST: usize = 64 << 10;
    let (word, model) = match order {
        Order::Load(model) => ("load", model),
        Order::Unload(model) => ("unload", model),
    };
    let body = OrderBody {
        order: word,
        model,
        fence,
    };
    let bytes = serde_json::to_vec(&body).expect("plain data always serializes");
    let request = Request::post("/orders")
        .body(full(bytes))
        .expect("a fixed path is a valid URI");
    let answer = fetch(address, request, CALL, MOST).await?;
    let status = answer.status();
    if status.is_success() {
        Ok(())
    } else {
        Err(ClientError::Status { address, status })
    }
}
