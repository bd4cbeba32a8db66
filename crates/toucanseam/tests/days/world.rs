//! Node processes, targets, and callers that ask each node for each route.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_io::Timer;
use http::{Request, Response, StatusCode};
use seam_emulator::server::Server as HttpServer;
use seam_http::{Body, empty, fetch, full, spawn};
use serde_json::json;

use crate::operator::{Contents, Operator, PARTS, REGIONS, SERVICES};
use crate::soak::node::Node;
use crate::store::Store;

/// Regions of the nodes.
const NODES: [usize; 9] = [0, 0, 0, 0, 0, 1, 1, 1, 1];
/// Time within which a confirmed version is in force.
pub const APPLY_TIME: Duration = Duration::from_secs(4);
/// Interval at which all nodes are asked while a version comes into force.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Time that a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which nodes are ready.
const START_TIME: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a caller got.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served {
        service: String,
        region: String,
    },
    NotFound,
    /// A refusal that tells when to come back.
    ForTime,
    Other(String),
}

/// Returns whether one of the versions that may be in force allows an answer. A refusal for a time is
/// allowed until one has `settled`.
pub fn allows(versions: &[Contents], settled: bool, part: &str, answer: &Answer) -> bool {
    let allows = |contents: &Contents| match (answer, contents.routes.get(part)) {
        (Answer::Served { service, region }, Some(route)) => {
            route.service == service && route.home.is_none_or(|home| home == region)
        }
        (Answer::NotFound, None) => true,
        (Answer::ForTime, _) => !settled,
        _ => false,
    };
    versions.iter().any(allows)
}

pub struct World {
    nodes: Vec<Node>,
    operator: Operator,
    store: Store,
    folder: PathBuf,
    calls: u64,
    _targets: Vec<HttpServer>,
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            println!("{} not removed: {error}", self.folder.display());
        }
    }
}

/// Answers with the service and the region of a target.
fn respond(place: &str, request: &Request<seam_http::Incoming>) -> Response<Body> {
    let mut response = Response::new(full(place.to_owned()));
    let id = request.headers().get("attempt-id").cloned();
    let headers = response.headers_mut();
    headers.extend(id.map(|id| (http::HeaderName::from_static("attempt-id"), id)));
    let seal = place.replace(' ', "-");
    let seal = seal.parse().expect("the header value is valid");
    headers.insert("response-seal", seal);
    response
}

impl World {
    /// Starts the nodes, and waits until the first version is in force at each.
    pub async fn start(seed: u64) -> Self {
        let folder = format!("seam-day-{seed}-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let store = Store::start();
        let mut operator = Operator::new(seed);
        store.put_configuration(&operator.text());
        let mut targets = Vec::new();
        for service in SERVICES {
            for region in REGIONS {
                let place = format!("{service} {region}");
                let answered = place.clone();
                let target = HttpServer::start(move |request, _| {
                    let response = respond(&answered, &request);
                    async move { response }
                });
                let item = json!({
                    "service": service, "address": target.address.to_string(),
                    "zone": format!("{region}-a"), "version": "v1", "slots": 100, "state": "ready",
                    "coldRemainingMs": 0, "sequence": 1, "born": 1_700_000_000_000_u64,
                });
                store.put_item(&place.replace(' ', "-"), &item);
                targets.push(target);
            }
        }
        let mut nodes: Vec<Node> = Vec::new();
        for (index, region) in NODES.iter().enumerate() {
            let mut node = Node::new(index, REGIONS[*region], &folder, store.address());
            let seeds: Vec<_> = nodes.iter().take(2).map(|node| node.ports.peer).collect();
            node.start(&seeds);
            nodes.push(node);
        }
        let mut world = Self {
            nodes,
            operator,
            store,
            folder,
            calls: 0,
            _targets: targets,
        };
        let start = Instant::now();
        loop {
            let first = [world.operator.contents.clone()];
            let violations = world.ask(&first, true).await;
            if violations.is_empty() {
                return world;
            }
            assert!(start.elapsed() < START_TIME, "not ready: {violations:#?}");
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Asks each node for each route. Returns what none of the versions allows.
    async fn ask(&mut self, versions: &[Contents], settled: bool) -> Vec<String> {
        let mut calls = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            for part in PARTS {
                self.calls += 1;
                let request = Request::post(format!("/{part}/7"))
                    .header("host", "salon.example")
                    .header("attempt-id", format!("day-{}", self.calls))
                    .header("deadline-ms", "3000")
                    .body(empty())
                    .expect("the request is valid");
                let address = node.ports.caller;
                calls.push(spawn(async move {
                    let response = fetch(address, request, CALL_TIMEOUT, 4096).await;
                    let answer = match response {
                        Ok(response) => read(&response),
                        Err(error) => Answer::Other(error.to_string()),
                    };
                    (index, part, answer)
                }));
            }
        }
        let mut violations = Vec::new();
        for call in calls {
            let (node, part, answer) = call.await;
            if !allows(versions, settled, part, &answer) {
                let routes: Vec<_> = versions.iter().map(|it| it.routes.get(part)).collect();
                violations.push(format!("node {node}, {part}: {answer:?}, of {routes:?}"));
            }
        }
        violations
    }

    /// Publishes versions, and asks for their routes until after the time within which they must be in
    /// force. Returns what was not allowed.
    pub async fn run(&mut self, changes: usize) -> Vec<String> {
        let mut violations = Vec::new();
        for number in 1..=changes {
            let before = self.operator.contents.clone();
            self.operator.change();
            let after = self.operator.contents.clone();
            self.store.put_configuration(&self.operator.text());
            let confirmed = Instant::now();
            let both = [before, after.clone()];
            while confirmed.elapsed() + ASK_INTERVAL < APPLY_TIME {
                let seen = self.ask(&both, false).await;
                let at = confirmed.elapsed();
                violations.extend(
                    seen.iter()
                        .map(|text| format!("change {number}, {at:?}: {text}")),
                );
                Timer::after(ASK_INTERVAL).await;
            }
            Timer::after(APPLY_TIME.saturating_sub(confirmed.elapsed())).await;
            let seen = self.ask(&[after], true).await;
            let late = seen
                .iter()
                .map(|text| format!("change {number}, in force: {text}"));
            violations.extend(late);
        }
        violations
    }
}

fn read(response: &Response<bytes::Bytes>) -> Answer {
    let text = String::from_utf8_lossy(response.body());
    match response.status() {
        StatusCode::OK => match text.split_once(' ') {
            Some((service, region)) => Answer::Served {
                service: service.to_owned(),
                region: region.to_owned(),
            },
            None => Answer::Other(text.into_owned()),
        },
        StatusCode::NOT_FOUND => Answer::NotFound,
        StatusCode::SERVICE_UNAVAILABLE if response.headers().contains_key("retry-after") => {
            Answer::ForTime
        }
        status => Answer::Other(format!("{status}: {text}")),
    }
}
