//! Tracks the position in a server-sent event stream, so that another target can resume it.

use bytes::Bytes;

/// Header with the identifier of the last event that the reader received.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Maximum size of a buffered event in bytes. A larger event is relayed in parts, and its stream
/// can no longer be resumed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The position in an event stream up to which whole events were relayed.
#[derive(Debug, Default)]
pub struct EventStreamCursor {
    last_id: Option<String>,
    partial: Vec<u8>,
    oversized: bool,
}

/// Returns the offset of the end of the last whole event.
fn end_of_events(bytes: &[u8]) -> usize {
    let end_of_last = |separator: &[u8]| {
        let at = bytes
            .windows(separator.len())
            .rposition(|part| part == separator);
        at.map_or(0, |at| at + separator.len())
    };
    end_of_last(b"\n\n").max(end_of_last(b"\r\n\r\n"))
}

impl EventStreamCursor {
    /// Appends bytes and returns the events that are complete now.
    ///
    /// ```
    /// use seam_node::events::EventStreamCursor;
    /// let mut cursor = EventStreamCursor::default();
    /// assert_eq!(cursor.push(b"id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    /// assert_eq!(cursor.last_id(), Some("1"));
    /// cursor.discard_partial();
    /// assert_eq!(cursor.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    /// assert_eq!(cursor.last_id(), Some("2"));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut end = end_of_events(&self.partial);
        if end == 0 && self.partial.len() > MAX_EVENT_BYTES {
            self.oversized = true;
            end = self.partial.len();
        }
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        for line in complete.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
        complete.into()
    }

    /// Discards the incomplete event at the end of the buffer.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the bytes left in the buffer at the end of the stream.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).into()
    }

    /// Returns the identifier of the last event that was relayed.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether another target can resume the stream.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        !self.oversized
    }
}
