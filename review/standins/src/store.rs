//! A stand-in of the platform's store: `/kv-range` and `/kv-watch` with a whole history.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, answer, serve};

#[derive(Default)]
struct State {
    /// Every change: key, value or removal. The revision is the position, from 1.
    changes: Vec<(String, Option<String>)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Its address.
    pub address: SocketAddr,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let digit = (number >> (18 - 6 * index)) & 63;
            let padded = index > group.len();
            text.push(if padded {
                '='
            } else {
                char::from(DIGITS[digit as usize])
            });
        }
    }
    text
}

fn item(key: &str, revision: usize, value: Option<&String>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
            base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
    }
}

impl Store {
    /// Starts the store.
    pub fn start() -> io::Result<Self> {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let shared = state.clone();
        let address = serve(move |connection, head| respond(&shared, connection, head))?;
        Ok(Self { state, address })
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let change = (key.to_owned(), Some(value.to_owned()));
        lock(&self.state.0).changes.push(change);
        self.state.1.notify_all();
    }
}

fn respond(
    state: &(Mutex<State>, Condvar),
    connection: &mut Connection,
    head: &Head,
) -> io::Result<bool> {
    let path = head.word(1).split('?').next().unwrap_or_default();
    let body = match path {
        "/kv-range" => range(&lock(&state.0)),
        "/kv-watch" => watch(state, head),
        _ => {
            answer(connection, "404 Not Found", "", b"{}")?;
            return Ok(true);
        }
    };
    let fields = "Content-Type: application/json\r\n";
    answer(connection, "200 OK", fields, body.as_bytes())?;
    Ok(true)
}

fn range(state: &State) -> String {
    let latest = |key: &str, at: usize| !state.changes[at + 1..].iter().any(|(k, _)| k == key);
    let mut items: Vec<(String, String)> = Vec::new();
    for (at, (key, value)) in state.changes.iter().enumerate() {
        if value.is_some() && latest(key, at) {
            items.push((key.clone(), item(key, at + 1, value.as_ref())));
        }
    }
    items.sort();
    let items: Vec<String> = items.into_iter().map(|(_, item)| item).collect();
    format!(
        r#"{{"items":[{}],"truncated":false,"currentRev":{}}}"#,
        items.join(","),
        state.changes.len()
    )
}

fn watch((state, changed): &(Mutex<State>, Condvar), head: &Head) -> String {
    let after = head.query_number("after") as usize;
    let wait = Duration::from_millis(head.query_number("waitMs").min(30_000));
    let end = Instant::now() + wait;
    let mut held = lock(state);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if held.changes.len() > after || left.is_zero() {
            break;
        }
        let waited = changed.wait_timeout(held, left);
        held = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    let events = held.changes.iter().enumerate().skip(after);
    let events: Vec<String> = events
        .map(|(at, (key, value))| item(key, at + 1, value.as_ref()))
        .collect();
    format!(
        r#"{{"events":[{}],"currentRev":{}}}"#,
        events.join(","),
        held.changes.len().max(after)
    )
}
