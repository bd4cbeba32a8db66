//! Responses to refused requests, as `application/problem+json`.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use seam_core::Refusal;
use seam_http::{Body, json};
use seam_protocol::{Outcome, Problem};

use crate::inbound::{OUTCOME_HEADER, REQUEST_HEADER};

/// Builds the response to a refused request.
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
    let mut response = json(status, &body);
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    if let Some(retry) = refusal.retry_after {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, retry_seconds(retry));
    }
    annotate(&mut response, id, refusal.outcome);
    response
}

/// Returns the value of `Retry-After`: whole seconds, rounded up, at least one.
fn retry_seconds(delay: Duration) -> HeaderValue {
    const MILLIS: u128 = 1000;
    HeaderValue::from(delay.as_millis().div_ceil(MILLIS).max(1) as u64)
}

/// Adds the request's identifier and outcome to the headers of a response.
pub fn annotate(response: &mut Response<Body>, id: &str, outcome: Outcome) {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_HEADER, id);
    }
    let outcome = match outcome {
        Outcome::Complete => "complete",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
}
