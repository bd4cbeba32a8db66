//! The HTTP conventions between callers, nodes and targets: header names and response formats.
//!
//! [`DefaultDialect`] is the built-in one. A platform with other conventions implements
//! [`Dialect`].

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use seam_core::{Prompt, Refusal};
use seam_http::{Body, Incoming, json};
use seam_protocol::{Digest, LoadReport, Outcome};

use crate::inbound::{
    CUSTOMER_HEADER, DEADLINE_HEADER, InboundRequest, KEY_HEADER, REQUEST_HEADER, strip_headers,
};
use crate::problem::{annotate, problem};

/// Options of a request that the caller states in headers.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// The caller's identifier of the request.
    pub id: Option<String>,
    /// Time the caller is willing to wait.
    pub budget: Option<Duration>,
    /// The prompt, for a model engine.
    pub prompt: Option<Prompt>,
    /// The caller's identifier of the request that began the stream which this one takes up.
    pub resumes: Option<String>,
}

/// A prompt as a caller states it.
#[derive(Clone, Debug, Default)]
pub struct StatedPrompt {
    /// Identifier and length in tokens of each part, in order.
    pub parts: Vec<(String, u32)>,
    /// Length of the prompt in tokens, and the limit of its output.
    pub tokens: (u32, u32),
}

/// What a target is sent in addition to the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct TargetContext<'a> {
    /// The target's name, which is different after each restart.
    pub target: &'a str,
    /// The target's address.
    pub address: SocketAddr,
    /// Time until the deadline.
    pub budget: Duration,
    /// A target from which it can copy the prompt parts that it lacks.
    pub copy_from: Option<SocketAddr>,
}

/// The meaning of a target's response, judged by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A response to this request.
    Valid,
    /// The target refused the request without running it, with the time after which to retry.
    NotRun(Option<Duration>),
    /// Not a valid response to this request.
    Mismatched,
}

/// What a target says in answer to a health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetHealth {
    /// Name of the target that answers.
    pub name: String,
    /// Time for which it is still cold, `None` if it cannot be read.
    pub cold: Option<Duration>,
}

/// A request to the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The caller's region, if stated.
    pub region: Option<String>,
    /// Host of the caller's requests, if stated.
    pub host: Option<String>,
}

/// HTTP conventions between callers, nodes and targets.
pub trait Dialect: Debug + Send + Sync {
    /// Reads a caller's options from the headers of its request.
    ///
    /// # Errors
    /// A description of the malformed header.
    fn request_options(&self, headers: &HeaderMap) -> Result<RequestOptions, String>;

    /// Removes hop-by-hop headers and those reserved for the system.
    fn strip_headers(&self, headers: &mut HeaderMap);

    /// Removes from a caller's request what [`Self::strip_headers`] removes, its API key, and headers by
    /// which only a node may name the tenant.
    fn strip_request_headers(&self, headers: &mut HeaderMap);

    /// Reads the digest of a caller's API key from the headers of its request, `None` if there is none.
    ///
    /// # Errors
    /// What is wrong with the header, without its value.
    fn api_key(&self, headers: &HeaderMap) -> Result<Option<Digest>, String>;

    /// Returns the headers by which a caller states an API key and a prompt, for requests that are explained and
    /// not sent.
    ///
    /// # Errors
    /// What cannot be stated, without the key.
    fn caller_headers(
        &self,
        api_key: Option<&str>,
        prompt: Option<&StatedPrompt>,
    ) -> Result<HeaderMap, String> {
        if api_key.is_some() || prompt.is_some() {
            return Err("callers of this platform state no API key and no prompt".to_owned());
        }
        Ok(HeaderMap::new())
    }

    /// Sets the headers that a target is sent.
    fn set_target_headers(
        &self,
        headers: &mut HeaderMap,
        inbound: &InboundRequest,
        context: TargetContext,
    );

    /// Classifies a target's response by its head.
    fn classify_response(
        &self,
        inbound: &InboundRequest,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;

    /// Returns the status with which to relay a response in which the target does not state that it did
    /// not run the request.
    ///
    /// A status by which callers would take the request as not run is replaced, and headers that vouch
    /// for it are removed.
    fn relayed_status(&self, status: StatusCode, headers: &mut HeaderMap) -> StatusCode;

    /// Reads a target's load from the headers of a response.
    fn load_report(&self, headers: &HeaderMap) -> Option<LoadReport>;

    /// Reads the requests per second that a target takes from all nodes together from the headers
    /// of a response, if it names such a limit.
    ///
    /// # Errors
    /// What is wrong with a limit that cannot be read.
    fn advertised_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, String>;

    /// Returns whether a target states that it is about to leave.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns whether a target states that it falls over if it has to turn away many requests.
    fn is_brittle(&self, headers: &HeaderMap) -> bool;

    /// Reads a target's health from the headers of its answer to a health check, if they tell it.
    fn target_health(&self, headers: &HeaderMap) -> Option<TargetHealth>;

    /// Builds the response to a refused request.
    fn refusal_response(&self, id: &str, refusal: Refusal, detail: &str) -> Response<Body>;

    /// Returns the status of the response to a refused request.
    fn refusal_status(&self, refusal: Refusal) -> StatusCode {
        self.refusal_response("", refusal, "").status()
    }

    /// Adds the request's identifier and outcome to a target's response.
    fn annotate(&self, response: &mut Response<Body>, id: &str, outcome: Outcome);

    /// Parses a request to the directory. Returns `None` for any other request.
    fn directory_query(&self, request: &Request<Incoming>) -> Option<DirectoryQuery>;

    /// Builds the directory's response, which callers may cache for `valid`.
    fn directory_response(&self, addresses: &[SocketAddr], valid: Duration) -> Response<Body>;
}

/// The built-in conventions.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultDialect;

impl Dialect for DefaultDialect {
    fn request_options(&self, headers: &HeaderMap) -> Result<RequestOptions, String> {
        const MAX_DEADLINE_MS: u64 = 86_400_000;
        let Some(value) = headers.get(DEADLINE_HEADER) else {
            return Ok(RequestOptions::default());
        };
        let millis = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok())
            .filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis));
        let Some(millis) = millis else {
            return Err(format!(
                "{DEADLINE_HEADER} is {value:?}, expected 1 to {MAX_DEADLINE_MS}"
            ));
        };
        Ok(RequestOptions {
            budget: Some(Duration::from_millis(millis)),
            ..RequestOptions::default()
        })
    }

    fn strip_headers(&self, headers: &mut HeaderMap) {
        strip_headers(headers);
    }

    fn strip_request_headers(&self, headers: &mut HeaderMap) {
        self.strip_headers(headers);
    }

    fn api_key(&self, _headers: &HeaderMap) -> Result<Option<Digest>, String> {
        Ok(None)
    }

    fn set_target_headers(
        &self,
        headers: &mut HeaderMap,
        inbound: &InboundRequest,
        context: TargetContext,
    ) {
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        };
        set(header::HOST.as_str(), &context.address.to_string());
        set(REQUEST_HEADER, &inbound.id);
        set(CUSTOMER_HEADER, &inbound.customer_name);
        set(DEADLINE_HEADER, &context.budget.as_millis().to_string());
        if !inbound.key_text.is_empty() {
            set(KEY_HEADER, &inbound.key_text);
        }
    }

    fn classify_response(
        &self,
        _inbound: &InboundRequest,
        _status: StatusCode,
        _headers: &HeaderMap,
    ) -> ResponseClass {
        ResponseClass::Valid
    }

    // Callers read in a header whether a request ran, whatever the status.
    fn relayed_status(&self, status: StatusCode, _headers: &mut HeaderMap) -> StatusCode {
        status
    }

    fn load_report(&self, _headers: &HeaderMap) -> Option<LoadReport> {
        None
    }

    fn advertised_limit(&self, _headers: &HeaderMap) -> Result<Option<f64>, String> {
        Ok(None)
    }

    fn is_leaving(&self, _headers: &HeaderMap) -> bool {
        false
    }

    fn is_brittle(&self, _headers: &HeaderMap) -> bool {
        false
    }

    fn target_health(&self, _headers: &HeaderMap) -> Option<TargetHealth> {
        None
    }

    fn refusal_response(&self, id: &str, refusal: Refusal, detail: &str) -> Response<Body> {
        problem(id, refusal, detail)
    }

    fn annotate(&self, response: &mut Response<Body>, id: &str, outcome: Outcome) {
        annotate(response, id, outcome);
    }

    fn directory_query(&self, _request: &Request<Incoming>) -> Option<DirectoryQuery> {
        None
    }

    fn directory_response(&self, addresses: &[SocketAddr], _valid: Duration) -> Response<Body> {
        json(StatusCode::OK, addresses)
    }
}
