//! Calls that explain where a request would go, without sending it.

use http::uri::PathAndQuery;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use seam_core::explain::RequestExplanation;
use seam_core::{Origin, Ticket};
use seam_http::{Body, Incoming, json};
use seam_protocol::{Reason, ServiceId};
use serde::{Deserialize, Serialize};

use super::{error_response, query_parameter};
use crate::dialect::StatedPrompt;
use crate::drive::arrival;
use crate::front::{ExplainedHead, Rejection, read_explained};
use crate::runtime::NodeRuntime;

/// Maximum size of a call's body in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Identifier of a request if the call states none.
const DEFAULT_ID: &str = "explain";

/// A request to explain. It has no `Debug`, since it contains an API key.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Call {
    host: String,
    path: String,
    method: Option<String>,
    api_key: Option<String>,
    /// Identifier and length in tokens of each part of the prompt.
    #[serde(default)]
    parts: Vec<(String, u32)>,
    /// Length of the prompt in tokens, and the limit of its output.
    tokens: Option<(u32, u32)>,
    /// Whether it may run more than once; by its route if `None`.
    idempotent: Option<bool>,
    id: Option<String>,
}

/// The explanation of a request, with what it was found by.
#[derive(Serialize)]
struct Answer {
    method: String,
    host: String,
    path: String,
    #[serde(flatten)]
    explanation: RequestExplanation,
}

/// What is wrong with a call: status, error and help.
type Fault = (StatusCode, String, &'static str);

fn invalid(error: impl Into<String>, help: &'static str) -> Fault {
    (StatusCode::BAD_REQUEST, error.into(), help)
}

/// Explains where a customer's request for a service would go.
pub(super) fn by_names(runtime: &NodeRuntime, request: &Request<Incoming>) -> Response<Body> {
    let parameters = query_parameter(request, "customer").zip(query_parameter(request, "service"));
    let Some((customer, service)) = parameters else {
        let help = "add ?customer=NAME&service=NAME";
        return error_response(StatusCode::BAD_REQUEST, "a parameter is missing", help);
    };
    let service = ServiceId::of(&service);
    let customer = runtime.snapshot().and_then(|snapshot| {
        let mut customers = snapshot.bundle.customers.iter();
        customers.find_map(|(id, spec)| (spec.name == customer).then_some(*id))
    });
    let explained = customer
        .and_then(|customer| runtime.read(|node, now| node.explain(now, customer, service)));
    match explained {
        Some(explanation) => json(StatusCode::OK, &explanation),
        None => {
            let help = "both must be in the configuration in force";
            error_response(StatusCode::NOT_FOUND, "no such customer or service", help)
        }
    }
}

/// Explains where the request in the body of a call would go.
pub(super) async fn by_request(runtime: &NodeRuntime, body: Incoming) -> Response<Body> {
    let explained = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(bytes) => explain(runtime, &bytes.to_bytes()),
        Err(_) => Err(invalid("the body cannot be read", "send at most 64 KiB")),
    };
    match explained {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err((status, error, help)) => error_response(status, &error, help),
    }
}

fn explain(runtime: &NodeRuntime, body: &[u8]) -> Result<Answer, Fault> {
    const FIELDS: &str = "see docs/openapi.yaml for the fields of the call";
    // The parser's own message may quote the API key.
    let call: Call = serde_json::from_slice(body).map_err(|error| {
        let (line, column) = (error.line(), error.column());
        let text = format!("the body is no request to explain, at line {line}, column {column}");
        invalid(text, FIELDS)
    })?;
    if runtime.items.is_none() {
        let help = "ask by customer and service";
        return Err(invalid("this platform publishes no routes", help));
    }
    let method = call.method.as_deref().unwrap_or("GET");
    let method: Method = method
        .parse()
        .map_err(|_| invalid(format!("{method:?} is no HTTP method"), FIELDS))?;
    let path: PathAndQuery = Some(&call.path)
        .filter(|path| path.starts_with('/'))
        .and_then(|path| path.parse().ok())
        .ok_or_else(|| invalid(format!("{:?} is no path", call.path), "begin it with `/`"))?;
    let prompt = match (call.tokens, call.parts.is_empty()) {
        (Some(tokens), _) => Some(StatedPrompt {
            parts: call.parts,
            tokens,
        }),
        (None, true) => None,
        (None, false) => {
            let help = "add the tokens of the prompt and of its output";
            return Err(invalid("the prompt has parts but no token count", help));
        }
    };
    let headers = runtime
        .dialect
        .caller_headers(call.api_key.as_deref(), prompt.as_ref())
        .map_err(|detail| invalid(detail, FIELDS))?;
    let head = ExplainedHead {
        method,
        host: call.host,
        path,
        headers,
        id: call.id.unwrap_or_else(|| DEFAULT_ID.to_owned()),
    };
    let mut inbound = read_explained(runtime, head).map_err(|rejection| fault(&rejection))?;
    inbound.repeatable = call.idempotent.unwrap_or(inbound.repeatable);
    let arrival = arrival(runtime, &inbound, Ticket(0), Origin::Caller);
    let explanation = runtime.read(|node, now| node.explain_request(now, &arrival));
    let Some(explanation) = explanation else {
        let error = "the configuration in force has changed meanwhile".to_owned();
        return Err((StatusCode::SERVICE_UNAVAILABLE, error, "ask again"));
    };
    Ok(Answer {
        method: inbound.method.to_string(),
        host: inbound.host.unwrap_or_default(),
        path: inbound.path,
        explanation,
    })
}

/// Returns the fault of a request that is rejected while it is read.
fn fault(rejection: &Rejection) -> Fault {
    let reason = rejection.refusal.reason;
    let status = match reason {
        Reason::Service => StatusCode::NOT_FOUND,
        // 401 would say that the token of the administration API is wrong.
        Reason::Credential => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Malformed => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let error = format!("{}: {}", reason.slug(), rejection.detail);
    (status, error, reason.help())
}
