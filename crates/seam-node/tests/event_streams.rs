//! Event streams that arrive in parts of any size.

use bytes::Bytes;
use seam_node::events::{EventScanner, EventStreamCursor};
use yare::parameterized;

/// Guards against an event that is taken as ended, or as open, because of how its bytes are split.
#[parameterized(
    line_feeds = { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\nda" },
    carriage_returns = { "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "data" },
    both = { "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "data: c\r\n" },
    mixed = { "id: 1\r\ndata: a\n\r\nid: 2\ndata: b\n\r", "d" },
    comments = { ": start\n\nid: 1\n: inside\ndata: a\n\n: between\nid: 2\n\n: end\n", ": more" },
)]
fn any_split(whole: &'static str, rest: &'static str) {
    let stream = format!("{whole}{rest}");
    for first in 0..=stream.len() {
        for second in first..=stream.len() {
            let parts = [&stream[..first], &stream[first..second], &stream[second..]];
            let mut cursor = EventStreamCursor::default();
            let mut relayed = Vec::new();
            for part in parts {
                let part = Bytes::copy_from_slice(part.as_bytes());
                relayed.extend_from_slice(&cursor.push(&part).unwrap());
            }
            assert_eq!(String::from_utf8_lossy(&relayed), whole, "{parts:?}");
            assert_eq!(cursor.last_id(), Some("2"), "{parts:?}");
            assert_eq!(cursor.take_rest(), rest);
        }
    }
    let mut scanner = EventScanner::default();
    scanner.scan(whole.as_bytes());
    assert!(!scanner.in_event());
    scanner.scan(rest.as_bytes());
    assert!(scanner.in_event());
}

/// Guards against an event of unlimited size that fills the memory, or that looks whole if the
/// stream ends in it.
#[test]
fn oversized_event() {
    const PART: usize = 64 << 10;
    const PARTS: usize = 40;
    let mut cursor = EventStreamCursor::default();
    let part = Bytes::from(vec![b'a'; PART]);
    let mut relayed = 0;
    for count in 1..=PARTS {
        relayed += cursor.push(&part).unwrap().len();
        assert!(relayed < count * PART);
        assert!(count * PART - relayed <= (1 << 20) + PART);
    }
    assert!(!cursor.is_resumable());
    relayed += cursor.push(&Bytes::from("\n\n")).unwrap().len();
    assert_eq!(relayed, PARTS * PART + 2);
}
