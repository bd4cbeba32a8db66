//! The bodies of requests, and what becomes of the rest that a handler does not read.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt, future};
use http::{Request, Version, header};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;

use super::pace::{Exchange, MAX_READ_BYTES, PhaseTracker};
use super::{CallerLimits, Stop};
use crate::bounds::{DiscardEnd, record_discarded};
use crate::sync::lock;

/// Largest body that a connection discards, unless the limits allow larger ones.
const MIN_DISCARDED_BODY: usize = 8 << 20;
/// Maximum number of bytes that are parsed of a rest after a response that keeps the connection.
const MAX_PARSED_BYTES: usize = 1 << 20;
/// Largest rest of a body after which a connection serves another request.
const MAX_KEPT_BYTES: u64 = 64 << 10;

/// The body of a request.
///
/// Over HTTP/1.1 a server discards what is not read of it, as closing the connection with unread bytes
/// would reset it, and the caller could lose the response.
#[derive(Debug)]
pub struct Incoming {
    body: Option<hyper::body::Incoming>,
    failed: bool,
    unread: Option<Unread>,
}

/// Returns a body to its connection.
#[derive(Debug)]
struct Unread {
    exchange: Exchange,
    /// Whether the caller waits until it is asked for the body, and was not.
    awaited: bool,
    sender: Sender<Leftover>,
}

/// A body that was not read to its end.
#[derive(Debug)]
pub(super) struct Leftover {
    body: hyper::body::Incoming,
    exchange: Exchange,
    kept: bool,
}

/// Returns the maximum number of bytes that a connection discards. Chunks take more than their content.
pub(super) fn max_discarded_bytes(limits: CallerLimits) -> usize {
    let body_bytes = limits.max_body_bytes.max(MIN_DISCARDED_BODY);
    body_bytes.saturating_mul(2)
}

impl From<hyper::body::Incoming> for Incoming {
    /// Wraps a body whose rest is not discarded.
    fn from(body: hyper::body::Incoming) -> Self {
        Self {
            body: Some(body),
            failed: false,
            unread: None,
        }
    }
}

impl Incoming {
    /// Replaces the body of a request by one whose rest is discarded.
    pub(super) fn track(
        request: Request<hyper::body::Incoming>,
        tracker: &PhaseTracker,
        sender: &Sender<Leftover>,
        limits: CallerLimits,
    ) -> Request<Self> {
        let body = !request.body().is_end_stream();
        let exchange = tracker.head_complete(body, max_discarded_bytes(limits), MAX_PARSED_BYTES);
        let expects = request.headers().contains_key(header::EXPECT);
        let unread = Unread {
            exchange,
            awaited: expects && request.version() == Version::HTTP_11,
            sender: sender.clone(),
        };
        request.map(|body| Self {
            body: Some(body),
            failed: false,
            unread: Some(unread),
        })
    }
}

impl HttpBody for Incoming {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(unread) = &mut self.unread {
            unread.awaited = false;
        }
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(body).poll_frame(context));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.failed = true,
            None => {
                self.body = None;
                if !self.failed
                    && let Some(unread) = self.unread.take()
                {
                    unread.exchange.body_ended();
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.as_ref();
        body.map_or_else(|| SizeHint::with_exact(0), HttpBody::size_hint)
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        let Some(unread) = self.unread.take() else {
            return;
        };
        let Some(body) = self.body.take().filter(|_| !self.failed) else {
            unread.exchange.leave_unread(false);
            unread.exchange.body_ended();
            return;
        };
        if body.is_end_stream() {
            unread.exchange.body_ended();
            return;
        }
        let rest = body.size_hint().upper();
        let short = rest.is_some_and(|rest| rest <= MAX_KEPT_BYTES);
        let kept = !unread.awaited && (short || unread.exchange.announced_open());
        unread.exchange.leave_unread(kept);
        if unread.awaited {
            // Reading would ask the caller for the body.
            unread.exchange.body_ended();
            return;
        }
        let exchange = unread.exchange;
        let leftover = Leftover {
            body,
            exchange,
            kept,
        };
        // The connection has ended if nobody receives it.
        let _ = unread.sender.try_send(leftover);
    }
}

/// Discards the bodies that a connection's handlers leave unread, for as long as it is polled.
///
/// A long rest is discarded until the response is written, as some callers read it only once they have
/// sent the body. What follows is for [`close_gently`].
pub(super) async fn discard_bodies(leftovers: Receiver<Leftover>, from: SocketAddr) {
    while let Ok(leftover) = leftovers.recv().await {
        let Leftover {
            mut body,
            exchange,
            kept,
        } = leftover;
        let read = async {
            loop {
                match body.frame().await {
                    None => return true,
                    Some(Ok(_)) => {}
                    Some(Err(error)) => {
                        log::debug!("the rest of a body from {from} failed: {error}");
                        return false;
                    }
                }
            }
        };
        let ended = async {
            exchange.discard_ended(kept).await;
            false
        };
        if read.or(ended).await && kept {
            record_discarded(DiscardEnd::Kept, from, exchange.nothing_unread());
        }
        drop(body);
        exchange.body_ended();
    }
    future::pending::<()>().await;
}

/// Closes the write side of a connection and discards what the caller still sends, until it closes its
/// side, as RFC 9112, section 9.6, asks for. `discarded` bytes were discarded before.
pub(super) async fn close_gently(
    stream: &Async<TcpStream>,
    from: SocketAddr,
    limits: CallerLimits,
    stop: &Stop,
    discarded: usize,
) {
    if let Err(error) = stream.get_ref().shutdown(Shutdown::Write) {
        log::debug!("cannot shut down a connection from {from}: {error}");
    }
    let mut total = discarded;
    let start = Instant::now();
    let received = Mutex::new(start);
    let read = async {
        let mut stream = stream;
        let mut buffer = vec![0; MAX_READ_BYTES];
        while total <= max_discarded_bytes(limits) {
            match stream.read(&mut buffer).await {
                Ok(0) => return DiscardEnd::Closed,
                Ok(count) => {
                    total += count;
                    *lock(&received) = Instant::now();
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    log::debug!("discarding from {from} failed: {error}");
                    return DiscardEnd::Reset;
                }
            }
            future::yield_now().await;
        }
        DiscardEnd::Bytes
    };
    let expired = async {
        Timer::after(limits.idle_timeout).await;
        DiscardEnd::Time
    };
    let stopped = async {
        stop.stopped().await;
        loop {
            let last = *lock(&received);
            let end = stop.time().discard_end(start, last);
            if end <= Instant::now() {
                return DiscardEnd::Time;
            }
            Timer::at(end).await;
        }
    };
    let end = read.or(expired).or(stopped).await;
    record_discarded(end, from, total);
}
