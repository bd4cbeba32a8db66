//! Tracks the position in a server-sent event stream, so that a truncated one is recognized and
//! another target can resume it.

use bytes::Bytes;
use http::{HeaderMap, header};

/// Header with the identifier of the last event that the reader received.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Maximum size of a buffered event in bytes. A larger event is relayed in parts, and its stream
/// can no longer be resumed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Returns whether the headers of a response say that its body is an event stream.
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// assert!(!seam_node::events::is_event_stream(&headers));
/// headers.insert("content-type", "text/event-stream; charset=utf-8".parse().unwrap());
/// assert!(seam_node::events::is_event_stream(&headers));
/// ```
#[must_use]
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    const MEDIA_TYPE: &str = "text/event-stream";
    let value = headers.get(header::CONTENT_TYPE);
    let value = value.and_then(|value| value.to_str().ok());
    let media_type = value.and_then(|value| value.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(MEDIA_TYPE))
}

/// Finds the ends of events in a stream of server-sent events, however its bytes are split.
///
/// Lines end with CR, LF or both, and events with an empty line. Comments between events belong to
/// none.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    line: Line,
    in_event: bool,
    after_cr: bool,
}

/// What the current line holds so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Reads bytes and returns the offset in them after the last one that ends an event or a comment
    /// between events, or `None` if there is no such byte.
    ///
    /// ```
    /// use seam_node::events::EventScanner;
    /// let mut scanner = EventScanner::default();
    /// assert_eq!(scanner.scan(b"data: a\n\ndata: b"), Some(9));
    /// assert!(scanner.in_event());
    /// assert_eq!(scanner.scan(b"\r\n\r\n"), Some(4));
    /// assert!(!scanner.in_event());
    /// ```
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            let follows_cr = std::mem::take(&mut self.after_cr);
            match byte {
                b'\n' if follows_cr => {}
                b'\r' | b'\n' => {
                    self.after_cr = *byte == b'\r';
                    match std::mem::take(&mut self.line) {
                        Line::Empty => self.in_event = false,
                        Line::Comment => {}
                        Line::Field => self.in_event = true,
                    }
                }
                b':' if self.line == Line::Empty => self.line = Line::Comment,
                _ if self.line == Line::Empty => self.line = Line::Field,
                _ => {}
            }
            if !self.in_event() {
                end = Some(index + 1);
            }
        }
        end
    }

    /// Returns whether the bytes so far end inside an event or a line.
    #[must_use]
    pub fn in_event(&self) -> bool {
        self.in_event || self.line != Line::Empty
    }
}

/// A position in an event stream.
#[derive(Debug)]
struct Position {
    /// The identifier of the event before it, if there is one.
    last_id: Option<String>,
}

/// The position in an event stream up to which whole events were relayed.
#[derive(Debug, Default)]
pub struct EventStreamCursor {
    scanner: EventScanner,
    last_id: Option<String>,
    /// The identifier before the last events, if one of them has another.
    before: Option<Position>,
    partial: Vec<u8>,
    oversized: bool,
    /// Whether the next event is the first one of another target, after some of the one before.
    joins: bool,
}

/// Events of another target that do not go on with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discontinuity;

/// Returns the lines of the first event in some whole events, without comments between events.
fn first_event(events: &[u8]) -> Option<impl Iterator<Item = &[u8]>> {
    let lines = events.split(|byte| matches!(byte, b'\r' | b'\n'));
    let mut lines = lines.skip_while(|line| line.is_empty() || line.starts_with(b":"));
    let first = lines.next()?;
    Some(std::iter::once(first).chain(lines.take_while(|line| !line.is_empty())))
}

/// Returns the identifier that a line sets, if it does.
fn parse_id(line: &[u8]) -> Option<String> {
    let id = line.strip_prefix(b"id:")?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

impl EventStreamCursor {
    /// Appends bytes and returns the events that are complete now.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use seam_node::events::EventStreamCursor;
    /// let mut cursor = EventStreamCursor::default();
    /// let bytes = Bytes::from("id: 1\ndata: a\n\nid: 2\nda");
    /// assert_eq!(cursor.push(&bytes).unwrap(), "id: 1\ndata: a\n\n");
    /// assert_eq!(cursor.last_id(), Some("1"));
    /// cursor.prepare_resume();
    /// let bytes = Bytes::from("id: 2\ndata: b\n\n");
    /// assert_eq!(cursor.push(&bytes).unwrap(), "id: 2\ndata: b\n\n");
    /// assert_eq!(cursor.last_id(), Some("2"));
    /// cursor.prepare_resume();
    /// assert!(cursor.push(&Bytes::from("an error\n\n")).is_err());
    /// ```
    ///
    /// # Errors
    /// [`Discontinuity`] if the first event after [`Self::prepare_resume`] does not follow the last one
    /// by its identifier. None of these events is counted.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, Discontinuity> {
        let Some(end) = self.scanner.scan(bytes) else {
            self.partial.extend_from_slice(bytes);
            return Ok(self.take_oversized());
        };
        let complete = if self.partial.is_empty() {
            bytes.slice(..end)
        } else {
            self.partial.extend_from_slice(&bytes[..end]);
            std::mem::take(&mut self.partial).into()
        };
        self.partial.extend_from_slice(&bytes[end..]);
        if self.joins
            && let Some(mut lines) = first_event(&complete)
        {
            self.joins = false;
            let id = lines.find_map(parse_id);
            if !id.is_some_and(|id| self.precedes(&id)) {
                self.discard_partial();
                return Err(Discontinuity);
            }
        }
        self.before = None;
        for line in complete.split(|byte| matches!(byte, b'\r' | b'\n')) {
            if let Some(id) = parse_id(line) {
                let last_id = self.last_id.replace(id);
                self.before.get_or_insert(Position { last_id });
            }
        }
        Ok(complete)
    }

    /// Returns whether an event with this identifier may follow the last one. Numbers increase.
    fn precedes(&self, id: &str) -> bool {
        let Some(last) = &self.last_id else {
            return true;
        };
        match (last.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last), Ok(next)) => last < next,
            _ => last != id,
        }
    }

    /// Discards an incomplete event and returns the identifier of the last one that was relayed. The
    /// next event has to follow it.
    pub fn prepare_resume(&mut self) -> Option<&str> {
        self.discard_partial();
        self.joins = self.last_id.is_some();
        self.last_id()
    }

    /// Returns the buffered part of an event that is too large to be relayed whole.
    fn take_oversized(&mut self) -> Bytes {
        if self.partial.len() <= MAX_EVENT_BYTES {
            return Bytes::new();
        }
        self.oversized = true;
        // Without its last byte, a response with a length is not whole for its reader if the stream
        // ends here.
        let last = self.partial.split_off(self.partial.len() - 1);
        std::mem::replace(&mut self.partial, last).into()
    }

    /// Discards the incomplete event at the end of the buffer.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
    }

    /// Moves the position back to before the events that [`Self::push`] returned last, and discards
    /// the incomplete one.
    pub fn rewind(&mut self) {
        if let Some(before) = self.before.take() {
            self.last_id = before.last_id;
        }
        self.discard_partial();
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
