//! A plain service, some of whose calls may not be repeated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use seam_http::{Body, json, lock};
use seam_protocol::LoadReport;
use serde::{Deserialize, Serialize};

use crate::server::Server;

/// What the service answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The target's name.
    pub target: String,
    /// Method and path that arrived.
    pub line: String,
    /// Body that arrived.
    pub body: String,
    /// How often this target has run the same line and body, this time included.
    pub runs: u32,
}

#[derive(Debug, Default)]
struct Book {
    runs: BTreeMap<String, u32>,
    running: u32,
}

/// A plain service that echoes requests and counts each run.
#[derive(Debug)]
pub struct PlainService {
    book: Arc<Mutex<Book>>,
    server: Server,
}

impl PlainService {
    /// Starts a service on an address of the system's choice.
    #[must_use]
    pub fn start(name: &str, takes: Duration) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), name, takes)
    }

    /// Starts a service on a given address.
    #[must_use]
    pub fn start_at(address: SocketAddr, name: &str, takes: Duration) -> Self {
        let book = Arc::new(Mutex::new(Book::default()));
        let (state, name) = (book.clone(), name.to_owned());
        let server = Server::start_at(address, move |request, _| {
            answer(state.clone(), name.clone(), takes, request)
        });
        Self { book, server }
    }

    /// Returns its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns how often each line with its body ran.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.book).runs.clone()
    }

    /// Closes the address.
    pub fn close(&self) {
        self.server.close();
    }
}

async fn answer(
    book: Arc<Mutex<Book>>,
    target: String,
    takes: Duration,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() == "/load" {
        let running = lock(&book).running;
        return json(
            StatusCode::OK,
            &LoadReport {
                running,
                waiting: 0,
                models: Vec::new(),
                fence: 0,
            },
        );
    }
    let line = format!("{} {}", request.method(), request.uri());
    let body = match request.into_body().collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(_) => return json(StatusCode::BAD_REQUEST, "the body was cut"),
    };
    let runs = {
        let mut book = lock(&book);
        book.running += 1;
        let runs = book.runs.entry(format!("{line} {body}")).or_default();
        *runs += 1;
        *runs
    };
    Timer::after(takes).await;
    lock(&book).running -= 1;
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
