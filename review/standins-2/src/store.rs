//! The platform's store: one revision, linearizable reads, watches that wait.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<(u64, String, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            let used = index <= part.len();
            text.push(if used {
                DIGITS[digit as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        if *first == b'%' && tail.len() >= 2 {
            let digits = std::str::from_utf8(&tail[..2]).unwrap_or("");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            rest = &tail[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
            base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let store = Self {
            address,
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes or removes an item, and returns its revision.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(str::to_owned);
        match &value {
            Some(value) => drop(
                state
                    .items
                    .insert(key.to_owned(), (revision, value.clone())),
            ),
            None => drop(state.items.remove(key)),
        }
        state.history.push((revision, key.to_owned(), value));
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let (_, target) = head.request();
            let path = target.split('?').next().unwrap_or("");
            let (status, body) = match path {
                "/kv-range" => self.range(),
                "/kv-key" => self.key(&unescape(query(target, "key").unwrap_or(""))),
                "/kv-watch" => {
                    let number = |name| query(target, name).and_then(|text| text.parse().ok());
                    self.watch(number("after").unwrap_or(0), number("waitMs").unwrap_or(0))
                }
                _ => (404, "{}".to_owned()),
            };
            let reason = if status == 200 { "OK" } else { "Not Found" };
            let answer = format!(
                "HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            if wire.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter();
        let items: Vec<_> = items
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        let body = format!(
            r#"{{"items":[{}],"truncated":false,"currentRev":{}}}"#,
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let current = state.revision;
        match state.items.get(key) {
            Some((revision, value)) => {
                let item = item(key, *revision, Some(value));
                let item = item.trim_end_matches('}');
                (200, format!(r#"{item},"currentRev":{current}}}"#))
            }
            None => (404, format!(r#"{{"currentRev":{current}}}"#)),
        }
    }

    fn watch(&self, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(revision, ..)| *revision > after);
            let events: Vec<_> = events
                .map(|(revision, key, value)| item(key, *revision, value.as_deref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"currentRev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
