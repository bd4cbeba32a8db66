//! Where the answer to one request goes, piece by piece.

use seam_http::lock;
use std::sync::Arc;
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use seam_core::Refusal;
use seam_protocol::StoredAnswer;

use crate::events::EventCursor;

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
    Whole,
    Closed,
}

/// The writing end, shared by the tasks of a request.
#[derive(Clone, Debug)]
pub struct ResponseWriter {
    pieces: Sender<ResponsePart>,
    phase: Arc<Mutex<Phase>>,
    /// The place in a stream that another target can go on with.
    cursor: Option<Arc<Mutex<EventCursor>>>,
}

/// Makes an outlet and its reading end.
///
/// A resumable answer passes in whole events, and goes on after a target broke off.
/// Without [`Piece::End`], a refusal or a kept answer, the answer was cut off.
#[must_use]
pub fn response_channel(resumable: bool) -> (ResponseWriter, Receiver<ResponsePart>) {
    let (pieces, reader) = async_channel::bounded(DEPTH);
    let phase = Arc::new(Mutex::new(Phase::Open));
    let cursor = resumable.then(Arc::default);
    let writer = ResponseWriter {
        pieces,
        phase,
        cursor,
    };
    (writer, reader)
}

impl ResponseWriter {
    fn turn(&self, from: Phase, to: Phase) -> bool {
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
    pub fn started(&self) -> bool {
        self.phase() == Phase::Started
    }

    /// Ends with a piece that is an answer by itself, or cuts off an answer that has started.
    ///
    /// Returns whether the piece was passed.
    pub fn finish(&self, piece: ResponsePart) -> bool {
        let first = self.turn(Phase::Open, Phase::Closed);
        if first {
            let _ = self.pieces.try_send(piece);
        }
        self.close();
        first
    }

    /// Tells whether a whole answer has passed.
    #[must_use]
    pub fn whole(&self) -> bool {
        self.phase() == Phase::Whole
    }

    /// Starts an answer. Returns whether this was the first one.
    pub async fn head(&self, status: StatusCode, fields: HeaderMap) -> bool {
        let first = self.turn(Phase::Open, Phase::Started);
        if first {
            let _ = self.pieces.send(ResponsePart::Head(status, fields)).await;
        }
        first
    }

    /// Passes bytes on once the reader has room. Bytes for a reader that left are dropped.
    pub async fn data(&self, bytes: Bytes) {
        let bytes = match &self.cursor {
            Some(cursor) => lock(cursor).push(&bytes),
            None => bytes,
        };
        self.pass(bytes).await;
    }

    async fn pass(&self, bytes: Bytes) {
        if !bytes.is_empty() && self.started() {
            let _ = self.pieces.send(ResponsePart::Data(bytes)).await;
        }
    }

    /// Tells whether another target can go on with an answer that broke off.
    #[must_use]
    pub fn resumable(&self) -> bool {
        let cursor = self.cursor.as_ref();
        cursor.is_some_and(|cursor| lock(cursor).resumable())
    }

    /// Drops the part of an event that broke off, and returns the last event that has passed.
    #[must_use]
    pub fn resume_from(&self) -> Option<String> {
        let mut cursor = lock(self.cursor.as_ref()?);
        cursor.cut();
        cursor.last().map(str::to_owned)
    }

    /// Ends a whole answer.
    pub async fn end(&self) {
        let rest = self.cursor.as_ref().map(|cursor| lock(cursor).rest());
        if let Some(rest) = rest {
            self.pass(rest).await;
        }
        if self.turn(Phase::Started, Phase::Whole) {
            let _ = self.pieces.send(ResponsePart::End).await;
            self.pieces.close();
        }
    }

    /// Closes the outlet. What was passed before can still be read.
    pub fn close(&self) {
        let mut phase = lock(&self.phase);
        if *phase != Phase::Whole {
            *phase = Phase::Closed;
        }
        drop(phase);
        self.pieces.close();
    }

    /// Waits until the reader has left or the outlet is closed.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}
