//! Reads what targets publish and gives engines their orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use http::Request;
use seam_core::Event;
use seam_core::command::Order;
use seam_http::{ClientError, full, get_json, request_whole, spawn};
use seam_protocol::{CacheEvent, Kind, LoadReport, TargetId};
use serde::Serialize;

use crate::hub::Hub;

/// Time between two reads of a target's load.
const LOAD: Duration = Duration::from_secs(1);
/// Time for one call.
const CALL: Duration = Duration::from_secs(2);

/// An order on its way to an engine.
#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'a str,
    model: &'a str,
    fence: u64,
}

/// Reads the loads of this region's targets, for ever.
pub async fn poll_targets(hub: Arc<Hub>) {
    loop {
        for (target, address, kind) in targets(&hub) {
            let hub = hub.clone();
            spawn(async move { poll(&hub, target, address, kind).await }).detach();
        }
        Timer::after(LOAD).await;
    }
}

fn targets(hub: &Hub) -> Vec<(TargetId, SocketAddr, Kind)> {
    let Some(snapshot) = hub.snapshot() else {
        return Vec::new();
    };
    let used = hub.read(|node, _| node.used_targets());
    used.into_iter()
        .filter_map(|(target, service, address)| {
            let kind = snapshot.bundle.services.get(&service)?.kind;
            Some((target, address, kind))
        })
        .collect()
}

async fn poll(hub: &Hub, target: TargetId, address: SocketAddr, kind: Kind) {
    if let Ok(report) = get_json::<LoadReport>(address, "/load", CALL).await {
        hub.handle(Event::Load(target, report));
    }
    if kind == Kind::Engine
        && let Ok(events) = get_json::<Vec<CacheEvent>>(address, "/cache", CALL).await
        && !events.is_empty()
    {
        hub.handle(Event::Cache(target, events));
    }
}

/// Gives an order to an engine.
///
/// # Errors
/// See [`ClientError`].
///
/// # Panics
/// Never: plain data always serializes.
pub async fn give(address: SocketAddr, order: &Order, fence: u64) -> Result<(), ClientError> {
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
    let answer = request_whole(address, request, CALL, MOST).await?;
    let status = answer.status();
    if status.is_success() {
        Ok(())
    } else {
        Err(ClientError::Status { address, status })
    }
}
