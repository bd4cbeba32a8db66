//! Follows an event stream, so that another target can go on where one broke off.

use bytes::Bytes;

/// Header field that names the last event which a reader has.
pub const LAST_EVENT_FIELD: &str = "last-event-id";
/// Bytes of one event beyond which it is passed on in parts, as a stream that cannot be resumed.
const LARGEST_EVENT: usize = 1 << 20;

/// The place in an event stream up to which whole events have passed.
#[derive(Debug, Default)]
pub struct EventStreamCursor {
    last: Option<String>,
    partial: Vec<u8>,
    lost: bool,
}

/// Returns the end of the last whole event.
fn end_of_events(bytes: &[u8]) -> usize {
    let ends = |mark: &[u8]| {
        let at = bytes.windows(mark.len()).rposition(|part| part == mark);
        at.map_or(0, |at| at + mark.len())
    };
    ends(b"\n\n").max(ends(b"\r\n\r\n"))
}

impl EventStreamCursor {
    /// Takes in bytes and returns the events that are whole now.
    ///
    /// ```
    /// use seam_node::events::EventCursor;
    /// let mut cursor = EventCursor::default();
    /// assert_eq!(cursor.push(b"id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    /// assert_eq!(cursor.last_id(), Some("1"));
    /// cursor.discard_partial();
    /// assert_eq!(cursor.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    /// assert_eq!(cursor.last_id(), Some("2"));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut end = end_of_events(&self.partial);
        if end == 0 && self.partial.len() > LARGEST_EVENT {
            self.lost = true;
            end = self.partial.len();
        }
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        for line in whole.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
        whole.into()
    }

    /// Drops the part of an event that broke off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns what is left at the end of a whole stream.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).into()
    }

    /// Returns the identifier of the last event that has passed.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Tells whether a stream can go on elsewhere.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        !self.lost
    }
}
