//! Calls to a node's administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::{Method, Request, header};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use seam_http::{Body, empty, fetch};
use serde_json::Value;
use snafu::{ResultExt, ensure};

use crate::error::{
    CtlError, EmptyTokenSnafu, ErrorStatusSnafu, FileSnafu, InvalidResponseSnafu, NodeSnafu,
};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Reads the token in a file, without surrounding white space.
pub fn read_token(path: &Path) -> Result<String, CtlError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let token = text.trim();
    ensure!(!token.is_empty(), EmptyTokenSnafu { path });
    Ok(token.to_owned())
}

/// Calls a node and returns its JSON response.
pub fn call(
    admin: SocketAddr,
    token_file: &Path,
    method: Method,
    path: &str,
) -> Result<Value, CtlError> {
    call_with(admin, token_file, (method, path), empty())
}

/// Calls a node with a body and returns its JSON response.
pub fn call_with(
    admin: SocketAddr,
    token_file: &Path,
    (method, path): (Method, &str),
    body: Body,
) -> Result<Value, CtlError> {
    let token = read_token(token_file)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(body);
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            let message = error.to_string();
            let status = http::StatusCode::BAD_REQUEST;
            return ErrorStatusSnafu { status, message }.fail();
        }
    };
    let response = seam_http::block_on(fetch(admin, request, TIMEOUT, MAX_RESPONSE_BYTES));
    let response = response.context(NodeSnafu)?;
    let status = response.status();
    let value: Value = serde_json::from_slice(response.body()).context(InvalidResponseSnafu)?;
    let message = match (&value["error"], &value["help"]) {
        (Value::String(error), Value::String(help)) => format!("{error}; {help}"),
        _ => value.to_string(),
    };
    ensure!(status.is_success(), ErrorStatusSnafu { status, message });
    Ok(value)
}

/// Percent-encodes a value for a query string.
pub fn encode_query(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
