//! Timeouts and sizes for the head of a request, and timeouts for idle connections.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, FutureExt};
use http::{HeaderValue, Response, header};
use http_body::{Body as HttpBody, Frame, SizeHint};

use super::StopTime;
use crate::body::{Body, BodyError};
use crate::guard::ReadTurns;
use crate::sync::lock;
use http_body_util::BodyExt;

/// The response to a caller whose request head was not complete in time.
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// The response to a caller whose request head is too large.
const LARGE_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Response bytes that a connection holds before it waits until they are written.
const MAX_UNWRITTEN_BYTES: usize = 16 << 10;
/// Maximum number of bytes of a read of a body. Larger reads would hold more of the memory for bodies at
/// once.
pub(super) const MAX_READ_BYTES: usize = 16 << 10;
/// Timeout for writing the last response of a refused caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the header block in bytes.
    pub max_head_bytes: usize,
    /// Size of a body in bytes up to which the rest of an unread one is discarded. Handlers bound bodies
    /// themselves.
    pub max_body_bytes: usize,
    /// Time to send the whole head of a request.
    pub head_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Revision of the configuration that states the limits, zero for none. Only for log lines.
    pub revision: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        /// Default maximum size of the header block in bytes.
        const MAX_HEAD_BYTES: usize = 64 << 10;
        /// Default timeout.
        const TIMEOUT: Duration = Duration::from_secs(30);
        Self {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: 0,
            head_timeout: TIMEOUT,
            idle_timeout: TIMEOUT,
            revision: 0,
        }
    }
}

/// What a connection waits for, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request.
    Idle(Instant),
    /// The rest of a request head.
    Head(Instant),
    /// Nothing: the request head is too large.
    LargeHead,
    /// The end of a response.
    Responding,
    /// The end of a request body whose response has ended.
    Body(Instant),
}

/// Tracks the phase of one connection.
#[derive(Clone, Debug)]
pub struct PhaseTracker {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    phase: Mutex<Phase>,
    request: Mutex<RequestState>,
    /// The channel that wakes [`PhaseTracker::violation`] when the phase changes.
    sender: Sender<()>,
    receiver: Receiver<()>,
    /// Bytes of the head that is being read.
    head_bytes: AtomicUsize,
    /// Response bytes that are passed on and may not be written yet.
    unwritten: AtomicUsize,
    /// Notifies of written responses.
    written: (Sender<()>, Receiver<()>),
    /// Wakes a response body that waits until they are written.
    writer: Mutex<Option<Waker>>,
}

/// The last request of a connection and what is unread of it.
#[derive(Debug, Default)]
struct RequestState {
    /// Number of requests so far.
    number: u64,
    /// Whether its body has not ended.
    body_open: bool,
    /// Whether a body is left unread.
    unread: bool,
    /// Whether the response was passed on to be written.
    responded: bool,
    /// Whether the connection ends after the response.
    closes: bool,
    /// Bytes received since a body was left unread, and their maximum.
    discarded: usize,
    max_discarded: usize,
    /// Their maximum on a connection that serves another request.
    max_kept: usize,
    /// When bytes of it were received last.
    received: Option<Instant>,
    /// When the server was stopped.
    stopped: Option<StopTime>,
}

/// One request of a connection.
#[derive(Clone, Debug)]
pub struct Exchange {
    tracker: PhaseTracker,
    number: u64,
}

impl Exchange {
    /// Changes the state of the request unless the connection serves another by now.
    fn change(&self, change: impl FnOnce(&mut RequestState)) {
        let mut request = lock(&self.tracker.shared.request);
        if request.number == self.number {
            change(&mut request);
        }
    }

    /// Records that the request's body was read to its end, or that no more of it is read.
    pub(super) fn body_ended(&self) {
        self.change(|request| {
            request.body_open = false;
            if let Phase::Body(_) = self.tracker.phase() {
                self.tracker.set(Phase::Idle(Instant::now()));
            }
        });
    }

    /// Records that the handler left a rest of the body. The connection is kept if the rest is short.
    pub(super) fn leave_unread(&self, kept: bool) {
        self.change(|request| {
            request.unread = true;
            request.closes |= !kept;
            if kept {
                request.max_discarded = request.max_kept;
            }
            request.discarded = 0;
        });
    }

    /// Returns whether a response was passed on that does not announce the end of the connection.
    pub(super) fn announced_open(&self) -> bool {
        let request = lock(&self.tracker.shared.request);
        request.number == self.number && request.responded && !request.closes
    }

    /// Records that the rest of the body was discarded, and returns how many bytes were.
    pub(super) fn nothing_unread(&self) -> usize {
        let mut request = lock(&self.tracker.shared.request);
        request.unread = request.closes;
        request.discarded
    }

    /// Waits until no more of the body is to be parsed: the maximum is exceeded or, on a connection that
    /// is not kept, the response is written.
    pub(super) async fn discard_ended(&self, kept: bool) {
        let shared = &self.tracker.shared;
        loop {
            let responding = self.tracker.phase() == Phase::Responding;
            let written = !responding && shared.unwritten.load(Ordering::Relaxed) == 0;
            if (written && !kept) || self.tracker.discarded_enough() {
                return;
            }
            let _ = shared.written.1.recv().await;
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// No request arrived.
    Idle,
    /// A request head was not complete in time.
    SlowHead,
    /// A request head was larger than the limit.
    LargeHead,
    /// The rest of a body did not arrive in time.
    SlowBody,
}

impl Violation {
    /// Returns the response that ends the connection.
    fn response(self) -> &'static [u8] {
        match self {
            Self::Idle | Self::SlowBody => &[],
            Self::SlowHead => TIMEOUT_RESPONSE,
            Self::LargeHead => LARGE_HEAD_RESPONSE,
        }
    }
}

impl PhaseTracker {
    /// Starts in the idle phase, before the first request.
    #[must_use]
    pub fn start(now: Instant) -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        let shared = Shared {
            phase: Mutex::new(Phase::Idle(now)),
            request: Mutex::default(),
            sender,
            receiver,
            head_bytes: AtomicUsize::new(0),
            unwritten: AtomicUsize::new(0),
            written: async_channel::bounded(1),
            writer: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    fn set(&self, phase: Phase) {
        *lock(&self.shared.phase) = phase;
        // If the channel is full, the pending notification covers this change too.
        let _ = self.shared.sender.try_send(());
    }

    fn bytes_received(&self, now: Instant, count: usize) {
        let mut phase = lock(&self.shared.phase);
        match *phase {
            Phase::Idle(_) => {
                *phase = Phase::Head(now);
                drop(phase);
                // Before the response is written, hyper reads the rest of a request body once.
                let written = self.shared.unwritten.load(Ordering::Relaxed) == 0;
                let head_bytes = if written { count } else { 0 };
                self.shared.head_bytes.store(head_bytes, Ordering::Relaxed);
                let _ = self.shared.sender.try_send(());
            }
            Phase::Head(_) => {
                self.shared.head_bytes.fetch_add(count, Ordering::Relaxed);
            }
            Phase::LargeHead | Phase::Responding | Phase::Body(_) => {}
        }
    }

    /// Returns how many bytes may be read of the head that is awaited, and `None` while none is.
    fn head_allowance(&self, max_head_bytes: impl Fn() -> usize) -> Option<usize> {
        let phase = *lock(&self.shared.phase);
        match phase {
            Phase::Idle(_) => Some(max_head_bytes()),
            Phase::Head(_) => {
                let read = self.shared.head_bytes.load(Ordering::Relaxed);
                Some(max_head_bytes().saturating_sub(read))
            }
            Phase::LargeHead => Some(0),
            Phase::Responding | Phase::Body(_) => None,
        }
    }

    /// Records response bytes that are passed on to be written.
    fn add_unwritten(&self, count: usize) {
        self.shared.unwritten.fetch_add(count, Ordering::Relaxed);
    }

    /// Records that all response bytes passed on are written.
    fn all_written(&self) {
        if self.shared.unwritten.swap(0, Ordering::Relaxed) == 0 {
            return;
        }
        let _ = self.shared.written.0.try_send(());
        if let Some(writer) = lock(&self.shared.writer).take() {
            writer.wake();
        }
    }

    fn phase(&self) -> Phase {
        *lock(&self.shared.phase)
    }

    /// Records that a request head is complete, whether a body follows, and how much of it may be
    /// discarded.
    pub fn head_complete(&self, body: bool, max_discarded: usize, max_kept: usize) -> Exchange {
        let mut request = lock(&self.shared.request);
        request.number += 1;
        request.max_discarded = max_discarded;
        request.max_kept = max_kept;
        request.body_open = body;
        request.responded = false;
        let number = request.number;
        self.set(Phase::Responding);
        drop(request);
        let tracker = self.clone();
        Exchange { tracker, number }
    }

    /// Returns how many bytes were received since a body was left unread, `None` if none was.
    pub(super) fn unread(&self) -> Option<usize> {
        let request = lock(&self.shared.request);
        request.unread.then_some(request.discarded)
    }

    /// Counts bytes of a body that was left unread.
    fn count_discarded(&self, now: Instant, count: usize) {
        let mut request = lock(&self.shared.request);
        if request.unread {
            request.discarded += count;
            request.received = Some(now);
        }
    }

    /// Returns whether no more of a body is discarded.
    fn discarded_enough(&self) -> bool {
        let request = lock(&self.shared.request);
        request.unread && request.discarded > request.max_discarded
    }

    /// Records that the server was stopped.
    pub(super) fn stop(&self, time: StopTime) {
        lock(&self.shared.request).stopped = Some(time);
        let _ = self.shared.sender.try_send(());
    }

    /// Returns until when the rest of a body is read after the end of its response.
    fn body_end(&self, since: Instant, timeout: Duration) -> Instant {
        let request = lock(&self.shared.request);
        let received = request.received.unwrap_or(since);
        let end = since + timeout;
        let stopped = request.stopped;
        stopped.map_or(end, |stop| stop.discard_end(since, received).min(end))
    }

    /// Wraps a response so that the connection becomes idle at its end.
    #[must_use]
    pub fn track_response(&self, response: Response<Body>) -> Response<Body> {
        let tracker = self.clone();
        // The head counts as a byte, as hyper writes it with the body.
        tracker.add_unwritten(1);
        let mut response = response;
        let mut request = lock(&self.shared.request);
        request.responded = true;
        if request.closes {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response.map(|body| TrackedBody { body, tracker }.boxed_unsync())
    }

    /// Waits until one of the timeouts expires or a head is too large.
    pub async fn violation(&self, limits: impl Fn() -> CallerLimits) -> Violation {
        loop {
            let phase = *lock(&self.shared.phase);
            let limits = limits();
            let (end, kind) = match phase {
                Phase::Idle(since) => (since + limits.idle_timeout, Violation::Idle),
                Phase::Head(since) => (since + limits.head_timeout, Violation::SlowHead),
                Phase::Body(since) => {
                    let end = self.body_end(since, limits.idle_timeout);
                    (end, Violation::SlowBody)
                }
                Phase::LargeHead => return Violation::LargeHead,
                Phase::Responding => {
                    let _ = self.shared.receiver.recv().await;
                    continue;
                }
            };
            let timeout = async {
                Timer::at(end).await;
                true
            };
            let changed = async {
                let _ = self.shared.receiver.recv().await;
                false
            };
            if !changed.or(timeout).await || *lock(&self.shared.phase) != phase {
                continue;
            }
            // Of a body that keeps arriving after a stop, more is read.
            let goes_on = matches!(phase, Phase::Body(since)
                if self.body_end(since, limits.idle_timeout) > Instant::now());
            if !goes_on {
                return kind;
            }
        }
    }
}

/// A response body that returns the connection to the idle phase when dropped.
struct TrackedBody {
    body: Body,
    tracker: PhaseTracker,
}

impl HttpBody for TrackedBody {
    type Data = bytes::Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let unwritten = &self.tracker.shared.unwritten;
        if unwritten.load(Ordering::Relaxed) >= MAX_UNWRITTEN_BYTES {
            *lock(&self.tracker.shared.writer) = Some(context.waker().clone());
            return Poll::Pending;
        }
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.tracker.add_unwritten(data.len());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // The end of a chunked body counts as a byte.
        self.tracker.add_unwritten(1);
        let now = Instant::now();
        let request = lock(&self.tracker.shared.request);
        let phase = if request.body_open {
            Phase::Body(now)
        } else {
            Phase::Idle(now)
        };
        self.tracker.set(phase);
    }
}

/// A caller's connection that records when bytes arrive and bounds the head of a request.
#[derive(Clone, Debug)]
pub struct TrackedStream<L> {
    stream: Arc<Async<TcpStream>>,
    tracker: PhaseTracker,
    turns: ReadTurns,
    /// Returns the maximum size of a head in bytes.
    max_head_bytes: L,
}

impl<L: Fn() -> usize> TrackedStream<L> {
    /// Tracks the reads of a connection. `max_head_bytes` is called before each read of a head.
    #[must_use]
    pub fn new(stream: Async<TcpStream>, tracker: PhaseTracker, max_head_bytes: L) -> Self {
        let stream = Arc::new(stream);
        Self {
            stream,
            tracker,
            turns: ReadTurns::default(),
            max_head_bytes,
        }
    }

    /// Returns the connection.
    pub(super) fn get_ref(&self) -> &Async<TcpStream> {
        &self.stream
    }

    /// Makes the system reset the connection when it is closed.
    pub fn reset_on_close(&self) {
        let socket = socket2::SockRef::from(self.stream.get_ref());
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::warn!("cannot reset a connection with a truncated response: {error}");
        }
    }

    /// Sends the response to a violation.
    pub async fn send_refusal(&self, violation: Violation) {
        let write = async { (&*self.stream).write_all(violation.response()).await };
        let timeout = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        if let Err(error) = write.or(timeout).await {
            log::debug!("cannot refuse a request head: {error}");
        }
    }
}

impl<L: Fn() -> usize + Unpin> AsyncRead for TrackedStream<L> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turns.exhausted(context) {
            return Poll::Pending;
        }
        let allowance = self.tracker.head_allowance(&self.max_head_bytes);
        if allowance == Some(0) {
            self.tracker.set(Phase::LargeHead);
            return Poll::Pending;
        }
        if self.tracker.discarded_enough() {
            let _ = self.tracker.shared.written.0.try_send(());
            return Poll::Pending;
        }
        let length = bytes.len().min(allowance.unwrap_or(MAX_READ_BYTES));
        let read = Pin::new(&mut &*self.stream).poll_read(context, &mut bytes[..length]);
        self.turns.count(&read);
        if let Poll::Ready(Ok(count)) = read
            && count > 0
        {
            let now = Instant::now();
            self.tracker.bytes_received(now, count);
            self.tracker.count_discarded(now, count);
        }
        read
    }
}

impl<L: Unpin> AsyncWrite for TrackedStream<L> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes after it has written all that it holds.
        self.tracker.all_written();
        Pin::new(&mut &*self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}
