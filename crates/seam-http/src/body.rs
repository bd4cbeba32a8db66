//! Bodies of requests and answers.

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
        /// The library's words.
        source: hyper::Error,
    },
    /// The answer was cut off on purpose, so that nobody takes it as whole.
    #[snafu(display("the answer was cut off"))]
    Truncated,
}

/// A body of any origin.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body without bytes.
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

/// Returns an answer with a JSON body.
///
/// ```
/// use http::StatusCode;
/// let answer = seam_http::json(StatusCode::OK, &[1, 2]);
/// assert_eq!(answer.headers()["content-type"], "application/json");
/// ```
///
/// # Panics
/// If the value cannot be written as JSON, which plain data always can.
pub fn json<T: serde::Serialize + ?Sized>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("plain data always serializes");
    let mut answer = Response::new(full(bytes));
    *answer.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
