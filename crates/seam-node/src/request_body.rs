//! The body of a request: buffered as a whole, or streamed.
//!
//! A body of at most [`BUFFERED_BYTES`] is read before the request is routed, so that it can be
//! sent again. The first bytes of a longer body are buffered, and the rest is streamed as fast as
//! the receiver reads it, so it can be sent only once.

use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, OnceLock};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use seam_http::{Body, BodyError, full, lock};
use snafu::Snafu;

use crate::budget::ByteReservation;

/// Number of body bytes that are buffered before the request is routed. Most prompts fit.
pub const BUFFERED_BYTES: usize = 64 << 10;
/// Number of bytes of a streamed body that its connections may buffer.
pub const STREAM_BUFFER_BYTES: usize = 128 << 10;

/// An error while reading a body.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The body is larger than allowed.
    #[snafu(display("the body has more than {limit} bytes"))]
    Oversize {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The memory for request bodies is used up by other requests.
    #[snafu(display("bodies of other requests take all the memory for them"))]
    Memory,
    /// The sender's connection failed.
    #[snafu(display("the body cannot be read: {source}"))]
    Broken {
        /// The error of the connection.
        source: BodyError,
    },
}

/// Why the rest of a body could not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// The sender aborted it, or its connection failed.
    Aborted,
    /// The body is larger than allowed.
    Oversize,
    /// The memory for request bodies is used up by other requests.
    Memory,
}

/// Maximum size of a body in bytes, which may change while the body arrives.
#[derive(Clone)]
pub struct BodyLimit(Arc<dyn Fn() -> usize + Send + Sync>);

impl BodyLimit {
    /// Creates a limit that is asked for again as the body arrives.
    #[must_use]
    pub fn new(limit: impl Fn() -> usize + Send + Sync + 'static) -> Self {
        Self(Arc::new(limit))
    }

    fn bytes(&self) -> usize {
        (self.0)()
    }
}

impl From<usize> for BodyLimit {
    fn from(limit: usize) -> Self {
        Self::new(move || limit)
    }
}

impl fmt::Debug for BodyLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("BodyLimit")
            .field(&self.bytes())
            .finish()
    }
}

/// The body of a request.
#[derive(Debug)]
pub struct RequestBody {
    first: Bytes,
    rest: Option<Rest>,
    /// The memory reserved for the body, released on drop.
    _reservation: Option<ByteReservation>,
}

#[derive(Debug)]
struct Rest {
    /// The part that has not been read. `None` once it is being sent.
    unread: Mutex<Option<Body>>,
    /// Maximum size of the whole body in bytes.
    limit: BodyLimit,
    /// Size of the whole body in bytes, if the sender stated it.
    length: Option<u64>,
    failure: Arc<OnceLock<BodyFailure>>,
}

impl RequestBody {
    /// Creates a body from bytes in memory.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            first: bytes.into(),
            rest: None,
            _reservation: None,
        }
    }

    /// Reads the first bytes of a body, or the whole body if it is short.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read(
        mut body: Body,
        limit: impl Into<BodyLimit>,
        mut reservation: ByteReservation,
    ) -> Result<Self, ReadError> {
        let limit = limit.into();
        let check = |size: u64| {
            let limit = limit.bytes();
            if size > limit as u64 {
                return Err(ReadError::Oversize { limit });
            }
            Ok(())
        };
        let length = body.size_hint().exact();
        check(length.unwrap_or(0))?;
        let mut first = BytesMut::new();
        while first.len() <= BUFFERED_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Self {
                    first: first.freeze(),
                    rest: None,
                    _reservation: Some(reservation),
                });
            };
            let frame = frame.map_err(|source| match source {
                BodyError::Memory => ReadError::Memory,
                source => ReadError::Broken { source },
            })?;
            if let Ok(data) = frame.into_data() {
                check((first.len() + data.len()) as u64)?;
                if !reservation.reserve(data.len()) {
                    return Err(ReadError::Memory);
                }
                first.extend_from_slice(&data);
            }
        }
        if !reservation.reserve(STREAM_BUFFER_BYTES) {
            return Err(ReadError::Memory);
        }
        let rest = Rest {
            unread: Mutex::new(Some(body)),
            limit,
            length,
            failure: Arc::default(),
        };
        Ok(Self {
            first: first.freeze(),
            rest: Some(rest),
            _reservation: Some(reservation),
        })
    }

    /// Returns the buffered first bytes, which are the whole body if it is short.
    #[must_use]
    pub fn first(&self) -> &Bytes {
        &self.first
    }

    /// Returns the size of the whole body in bytes, if it is known.
    ///
    /// ```
    /// use seam_node::request_body::RequestBody;
    /// assert_eq!(RequestBody::whole("abc").length(), Some(3));
    /// ```
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        match &self.rest {
            Some(rest) => rest.length,
            None => Some(self.first.len() as u64),
        }
    }

    /// Returns whether the body can be sent more than once.
    #[must_use]
    pub fn replayable(&self) -> bool {
        self.rest.is_none()
    }

    /// Returns why the body ended early while it was sent, or `None` if it did not.
    ///
    /// ```
    /// use seam_node::request_body::RequestBody;
    /// assert_eq!(RequestBody::whole("abc").failure(), None);
    /// ```
    #[must_use]
    pub fn failure(&self) -> Option<BodyFailure> {
        self.rest.as_ref()?.failure.get().copied()
    }

    /// Returns the body to send, or `None` if it can be sent only once and already was.
    ///
    /// ```
    /// use hyper::body::Body as _;
    /// use seam_node::request_body::RequestBody;
    /// let body = RequestBody::whole("abc");
    /// assert_eq!(body.open().unwrap().size_hint().exact(), Some(3));
    /// assert!(body.open().is_some());
    /// ```
    #[must_use]
    pub fn open(&self) -> Option<Body> {
        let Some(rest) = &self.rest else {
            return Some(full(self.first.clone()));
        };
        let unread = lock(&rest.unread).take()?;
        let joined = JoinedBody {
            first: Some(self.first.clone()),
            rest: unread,
            limit: rest.limit.clone(),
            sent: 0,
            remaining: rest.length,
            failure: rest.failure.clone(),
        };
        Some(joined.boxed_unsync())
    }
}

/// The buffered first bytes followed by the rest, up to a limit. Records why the rest failed.
struct JoinedBody {
    first: Option<Bytes>,
    rest: Body,
    /// Maximum size of the whole body in bytes.
    limit: BodyLimit,
    /// Number of bytes so far.
    sent: usize,
    /// Number of further bytes in total, if the sender stated the size.
    remaining: Option<u64>,
    failure: Arc<OnceLock<BodyFailure>>,
}

impl JoinedBody {
    /// Counts a frame of the rest, or fails if the body exceeds the limit with it.
    fn check_limit(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        self.sent += frame.data_ref().map_or(0, Bytes::len);
        if self.sent > self.limit.bytes() {
            self.failure.get_or_init(|| BodyFailure::Oversize);
            return Err(BodyError::Truncated);
        }
        Ok(frame)
    }
}

impl HttpBody for JoinedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let frame = match this.first.take() {
            Some(first) => {
                this.sent += first.len();
                Some(Ok(Frame::data(first)))
            }
            None => ready!(Pin::new(&mut this.rest).poll_frame(context))
                .map(|frame| frame.and_then(|frame| this.check_limit(frame))),
        };
        match &frame {
            Some(Ok(frame)) => {
                let size = frame.data_ref().map_or(0, Bytes::len) as u64;
                this.remaining = this
                    .remaining
                    .map(|remaining| remaining.saturating_sub(size));
            }
            Some(Err(error)) => {
                this.failure.get_or_init(|| match error {
                    BodyError::Memory => BodyFailure::Memory,
                    BodyError::Truncated | BodyError::Connection { .. } => BodyFailure::Aborted,
                });
            }
            None => {}
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
