//! Bounds on what other machines may send, how often they were exceeded in this process, and how often
//! requests were refused for good.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use http::StatusCode;

use crate::sync::lock;

/// Time in which at most [`MAX_LINES`] lines are logged. All cases are counted.
const LOG_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of lines, as a machine that exceeds a bound does so again and again.
const MAX_LINES: u32 = 10;

/// A bound on what another machine may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// Open connections of a listener.
    Connections,
    /// Control frames of an HTTP/2 connection in a second.
    ControlFrames,
    /// Bytes of heads and fields of a request.
    RequestHead,
    /// Bytes until a head or a part of a body of a response is complete.
    Response,
    /// Heads with status 1xx before a response.
    InterimHeads,
    /// Bytes of a response that is read as a whole.
    ResponseBody,
    /// Bytes of incomplete messages of other nodes.
    Messages,
    /// Bytes of a message of another node.
    MessageSize,
    /// Calls of other nodes whose first message is awaited.
    UnreadCalls,
    /// Heartbeats of one sender in a tenth of a second.
    Heartbeats,
}

impl Bound {
    /// Returns the name for log lines and metrics.
    ///
    /// ```
    /// assert_eq!(seam_http::bounds::Bound::InterimHeads.name(), "interim_heads");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::ControlFrames => "control_frames",
            Self::RequestHead => "request_head",
            Self::Response => "response",
            Self::InterimHeads => "interim_heads",
            Self::ResponseBody => "response_body",
            Self::Messages => "messages",
            Self::MessageSize => "message_size",
            Self::UnreadCalls => "unread_calls",
            Self::Heartbeats => "heartbeats",
        }
    }
}

/// How a connection ended the rest of a request body that was left unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DiscardEnd {
    /// The rest was read, and the connection serves another request.
    Kept,
    /// The caller closed the connection after the response.
    Closed,
    /// The caller reset the connection.
    Reset,
    /// The bound on discarded bytes was exceeded.
    Bytes,
    /// The caller neither ended the body nor closed the connection in time.
    Time,
}

impl DiscardEnd {
    /// Returns the name for log lines and metrics.
    ///
    /// ```
    /// assert_eq!(seam_http::bounds::DiscardEnd::Kept.name(), "kept");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Closed => "closed",
            Self::Reset => "reset",
            Self::Bytes => "bytes",
            Self::Time => "time",
        }
    }
}

/// Statuses in 300 to 499 that refuse a request for a time only.
const TEMPORARY: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
];

/// How often each case occurred, and the lines logged in the current window.
#[derive(Debug)]
struct Cases<K> {
    counts: BTreeMap<K, u64>,
    window: Option<Instant>,
    lines: u32,
}

impl<K: Ord + Copy> Cases<K> {
    const fn new() -> Self {
        Self {
            counts: BTreeMap::new(),
            window: None,
            lines: 0,
        }
    }

    /// Counts a case. Returns whether to log it.
    fn record(&mut self, now: Instant, case: K) -> bool {
        *self.counts.entry(case).or_default() += 1;
        let current = self.window.is_some_and(|since| now - since < LOG_WINDOW);
        if !current {
            self.window = Some(now);
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES
    }

    fn counts(&self) -> Vec<(K, u64)> {
        let counts = self.counts.iter();
        counts.map(|(case, count)| (*case, *count)).collect()
    }
}

static EXCEEDED: Mutex<Cases<Bound>> = Mutex::new(Cases::new());
static DISCARDED: Mutex<Cases<DiscardEnd>> = Mutex::new(Cases::new());
static DENIED: Mutex<Cases<Denial>> = Mutex::new(Cases::new());

/// A refusal for good, by its status and reason.
pub type Denial = (u16, &'static str);

/// Counts a refusal by this process, unless its status is not one that refuses a request for good.
pub fn record_denied(status: StatusCode, reason: &'static str) {
    let denies = status.is_redirection() || status.is_client_error();
    if denies && !TEMPORARY.contains(&status) {
        // Callers log it.
        let _ = lock(&DENIED).record(Instant::now(), (status.as_u16(), reason));
    }
}

/// Returns how often requests were refused for good since the start of the process.
///
/// ```
/// use http::StatusCode;
/// use seam_http::bounds::{denied, record_denied};
/// record_denied(StatusCode::NOT_FOUND, "service");
/// record_denied(StatusCode::TOO_MANY_REQUESTS, "rate");
/// assert_eq!(denied(), vec![((404, "service"), 1)]);
/// ```
#[must_use]
pub fn denied() -> Vec<(Denial, u64)> {
    lock(&DENIED).counts()
}

/// Counts and logs that a machine exceeded a bound, by what it sent.
pub fn record_exceeded(bound: Bound, from: impl Display, amount: usize) {
    let logged = lock(&EXCEEDED).record(Instant::now(), bound);
    if logged {
        log::warn!(
            target: "bounds",
            bound = bound.name(), from:% = from, amount = amount as u64;
            "bound exceeded"
        );
    }
}

/// Returns how often each bound was exceeded since the start of the process.
///
/// ```
/// use seam_http::bounds::{Bound, exceeded, record_exceeded};
/// record_exceeded(Bound::Heartbeats, "127.0.0.1:9", 33);
/// assert_eq!(exceeded(), vec![(Bound::Heartbeats, 1)]);
/// ```
#[must_use]
pub fn exceeded() -> Vec<(Bound, u64)> {
    lock(&EXCEEDED).counts()
}

/// Counts and logs that a body was left unread, and how the connection went on.
pub fn record_discarded(end: DiscardEnd, from: impl Display, bytes: usize) {
    let logged = lock(&DISCARDED).record(Instant::now(), end);
    if logged {
        log::info!(
            target: "request",
            caller:% = from, end = end.name(), bytes = bytes as u64;
            "unread request body discarded"
        );
    }
}

/// Returns how often bodies were left unread since the start of the process, by their ends.
///
/// ```
/// use seam_http::bounds::{DiscardEnd, discarded, record_discarded};
/// record_discarded(DiscardEnd::Closed, "127.0.0.1:9", 400);
/// assert_eq!(discarded(), vec![(DiscardEnd::Closed, 1)]);
/// ```
#[must_use]
pub fn discarded() -> Vec<(DiscardEnd, u64)> {
    lock(&DISCARDED).counts()
}
