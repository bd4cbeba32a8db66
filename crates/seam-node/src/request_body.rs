//! The body of a request: held whole, or passed on while it still arrives.
//!
//! A body that fits into [`HELD`] bytes is read before the request is placed, so that it can be sent
//! again. Of a longer one the first bytes are held and the rest follows as fast as its receiver
//! takes it, so it is sent once.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use seam_http::{Body, BodyError, full, lock};
use snafu::Snafu;

use crate::budget::ByteReservation;

/// Bytes of a body that are read before the request is placed; most prompts fit.
pub const HELD: usize = 64 << 10;
/// Bytes of a longer body that its connections may buffer on the way.
const ON_THE_WAY: usize = 128 << 10;

/// Why a body could not be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// It is longer than allowed.
    #[snafu(display("the body has more than {limit} bytes"))]
    Oversize {
        /// Most bytes.
        limit: usize,
    },
    /// Bodies of other requests take all the memory for them.
    #[snafu(display("bodies of other requests take all the memory for them"))]
    Memory,
    /// The caller's connection failed.
    #[snafu(display("the body cannot be read: {source}"))]
    Broken {
        /// Why.
        source: BodyError,
    },
}

/// The body of a request.
#[derive(Debug)]
pub struct RequestBody {
    first: Bytes,
    rest: Option<Rest>,
    /// Its share of the memory for bodies.
    _held: Option<ByteReservation>,
}

#[derive(Debug)]
struct Rest {
    /// What has not been read yet, until it is sent.
    unread: Mutex<Option<Body>>,
    /// Most bytes that it may have.
    most: usize,
    /// Bytes of the whole body, where the caller said.
    length: Option<u64>,
    failed: Arc<AtomicBool>,
}

impl RequestBody {
    /// Returns a body that is there already.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            first: bytes.into(),
            rest: None,
            _held: None,
        }
    }

    /// Reads the first bytes of a body, or all of it if it is short.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read(
        mut body: Body,
        limit: usize,
        mut held: ByteReservation,
    ) -> Result<Self, ReadError> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > limit as u64) {
            return Err(ReadError::Oversize { limit });
        }
        let mut first = BytesMut::new();
        while first.len() <= HELD {
            let Some(frame) = body.frame().await else {
                return Ok(Self {
                    first: first.freeze(),
                    rest: None,
                    _held: Some(held),
                });
            };
            let frame = frame.map_err(|source| ReadError::Broken { source })?;
            if let Ok(data) = frame.into_data() {
                if first.len() + data.len() > limit {
                    return Err(ReadError::Oversize { limit });
                }
                if !held.reserve(data.len()) {
                    return Err(ReadError::Memory);
                }
                first.extend_from_slice(&data);
            }
        }
        if !held.reserve(ON_THE_WAY) {
            return Err(ReadError::Memory);
        }
        let rest = Rest {
            unread: Mutex::new(Some(body)),
            most: limit - first.len(),
            length,
            failed: Arc::default(),
        };
        Ok(Self {
            first: first.freeze(),
            rest: Some(rest),
            _held: Some(held),
        })
    }

    /// Returns the first bytes, which are all there are of a short body.
    #[must_use]
    pub fn first(&self) -> &Bytes {
        &self.first
    }

    /// Tells whether the body can be sent more than once.
    #[must_use]
    pub fn replayable(&self) -> bool {
        self.rest.is_none()
    }

    /// Tells whether the caller broke it off.
    #[must_use]
    pub fn failed(&self) -> bool {
        let rest = self.rest.as_ref();
        rest.is_some_and(|rest| rest.failed.load(Ordering::Relaxed))
    }

    /// Returns the body to be sent, `None` if it can be sent only once and was.
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
        let joined = Joined {
            first: Some(self.first.clone()),
            rest: unread,
            most: rest.most,
            left: rest.length,
            failed: rest.failed.clone(),
        };
        Some(joined.boxed_unsync())
    }
}

/// First bytes and the rest behind them, up to a limit. Notes when the rest breaks off.
struct Joined {
    first: Option<Bytes>,
    rest: Body,
    /// Most bytes that the rest may still have.
    most: usize,
    /// Bytes that are still to come, where the caller said.
    left: Option<u64>,
    failed: Arc<AtomicBool>,
}

impl Joined {
    /// Checks a frame of the rest against the limit.
    fn within(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let size = frame.data_ref().map_or(0, Bytes::len);
        self.most = self.most.checked_sub(size).ok_or(BodyError::Truncated)?;
        Ok(frame)
    }
}

impl HttpBody for Joined {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let frame = match this.first.take() {
            Some(first) => Some(Ok(Frame::data(first))),
            None => ready!(Pin::new(&mut this.rest).poll_frame(context))
                .map(|frame| frame.and_then(|frame| this.within(frame))),
        };
        match &frame {
            Some(Ok(frame)) => {
                let size = frame.data_ref().map_or(0, Bytes::len) as u64;
                this.left = this.left.map(|left| left.saturating_sub(size));
            }
            Some(Err(_)) => this.failed.store(true, Ordering::Relaxed),
            None => {}
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
