//! Where the answer to one request goes, piece by piece.

use seam_http::lock;
use std::sync::Arc;
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use seam_core::Refusal;
use seam_protocol::StoredAnswer;

use crate::events::EventStreamCursor;

/// Pieces that wait for a slow reader, which is what holds back a fast target.
const DEPTH: usize = 8;

/// A piece of an answer.
#[derive(Debug)]
pub enum ResponsePart {
    /// The system's own refusal. Nothing follows.
    Refusal(Refusal),
    /// A kept answer. Nothing follows.
    Replay(Arc<StoredAnswer>),
    /// Status and header fields of a target's answer.
    Head(StatusCode, HeaderMap),
    /// Bytes of its body.
    Data(Bytes),
    /// The whole body has passed.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Started,
    /// The whole answer has passed.
    Complete,
    Closed,
}

/// The writing end, shared by the tasks of a request.
#[derive(Clone, Debug)]
pub struct ResponseWriter {
    parts: Sender<ResponsePart>,
    phase: Arc<Mutex<Phase>>,
    /// The place in a stream that another target can go on with.
    cursor: Option<Arc<Mutex<EventStreamCursor>>>,
}

/// Makes an outlet and its reading end.
///
/// A resumable answer passes in whole events, and goes on after a target broke off.
/// Without [`ResponsePart::End`], a refusal or a kept answer, the answer was cut off.
#[must_use]
pub fn response_channel(resumable: bool) -> (ResponseWriter, Receiver<ResponsePart>) {
    let (parts, reader) = async_channel::bounded(DEPTH);
    let phase = Arc::new(Mutex::new(Phase::Open));
    let cursor = resumable.then(Arc::default);
    let writer = ResponseWriter {
        parts,
        phase,
        cursor,
    };
    (writer, reader)
}

impl ResponseWriter {
    fn transition(&self, from: Phase, to: Phase) -> bool {
        let mut phase = lock(&self.phase);
        let right = *phase == from;
        if right {
            *phase = to;
        }
        right
    }

    fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Tells whether a part of an answer has passed.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.phase() == Phase::Started
    }

    /// Ends with a piece that is an answer by itself, or cuts off an answer that has started.
    ///
    /// Returns whether the piece was passed.
    pub fn send_final(&self, part: ResponsePart) -> bool {
        let first = self.transition(Phase::Open, Phase::Closed);
        if first {
            let _ = self.parts.try_send(part);
        }
        self.close();
        first
    }

    /// Tells whether a whole answer has passed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.phase() == Phase::Complete
    }

    /// Starts an answer. Returns whether this was the first one.
    pub async fn write_head(&self, status: StatusCode, fields: HeaderMap) -> bool {
        let first = self.transition(Phase::Open, Phase::Started);
        if first {
            let _ = self.parts.send(ResponsePart::Head(status, fields)).await;
        }
        first
    }

    /// Passes bytes on once the reader has room. Bytes for a reader that left are dropped.
    pub async fn write_data(&self, bytes: Bytes) {
        let bytes = match &self.cursor {
            Some(cursor) => lock(cursor).push(&bytes),
            None => bytes,
        };
        self.pass(bytes).await;
    }

    async fn pass(&self, bytes: Bytes) {
        if !bytes.is_empty() && self.has_started() {
            let _ = self.parts.send(ResponsePart::Data(bytes)).await;
        }
    }

    /// Tells whether another target can go on with an answer that broke off.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        let cursor = self.cursor.as_ref();
        cursor.is_some_and(|cursor| lock(cursor).is_resumable())
    }

    /// Drops the part of an event that broke off, and returns the last event that has passed.
    #[must_use]
    pub fn prepare_resume(&self) -> Option<String> {
        let mut cursor = lock(self.cursor.as_ref()?);
        cursor.discard_partial();
        cursor.last_id().map(str::to_owned)
    }

    /// Ends a whole answer.
    pub async fn end(&self) {
        let rest = self.cursor.as_ref().map(|cursor| lock(cursor).take_rest());
        if let Some(rest) = rest {
            self.pass(rest).await;
        }
        if self.transition(Phase::Started, Phase::Complete) {
            let _ = self.parts.send(ResponsePart::End).await;
            self.parts.close();
        }
    }

    /// Closes the outlet. What was passed before can still be read.
    pub fn close(&self) {
        let mut phase = lock(&self.phase);
        if *phase != Phase::Complete {
            *phase = Phase::Closed;
        }
        drop(phase);
        self.parts.close();
    }

    /// Waits until the reader has left or the outlet is closed.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}
