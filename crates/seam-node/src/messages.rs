//! Bounds the messages of other nodes that have begun and not ended.

use std::error::Error;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use seam_http::Incoming;
use seam_http::bounds::{Bound, record_exceeded};
use tonic::Status;

use crate::budget::ByteReservation;

/// Bytes before a message: whether it is compressed, and its length.
const PREFIX_BYTES: usize = 5;
/// Maximum number of calls whose first message is awaited.
const MAX_UNREAD_CALLS: usize = 2048;

/// Follows where messages begin and end.
#[derive(Debug, Default)]
struct MessageFraming {
    prefix: [u8; PREFIX_BYTES],
    /// Bytes of `prefix` that were read.
    filled: usize,
    /// Bytes of the current message that were read, and that are still to come.
    read: usize,
    remaining: usize,
    /// Whether a whole message was read.
    complete: bool,
}

impl MessageFraming {
    /// Follows the messages in bytes that were read. Returns the bytes held of an incomplete message.
    fn push(&mut self, mut bytes: &[u8]) -> usize {
        while !bytes.is_empty() {
            if self.filled < PREFIX_BYTES {
                let count = (PREFIX_BYTES - self.filled).min(bytes.len());
                self.prefix[self.filled..self.filled + count].copy_from_slice(&bytes[..count]);
                self.filled += count;
                bytes = &bytes[count..];
                if self.filled == PREFIX_BYTES {
                    let [_, length @ ..] = self.prefix;
                    self.remaining = u32::from_be_bytes(length) as usize;
                }
            } else {
                let count = self.remaining.min(bytes.len());
                self.remaining -= count;
                self.read += count;
                bytes = &bytes[count..];
            }
            if self.filled == PREFIX_BYTES && self.remaining == 0 {
                self.filled = 0;
                self.read = 0;
                self.complete = true;
            }
        }
        self.filled + self.read
    }
}

/// The calls of other nodes whose first message is awaited.
#[derive(Clone, Debug, Default)]
pub struct UnreadCalls {
    count: Arc<AtomicUsize>,
}

/// A call, counted until it is dropped.
#[derive(Debug)]
pub struct UnreadCall(UnreadCalls);

impl UnreadCalls {
    /// Counts a call, or returns `None` if there are too many.
    #[must_use]
    pub fn begin(&self, from: SocketAddr) -> Option<UnreadCall> {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let call = UnreadCall(self.clone());
        if count >= MAX_UNREAD_CALLS {
            record_exceeded(Bound::UnreadCalls, from, count);
            return None;
        }
        Some(call)
    }
}

impl Drop for UnreadCall {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory that a call has reserved for its further messages, so that these don't take part in the budget.
#[derive(Clone, Debug, Default)]
pub struct FrameAllowance(Arc<AtomicUsize>);

impl FrameAllowance {
    /// Allows an incomplete message up to a size without a reservation of its own.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// The body of a call or of its reply, whose incomplete message takes part in a budget.
#[derive(Debug)]
pub struct MessageBody {
    body: Incoming,
    from: SocketAddr,
    framing: MessageFraming,
    reservation: ByteReservation,
    allowance: FrameAllowance,
    /// Maximum size of a message in bytes.
    max_message: usize,
    /// The call until its first message is complete.
    unread: Option<UnreadCall>,
}

impl MessageBody {
    /// Bounds the body of a call or a reply.
    #[must_use]
    pub fn new(
        body: Incoming,
        from: SocketAddr,
        reservation: ByteReservation,
        allowance: FrameAllowance,
        max_message: usize,
        unread: Option<UnreadCall>,
    ) -> Self {
        Self {
            body,
            from,
            framing: MessageFraming::default(),
            reservation,
            allowance,
            max_message,
            unread,
        }
    }

    /// Counts bytes that were read.
    fn count(&mut self, data: &[u8]) -> Result<(), Status> {
        let held = self.framing.push(data).saturating_sub(self.allowance.get());
        if self.framing.complete {
            self.unread = None;
        }
        let length = self.framing.read + self.framing.remaining;
        if length > self.max_message {
            record_exceeded(Bound::MessageSize, self.from, length);
            let message = format!("a message of {length} bytes");
            return Err(Status::out_of_range(message));
        }
        if self.reservation.set(held) {
            return Ok(());
        }
        record_exceeded(Bound::Messages, self.from, held);
        Err(Status::resource_exhausted(
            "incomplete messages take all the memory for them",
        ))
    }
}

impl HttpBody for MessageBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        Poll::Ready(frame.map(|frame| {
            let frame = frame?;
            if let Some(data) = frame.data_ref() {
                self.count(data)?;
            }
            Ok(frame)
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
