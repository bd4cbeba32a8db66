//! Calls to a node's administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::{Method, Request, header};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use seam_http::{empty, fetch};
use serde_json::Value;
use snafu::{ResultExt, ensure};

use crate::error::{AnswerSnafu, CtlError, FileSnafu, NodeSnafu, RefusedSnafu, TokenSnafu};

/// Time for one call.
const LIMIT: Duration = Duration::from_secs(10);
/// Largest answer in bytes.
const MOST: usize = 64 << 20;

/// Returns the first line of a file that holds a token.
pub fn token(path: &Path) -> Result<String, CtlError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let token = text.trim();
    ensure!(!token.is_empty(), TokenSnafu { path });
    Ok(token.to_owned())
}

/// Calls a node and returns the JSON value that it answers.
pub fn call(
    admin: SocketAddr,
    token_file: &Path,
    method: Method,
    path: &str,
) -> Result<Value, CtlError> {
    let token = token(token_file)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(empty());
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            let message = error.to_string();
            let status = http::StatusCode::BAD_REQUEST;
            return RefusedSnafu { status, message }.fail();
        }
    };
    let answer = seam_http::block_on(fetch(admin, request, LIMIT, MOST));
    let answer = answer.context(NodeSnafu)?;
    let status = answer.status();
    let value: Value = serde_json::from_slice(answer.body()).context(AnswerSnafu)?;
    let message = match (&value["error"], &value["help"]) {
        (Value::String(error), Value::String(help)) => format!("{error}; {help}"),
        _ => value.to_string(),
    };
    ensure!(status.is_success(), RefusedSnafu { status, message });
    Ok(value)
}

/// Makes a value safe in a query.
pub fn quoted(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
