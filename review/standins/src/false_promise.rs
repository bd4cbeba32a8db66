//! A server fails part of its requests after it has run them, with statuses that promise otherwise.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{Connection, Head, answer, serve};
use crate::store::Store;
use crate::world::{Case, HOST, Limits, config, server_item, start_nodes};

/// Bookings, each a request that may run once for each attempt of the client.
const BOOKINGS: u32 = 60;
/// One in so many runs fails: 25 in 100. `srv_grey` has up to 45 in 100.
const FAILING: usize = 4;
/// Statuses of the failures, none with `Not-Executed`.
const FAILURES: [&str; 3] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "408 Request Timeout",
];
/// Time between two bookings: all are sent in 3 s.
const INTERVAL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts that ran, each with the status that the server gave.
type Runs = Arc<Mutex<BTreeMap<String, String>>>;

fn respond(case: &Case, connection: &mut Connection, head: &Head, runs: &Runs) -> io::Result<bool> {
    let mut body = Vec::new();
    connection.read_body(head, &mut body)?;
    let attempt = head.field("attempt-id").unwrap_or_default();
    let path = head.word(1);
    let mut status = "200 OK";
    if !attempt.is_empty() {
        let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        let number = runs.len();
        if case.trouble && number % FAILING == FAILING - 1 {
            status = FAILURES[number / FAILING % FAILURES.len()];
        }
        runs.insert(attempt.to_owned(), status.to_owned());
        case.record(format!("server: runs {attempt} ({path}), answers {status}"));
    }
    let fields = format!(
        "Attempt-Id: {attempt}\r\nResponse-Seal: i-1.{attempt}\r\nInstance-Id: i-1\r\nServer-Load: 1,0,6\r\n"
    );
    answer(connection, status, &fields, b"deposit taken")?;
    Ok(true)
}

/// Sends one attempt of a booking. Returns the status and whether the answer is sealed.
fn book(front: std::net::SocketAddr, booking: u32, id: &str) -> io::Result<(u16, bool)> {
    let mut connection = Connection::open(front, TIMEOUT)?;
    let request = format!(
        "POST /book/{booking} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2500\r\nContent-Length: 7\r\n\r\ndeposit"
    );
    connection.send(request.as_bytes())?;
    let head = connection.read_head()?;
    let mut body = Vec::new();
    connection.read_body(&head, &mut body)?;
    Ok((head.status(), head.field("response-seal").is_some()))
}

/// Plays the case.
pub fn play(case: &Arc<Case>) -> Result<Verdict, String> {
    let text = |error: io::Error| error.to_string();
    let limits = Limits {
        header_bytes: 16384,
        idle_ms: 15000,
    };
    let store = Store::start().map_err(text)?;
    store.put("op/config", &config(1, 2500, limits));
    let runs = Runs::default();
    let (shared, known) = (case.clone(), runs.clone());
    let server = serve(move |connection, head| respond(&shared, connection, head, &known));
    let item = server_item("booking-desk", server.map_err(text)?, 6);
    store.put("servers/i-1", &item);
    let nodes = start_nodes(case, store.address, 1)?;
    let front = nodes[0].addresses.front;
    let (mut refused, mut twice) = (0, 0);
    for booking in 0..BOOKINGS {
        let mut ran = 0;
        // One retry, after a promise only.
        for attempt in 0..2 {
            let id = format!("{booking:08x}{attempt:08x}");
            let (status, sealed) = book(front, booking, &id).unwrap_or((0, false));
            let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
            let did_run = runs.contains_key(&id);
            drop(runs);
            ran += u32::from(did_run);
            let promised = [408, 421, 429, 503].contains(&status);
            refused += u32::from(promised && did_run);
            case.record(format!(
                "client: {id} got status {status}, sealed {sealed}{}",
                if promised && did_run {
                    "; it has run, REFUSED"
                } else {
                    ""
                }
            ));
            if !promised {
                break;
            }
        }
        if ran > 1 {
            twice += 1;
            case.record(format!("booking {booking} ran {ran} times"));
        }
        thread::sleep(INTERVAL);
    }
    case.record(format!(
        "{refused} requests were answered with a promise and had run, none is allowed; {twice} of {BOOKINGS} bookings ran twice"
    ));
    Ok(if refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
