//! The channel through which the parts of a response reach the caller's connection.

use seam_http::lock;
use std::sync::Arc;
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use seam_core::{ConfigStamp, Refusal};
use seam_protocol::{StoredResponse, TargetId, VersionId};

use crate::events::{Discontinuity, EventStreamCursor, is_event_stream};

/// Capacity of the channel in parts. A full channel slows a target down to the speed of the reader.
const CHANNEL_CAPACITY: usize = 8;

/// The head of a target's response.
#[derive(Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Version of the target's software, if it is known.
    pub version: Option<VersionId>,
    /// The target, if the response says that it leaves.
    pub leaving: Option<TargetId>,
}

/// A part of a response.
#[derive(Debug)]
pub enum ResponsePart {
    /// A refusal by this system. It is the whole response.
    Refusal(Refusal, ConfigStamp),
    /// A stored response. It is the whole response.
    Replay(Arc<StoredResponse>),
    /// The head of a target's response.
    Head(ResponseHead),
    /// Bytes of the body.
    Data(Bytes),
    /// The end of a complete body.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Started,
    /// The whole response was written.
    Complete,
    Closed,
}

/// The sender of a response, shared by the tasks of a request.
#[derive(Clone, Debug)]
pub struct ResponseWriter {
    parts: Sender<ResponsePart>,
    phase: Arc<Mutex<Phase>>,
    resumable: bool,
    /// What the response is, once it has begun.
    kind: Arc<Mutex<Option<ResponseKind>>>,
    /// The position in a response that is written in whole events.
    cursor: Arc<Mutex<Option<EventStreamCursor>>>,
}

/// Status and type of a response, which its rest from another target must have too.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ResponseKind {
    status: StatusCode,
    media_type: Option<HeaderValue>,
}

impl ResponseKind {
    fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        let media_type = headers.get(header::CONTENT_TYPE).cloned();
        Self { status, media_type }
    }
}

/// A write of events that moves the position in the stream back if it is dropped before its end.
struct PendingWrite<'a> {
    writer: &'a ResponseWriter,
    done: bool,
}

impl Drop for PendingWrite<'_> {
    fn drop(&mut self) {
        if !self.done
            && let Some(cursor) = &mut *lock(&self.writer.cursor)
        {
            cursor.rewind();
        }
    }
}

/// Creates a response writer and the receiver of its parts.
///
/// An event stream is written in whole events. With `resumable`, another target can resume it if one
/// breaks off. A response that does not end with [`ResponsePart::End`], a refusal or a stored response is
/// truncated.
#[must_use]
pub fn response_channel(resumable: bool) -> (ResponseWriter, Receiver<ResponsePart>) {
    let (parts, reader) = async_channel::bounded(CHANNEL_CAPACITY);
    let phase = Arc::new(Mutex::new(Phase::Open));
    let cursor = resumable.then(EventStreamCursor::default);
    let writer = ResponseWriter {
        parts,
        phase,
        resumable,
        kind: Arc::default(),
        cursor: Arc::new(Mutex::new(cursor)),
    };
    (writer, reader)
}

impl ResponseWriter {
    fn transition(&self, from: Phase, to: Phase) -> bool {
        let mut phase = lock(&self.phase);
        let matches = *phase == from;
        if matches {
            *phase = to;
        }
        matches
    }

    fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Returns whether a part of the response was written and its end was not.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.phase() == Phase::Started
    }

    /// Sends a part that is a whole response, or truncates the response if it has started.
    ///
    /// Returns whether the part was sent.
    pub fn send_final(&self, part: ResponsePart) -> bool {
        let first = self.transition(Phase::Open, Phase::Closed);
        if first {
            let _ = self.parts.try_send(part);
        }
        self.close();
        first
    }

    /// Returns whether the whole response was written.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.phase() == Phase::Complete
    }

    /// Writes the head of the response. Returns `false` if the response has started already.
    pub async fn write_head(&self, head: ResponseHead) -> bool {
        let first = self.transition(Phase::Open, Phase::Started);
        if first {
            if is_event_stream(&head.headers) {
                lock(&self.cursor).get_or_insert_default();
            }
            *lock(&self.kind) = Some(ResponseKind::of(head.status, &head.headers));
            let _ = self.parts.send(ResponsePart::Head(head)).await;
        }
        first
    }

    /// Returns whether the body of a response with this head can go on with the one that has begun,
    /// which has the same status and type.
    #[must_use]
    pub fn is_continued_by(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let kind = ResponseKind::of(status, headers);
        lock(&self.kind).as_ref().is_none_or(|begun| *begun == kind)
    }

    /// Writes bytes of the body, waiting while the channel is full. They are dropped if the reader
    /// has left.
    ///
    /// If the future is dropped before its end, the position in an event stream stays before the
    /// events of these bytes.
    ///
    /// # Errors
    /// [`Discontinuity`] if another target does not go on with the stream; nothing is written.
    pub async fn write_data(&self, bytes: Bytes) -> Result<(), Discontinuity> {
        let bytes = match &mut *lock(&self.cursor) {
            Some(cursor) => cursor.push(&bytes)?,
            None => bytes,
        };
        let mut write = PendingWrite {
            writer: self,
            done: false,
        };
        self.send_data(bytes).await;
        write.done = true;
        Ok(())
    }

    async fn send_data(&self, bytes: Bytes) {
        if !bytes.is_empty() && self.has_started() {
            let _ = self.parts.send(ResponsePart::Data(bytes)).await;
        }
    }

    /// Returns whether another target can resume a response that broke off.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        let cursor = lock(&self.cursor);
        self.resumable && cursor.as_ref().is_some_and(EventStreamCursor::is_resumable)
    }

    /// Discards an incomplete event and returns the identifier of the last event that was written.
    #[must_use]
    pub fn prepare_resume(&self) -> Option<String> {
        if !self.resumable {
            return None;
        }
        let mut cursor = lock(&self.cursor);
        cursor.as_mut()?.prepare_resume().map(str::to_owned)
    }

    /// Ends a complete response.
    pub async fn end(&self) {
        let remaining = lock(&self.cursor)
            .as_mut()
            .map(EventStreamCursor::take_rest);
        if let Some(remaining) = remaining {
            self.send_data(remaining).await;
        }
        if self.transition(Phase::Started, Phase::Complete) {
            let _ = self.parts.send(ResponsePart::End).await;
            self.parts.close();
        }
    }

    /// Closes the channel. Parts that were written before can still be read.
    pub fn close(&self) {
        let mut phase = lock(&self.phase);
        if *phase != Phase::Complete {
            *phase = Phase::Closed;
        }
        drop(phase);
        self.parts.close();
    }

    /// Waits until the reader has left or the channel is closed.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}
