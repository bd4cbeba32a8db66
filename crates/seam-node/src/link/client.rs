//! The client side: calls to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::{FutureExt, Stream, StreamExt, stream};
use http::StatusCode;
use http_body_util::BodyExt;
use seam_config::PartSet;
use seam_config::bundle::parse_manifest;
use seam_core::{AttemptOutcome, Event, Refusal};
use seam_http::Body;
use seam_protocol::peer::peer_client::PeerClient;
use seam_protocol::peer::{
    ItemsRequest, NewestRequest, PartRequest, Refusal as WireRefusal, ReplyFrame, RequestFrame,
    RequestHead, reply_frame, request_frame,
};
use seam_protocol::{CustomerId, Delta, Digest, Outcome, Reason, TargetId, VersionId};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tonic::Streaming;

use super::{FrameNumbers, wire};
use crate::config_log::{confirmed, meaning};
use crate::inbound::InboundRequest;
use crate::peer_connections::Channel;
use crate::progress::{Framing, Progress};
use crate::response_writer::{ResponseHead, ResponseWriter};
use crate::runtime::{NodeAttempt, NodeRuntime};
use crate::targets::{ResponseRecorder, relayed_status, set_last_event_id};

/// Maximum number of body bytes in one frame.
const MAX_FRAME_BYTES: usize = 64 << 10;
/// Timeout of a call that fetches a manifest, a part or items.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest frame of a response: an event, or a head with a stored response, of a node of an earlier
/// version.
const MAX_REPLY_BYTES: usize = (1 << 20) + (256 << 10);
/// Largest reply with items.
const MAX_ITEMS_BYTES: usize = 32 << 20;
/// Time added to the request's time limit so that the other node's refusal can still arrive.
const REFUSAL_MARGIN: Duration = Duration::from_secs(1);

/// An error while fetching a bundle or items from a peer.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The connection could not be opened.
    #[snafu(display("{source}"))]
    Connect {
        /// The client's error.
        source: seam_http::ClientError,
    },
    /// The call failed.
    #[snafu(display("the peer returned an error: {status}"))]
    Call {
        /// The gRPC status.
        status: tonic::Status,
    },
    /// The peer's items cannot be decoded.
    #[snafu(display("cannot decode the items from {address}"))]
    Items {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The parts do not form a valid bundle.
    #[snafu(display("{source}"))]
    Bundle {
        /// What is wrong with them.
        source: seam_config::BundleError,
    },
}

/// Returns the identifier by which another node knows the customer. It finds that of a route itself; nodes
/// of an earlier version know it by the route's name.
fn wire_customer(inbound: &InboundRequest) -> CustomerId {
    match inbound.host {
        Some(_) => CustomerId::of(&inbound.customer_name),
        None => inbound.customer,
    }
}

fn head(to: &NodeAttempt, inbound: &InboundRequest, writer: &ResponseWriter) -> RequestHead {
    let mut headers = inbound.headers.clone();
    set_last_event_id(&mut headers, writer);
    RequestHead {
        id: inbound.id.clone(),
        customer: wire_customer(inbound).0,
        service: inbound.service.0,
        method: inbound.method.as_str().to_owned(),
        path: inbound.path.clone(),
        headers: wire::wire_headers(&headers),
        hops: wire::wire_hops(&to.hops),
        revision: to.revision,
        budget_micros: to.budget.as_micros() as u64,
        key: inbound.key_text.clone(),
        repeatable: inbound.repeatable,
        fingerprint: inbound.fingerprint.0,
        prefix: None,
        host: inbound.host.clone().unwrap_or_default(),
        caller: inbound.caller_text(),
        content: inbound.content.0,
        version: to.version.map(|version| version.0),
        tenant: inbound.tenant.clone().unwrap_or_default(),
    }
}

/// Returns the frames of a request. Without the end frame, the receiver treats the request as
/// truncated.
fn frames(head: RequestHead, body: Body) -> impl Stream<Item = RequestFrame> + Send + 'static {
    let first = stream::once(request_frame::Frame::Head(head));
    let parts = stream::unfold(Some(body), |body| async move {
        let mut body = body?;
        match body.frame().await {
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                let parts: Vec<_> = bytes.chunks(MAX_FRAME_BYTES).map(<[u8]>::to_vec).collect();
                let frames = parts.into_iter().map(request_frame::Frame::Body);
                Some((frames.collect(), Some(body)))
            }
            Some(Err(error)) => {
                log::info!("cannot read the body of a forwarded request: {error}");
                None
            }
            None => Some((vec![request_frame::Frame::End(true)], None)),
        }
    });
    let frames = first.chain(parts.map(stream::iter::<Vec<_>>).flatten());
    let mut numbers = FrameNumbers::default();
    frames.map(move |frame| RequestFrame {
        number: numbers.assign(),
        frame: Some(frame),
    })
}

/// Checks the connection to a node if a call on it is given up.
struct OpenCall<'a> {
    runtime: &'a Arc<NodeRuntime>,
    address: SocketAddr,
    ended: bool,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (runtime, address) = (self.runtime.clone(), self.address);
        seam_http::spawn(async move { runtime.peers.check(address).await }).detach();
    }
}

/// Forwards a request to a node and relays the response. Returns the result of the attempt.
pub async fn forward(
    runtime: &Arc<NodeRuntime>,
    to: NodeAttempt,
    inbound: &InboundRequest,
    writer: &ResponseWriter,
    progress: &Progress,
) -> AttemptOutcome {
    let mut client = match runtime.peers.client(to.address).await {
        Ok(client) => client.max_decoding_message_size(MAX_REPLY_BYTES),
        Err(error) => {
            log::info!(
                "request {}: no connection to the other node: {error}",
                inbound.id
            );
            return AttemptOutcome::NotSent;
        }
    };
    if !runtime.may_send(to.attempt) {
        return AttemptOutcome::NotSent;
    }
    let Some(body) = inbound.open_body() else {
        return AttemptOutcome::NotSent;
    };
    progress.mark_sent();
    let mut call = OpenCall {
        runtime,
        address: to.address,
        ended: false,
    };
    let outcome = exchange(runtime, &mut client, &to, inbound, body, writer, progress).await;
    call.ended = true;
    outcome
}

/// Sends a request on a connection and relays the response.
async fn exchange(
    runtime: &Arc<NodeRuntime>,
    client: &mut PeerClient<Channel>,
    to: &NodeAttempt,
    inbound: &InboundRequest,
    body: Body,
    writer: &ResponseWriter,
    progress: &Progress,
) -> AttemptOutcome {
    let head = head(to, inbound, writer);
    let mut request = tonic::Request::new(frames(head, body));
    runtime.peers.authenticate(&mut request);
    let timeout = async {
        Timer::after(to.budget + REFUSAL_MARGIN).await;
        Err(tonic::Status::deadline_exceeded("no answer in time"))
    };
    match client.forward(request).or(timeout).await {
        Ok(response) => {
            let frames = response.into_inner();
            let reply = relay_response(runtime, to, inbound, frames, writer, progress).await;
            reply.unwrap_or_else(|error| {
                log::info!(
                    "request {}: response from node {} broke off: {error}",
                    inbound.id,
                    to.address
                );
                if !matches!(error, RelayError::Discontinued) {
                    runtime.peers.forget(to.address);
                }
                AttemptOutcome::Broken {
                    started: writer.has_started(),
                }
            })
        }
        Err(status) if status.code() == tonic::Code::PermissionDenied => {
            AttemptOutcome::Refused(Refusal::not_run(Reason::NotReady))
        }
        Err(status) if status.code() == tonic::Code::ResourceExhausted => {
            log::info!(
                "request {}: node {} has no memory left for its body",
                inbound.id,
                to.address
            );
            AttemptOutcome::Refused(Refusal::not_run(Reason::Overload))
        }
        Err(status) => {
            if let Some(reply) = inbound.body_failure() {
                return reply;
            }
            log::info!(
                "request {}: no response from node {}: {status}",
                inbound.id,
                to.address
            );
            runtime.peers.forget(to.address);
            AttemptOutcome::Broken {
                started: writer.has_started(),
            }
        }
    }
}

/// An error while relaying a response from a peer.
#[derive(Debug, Snafu)]
enum RelayError {
    /// The connection broke.
    #[snafu(display("{status}"))]
    Connection {
        /// The gRPC status.
        status: tonic::Status,
    },
    /// Frames were lost on the way.
    #[snafu(display("frames before frame {number} are missing"))]
    Gap {
        /// Number of the frame that arrived.
        number: u32,
    },
    /// The peer sent no end.
    #[snafu(display("it has no end"))]
    Truncated,
    /// The response is not the rest of the one that has begun.
    #[snafu(display("it does not go on with the one that has begun"))]
    Discontinued,
}

async fn relay_response(
    runtime: &Arc<NodeRuntime>,
    to: &NodeAttempt,
    inbound: &InboundRequest,
    mut frames: Streaming<ReplyFrame>,
    writer: &ResponseWriter,
    progress: &Progress,
) -> Result<AttemptOutcome, RelayError> {
    let mut recorder = ResponseRecorder::new(false, StatusCode::OK, &http::HeaderMap::new());
    let mut started = writer.has_started();
    let mut success = started;
    let mut numbers = FrameNumbers::default();
    loop {
        let message = frames.message().await;
        let message = message.map_err(|status| RelayError::Connection { status })?;
        let ReplyFrame { number, frame } = message.context(TruncatedSnafu)?;
        ensure!(numbers.accept(number), GapSnafu { number });
        match frame {
            Some(reply_frame::Frame::Head(head)) => {
                if let Some(refusal) = &head.refusal {
                    log_refusal(runtime, to, inbound, refusal);
                    return Ok(reply_to_refusal(wire::refusal(refusal)));
                }
                let status = StatusCode::from_u16(head.status as u16);
                let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
                let mut headers = wire::headers(&head.headers);
                // A node of an earlier version passes on its target's own status.
                let status = relayed_status(runtime, inbound, to.attempt, status, &mut headers);
                if writer.has_started() && !writer.is_continued_by(status, &headers) {
                    return DiscontinuedSnafu.fail();
                }
                started = true;
                success = status.is_success();
                progress.mark_responded(runtime.now());
                let version = head.version.map(VersionId);
                if let Some(version) = version.filter(|_| success) {
                    runtime.handle(Event::StreamBegan(to.attempt, version));
                }
                let leaving = head.leaving.map(TargetId);
                if let Some(target) = leaving {
                    runtime.handle(Event::TargetLeaves(target));
                }
                progress.mark_head(Framing::Link, &headers, false);
                let head = ResponseHead {
                    status,
                    headers,
                    version,
                    leaving,
                };
                writer.write_head(head).await;
            }
            Some(reply_frame::Frame::Body(bytes)) => {
                recorder.add(&bytes);
                progress.mark_body(&bytes);
                let written = writer.write_data(Bytes::from(bytes)).await;
                ensure!(written.is_ok(), DiscontinuedSnafu);
            }
            // A node of an earlier version ends a stream that its target truncated.
            Some(reply_frame::Frame::End(_)) if started && !progress.received().is_truncated() => {
                writer.end().await;
                return Ok(AttemptOutcome::Complete {
                    response: None,
                    success,
                });
            }
            _ => return TruncatedSnafu.fail(),
        }
    }
}

/// Logs a refusal by another node, with the configuration that decided it there.
fn log_refusal(
    runtime: &NodeRuntime,
    to: &NodeAttempt,
    inbound: &InboundRequest,
    refusal: &WireRefusal,
) {
    let config = wire::config_stamp(refusal);
    let status = runtime.dialect.refusal_status(wire::refusal(refusal));
    log::info!(
        target: "request",
        request = inbound.id.as_str(), attempt = to.attempt.0, node:% = to.address,
        status = status.as_u16(), reason = refusal.reason.as_str(), path = inbound.path.as_str(),
        revision = to.revision, config = config.revision, config_item = config.item_revision,
        config_age_ms = config.age_ms, confirmed_age_ms = confirmed(&config), meaning = meaning(&config);
        "refused by another node"
    );
}

fn reply_to_refusal(refusal: Refusal) -> AttemptOutcome {
    match refusal.outcome {
        Outcome::NotRun => AttemptOutcome::Refused(refusal),
        Outcome::Unknown | Outcome::Complete => AttemptOutcome::OutcomeUnknown(refusal),
    }
}

async fn with_timeout<T>(
    call: impl Future<Output = Result<T, tonic::Status>>,
) -> Result<T, FetchError> {
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        Err(tonic::Status::deadline_exceeded("no answer in time"))
    };
    let response = call.or(timeout).await;
    response.map_err(|status| FetchError::Call { status })
}

/// Fetches a node's newest manifest and the parts that this node lacks.
///
/// # Errors
/// See [`FetchError`].
pub async fn fetch_bundle(
    runtime: &NodeRuntime,
    address: SocketAddr,
) -> Result<PartSet, FetchError> {
    let mut client = runtime.peers.client(address).await.context(ConnectSnafu)?;
    let mut request = tonic::Request::new(NewestRequest {});
    runtime.peers.authenticate(&mut request);
    let response = with_timeout(client.newest(request)).await?.into_inner();
    let manifest = parse_manifest(&response.manifest).context(BundleSnafu)?;
    let mut set = PartSet {
        manifest: response.manifest,
        parts: std::collections::BTreeMap::new(),
    };
    for digest in manifest.parts.values() {
        let part = match runtime.store.part(*digest) {
            Some(part) => part,
            None => fetch_part(runtime, &mut client, *digest).await?,
        };
        set.parts.insert(*digest, part);
    }
    Ok(set)
}

/// Fetches the items that changed since a revision from a node. Returns them with their epoch.
///
/// # Errors
/// See [`FetchError`].
pub async fn fetch_items(
    runtime: &NodeRuntime,
    address: SocketAddr,
    since: u64,
) -> Result<(Delta, u32), FetchError> {
    // The items may have been replaced since the fetch was planned.
    let (epoch, claim) = runtime.read(|node, _| (node.items_epoch(), node.items_revision()));
    let since = since.min(claim);
    let client = runtime.peers.client(address).await.context(ConnectSnafu)?;
    let mut client = client.max_decoding_message_size(MAX_ITEMS_BYTES);
    let mut request = tonic::Request::new(ItemsRequest { since, epoch });
    runtime.peers.authenticate(&mut request);
    let response = with_timeout(client.items(request)).await;
    if response.is_err() {
        runtime.peers.forget(address);
    }
    let reply = response?.into_inner();
    let delta = Delta::decode(&reply.delta).context(ItemsSnafu { address })?;
    Ok((delta, reply.epoch))
}

async fn fetch_part(
    runtime: &NodeRuntime,
    client: &mut PeerClient<Channel>,
    digest: Digest,
) -> Result<Vec<u8>, FetchError> {
    let mut request = tonic::Request::new(PartRequest {
        digest: digest.to_string(),
    });
    runtime.peers.authenticate(&mut request);
    let response = with_timeout(client.part(request)).await?;
    Ok(response.into_inner().part)
}
