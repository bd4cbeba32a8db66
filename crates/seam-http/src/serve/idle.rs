//! The open requests of an HTTP/2 connection, and since when there are none.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use http::Response;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::body::{Body, BodyError};
use crate::sync::lock;

/// The open requests of a connection.
#[derive(Clone, Debug)]
pub(super) struct OpenRequests {
    shared: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    count: usize,
    /// When the last one ended, or the connection was opened.
    ended: Instant,
}

impl Default for OpenRequests {
    fn default() -> Self {
        let state = State {
            count: 0,
            ended: Instant::now(),
        };
        Self {
            shared: Arc::new(Mutex::new(state)),
        }
    }
}

impl OpenRequests {
    /// Counts a request until the returned guard is dropped.
    pub(super) fn open(&self) -> OpenRequest {
        lock(&self.shared).count += 1;
        OpenRequest(self.clone())
    }

    /// Returns since when there are none.
    fn idle_since(&self) -> Option<Instant> {
        let state = lock(&self.shared);
        (state.count == 0).then_some(state.ended)
    }

    /// Waits until there have been none for a time, which may change meanwhile.
    pub(super) async fn idle_for(&self, limit: impl Fn() -> Duration) {
        loop {
            let now = Instant::now();
            let end = self.idle_since().unwrap_or(now) + limit();
            if end <= now {
                return;
            }
            Timer::at(end).await;
        }
    }
}

/// A request, counted until it is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest(OpenRequests);

impl OpenRequest {
    /// Counts the request until its response is dropped.
    pub(super) fn until_end_of(self, response: Response<Body>) -> Response<Body> {
        let request = self;
        response.map(|body| CountedBody { body, request }.boxed_unsync())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut state = lock(&self.0.shared);
        state.count -= 1;
        state.ended = Instant::now();
    }
}

/// The body of a response to an open request.
struct CountedBody {
    body: Body,
    #[expect(dead_code, reason = "counts the request until it is dropped")]
    request: OpenRequest,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
