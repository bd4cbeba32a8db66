//! An emulated plain service, which counts how often it runs each request.
//!
//! The counts show whether a request that must not be repeated has run twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use seam_http::{Body, Incoming, json, lock};
use seam_protocol::LoadReport;
use serde::{Deserialize, Serialize};

use crate::server::Server;

/// Response body of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the target.
    pub target: String,
    /// Method and path of the request.
    pub line: String,
    /// Body of the request.
    pub body: String,
    /// How often this target has run the same line and body, including this request.
    pub runs: u32,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u32>,
    running: u32,
}

/// A plain service that echoes requests and counts each run.
#[derive(Debug)]
pub struct PlainService {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl PlainService {
    /// Starts a service on a loopback address with a port that the system assigns.
    #[must_use]
    pub fn start(name: &str, delay: Duration) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), name, delay)
    }

    /// Starts a service on the given address.
    #[must_use]
    pub fn start_at(address: SocketAddr, name: &str, delay: Duration) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let (shared, name) = (state.clone(), name.to_owned());
        let server = Server::start_at(address, move |request, _| {
            handle(shared.clone(), name.clone(), delay, request)
        });
        Self { state, server }
    }

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns how often each request has run, by `<method> <path> <body>`.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.state).runs.clone()
    }

    /// Closes the address, so that new connections are refused.
    pub fn close(&self) {
        self.server.close();
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    target: String,
    delay: Duration,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() == "/load" {
        let running = lock(&state).running;
        return json(
            StatusCode::OK,
            &LoadReport {
                running,
                waiting: 0,
                slots: None,
                slowdown: None,
                models: Vec::new(),
                fence: 0,
            },
        );
    }
    let line = format!("{} {}", request.method(), request.uri());
    let body = match request.into_body().collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(_) => return json(StatusCode::BAD_REQUEST, "the request body is incomplete"),
    };
    let runs = {
        let mut state = lock(&state);
        state.running += 1;
        let runs = state.runs.entry(format!("{line} {body}")).or_default();
        *runs += 1;
        *runs
    };
    Timer::after(delay).await;
    lock(&state).running -= 1;
    json(
        StatusCode::OK,
        &Echo {
            target,
            line,
            body,
            runs,
        },
    )
}
