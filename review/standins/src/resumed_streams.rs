//! All nodes are killed while clients read streams; the clients take their streams up again.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Connection, Head, answer, serve};
use crate::store::Store;
use crate::world::{Case, HOST, Limits, config, server_item, start_nodes};

/// Events of a stream, and the time between them.
const EVENTS: u32 = 60;
const INTERVAL: Duration = Duration::from_millis(300);
/// Time budget of a request, and timeout of its route.
const BUDGET_MS: u32 = 60_000;
const CLIENTS: u32 = 8;
/// Time from the first request to the final fault, and its length (`closing`, 0.8 s).
const FAULT_AT: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_millis(800);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Times that a client waits before it tries again, if the node names no longer one.
const WAITS: [u64; 5] = [1, 2, 4, 8, 8];

/// What clients got: when a request was sent, and whether it was served.
type Answers = Arc<Mutex<Vec<(Instant, bool)>>>;

fn respond(case: &Case, connection: &mut Connection, head: &Head, id: &str) -> io::Result<bool> {
    let mut body = Vec::new();
    connection.read_body(head, &mut body)?;
    if head.word(1) == "/health" {
        let fields = format!("Instance-Id: {id}\r\nCold-Ms: 0\r\n");
        answer(connection, "200 OK", &fields, b"")?;
        return Ok(true);
    }
    let attempt = head.field("attempt-id").unwrap_or_default().to_owned();
    let after: u32 = head
        .field("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    case.record(format!("server {id}: runs {attempt} after event {after}"));
    connection.send(
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\nServer-Load: 1,0,128\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .as_bytes(),
    )?;
    for event in after + 1..=EVENTS {
        let text = format!("id: {event}\ndata: suggestion {event}\n\n");
        connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(INTERVAL);
    }
    connection.send(b"0\r\n\r\n")?;
    Ok(true)
}

/// What one attempt brought.
struct Attempt {
    status: u16,
    last: u32,
    complete: bool,
    retry_after: f64,
}

fn read_stream(front: SocketAddr, id: &str, after: u32, left_ms: u64) -> io::Result<Attempt> {
    let mut connection = Connection::open(front, Duration::from_secs(5))?;
    let resume = match after {
        0 => String::new(),
        after => format!("Last-Event-Id: {after}\r\n"),
    };
    let request = format!(
        "POST /chat/hint HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Count: 628,420\r\nPrompt-Prefix: 5c1e07a2:119,91bd3f06:79,e4402b7d:430\r\nDeadline-Ms: {left_ms}\r\n{resume}Content-Length: 4\r\n\r\nlook"
    );
    connection.send(request.as_bytes())?;
    let head = connection.read_head()?;
    let mut body = Vec::new();
    let complete = connection.read_body(&head, &mut body).is_ok();
    let text = String::from_utf8_lossy(&body).into_owned();
    let ids = text.split("\n\n").filter_map(|event| {
        let line = event.lines().next()?;
        line.strip_prefix("id: ")?.parse().ok()
    });
    let retry = head.field("retry-after").and_then(|text| text.parse().ok());
    Ok(Attempt {
        status: head.status(),
        last: ids.last().unwrap_or(after),
        complete,
        retry_after: retry.unwrap_or(0.0),
    })
}

/// Reads one stream to its end, over several attempts if its channel breaks.
fn client(case: &Case, fronts: &[SocketAddr], number: u32, answers: &Answers) -> bool {
    let start = Instant::now();
    let mut last = 0;
    for (attempt, wait) in WAITS.into_iter().enumerate() {
        let id = format!("{number:08x}{attempt:08x}");
        let front = fronts[(number as usize + attempt) % fronts.len()];
        let sent = Instant::now();
        let left = u64::from(BUDGET_MS) - start.elapsed().as_millis() as u64;
        let result = read_stream(front, &id, last, left);
        let (status, retry_after) = match &result {
            Ok(result) => (result.status, result.retry_after),
            Err(_) => (0, 0.0),
        };
        let served = result
            .as_ref()
            .is_ok_and(|result| result.status == 200 && (result.complete || result.last > last));
        case.record(format!(
            "client {number}: {id} after event {last} got status {status}, events up to {}",
            result.as_ref().map_or(last, |result| result.last)
        ));
        let mut known = answers.lock().unwrap_or_else(PoisonError::into_inner);
        known.push((sent, served));
        drop(known);
        if let Ok(result) = result {
            last = result.last;
            if result.complete && last == EVENTS {
                return true;
            }
        }
        thread::sleep(Duration::from_secs(wait).max(Duration::from_secs_f64(retry_after)));
    }
    false
}

/// Plays the case.
pub fn play(case: &Arc<Case>) -> Result<Verdict, String> {
    let text = |error: io::Error| error.to_string();
    let limits = Limits {
        header_bytes: 16384,
        idle_ms: 15000,
    };
    let store = Store::start().map_err(text)?;
    store.put("op/config", &config(1, BUDGET_MS, limits));
    for id in ["i-1", "i-2"] {
        let shared = case.clone();
        let server = serve(move |connection, head| respond(&shared, connection, head, id));
        let item = server_item("seam-stylist", server.map_err(text)?, 128);
        store.put(&format!("servers/{id}"), &item);
    }
    let mut nodes = start_nodes(case, store.address, 3)?;
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.addresses.front).collect();
    let answers = Answers::default();
    let finished = Arc::new(AtomicU32::new(0));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (case, fronts) = (case.clone(), fronts.clone());
        let (answers, finished) = (answers.clone(), finished.clone());
        clients.push(thread::spawn(move || {
            if client(&case, &fronts, number, &answers) {
                finished.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    thread::sleep(FAULT_AT);
    let mut back = Instant::now();
    if case.trouble {
        store.put("op/config", &config(4, BUDGET_MS, limits));
        case.record("operator: version 4, confirmed; the final fault: all nodes are killed");
        for node in &mut nodes {
            node.kill();
        }
        thread::sleep(DOWN);
        for node in &mut nodes {
            node.launch().map_err(text)?;
        }
        back = Instant::now();
        case.record("the nodes are started again");
    }
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let count = |after: Option<Instant>| {
        let sent = answers
            .iter()
            .filter(|(sent, _)| after.is_none_or(|after| *sent > after));
        let served: Vec<bool> = sent.map(|(_, served)| *served).collect();
        (
            served.iter().filter(|served| **served).count(),
            served.len(),
        )
    };
    let late = count(Some(back + RECOVERY));
    let all = count(None);
    case.record(format!(
        "served: {} of {} requests in all, {} of {} sent later than {} s after the nodes were back; {} of {CLIENTS} streams ended",
        all.0, all.1, late.0, late.1, RECOVERY.as_secs(), finished.load(Ordering::Relaxed)
    ));
    Ok(if late.1 > 0 && 4 * late.0 < late.1 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
