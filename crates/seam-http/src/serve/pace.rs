//! Timeouts for the head of a request and for idle connections.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, FutureExt};
use http::Response;
use http_body::{Body as HttpBody, Frame, SizeHint};

use crate::body::{Body, BodyError};
use crate::guard::ReadTurns;
use crate::sync::lock;
use http_body_util::BodyExt;

/// The response to a caller whose request head was not complete in time.
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Timeout for writing that response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the header block in bytes.
    pub max_head_bytes: usize,
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
    /// The end of a response.
    Responding,
}

/// Tracks the phase of one connection.
#[derive(Clone, Debug)]
pub struct PhaseTracker {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    phase: Mutex<Phase>,
    /// The channel that wakes [`PhaseTracker::overdue`] when the phase changes.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

/// Which timeout expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutKind {
    /// No request arrived.
    Idle,
    /// A request head was not complete.
    Head,
}

impl PhaseTracker {
    /// Starts in the idle phase, before the first request.
    #[must_use]
    pub fn start(now: Instant) -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        let shared = Shared {
            phase: Mutex::new(Phase::Idle(now)),
            sender,
            receiver,
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

    fn bytes_received(&self, now: Instant) {
        let mut phase = lock(&self.shared.phase);
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Head(now);
            drop(phase);
            let _ = self.shared.sender.try_send(());
        }
    }

    /// Records that a request head is complete.
    pub fn head_complete(&self) {
        self.set(Phase::Responding);
    }

    /// Wraps a response so that the connection becomes idle at its end.
    #[must_use]
    pub fn track_response(&self, response: Response<Body>) -> Response<Body> {
        let tracker = self.clone();
        response.map(|body| TrackedBody { body, tracker }.boxed_unsync())
    }

    /// Waits until one of the timeouts expires.
    pub async fn overdue(&self, limits: impl Fn() -> CallerLimits) -> TimeoutKind {
        loop {
            let phase = *lock(&self.shared.phase);
            let limits = limits();
            let (since, limit, kind) = match phase {
                Phase::Idle(since) => (since, limits.idle_timeout, TimeoutKind::Idle),
                Phase::Head(since) => (since, limits.head_timeout, TimeoutKind::Head),
                Phase::Responding => {
                    let _ = self.shared.receiver.recv().await;
                    continue;
                }
            };
            let timeout = async {
                Timer::at(since + limit).await;
                true
            };
            let changed = async {
                let _ = self.shared.receiver.recv().await;
                false
            };
            if changed.or(timeout).await && *lock(&self.shared.phase) == phase {
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
        Pin::new(&mut self.body).poll_frame(context)
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
        self.tracker.set(Phase::Idle(Instant::now()));
    }
}

/// A caller's connection that records when bytes arrive.
#[derive(Clone, Debug)]
pub struct TrackedStream {
    stream: Arc<Async<TcpStream>>,
    tracker: PhaseTracker,
    turns: ReadTurns,
}

impl TrackedStream {
    /// Tracks the reads of a connection.
    #[must_use]
    pub fn new(stream: Async<TcpStream>, tracker: PhaseTracker) -> Self {
        let stream = Arc::new(stream);
        Self {
            stream,
            tracker,
            turns: ReadTurns::default(),
        }
    }

    /// Makes the system reset the connection when it is closed.
    pub fn reset_on_close(&self) {
        let socket = socket2::SockRef::from(self.stream.get_ref());
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::warn!("cannot reset a connection with a truncated response: {error}");
        }
    }

    /// Sends status 408.
    pub async fn send_timeout_response(self) {
        let write = async { (&*self.stream).write_all(TIMEOUT_RESPONSE).await };
        let timeout = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        if let Err(error) = write.or(timeout).await {
            log::debug!("cannot send status 408: {error}");
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turns.exhausted(context) {
            return Poll::Pending;
        }
        let read = Pin::new(&mut &*self.stream).poll_read(context, bytes);
        self.turns.count(&read);
        if matches!(read, Poll::Ready(Ok(count)) if count > 0) {
            self.tracker.bytes_received(Instant::now());
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
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
        Pin::new(&mut &*self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}
