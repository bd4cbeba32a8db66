//! Attempts whose request body ends early.

use futures_lite::stream;
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use seam_core::{AttemptOutcome, ConfigVersion, Refusal};
use seam_http::BodyError;
use seam_node::budget::ByteBudget;
use seam_node::inbound::InboundRequest;
use seam_node::request_body::{BUFFERED_BYTES, RequestBody};
use seam_protocol::{CustomerId, Fingerprint, Reason, ServiceId};
use yare::parameterized;

/// Returns a request with a body.
fn request(body: RequestBody) -> InboundRequest {
    InboundRequest {
        id: "failed-1".to_owned(),
        caller: None,
        method: Method::POST,
        path: "/book/1".to_owned(),
        headers: HeaderMap::new(),
        body,
        customer: CustomerId(1),
        customer_name: "book".to_owned(),
        service: ServiceId(1),
        repeatable: false,
        key: None,
        key_text: String::new(),
        budget: std::time::Duration::from_secs(1),
        host: None,
        tenant: None,
        rules: None,
        prompt: None,
        resumes: None,
        version: None,
        fingerprint: Fingerprint(1),
        content: Fingerprint(1),
        config: ConfigVersion::default(),
    }
}

/// Maximum size of a body in bytes.
const LIMIT: usize = 1 << 20;

/// Sends a long body with this rest. Returns the result of the attempt.
fn outcome_after(rest: Result<usize, BodyError>) -> Option<AttemptOutcome> {
    let data = |bytes| Frame::data(vec![b'b'; bytes].into());
    let parts = [Ok(data(BUFFERED_BYTES + 1)), rest.map(data)];
    let parts = StreamBody::new(stream::iter(parts)).boxed_unsync();
    let reservation = ByteBudget::new(1 << 20).reservation();
    seam_http::block_on(async {
        let read = RequestBody::read(parts, LIMIT, reservation).await;
        let inbound = request(read.expect("the first bytes are read"));
        assert!(inbound.body_failure().is_none());
        let sent = inbound.open_body().expect("the body was not sent yet");
        assert!(sent.collect().await.is_err());
        inbound.body_failure()
    })
}

/// Guards against a node that blames the caller for a body that it had no memory for, or did not allow.
#[parameterized(
    memory = { Err(BodyError::Memory), Reason::Overload },
    oversize = { Ok(LIMIT), Reason::Oversize },
    caller = { Err(BodyError::Truncated), Reason::Malformed },
)]
fn ended_early(rest: Result<usize, BodyError>, reason: Reason) {
    let Some(AttemptOutcome::OutcomeUnknown(refusal)) = outcome_after(rest) else {
        panic!("the request may have run");
    };
    assert_eq!(refusal, Refusal::unknown(reason));
}
