//! Responses whose reader is slower than the target.

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use seam_node::response_writer::{ResponseHead, ResponsePart, response_channel};

/// Guards against an event that was never written and that a resumed stream leaves out, since its
/// attempt ended while the channel to the caller was full.
#[test]
fn unwritten_event() {
    seam_http::block_on(async {
        let (writer, reader) = response_channel(true);
        let mut headers = HeaderMap::new();
        let kind = HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        let head = ResponseHead {
            status: StatusCode::OK,
            headers,
            version: None,
            leaving: None,
        };
        writer.write_head(head).await;
        let mut written = 0;
        loop {
            let event = Bytes::from(format!("id: {}\ndata: a\n\n", written + 1));
            // The attempt ends at the first event that has to wait.
            if future::poll_once(writer.write_data(event)).await.is_none() {
                break;
            }
            written += 1;
        }
        assert_eq!(writer.prepare_resume(), Some(written.to_string()));
        let mut events = 0;
        while let Ok(part) = reader.try_recv() {
            events += usize::from(matches!(part, ResponsePart::Data(_)));
        }
        assert_eq!(events, written);
    });
}
