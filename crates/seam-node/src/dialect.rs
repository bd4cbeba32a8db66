//! How callers and targets speak: names of header fields and forms of answers.
//!
//! The product's own form is [`OwnDialect`]; a platform with another one is another adapter.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use seam_core::{Prompt, Refusal};
use seam_http::{Body, json};
use seam_protocol::{LoadReport, Outcome};

use crate::inbound::{
    CUSTOMER_FIELD, DEADLINE_FIELD, Inbound, KEY_FIELD, REQUEST_FIELD, strip as strip_own,
};
use crate::problem::{label as label_own, problem};

/// What a caller says of its request in header fields.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// The caller's own name for the request.
    pub id: Option<String>,
    /// Time that the caller will wait.
    pub budget: Option<Duration>,
    /// What it asks of a model engine.
    pub prompt: Option<Prompt>,
}

/// What a target is told beside the caller's own fields.
#[derive(Clone, Copy, Debug)]
pub struct Told<'a> {
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
pub enum Judged {
    /// It answers this request.
    Answer,
    /// The target refused before running the request.
    NotRun(Option<Duration>),
    /// It is no answer to this request.
    Foreign,
}

/// Where a caller of the directory stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whereabouts {
    /// Its region, if it names one.
    pub region: Option<String>,
}

/// A way in which callers and targets speak.
pub trait Dialect: Debug + Send + Sync {
    /// Reads what a caller says of its request.
    ///
    /// # Errors
    /// What is malformed.
    fn asked(&self, fields: &HeaderMap) -> Result<Asked, String>;

    /// Removes header fields that concern one connection or belong to the system.
    fn strip(&self, fields: &mut HeaderMap);

    /// Sets the header fields that a target is told.
    fn tell(&self, fields: &mut HeaderMap, inbound: &Inbound, told: Told);

    /// Judges the head of a target's answer.
    fn judge(&self, inbound: &Inbound, status: StatusCode, fields: &HeaderMap) -> Judged;

    /// Reads a target's load from the head of an answer.
    fn load(&self, fields: &HeaderMap) -> Option<LoadReport>;

    /// Builds the answer to a refused request.
    fn refusal(&self, id: &str, refusal: Refusal, detail: &str) -> Response<Body>;

    /// Adds what callers are told beside a target's answer.
    fn label(&self, answer: &mut Response<Body>, id: &str, outcome: Outcome);

    /// Reads a call of the directory, `None` if it is none.
    fn whereabouts(&self, request: &Request<Incoming>) -> Option<Whereabouts>;

    /// Builds the directory's answer.
    fn addresses(&self, addresses: &[SocketAddr], valid: Duration) -> Response<Body>;
}

/// The product's own form.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnDialect;

impl Dialect for OwnDialect {
    fn asked(&self, fields: &HeaderMap) -> Result<Asked, String> {
        const LONGEST_MS: u64 = 86_400_000;
        let Some(value) = fields.get(DEADLINE_FIELD) else {
            return Ok(Asked::default());
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
        Ok(Asked {
            budget: Some(Duration::from_millis(millis)),
            ..Asked::default()
        })
    }

    fn strip(&self, fields: &mut HeaderMap) {
        strip_own(fields);
    }

    fn tell(&self, fields: &mut HeaderMap, inbound: &Inbound, told: Told) {
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                fields.insert(name, value);
            }
        };
        set(header::HOST.as_str(), &told.address.to_string());
        set(REQUEST_FIELD, &inbound.id);
        set(CUSTOMER_FIELD, &inbound.name);
        set(DEADLINE_FIELD, &told.budget.as_millis().to_string());
        if !inbound.key_text.is_empty() {
            set(KEY_FIELD, &inbound.key_text);
        }
    }

    fn judge(&self, _inbound: &Inbound, _status: StatusCode, _fields: &HeaderMap) -> Judged {
        Judged::Answer
    }

    fn load(&self, _fields: &HeaderMap) -> Option<LoadReport> {
        None
    }

    fn refusal(&self, id: &str, refusal: Refusal, detail: &str) -> Response<Body> {
        problem(id, refusal, detail)
    }

    fn label(&self, answer: &mut Response<Body>, id: &str, outcome: Outcome) {
        label_own(answer, id, outcome);
    }

    fn whereabouts(&self, _request: &Request<Incoming>) -> Option<Whereabouts> {
        None
    }

    fn addresses(&self, addresses: &[SocketAddr], _valid: Duration) -> Response<Body> {
        json(StatusCode::OK, addresses)
    }
}
