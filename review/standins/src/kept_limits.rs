//! The operator raises `maxHeaderBytes` while clients keep their channels.

use std::io;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{Connection, Head, answer, serve};
use crate::store::Store;
use crate::world::{Case, HOST, Limits, config, server_item, start_nodes};

/// Limit before the change.
const OLD_HEADER_BYTES: u32 = 8192;
/// Limit after the change.
const NEW_HEADER_BYTES: u32 = 16384;
/// Size of the padding in the header fields of a large request, below the new limit.
const PADDING_BYTES: usize = 12_000;
/// Clients, each with a channel that it keeps.
const CLIENTS: u32 = 40;
/// Time from the confirmation to the large requests: `configApplyMs` (4 s) and two seconds more.
const APPLY_TIME: Duration = Duration::from_secs(6);
const TIMEOUT: Duration = Duration::from_secs(5);

fn respond(connection: &mut Connection, head: &Head) -> io::Result<bool> {
    let mut body = Vec::new();
    connection.read_body(head, &mut body)?;
    let attempt = head.field("attempt-id").unwrap_or_default();
    let fields = format!(
        "Attempt-Id: {attempt}\r\nResponse-Seal: i-1.{attempt}\r\nInstance-Id: i-1\r\nServer-Load: 1,0,6\r\n"
    );
    answer(connection, "200 OK", &fields, b"booked")?;
    Ok(true)
}

/// Sends a deposit and returns the status of the answer.
fn book(connection: &mut Connection, id: &str, padding: usize) -> io::Result<u16> {
    let request = format!(
        "POST /book/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2500\r\nCookie: notes={}\r\nContent-Length: 7\r\n\r\ndeposit",
        "x".repeat(padding)
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
    let limits = |header_bytes| Limits {
        header_bytes,
        idle_ms: 15000,
    };
    let store = Store::start().map_err(text)?;
    let first = if case.trouble {
        OLD_HEADER_BYTES
    } else {
        NEW_HEADER_BYTES
    };
    store.put("op/config", &config(1, 2500, limits(first)));
    case.record(format!("operator: version 1, maxHeaderBytes {first}"));
    let server = serve(respond).map_err(text)?;
    store.put("servers/i-1", &server_item("booking-desk", server, 6));
    let nodes = start_nodes(case, store.address, 1)?;
    let mut channels = Vec::new();
    let mut requests = 0;
    for client in 0..CLIENTS {
        let opened = Connection::open(nodes[0].addresses.front, TIMEOUT);
        let mut connection = opened.map_err(text)?;
        let id = format!("{client:08x}00000001");
        let status = book(&mut connection, &id, 10).map_err(text)?;
        case.record(format!("client {client}: {id} got status {status}"));
        requests += 1;
        channels.push(connection);
    }
    if case.trouble {
        store.put("op/config", &config(9, 2500, limits(NEW_HEADER_BYTES)));
        case.record(format!(
            "operator: version 9, maxHeaderBytes {NEW_HEADER_BYTES}, confirmed"
        ));
    }
    thread::sleep(APPLY_TIME);
    let mut denied = 0;
    for (client, connection) in channels.iter_mut().enumerate() {
        let id = format!("{client:08x}00000002");
        let status = book(connection, &id, PADDING_BYTES).unwrap_or(0);
        requests += 1;
        // 408, 421 and 429 don't count; the servers of this case answer with 200 only.
        let refused = (300..500).contains(&status) && ![408, 421, 429].contains(&status);
        denied += u32::from(refused);
        case.record(format!(
            "client {client}: {id} with a head of {PADDING_BYTES} bytes and more got status {status}{}",
            if refused { "; DENIED" } else { "" }
        ));
    }
    let most = 5 + requests / 500;
    case.record(format!(
        "{denied} of {requests} proper requests were denied, {most} are allowed"
    ));
    Ok(if denied > most {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
