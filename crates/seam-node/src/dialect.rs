//! How callers and targets speak: names of header fields and forms of answers.
//!
//! The product's own form is [`DefaultDialect`]; a platform with another one is another adapter.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use seam_core::{Prompt, Refusal};
use seam_http::{Body, json};
use seam_protocol::{LoadReport, Outcome};

use crate::inbound::{
    CUSTOMER_FIELD, DEADLINE_FIELD, InboundRequest, KEY_FIELD, REQUEST_FIELD, strip_headers,
};
use crate::problem::{label as label_own, problem};

/// What a caller says of its request in header fields.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// The caller's own name for the request.
    pub id: Option<String>,
    /// Time that the caller will wait.
    pub budget: Option<Duration>,
    /// What it asks of a model engine.
    pub prompt: Option<Prompt>,
}

/// What a target is told beside the caller's own fields.
#[derive(Clone, Copy, Debug)]
pub struct TargetContext<'a> {
    /// The target's name, which differs for each of its starts.
    pub target: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// Time left.
    pub budget: Duration,
    /// A target from which it can copy the parts of the prompt that it lacks.
    pub copy_from: Option<SocketAddr>,
}

/// What the head of a target's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It answers this request.
    Valid,
    /// The target refused before running the request.
    NotRun(Option<Duration>),
    /// It is no answer to this request.
    Mismatched,
}

/// Where a caller of the directory stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Its region, if it names one.
    pub region: Option<String>,
}

/// A way in which callers and targets speak.
pub trait Dialect: Debug + Send + Sync {
    /// Reads what a caller says of its request.
    ///
    /// # Errors
    /// What is malformed.
    fn request_options(&self, fields: &HeaderMap) -> Result<RequestOptions, String>;

    /// Removes header fields that concern one connection or belong to the system.
    fn strip_headers(&self, fields: &mut HeaderMap);

    /// Sets the header fields that a target is told.
    fn set_target_headers(
        &self,
        fields: &mut HeaderMap,
        inbound: &InboundRequest,
        told: TargetContext,
    );

    /// Judges the head of a target's answer.
    fn classify_response(
        &self,
        inbound: &InboundRequest,
        status: StatusCode,
        fields: &HeaderMap,
    ) -> ResponseClass;

    /// Reads a target's load from the head of an answer.
    fn load_report(&self, fields: &HeaderMap) -> Option<LoadReport>;

    /// Builds the answer to a refused request.
    fn refusal_response(&self, id: &str, refusal: Refusal, detail: &str) -> Response<Body>;

    /// Adds what callers are told beside a target's answer.
    fn annotate(&self, answer: &mut Response<Body>, id: &str, outcome: Outcome);

    /// Reads a call of the directory, `None` if it is none.
    fn directory_query(&self, request: &Request<Incoming>) -> Option<DirectoryQuery>;

    /// Builds the directory's answer.
    fn directory_response(&self, addresses: &[SocketAddr], valid: Duration) -> Response<Body>;
}

/// The product's own form.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultDialect;

impl Dialect for DefaultDialect {
    fn request_options(&self, fields: &HeaderMap) -> Result<RequestOptions, String> {
        const LONGEST_MS: u64 = 86_400_000;
        let Some(value) = fields.get(DEADLINE_FIELD) else {
            return Ok(RequestOptions::default());
        };
        let millis = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok())
            .filter(|millis| (1..=LONGEST_MS).contains(millis));
        let Some(millis) = millis else {
            return Err(format!(
                "{DEADLINE_FIELD} is {value:?}, expected 1 to {LONGEST_MS}"
            ));
        };
        Ok(RequestOptions {
            budget: Some(Duration::from_millis(millis)),
            ..RequestOptions::default()
        })
    }

    fn strip_headers(&self, fields: &mut HeaderMap) {
        strip_headers(fields);
    }

    fn set_target_headers(
        &self,
        fields: &mut HeaderMap,
        inbound: &InboundRequest,
        told: TargetContext,
    ) {
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                fields.insert(name, value);
            }
        };
        set(header::HOST.as_str(), &told.address.to_string());
        set(REQUEST_FIELD, &inbound.id);
        set(CUSTOMER_FIELD, &inbound.customer_name);
        set(DEADLINE_FIELD, &told.budget.as_millis().to_string());
        if !inbound.key_text.is_empty() {
            set(KEY_FIELD, &inbound.key_text);
        }
    }

    fn classify_response(
        &self,
        _inbound: &InboundRequest,
        _status: StatusCode,
        _fields: &HeaderMap,
    ) -> ResponseClass {
        ResponseClass::Valid
    }

    fn load_report(&self, _fields: &HeaderMap) -> Option<LoadReport> {
        None
    }

    fn refusal_response(&self, id: &str, refusal: Refusal, detail: &str) -> Response<Body> {
        problem(id, refusal, detail)
    }

    fn annotate(&self, answer: &mut Response<Body>, id: &str, outcome: Outcome) {
        label_own(answer, id, outcome);
    }

    fn directory_query(&self, _request: &Request<Incoming>) -> Option<DirectoryQuery> {
        None
    }

    fn directory_response(&self, addresses: &[SocketAddr], _valid: Duration) -> Response<Body> {
        json(StatusCode::OK, addresses)
    }
}
