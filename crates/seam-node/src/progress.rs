//! The progress of an attempt, recorded by the task that runs it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use http::{HeaderMap, header};
use hyper::body::Body;
use seam_http::lock;
use seam_protocol::Time;

use crate::events::{EventScanner, is_event_stream};

/// How a response states where its body ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// No response head was received.
    #[default]
    None,
    /// By a length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection, which looks the same if the target broke off.
    Close,
}

impl Framing {
    /// Returns the framing of a response with these headers and this body.
    fn of(headers: &HeaderMap, body: &impl Body) -> Self {
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunked
        } else {
            Self::Close
        }
    }

    /// Returns the name in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// What a target has sent of a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct Received {
    /// How the body's end is stated.
    pub framing: Framing,
    /// Bytes of the body.
    pub bytes: u64,
    /// The position in the events, if the body consists of events.
    events: Option<EventScanner>,
}

impl Received {
    /// Returns whether the body is an event stream that ends inside an event so far.
    #[must_use]
    pub fn in_event(&self) -> bool {
        self.events.is_some_and(|events| events.in_event())
    }
}

/// The progress of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    sent: Arc<AtomicBool>,
    /// Time of the first response bytes in microseconds, zero before they arrive.
    first: Arc<AtomicU64>,
    received: Arc<Mutex<Received>>,
}

impl Progress {
    /// Records that the first byte may be sent from now on.
    pub fn mark_sent(&self) {
        self.sent.store(true, Ordering::SeqCst);
    }

    /// Records that the first response bytes arrived.
    pub fn mark_responded(&self, now: Time) {
        self.first.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Returns the milliseconds from `since` to the first response bytes, zero before they arrive.
    #[must_use]
    pub fn first_ms(&self, since: Time) -> u64 {
        let first = Time(self.first.load(Ordering::Relaxed));
        first.since(since).as_millis() as u64
    }

    /// Returns whether the first byte may have been sent.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Records the head of a response.
    pub fn mark_head(&self, headers: &HeaderMap, body: &impl Body) {
        *lock(&self.received) = Received {
            framing: Framing::of(headers, body),
            bytes: 0,
            events: is_event_stream(headers).then(EventScanner::default),
        };
    }

    /// Records bytes of a response's body.
    pub fn mark_body(&self, bytes: &[u8]) {
        let mut received = lock(&self.received);
        received.bytes += bytes.len() as u64;
        if let Some(events) = &mut received.events {
            events.scan(bytes);
        }
    }

    /// Returns what the target has sent so far.
    #[must_use]
    pub fn received(&self) -> Received {
        *lock(&self.received)
    }
}
