//! Bounds what a connection can read without making progress.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;

use crate::bounds::{Bound, record_exceeded};
use crate::client::MAX_BUFFER_BYTES;

/// Maximum number of bytes of a read.
const MAX_READ_BYTES: usize = MAX_BUFFER_BYTES;
/// Maximum number of bytes that a connection reads until a head or a part of a body is complete.
/// hyper reads at most twice more while a part waits to be received.
const MAX_UNPARSED_BYTES: usize = 4 * MAX_READ_BYTES;
/// Number of interim heads (status 1xx) that may precede a response.
const MAX_INTERIM_HEADS: usize = 16;
/// Maximum number of bytes of a read until the head of the response is complete. hyper parses all
/// interim heads of a read before it reads again.
const HEAD_READ_BYTES: usize = 4 << 10;
/// Number of reads without a wait after which a connection lets other tasks run.
const MAX_READS: u32 = 32;

/// Lets other tasks run after a number of reads that each found bytes. A parser that discards what
/// it reads would otherwise keep its thread for as long as bytes arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadTurns {
    reads: u32,
    max_reads: u32,
}

impl Default for ReadTurns {
    fn default() -> Self {
        Self::new(MAX_READS)
    }
}

impl ReadTurns {
    /// Starts with a number of reads for each turn.
    pub(crate) fn new(max_reads: u32) -> Self {
        Self {
            reads: 0,
            max_reads,
        }
    }

    /// Returns whether the task has to wait for its next turn. If so, it is woken at once.
    pub(crate) fn exhausted(&mut self, context: &Context<'_>) -> bool {
        if self.reads < self.max_reads {
            return false;
        }
        self.reads = 0;
        context.waker().wake_by_ref();
        true
    }

    /// Counts a read.
    pub(crate) fn count<T>(&mut self, read: &Poll<T>) {
        self.reads = if read.is_ready() { self.reads + 1 } else { 0 };
    }
}

/// Counts the bytes that a connection has read since the last progress.
#[derive(Clone, Debug)]
pub(crate) struct ProgressMeter {
    peer: SocketAddr,
    shared: Arc<Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    unparsed: AtomicUsize,
    /// Interim heads since the request was sent.
    interim: AtomicUsize,
    /// Whether the head of a response is awaited.
    awaits_head: AtomicBool,
}

impl ProgressMeter {
    /// Starts to count the bytes of a server.
    pub(crate) fn new(peer: SocketAddr) -> Self {
        let shared = Arc::default();
        Self { peer, shared }
    }

    /// Records that a request is sent.
    pub(crate) fn mark_request(&self) {
        self.mark_progress();
        self.shared.interim.store(0, Ordering::Relaxed);
        self.shared.awaits_head.store(true, Ordering::Relaxed);
    }

    /// Records that the head of a response is complete.
    pub(crate) fn mark_head(&self) {
        self.mark_progress();
        self.shared.awaits_head.store(false, Ordering::Relaxed);
    }

    /// Records that an interim head is complete.
    pub(crate) fn count_interim(&self) {
        self.shared.interim.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a part of a body is complete.
    pub(crate) fn mark_progress(&self) {
        self.shared.unparsed.store(0, Ordering::Relaxed);
    }

    /// Returns the maximum number of bytes of the next read.
    fn read_bytes(&self) -> usize {
        if self.shared.awaits_head.load(Ordering::Relaxed) {
            HEAD_READ_BYTES
        } else {
            MAX_READ_BYTES
        }
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let unparsed = self.shared.unparsed.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let interim = self.shared.interim.load(Ordering::Relaxed);
        let (bound, amount, message) = if unparsed > MAX_UNPARSED_BYTES {
            let message = format!("more than {MAX_UNPARSED_BYTES} bytes that are no response");
            (Bound::Response, unparsed, message)
        } else if interim > MAX_INTERIM_HEADS {
            let message = format!("more than {MAX_INTERIM_HEADS} interim responses");
            (Bound::InterimHeads, interim, message)
        } else {
            return Ok(());
        };
        record_exceeded(bound, self.peer, amount);
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }
}

/// A client connection whose reads fail after too many bytes without progress.
#[derive(Debug)]
pub(crate) struct GuardedStream<S> {
    stream: S,
    meter: ProgressMeter,
    turns: ReadTurns,
}

impl<S> GuardedStream<S> {
    /// Guards the reads of a connection.
    pub(crate) fn new(stream: S, meter: ProgressMeter) -> Self {
        Self {
            stream,
            meter,
            turns: ReadTurns::default(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turns.exhausted(context) {
            return Poll::Pending;
        }
        let length = buffer.len().min(self.meter.read_bytes());
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]);
        self.turns.count(&read);
        match read {
            Poll::Ready(Ok(bytes)) => Poll::Ready(self.meter.add(bytes).map(|()| bytes)),
            read => read,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// The body of a response, read from a guarded connection.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    meter: ProgressMeter,
}

impl ResponseBody {
    pub(crate) fn new(body: Incoming, meter: ProgressMeter) -> Self {
        Self { body, meter }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if frame.is_ready() {
            self.meter.mark_progress();
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
