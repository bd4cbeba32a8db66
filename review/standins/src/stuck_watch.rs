//! A storm of large configurations while the channels to the store are silent.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Connection, Head, answer, serve};
use crate::proxy::Proxy;
use crate::store::Store;
use crate::world::{Case, HOST, Limits, config_with, server_item, start_nodes};

/// Changes of the storm, and the time between them: 12 in 4 s.
const CHANGES: u32 = 12;
const GAP: Duration = Duration::from_millis(330);
/// Routes that `big_config` adds.
const ROUTES: u32 = 1988;
/// Time after the channels fell silent when the machines are in touch again (`contactMs`), and two seconds more.
const IN_TOUCH: Duration = Duration::from_secs(8);
/// Time from the last confirmation to the judged requests: `configApplyMs` and two seconds more.
const APPLY_TIME: Duration = Duration::from_secs(6);
/// Rounds of requests, and the time between them.
const ROUNDS: u32 = 6;
const INTERVAL: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Which server ran which request.
type Runs = Arc<Mutex<Vec<(String, &'static str)>>>;

fn respond(
    connection: &mut Connection,
    head: &Head,
    id: &'static str,
    runs: &Runs,
) -> io::Result<bool> {
    let mut body = Vec::new();
    connection.read_body(head, &mut body)?;
    let attempt = head.field("attempt-id").unwrap_or_default();
    if !attempt.is_empty() {
        let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push((attempt.to_owned(), id));
    }
    let fields = format!(
        "Attempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\nInstance-Id: {id}\r\nServer-Load: 1,0,6\r\n"
    );
    answer(connection, "200 OK", &fields, b"booked")?;
    Ok(true)
}

fn book(front: std::net::SocketAddr, id: &str) -> io::Result<u16> {
    let mut connection = Connection::open(front, TIMEOUT)?;
    let request = format!(
        "POST /book/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2500\r\nContent-Length: 7\r\n\r\ndeposit"
    );
    connection.send(request.as_bytes())?;
    let head = connection.read_head()?;
    let mut body = Vec::new();
    connection.read_body(&head, &mut body)?;
    Ok(head.status())
}

/// Plays the case.
pub fn play(case: &Case) -> Result<Verdict, String> {
    let text = |error: io::Error| error.to_string();
    let limits = Limits {
        header_bytes: 16384,
        idle_ms: 15000,
    };
    let store = Store::start().map_err(text)?;
    let proxy = Proxy::start(store.address).map_err(text)?;
    let version = |version, desk| config_with(version, 2500, limits, desk, ROUTES);
    store.put("op/config", &version(1, "booking-desk"));
    let runs = Runs::default();
    for (id, service) in [("i-1", "booking-desk"), ("i-2", "booking-desk-2")] {
        let known = runs.clone();
        let server = serve(move |connection, head| respond(connection, head, id, &known));
        let item = server_item(service, server.map_err(text)?, 6);
        store.put(&format!("servers/{id}"), &item);
    }
    let nodes = start_nodes(case, proxy.address, 3)?;
    for (index, node) in nodes.iter().enumerate() {
        let status = book(node.addresses.front, &format!("{index:016x}")).map_err(text)?;
        case.record(format!(
            "{}: a first request got status {status}",
            node.name
        ));
    }
    let silent = Instant::now();
    if case.trouble {
        proxy.silence();
        case.record("the open channels to the store fall silent; new ones work");
    }
    for change in 1..=CHANGES {
        let desk = if change == CHANGES {
            "booking-desk-2"
        } else {
            "booking-desk"
        };
        let value = version(1 + 3 * change, desk);
        store.put("op/config", &value);
        case.record(format!(
            "operator: version {}, {} bytes, the route r-book leads to {desk}; confirmed",
            1 + 3 * change,
            value.len()
        ));
        thread::sleep(GAP);
    }
    let wait = (silent + IN_TOUCH).max(Instant::now() - GAP + APPLY_TIME);
    thread::sleep(wait.saturating_duration_since(Instant::now()));
    let mut stale = 0;
    for round in 1..=ROUNDS {
        for (index, node) in nodes.iter().enumerate() {
            let id = format!("{round:08x}{index:08x}");
            let status = book(node.addresses.front, &id).unwrap_or(0);
            let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
            let ran = runs.iter().find(|(attempt, _)| *attempt == id);
            let server = ran.map_or("none", |(_, server)| server);
            stale += u32::from(server == "i-1");
            case.record(format!(
                "{}: {id} got status {status}, run by {server}{}",
                node.name,
                if server == "i-1" {
                    " of the old service; CONFIG"
                } else {
                    ""
                }
            ));
        }
        thread::sleep(INTERVAL);
    }
    case.record(format!(
        "{stale} of {} requests were run by the old service, none is allowed",
        ROUNDS * 3
    ));
    Ok(if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
