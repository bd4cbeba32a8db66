//! A back end that notes what ran, and fails as it is told.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use seam_emulator::server::Server as Listening;
use seam_http::{Body, BodyError, full, lock};
use serde_json::{Value, json};

use super::proxy::Proxy;

/// Events of a stream.
pub const EVENTS: u64 = 12;
/// Time between two events.
const GAP: Duration = Duration::from_millis(20);
/// Time that a call takes.
const WORK: Duration = Duration::from_millis(5);

/// How the next request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is refused before it runs.
    Full,
    /// It runs and its answer is lost.
    Lost,
    /// Its answer breaks off.
    Cut,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub target: String,
    pub region: String,
    pub at: Instant,
    /// The event after which it goes on.
    pub after: Option<u64>,
}

/// Everything that ran at any back end.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A back end with a proxy in front of it.
pub struct Target {
    pub id: String,
    pub region: String,
    pub service: String,
    turns: Arc<Mutex<VecDeque<Turn>>>,
    pub proxy: Proxy,
    _listening: Listening,
}

impl Target {
    pub fn start(id: &str, region: &str, service: &str, runs: &Runs) -> Self {
        let turns: Arc<Mutex<VecDeque<Turn>>> = Arc::default();
        let place = Place {
            id: id.to_owned(),
            region: region.to_owned(),
            turns: turns.clone(),
            runs: runs.clone(),
        };
        let place = Arc::new(place);
        let listening = Listening::start(move |request, _| answer(place.clone(), request));
        Self {
            id: id.to_owned(),
            region: region.to_owned(),
            service: service.to_owned(),
            turns,
            proxy: Proxy::start(listening.address),
            _listening: listening,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }

    /// Returns the entry that the back end writes of itself.
    pub fn entry(&self, draining: bool) -> Value {
        json!({
            "service": self.service, "address": self.address().to_string(),
            "zone": format!("{}-a", self.region), "version": "v1", "slots": 16,
            "state": if draining { "draining" } else { "ready" }, "coldRemainingMs": 0,
            "sequence": if draining { 2 } else { 1 }, "born": 1_700_000_000_000_u64,
        })
    }

    pub fn next(&self, turn: Turn) {
        lock(&self.turns).push_back(turn);
    }
}

struct Place {
    id: String,
    region: String,
    turns: Arc<Mutex<VecDeque<Turn>>>,
    runs: Runs,
}

fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name)?.to_str().ok()
}

async fn answer(place: Arc<Place>, request: Request<Incoming>) -> Response<Body> {
    let turn = lock(&place.turns).pop_front();
    let (head, body) = request.into_parts();
    let attempt = text(&head.headers, "attempt-id")
        .unwrap_or_default()
        .to_owned();
    let mut answer = Response::new(full(""));
    if turn == Some(Turn::Full) || text(&head.headers, "expect-instance") != Some(&place.id) {
        *answer.status_mut() = match turn {
            Some(Turn::Full) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::MISDIRECTED_REQUEST,
        };
        let yes = "1".parse().expect("it is a field's value");
        answer.headers_mut().insert("not-executed", yes);
        return answer;
    }
    let Ok(body) = body.collect().await else {
        return answer;
    };
    let path = head.uri.path().to_owned();
    let after = text(&head.headers, "last-event-id").and_then(|id| id.parse().ok());
    lock(&place.runs).push(Run {
        attempt: attempt.clone(),
        path: path.clone(),
        target: place.id.clone(),
        region: place.region.clone(),
        at: Instant::now(),
        after,
    });
    Timer::after(WORK).await;
    let fields = answer.headers_mut();
    for (name, value) in [
        ("attempt-id", attempt.as_str()),
        ("response-seal", place.id.as_str()),
        ("server-load", "1,0,16"),
    ] {
        fields.insert(name, value.parse().expect("it is a field's value"));
    }
    let streams = path.starts_with("/look/") || path.starts_with("/hint/");
    *answer.body_mut() = if streams {
        let kind = "text/event-stream".parse().expect("it is a field's value");
        answer.headers_mut().insert("content-type", kind);
        events(&attempt, after.unwrap_or(0), turn)
    } else if turn.is_some() {
        broken()
    } else {
        let whole = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        full(expected(&attempt, &path, &whole))
    };
    answer
}

/// Returns the whole answer to a call.
pub fn expected(attempt: &str, path: &str, body: &str) -> String {
    format!("{attempt} {path} {body}")
}

/// Returns one event of a stream.
pub fn event(attempt: &str, number: u64) -> String {
    format!("id: {number}\ndata: {attempt}-{number}\n\n")
}

fn events(attempt: &str, after: u64, turn: Option<Turn>) -> Body {
    let attempt = attempt.to_owned();
    let cut = turn.map(|_| after + 5);
    let parts = stream::unfold(after + 1, move |number| {
        let event = event(&attempt, number);
        async move {
            if cut == Some(number) {
                return Some((Err(BodyError::Truncated), EVENTS + 1));
            }
            if number > EVENTS {
                return None;
            }
            Timer::after(GAP).await;
            Some((Ok(Frame::data(event.into())), number + 1))
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

fn broken() -> Body {
    let parts = stream::once(Err(BodyError::Truncated));
    StreamBody::new(parts).boxed_unsync()
}

/// Returns how often each attempt ran, those that went on after an event not counted.
pub fn first_runs(runs: &[Run]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for run in runs.iter().filter(|run| run.after.is_none()) {
        *counts.entry(run.attempt.as_str()).or_default() += 1;
    }
    counts
}
