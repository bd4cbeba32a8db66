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
    /// By a message of the node that it was forwarded to.
    Link,
}

impl Framing {
    /// Returns the framing of a target's response with these headers and this body.
    #[must_use]
    pub fn of(headers: &HeaderMap, body: &impl Body) -> Self {
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
            Self::Link => "link",
        }
    }
}

/// What an attempt has received of a response.
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

    /// Returns whether a body that has ended by itself is truncated nevertheless.
    ///
    /// The end of a connection proves nothing, and a target may end the frames of a body that it
    /// could not finish. So the bytes themselves have to say that an event stream is at an end.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        let nothing = self.framing == Framing::Close && self.bytes == 0;
        self.events.is_some() && (self.in_event() || nothing)
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

    /// Records the head of a response. `expects_events` says that the response is an event stream
    /// unless it says otherwise.
    pub fn mark_head(&self, framing: Framing, headers: &HeaderMap, expects_events: bool) {
        let untyped = !headers.contains_key(header::CONTENT_TYPE);
        let unproven = expects_events && untyped && framing == Framing::Close;
        *lock(&self.received) = Received {
            framing,
            bytes: 0,
            events: (is_event_stream(headers) || unproven).then(EventScanner::default),
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

    /// Returns what has been received so far.
    #[must_use]
    pub fn received(&self) -> Received {
        *lock(&self.received)
    }
}
