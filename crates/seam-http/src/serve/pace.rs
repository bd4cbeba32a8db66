//! Bounds on how long a caller may take over a request's head, and stay idle between requests.

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
use crate::sync::lock;
use http_body_util::BodyExt;

/// The answer to a caller that takes too long over a request's head.
const LATE_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Time to write that answer.
const WRITING: Duration = Duration::from_secs(1);

/// Bounds on what a caller may send, and how fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest block of header fields in bytes.
    pub max_head_bytes: usize,
    /// Time to send a whole block of header fields.
    pub head_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        /// Largest block of header fields in bytes, where nothing else is stated.
        const HEAD_BYTES: usize = 64 << 10;
        /// Times where nothing else is stated.
        const PATIENCE: Duration = Duration::from_secs(30);
        Self {
            max_head_bytes: HEAD_BYTES,
            head_timeout: PATIENCE,
            idle_timeout: PATIENCE,
        }
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request.
    Idle(Instant),
    /// The rest of a request's head.
    Head(Instant),
    /// An answer.
    Answer,
}

/// The phases of one connection.
#[derive(Clone, Debug)]
pub struct Pace {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    phase: Mutex<Phase>,
    changed: Sender<()>,
    changes: Receiver<()>,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// No request came.
    Idle,
    /// A request's head did not end.
    Head,
}

impl Pace {
    /// Starts to wait for a connection's first request.
    #[must_use]
    pub fn start(now: Instant) -> Self {
        let (changed, seen) = async_channel::bounded(1);
        let shared = Shared {
            phase: Mutex::new(Phase::Idle(now)),
            changed,
            changes: seen,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    fn set(&self, phase: Phase) {
        *lock(&self.shared.phase) = phase;
        // A change that is still unseen stands for this one too.
        let _ = self.shared.changed.try_send(());
    }

    fn read_bytes(&self, now: Instant) {
        let mut phase = lock(&self.shared.phase);
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Head(now);
            drop(phase);
            let _ = self.shared.changed.try_send(());
        }
    }

    /// Notes that a request's head is complete.
    pub fn called(&self) {
        self.set(Phase::Answer);
    }

    /// Returns an answer at whose end the connection waits for the next request.
    #[must_use]
    pub fn until_sent(&self, answer: Response<Body>) -> Response<Body> {
        let pace = self.clone();
        answer.map(|body| Followed { body, pace }.boxed_unsync())
    }

    /// Waits until the caller takes too long.
    pub async fn overdue(&self, bounds: impl Fn() -> CallerLimits) -> Overdue {
        loop {
            let phase = *lock(&self.shared.phase);
            let bounds = bounds();
            let (since, limit, what) = match phase {
                Phase::Idle(since) => (since, bounds.idle_timeout, Overdue::Idle),
                Phase::Head(since) => (since, bounds.head_timeout, Overdue::Head),
                Phase::Answer => {
                    let _ = self.shared.changes.recv().await;
                    continue;
                }
            };
            let late = async {
                Timer::at(since + limit).await;
                true
            };
            let changed = async {
                let _ = self.shared.changes.recv().await;
                false
            };
            if changed.or(late).await && *lock(&self.shared.phase) == phase {
                return what;
            }
        }
    }
}

/// The body of an answer, which tells when it has been taken whole or dropped.
struct Followed {
    body: Body,
    pace: Pace,
}

impl HttpBody for Followed {
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

impl Drop for Followed {
    fn drop(&mut self) {
        self.pace.set(Phase::Idle(Instant::now()));
    }
}

/// A caller's connection, which notes when bytes arrive.
#[derive(Clone, Debug)]
pub struct PacedStream {
    stream: Arc<Async<TcpStream>>,
    pace: Pace,
}

impl PacedStream {
    /// Follows a connection.
    #[must_use]
    pub fn new(stream: Async<TcpStream>, pace: Pace) -> Self {
        let stream = Arc::new(stream);
        Self { stream, pace }
    }

    /// Tells a caller that its request's head took too long.
    pub async fn refuse_late(self) {
        let write = async { (&*self.stream).write_all(LATE_HEAD).await };
        let late = async {
            Timer::after(WRITING).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        if let Err(error) = write.or(late).await {
            log::debug!("a late caller was not told so: {error}");
        }
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut &*self.stream).poll_read(context, bytes);
        if matches!(read, Poll::Ready(Ok(count)) if count > 0) {
            self.pace.read_bytes(Instant::now());
        }
        read
    }
}

impl AsyncWrite for PacedStream {
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
