//! A model engine that streams tokens as server-sent events.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::stream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use seam_http::{Body, json, lock};
use seam_protocol::LoadReport;
use serde::{Deserialize, Serialize};

use crate::server::Server;

/// An order as it travels to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// `load` or `unload`.
    pub order: String,
    /// The model.
    pub model: String,
    /// Fencing number.
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

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Engine {
    /// Starts an engine on an address of the system's choice.
    #[must_use]
    pub fn start(name: &str, pace: EngineConfig) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), name, pace)
    }

    /// Starts an engine on a given address.
    #[must_use]
    pub fn start_at(address: SocketAddr, name: &str, pace: EngineConfig) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let (shared, name) = (state.clone(), name.to_owned());
        let server = Server::start_at(address, move |request, _| {
            answer(shared.clone(), name.clone(), pace, request)
        });
        Self { state, server }
    }

    /// Returns its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the orders that it obeyed.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        lock(&self.state).orders.clone()
    }

    /// Returns the number of answers begun.
    #[must_use]
    pub fn streams(&self) -> u64 {
        lock(&self.state).streams
    }

    /// Closes the address.
    pub fn close(&self) {
        self.server.close();
    }
}

async fn answer(
    state: Arc<Mutex<State>>,
    name: String,
    pace: EngineConfig,
    request: Request<Incoming>,
) -> Response<Body> {
    match request.uri().path() {
        "/load" => {
            let state = lock(&state);
            let report = LoadReport {
                running: state.running,
                waiting: 0,
                models: state.models.clone(),
                fence: state.fence,
            };
            json(StatusCode::OK, &report)
        }
        "/orders" => order(&state, pace, request).await,
        "/cache" => json(StatusCode::OK, &Vec::<seam_protocol::CacheEvent>::new()),
        _ => tokens(state, name, pace, request).await,
    }
}

async fn order(
    state: &Mutex<State>,
    pace: EngineConfig,
    request: Request<Incoming>,
) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return json(StatusCode::BAD_REQUEST, "the body was cut");
    };
    let Ok(order) = serde_json::from_slice::<EngineOrder>(&body.to_bytes()) else {
        return json(StatusCode::BAD_REQUEST, "not an order");
    };
    let mut state = lock(state);
    if pace.fenced && order.fence <= state.fence {
        return json(StatusCode::CONFLICT, "old fencing number");
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

/// Counts a running answer for as long as it lives.
struct Running(Arc<Mutex<State>>);

impl Drop for Running {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.lock() {
            state.running -= 1;
        }
    }
}

async fn tokens(
    state: Arc<Mutex<State>>,
    name: String,
    pace: EngineConfig,
    request: Request<Incoming>,
) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return json(StatusCode::BAD_REQUEST, "the body was cut");
    };
    let echo = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    {
        let mut state = lock(&state);
        state.running += 1;
        state.streams += 1;
    }
    let running = Running(state);
    Timer::after(pace.first_token).await;
    let events = stream::unfold((0, running), move |(index, running)| {
        let (name, echo) = (name.clone(), echo.clone());
        async move {
            let text = match index {
                index if index < pace.tokens => {
                    if index > 0 {
                        Timer::after(pace.token_interval).await;
                    }
                    format!("data: {{\"target\":{name:?},\"token\":{index},\"of\":{echo:?}}}\n\n")
                }
                index if index == pace.tokens => "data: [DONE]\n\n".to_owned(),
                _ => return None,
            };
            let frame = Frame::data(Bytes::from(text));
            Some((Ok::<_, Infallible>(frame), (index + 1, running)))
        }
    });
    let body = StreamBody::new(events)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut answer = Response::new(body);
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    answer
}
