//! Builds an HTTP response from its parts.

use async_channel::Receiver;
use futures_lite::stream;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use seam_core::Refusal;
use seam_http::bounds::record_denied;
use seam_http::{Body, BodyError, full};
use seam_protocol::{Outcome, Reason, StoredResponse};

use crate::response_writer::ResponsePart;
use crate::runtime::NodeRuntime;

/// Waits for the head of a response and returns it with a body that streams the remaining parts.
pub async fn build(
    runtime: &NodeRuntime,
    reader: Receiver<ResponsePart>,
    id: &str,
) -> Response<Body> {
    match reader.recv().await {
        Ok(ResponsePart::Refusal(refusal, _)) => {
            let response = runtime.dialect.refusal_response(id, refusal, "");
            record_denied(response.status(), refusal.reason.slug());
            response
        }
        Ok(ResponsePart::Replay(stored)) => replay(runtime, &stored, id),
        Ok(ResponsePart::Head(head)) => {
            let mut response = Response::new(body(reader));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            runtime
                .dialect
                .annotate(&mut response, id, Outcome::Complete);
            response
        }
        Ok(ResponsePart::Data(_) | ResponsePart::End) | Err(_) => {
            let lost = Refusal::unknown(Reason::Broken);
            runtime
                .dialect
                .refusal_response(id, lost, "the answer was lost")
        }
    }
}

fn replay(runtime: &NodeRuntime, stored: &StoredResponse, id: &str) -> Response<Body> {
    let mut response = Response::new(full(stored.body.clone()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for field in &stored.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    runtime
        .dialect
        .annotate(&mut response, id, Outcome::Complete);
    response
}

/// Streams the parts of a body. If the end marker is missing, the body fails and the connection
/// breaks, so that the caller does not take a truncated response as complete.
fn body(reader: Receiver<ResponsePart>) -> Body {
    let frames = stream::unfold(Some(reader), |reader| async move {
        let reader = reader?;
        match reader.recv().await {
            Ok(ResponsePart::Data(bytes)) => Some((Ok(Frame::data(bytes)), Some(reader))),
            Ok(ResponsePart::End) => None,
            _ => Some((Err(BodyError::Truncated), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
