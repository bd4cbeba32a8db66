//! An emulated model engine that streams tokens as server-sent events.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::stream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use seam_http::{Body, Incoming, json, lock};
use seam_protocol::LoadReport;
use serde::{Deserialize, Serialize};

use crate::server::Server;

/// Order to load or unload a model, as sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// `load` or `unload`.
    pub order: String,
    /// Name of the model.
    pub model: String,
    /// Fencing token; a higher number is a newer order.
    pub fence: u64,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    models: Vec<String>,
    fence: u64,
    orders: Vec<EngineOrder>,
    streams: u64,
}

/// Timing and behavior of an emulated engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Time from the end of the request to the first token.
    pub first_token: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Number of tokens in a response.
    pub tokens: u32,
    /// Whether it rejects orders with an outdated fencing token.
    pub fenced: bool,
}

/// An emulated model engine.
#[derive(Debug)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Engine {
    /// Starts an engine on a loopback address with a port that the system assigns.
    #[must_use]
    pub fn start(name: &str, config: EngineConfig) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), name, config)
    }

    /// Starts an engine on the given address.
    #[must_use]
    pub fn start_at(address: SocketAddr, name: &str, config: EngineConfig) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let (shared, name) = (state.clone(), name.to_owned());
        let server = Server::start_at(address, move |request, _| {
            handle(shared.clone(), name.clone(), config, request)
        });
        Self { state, server }
    }

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the orders it has accepted, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        lock(&self.state).orders.clone()
    }

    /// Returns the number of token streams it has accepted.
    #[must_use]
    pub fn streams(&self) -> u64 {
        lock(&self.state).streams
    }

    /// Closes the address, so that new connections are refused.
    pub fn close(&self) {
        self.server.close();
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    name: String,
    config: EngineConfig,
    request: Request<Incoming>,
) -> Response<Body> {
    match request.uri().path() {
        "/load" => {
            let state = lock(&state);
            let report = LoadReport {
                running: state.running,
                waiting: 0,
                slots: None,
                slowdown: None,
                models: state.models.clone(),
                fence: state.fence,
            };
            json(StatusCode::OK, &report)
        }
        "/orders" => apply_order(&state, config, request).await,
        "/cache" => json(StatusCode::OK, &Vec::<seam_protocol::CacheEvent>::new()),
        _ => stream_tokens(state, name, config, request).await,
    }
}

async fn apply_order(
    state: &Mutex<State>,
    config: EngineConfig,
    request: Request<Incoming>,
) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return json(StatusCode::BAD_REQUEST, "the request body is incomplete");
    };
    let Ok(order) = serde_json::from_slice::<EngineOrder>(&body.to_bytes()) else {
        return json(
            StatusCode::BAD_REQUEST,
            "the request body is not an engine order",
        );
    };
    let mut state = lock(state);
    if config.fenced && order.fence <= state.fence {
        return json(
            StatusCode::CONFLICT,
            "the fencing token of the order is outdated",
        );
    }
    state.fence = state.fence.max(order.fence);
    match order.order.as_str() {
        "load" if !state.models.contains(&order.model) => state.models.push(order.model.clone()),
        "unload" => state.models.retain(|model| *model != order.model),
        _ => {}
    }
    state.orders.push(order);
    json(StatusCode::OK, "done")
}

/// Decrements the number of running requests when a response ends or is dropped.
struct RunningGuard(Arc<Mutex<State>>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.lock() {
            state.running -= 1;
        }
    }
}

async fn stream_tokens(
    state: Arc<Mutex<State>>,
    name: String,
    config: EngineConfig,
    request: Request<Incoming>,
) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return json(StatusCode::BAD_REQUEST, "the request body is incomplete");
    };
    let prompt = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    {
        let mut state = lock(&state);
        state.running += 1;
        state.streams += 1;
    }
    let running = RunningGuard(state);
    Timer::after(config.first_token).await;
    let events = stream::unfold((0, running), move |(index, running)| {
        let (name, prompt) = (name.clone(), prompt.clone());
        async move {
            let text = match index {
                index if index < config.tokens => {
                    if index > 0 {
                        Timer::after(config.token_interval).await;
                    }
                    format!("data: {{\"target\":{name:?},\"token\":{index},\"of\":{prompt:?}}}\n\n")
                }
                index if index == config.tokens => "data: [DONE]\n\n".to_owned(),
                _ => return None,
            };
            let frame = Frame::data(Bytes::from(text));
            Some((Ok::<_, Infallible>(frame), (index + 1, running)))
        }
    });
    let body = StreamBody::new(events)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    response
}
