//! The server side of the protocol between nodes.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use seam_core::{ConfigVersion, Origin, Refusal};
use seam_http::{
    BodyError, CallerLimits, Incoming, Listener, ServerLimits, Stop, lock, serve_with_limits,
};
use seam_protocol::peer::peer_server::{Peer, PeerServer};
use seam_protocol::peer::{
    ItemsReply, ItemsRequest, ManifestReply, NewestRequest, PartReply, PartRequest, ReplyFrame,
    ReplyHead, RequestFrame, RequestHead, reply_frame, request_frame,
};
use seam_protocol::route::host_name;
use seam_protocol::{
    CustomerId, Delta, Digest, Fingerprint, Reason, RetryPolicy, ServiceId, TenantId, VersionId,
};
use tonic::{Code, Request, Response, Status, Streaming};
use tower_service::Service;

use crate::drive;
use crate::inbound::{InboundRequest, route_rules};
use crate::link::{FrameNumbers, wire};
use crate::messages::{FrameAllowance, MessageBody, UnreadCalls};
use crate::peer_connections::AUTH_METADATA;
use crate::request_body::{ReadError, RequestBody, STREAM_BUFFER_BYTES};
use crate::response_writer::{ResponsePart, response_channel};
use crate::runtime::NodeRuntime;

/// Maximum size of a forwarded body in bytes. The node that received the request from its caller
/// has checked the configured limit.
const MAX_BODY_BYTES: usize = 1 << 30;

/// Time after which a request may come back that was routed by an older configuration.
const REVISION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits on the connections of other nodes.
const SERVER_LIMITS: ServerLimits = ServerLimits {
    connections: 1024,
    streams: 200,
    head_bytes: MAX_HEAD_BYTES,
    window: 1 << 20,
    keeps_idle: true,
};
/// Maximum size of the head of a call in bytes. Heads of forwarded requests are in messages.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum size of a message in bytes without the head of a forwarded request.
const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// The implementation of the gRPC service.
#[derive(Clone)]
struct PeerService {
    runtime: Arc<NodeRuntime>,
}

type Frames = Pin<Box<dyn Stream<Item = Result<ReplyFrame, Status>> + Send>>;

impl PeerService {
    /// Refuses a call without the authentication token of this deployment.
    fn check(runtime: &NodeRuntime, headers: &HeaderMap) -> Result<(), Status> {
        let presented = headers.get(AUTH_METADATA).map(HeaderValue::as_bytes);
        let expected = runtime.peers.auth_token().as_bytes();
        let valid = presented.is_some_and(|presented| {
            let differ = presented
                .iter()
                .zip(expected)
                .fold(0, |acc, (a, b)| acc | (a ^ b));
            presented.len() == expected.len() && differ == 0
        });
        if valid {
            Ok(())
        } else {
            Err(Status::permission_denied("no proof of membership"))
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    type ForwardStream = Frames;

    async fn forward(
        &self,
        request: Request<Streaming<RequestFrame>>,
    ) -> Result<Response<Frames>, Status> {
        let allowance = request.extensions().get::<FrameAllowance>().cloned();
        let (head, body) = read(&self.runtime, request.into_inner()).await?;
        if let Some(allowance) = allowance.filter(|_| !body.replayable()) {
            allowance.set(STREAM_BUFFER_BYTES);
        }
        let origin = Origin::Peer {
            hops: wire::hops(&head.hops),
            revision: head.revision,
        };
        let reader = if let Some(difference) = older_difference(&self.runtime, &head) {
            refuse_older(&self.runtime, &head, difference)
        } else {
            let inbound = inbound(&self.runtime, head, body)?;
            drive::start(&self.runtime, inbound, origin)
        };
        Ok(Response::new(Box::pin(reply_stream(reader))))
    }

    async fn newest(
        &self,
        _request: Request<NewestRequest>,
    ) -> Result<Response<ManifestReply>, Status> {
        let (revision, manifest) = self.runtime.store.manifest();
        if revision == 0 {
            return Err(Status::not_found("no configuration in force"));
        }
        Ok(Response::new(ManifestReply { revision, manifest }))
    }

    async fn items(&self, request: Request<ItemsRequest>) -> Result<Response<ItemsReply>, Status> {
        let ItemsRequest { since, epoch } = request.into_inner();
        let (delta, epoch, now) = self.runtime.read(|node, now| {
            let comparable = node.items_epoch() == epoch;
            let since = if comparable { since } else { 0 };
            (node.items_since(since), node.items_epoch(), now)
        });
        if delta.revision == 0 {
            return Err(Status::not_found("no items are known yet"));
        }
        let values = delta.items.iter().filter_map(|item| item.value.as_ref());
        let bytes: usize = values.map(Vec::len).sum();
        let mbps = self.runtime.settings().source.link_mbps();
        let delta = if lock(&self.runtime.transfers).admit(now, bytes, mbps) {
            delta
        } else {
            log::debug!(
                target: "config",
                since = since, bytes = bytes;
                "items not sent while another large reply is sent"
            );
            // Without items or a revision, so that the caller asks again, or another node.
            Delta::default()
        };
        Ok(Response::new(ItemsReply {
            delta: delta.encode(),
            epoch,
        }))
    }

    async fn part(&self, request: Request<PartRequest>) -> Result<Response<PartReply>, Status> {
        let text = request.into_inner().digest;
        let digest = text
            .parse()
            .map_err(|_| Status::invalid_argument("not a digest"))?;
        match self.runtime.store.part(digest) {
            Some(part) => Ok(Response::new(PartReply { part })),
            None => Err(Status::not_found("no such part")),
        }
    }
}

/// Reads a forwarded request with its body, or the first bytes of a long body.
async fn read(
    runtime: &NodeRuntime,
    mut frames: Streaming<RequestFrame>,
) -> Result<(RequestHead, RequestBody), Status> {
    let Some(RequestFrame {
        number,
        frame: Some(request_frame::Frame::Head(head)),
    }) = frames.message().await?
    else {
        return Err(Status::data_loss("the request was cut off"));
    };
    let mut numbers = FrameNumbers::default();
    if !numbers.accept(number) {
        return Err(Status::data_loss("frames of the request are missing"));
    }
    let body = StreamBody::new(body_frames(frames, numbers)).boxed_unsync();
    let read = RequestBody::read(body, MAX_BODY_BYTES, runtime.body_memory.reservation()).await;
    let body = read.map_err(|error| match error {
        ReadError::Oversize { .. } => Status::invalid_argument(error.to_string()),
        ReadError::Memory => Status::resource_exhausted(error.to_string()),
        ReadError::Broken { .. } => Status::data_loss(error.to_string()),
    })?;
    Ok((head, body))
}

/// Returns the body of a forwarded request. Without the end frame, or if frames are missing, it
/// fails as truncated.
fn body_frames(
    frames: Streaming<RequestFrame>,
    numbers: FrameNumbers,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> {
    stream::unfold(Some((frames, numbers)), |state| async move {
        let (mut frames, mut numbers) = state?;
        let frame = match frames.message().await {
            Ok(Some(message)) if numbers.accept(message.number) => message.frame,
            Ok(Some(message)) => {
                let number = message.number;
                log::info!("a forwarded request lacks frames before frame {number} of its body");
                None
            }
            Ok(None) => None,
            Err(status) => {
                log::info!("the body of a forwarded request broke off: {status}");
                if status.code() == Code::ResourceExhausted {
                    return Some((Err(BodyError::Memory), None));
                }
                None
            }
        };
        match frame {
            Some(request_frame::Frame::Body(bytes)) => {
                Some((Ok(Frame::data(bytes.into())), Some((frames, numbers))))
            }
            Some(request_frame::Frame::End(_)) => None,
            _ => Some((Err(BodyError::Truncated), None)),
        }
    })
}

/// Returns in what a forwarded request differs from a configuration here that is no older than the sender's:
/// the service of its route, or the tenant. Requests from newer configurations are refused later, when this
/// node has asked the sender for its configuration.
fn older_difference(runtime: &NodeRuntime, head: &RequestHead) -> Option<&'static str> {
    let snapshot = runtime.snapshot();
    let snapshot = snapshot.filter(|snapshot| head.revision <= snapshot.bundle.revision)?;
    let bundle = &snapshot.bundle;
    let id = TenantId::of(&head.tenant);
    if !head.tenant.is_empty() && !bundle.tenants.contains_key(&id) {
        return Some("names an unknown tenant");
    }
    let route = bundle.routes.find(&head.host, &head.path)?;
    if head.tenant.is_empty() && bundle.needs_key(route) {
        return Some("names no tenant");
    }
    let service = route.service(Digest::of(head.id.as_bytes()).leading_u64());
    let other = service.is_some_and(|service| service != ServiceId(head.service));
    other.then_some("names another service")
}

/// Refuses, for a time, a request that the sender routed by an older configuration.
fn refuse_older(
    runtime: &NodeRuntime,
    head: &RequestHead,
    difference: &str,
) -> Receiver<ResponsePart> {
    let snapshot = runtime.snapshot();
    let config = snapshot.map_or_else(ConfigVersion::default, |snapshot| snapshot.config);
    log::info!(
        target: "request",
        request = head.id.as_str(), config = config.revision, config_sender = head.revision,
        tenant = head.tenant.as_str();
        "not run: the sender's configuration {difference}"
    );
    let refusal = Refusal::not_run(Reason::Revision).with_retry_after(REVISION_RETRY_AFTER);
    let (writer, reader) = response_channel(false);
    let config = config.stamp(runtime.now());
    let _ = writer.send_final(ResponsePart::Refusal(refusal, config));
    reader
}

fn inbound(
    runtime: &NodeRuntime,
    head: RequestHead,
    body: RequestBody,
) -> Result<InboundRequest, Status> {
    let malformed = |what: &str| Status::invalid_argument(what.to_owned());
    let snapshot = runtime
        .snapshot()
        .ok_or_else(|| Status::unavailable("not ready"))?;
    let bundle = &snapshot.bundle;
    let host = (!head.host.is_empty()).then_some(head.host);
    let route = host
        .as_deref()
        .and_then(|host| Some((bundle.routes.find(host, &head.path)?, host_name(host))));
    let customer = route.as_ref().map(|(route, host)| route.customer_id(host));
    let customer = customer.unwrap_or(CustomerId(head.customer));
    let service = ServiceId(head.service);
    let name = bundle
        .customers
        .get(&customer)
        .map(|config| config.name.clone());
    let service_config = bundle.services.get(&service);
    let service_name = service_config
        .map(|config| config.name.as_str())
        .unwrap_or_default();
    let secret = runtime.secrets().fleet;
    let key = wire::key_name(&secret, customer, service_name, &head.key)
        .map_err(|_| malformed("not an idempotency key"))?;
    let method = Method::from_bytes(head.method.as_bytes()).map_err(|_| malformed("method"))?;
    let headers = wire::headers(&head.headers);
    let options = runtime
        .dialect
        .request_options(&headers)
        .map_err(|what| malformed(&what))?;
    let route = route.map(|(route, _)| route);
    let tenant = bundle.tenants.get(&TenantId::of(&head.tenant));
    // The request is repeatable only if the rules of both nodes allow it.
    let repeatable = match (&host, route) {
        (None, _) => {
            service_config.is_some_and(|config| config.repeatable(method.as_str(), &head.path))
        }
        (Some(_), route) => route.is_some_and(|route| route.retry_policy != RetryPolicy::Once),
    };
    // A node of an earlier version sends none.
    let content = if head.content == 0 {
        head.fingerprint
    } else {
        head.content
    };
    Ok(InboundRequest {
        id: head.id,
        caller: head.caller.parse().ok(),
        content: Fingerprint(content),
        method,
        path: head.path,
        headers,
        body,
        customer,
        customer_name: name.unwrap_or_default(),
        service,
        repeatable: repeatable && head.repeatable,
        key,
        key_text: head.key,
        budget: Duration::from_micros(head.budget_micros),
        rules: route.map(|route| route_rules(route, tenant)),
        tenant: (!head.tenant.is_empty()).then_some(head.tenant),
        prompt: options.prompt.map(Arc::new),
        resumes: options.resumes,
        version: head.version.map(VersionId),
        fingerprint: Fingerprint(head.fingerprint),
        host,
        config: snapshot.config,
    })
}

fn reply_stream(
    reader: Receiver<ResponsePart>,
) -> impl Stream<Item = Result<ReplyFrame, Status>> + Send {
    let mut numbers = FrameNumbers::default();
    stream::unfold(Some(reader), |reader| async move {
        let reader = reader?;
        let response_part = reader.recv().await.ok()?;
        let (frames, last) = frames(response_part);
        Some((frames, (!last).then_some(reader)))
    })
    .map(stream::iter)
    .flatten()
    .map(move |frame| {
        let number = numbers.assign();
        let frame = Some(frame);
        Ok(ReplyFrame { number, frame })
    })
}

/// Returns the frames of a response part and whether it is the last one.
fn frames(response_part: ResponsePart) -> (Vec<reply_frame::Frame>, bool) {
    match response_part {
        ResponsePart::Refusal(refusal, config) => {
            let head = ReplyHead {
                status: u32::from(refusal.reason.status()),
                headers: Vec::new(),
                refusal: Some(wire::wire_refusal(refusal, config)),
                version: None,
                leaving: None,
            };
            (vec![reply_frame::Frame::Head(head)], true)
        }
        ResponsePart::Replay(response) => {
            let headers = response
                .headers
                .iter()
                .map(|field| seam_protocol::peer::Header {
                    name: field.name.clone(),
                    value: field.value.clone(),
                });
            let head = ReplyHead {
                status: u32::from(response.status),
                headers: headers.collect(),
                refusal: None,
                version: None,
                leaving: None,
            };
            let frames = vec![
                reply_frame::Frame::Head(head),
                reply_frame::Frame::Body(response.body.clone()),
                reply_frame::Frame::End(true),
            ];
            (frames, true)
        }
        ResponsePart::Head(head) => {
            let head = ReplyHead {
                status: u32::from(head.status.as_u16()),
                headers: wire::wire_headers(&head.headers),
                refusal: None,
                version: head.version.map(|version| version.0),
                leaving: head.leaving.map(|target| target.0),
            };
            (vec![reply_frame::Frame::Head(head)], false)
        }
        ResponsePart::Data(bytes) => (vec![reply_frame::Frame::Body(bytes.to_vec())], false),
        ResponsePart::End => (vec![reply_frame::Frame::End(true)], true),
    }
}

/// Returns the maximum size of a message. The heads of callers' requests are bounded by the configuration.
fn max_message_bytes(runtime: &NodeRuntime) -> usize {
    let snapshot = runtime.snapshot();
    let limits = snapshot
        .as_ref()
        .and_then(|snapshot| snapshot.bundle.limits.as_ref());
    MAX_MESSAGE_BYTES + limits.map_or(0, |limits| limits.header_bytes)
}

/// Checks the head of a call before its messages are read, and bounds these.
fn admit(
    runtime: &NodeRuntime,
    unread: &UnreadCalls,
    mut request: http::Request<Incoming>,
    from: SocketAddr,
) -> Result<http::Request<MessageBody>, Status> {
    PeerService::check(runtime, request.headers())?;
    let call = unread
        .begin(from)
        .ok_or_else(|| Status::resource_exhausted("too many calls that are not read"))?;
    let reservation = runtime.body_memory.reservation();
    let max_message = max_message_bytes(runtime);
    let allowance = FrameAllowance::default();
    request.extensions_mut().insert(allowance.clone());
    Ok(request
        .map(|body| MessageBody::new(body, from, reservation, allowance, max_message, Some(call))))
}

/// Serves other nodes until stopped.
pub async fn serve_peers(runtime: Arc<NodeRuntime>, listener: Listener, stop: Stop) {
    let server = PeerServer::new(PeerService {
        runtime: runtime.clone(),
    });
    let unread = UnreadCalls::default();
    let handler = move |request: http::Request<Incoming>, from| {
        let max_bytes = max_message_bytes(&runtime);
        let mut server = server.clone().max_decoding_message_size(max_bytes);
        let request = admit(&runtime, &unread, request, from);
        async move {
            let response = match request {
                Ok(request) => {
                    let Ok(response) = server.call(request).await;
                    response
                }
                Err(status) => status.into_http(),
            };
            response.map(|body| body.map_err(|_| BodyError::Truncated).boxed_unsync())
        }
    };
    let limits = || CallerLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        ..CallerLimits::default()
    };
    serve_with_limits(SERVER_LIMITS, limits, listener, stop, handler).await;
}
