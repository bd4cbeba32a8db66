//! A caller of the system.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use seam_http::{ClientError, fetch, full};
use seam_protocol::Problem;

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(30);
/// Largest answer in bytes.
const MOST: usize = 16 << 20;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl CallerResponse {
    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the problem that the body holds, if it is one.
    #[must_use]
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns a header field as text, empty if absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// A caller with a credential.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The node that it calls.
    pub node: SocketAddr,
    /// Its bearer token.
    pub token: String,
    /// Further header fields.
    pub headers: Vec<(String, String)>,
}

impl Caller {
    /// Returns a caller of a node.
    #[must_use]
    pub fn new(node: SocketAddr, token: &str) -> Self {
        Self {
            node,
            token: token.to_owned(),
            headers: Vec::new(),
        }
    }

    /// Adds a header field to each call.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Builds a request.
    ///
    /// # Panics
    /// If path or header fields are not valid in HTTP.
    #[must_use]
    pub fn request(&self, method: Method, path: &str, body: &str) -> Request<seam_http::Body> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(full(body.to_owned()))
            .expect("a test's path and headers are valid")
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<CallerResponse, ClientError> {
        let request = self.request(method, path, body);
        let answer = fetch(self.node, request, LIMIT, MOST).await?;
        let (head, body) = answer.into_parts();
        Ok(CallerResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Gets a path.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn get(&self, path: &str) -> Result<CallerResponse, ClientError> {
        self.call(Method::GET, path, "").await
    }

    /// Posts a body.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn post(&self, path: &str, body: &str) -> Result<CallerResponse, ClientError> {
        self.call(Method::POST, path, body).await
    }
}
