//! Answers by the system itself.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use seam_core::Refusal;
use seam_http::{Body, json};
use seam_protocol::{Outcome, Problem};

use crate::inbound::{OUTCOME_FIELD, REQUEST_FIELD};

/// Builds the answer to a refused request.
#[must_use]
pub fn problem(id: &str, refusal: Refusal, detail: &str) -> Response<Body> {
    let status =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = Problem {
        kind: format!("/problems/{}", refusal.reason.slug()),
        title: refusal.reason.help().to_owned(),
        status: status.as_u16(),
        outcome: refusal.outcome,
        request: id.to_owned(),
        detail: detail.to_owned(),
        retry_ms: refusal.retry_after.map(|retry| retry.as_millis() as u64),
    };
    let mut answer = json(status, &body);
    let kind = HeaderValue::from_static("application/problem+json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    if let Some(retry) = refusal.retry_after {
        answer
            .headers_mut()
            .insert(header::RETRY_AFTER, seconds(retry));
    }
    label(&mut answer, id, refusal.outcome);
    answer
}

/// Returns whole seconds, rounded up, as `Retry-After` wants them.
fn seconds(span: Duration) -> HeaderValue {
    const MILLIS: u128 = 1000;
    HeaderValue::from(span.as_millis().div_ceil(MILLIS).max(1) as u64)
}

/// Adds the request's identifier and outcome to an answer.
pub fn label(answer: &mut Response<Body>, id: &str, outcome: Outcome) {
    let fields = answer.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        fields.insert(REQUEST_FIELD, id);
    }
    let outcome = match outcome {
        Outcome::Complete => "complete",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    fields.insert(OUTCOME_FIELD, HeaderValue::from_static(outcome));
}
