//! An HTTP client that calls nodes as a customer or an operator does.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use seam_http::{ClientError, fetch, full};
use seam_protocol::Problem;

/// Time limit for a whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A response whose body is read completely.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallerResponse {
    /// Returns the body as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as a problem report; `None` if it is not one.
    #[must_use]
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns a header field, or an empty string if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// A client that sends its requests to one address with one bearer token.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Address of the node, or of a target that is called directly.
    pub node: SocketAddr,
    /// Bearer token.
    pub token: String,
    /// Names and values of additional header fields.
    pub headers: Vec<(String, String)>,
}

impl Caller {
    /// Creates a caller without additional header fields.
    #[must_use]
    pub fn new(node: SocketAddr, token: &str) -> Self {
        Self {
            node,
            token: token.to_owned(),
            headers: Vec::new(),
        }
    }

    /// Adds a header field to every request.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Builds a request with the bearer token and the additional header fields.
    ///
    /// # Panics
    /// If the path or a header field is not valid in HTTP.
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
            .expect("the path and the header fields are valid")
    }

    /// Sends a request and reads the whole response.
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
        let response = fetch(self.node, request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await?;
        let (head, body) = response.into_parts();
        Ok(CallerResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn get(&self, path: &str) -> Result<CallerResponse, ClientError> {
        self.call(Method::GET, path, "").await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn post(&self, path: &str, body: &str) -> Result<CallerResponse, ClientError> {
        self.call(Method::POST, path, body).await
    }
}
