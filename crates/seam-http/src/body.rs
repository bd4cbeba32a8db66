//! Bodies of requests and responses.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use snafu::Snafu;

/// Why a body ended early.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Connection {
        /// The error from `hyper`.
        source: hyper::Error,
    },
    /// The body was aborted before its end, so that the receiver does not take it as complete.
    #[snafu(display("the answer was cut off"))]
    Truncated,
    /// Other bodies take all the memory for them.
    #[snafu(display("other bodies take all the memory for them"))]
    Memory,
}

/// A type-erased body.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns an empty body.
///
/// ```
/// use http_body::Body as _;
/// assert!(seam_http::empty().is_end_stream());
/// ```
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body with the given bytes.
///
/// ```
/// use http_body::Body as _;
/// assert_eq!(seam_http::full("abc").size_hint().exact(), Some(3));
/// ```
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a JSON body.
///
/// ```
/// use http::StatusCode;
/// let response = seam_http::json(StatusCode::OK, &[1, 2]);
/// assert_eq!(response.headers()["content-type"], "application/json");
/// ```
///
/// # Panics
/// If the value cannot be serialized as JSON. Plain data always can.
pub fn json<T: serde::Serialize + ?Sized>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("plain data always serializes");
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
