//! Sends requests to targets and relays their responses.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode, header, request, response};
use http_body_util::BodyExt;
use seam_core::keys::MAX_RESPONSE_BYTES;
use seam_core::{AttemptKey, AttemptOutcome, Event, Refusal};
use seam_http::client::{SendError, describe};
use seam_http::{Body, ClientError, Connection, ResponseBody};
use seam_protocol::{HeaderField, Reason, StoredResponse};

use crate::dialect::{ResponseClass, TargetContext};
use crate::events::{Discontinuity, LAST_EVENT_ID_HEADER};
use crate::inbound::InboundRequest;
use crate::pool::{self, max_idle_connections};
use crate::progress::{Framing, Progress};
use crate::response_writer::{ResponseHead, ResponseWriter};
use crate::runtime::{NodeRuntime, TargetAttempt};

/// Maximum size in bytes of a response that is read as a whole before it is relayed.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Default delay before a refused request is retried, if the target states none.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Sends a request to a target and relays the response. Returns the result of the attempt.
pub async fn exchange(
    runtime: &Arc<NodeRuntime>,
    to: TargetAttempt,
    inbound: &InboundRequest,
    writer: &ResponseWriter,
    progress: &Progress,
) -> AttemptOutcome {
    let Some(head) = head(runtime, to, inbound, writer) else {
        return AttemptOutcome::NotSent;
    };
    let pool = &runtime.pool;
    let (mut connection, kept) = match pool.connection(to.address, inbound.repeatable).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!("request {}: {error}", inbound.id);
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
    let monitor = SilenceMonitor {
        runtime,
        to,
        request: &inbound.id,
    };
    let request = Request::from_parts(head, body);
    let sent = send(&monitor, &mut connection, kept, request).await;
    let response = match sent {
        Ok(response) => response,
        Err(ClientError::NotSent) => return AttemptOutcome::NotSent,
        Err(error) => {
            if let Some(reply) = inbound.body_failure() {
                return reply;
            }
            log::info!(
                "request {}: no response from target {}: {error}",
                inbound.id,
                to.target
            );
            return AttemptOutcome::Broken {
                started: writer.has_started(),
            };
        }
    };
    let (mut head, body) = response.into_parts();
    let dialect = &runtime.dialect;
    if let Some(load) = dialect.load_report(&head.headers) {
        runtime.handle(Event::Load(to.target, load));
    }
    if let Some(reply) = unusable_head(runtime, to, inbound, &head) {
        return reply;
    }
    head.status = relayed_status(runtime, inbound, to.attempt, head.status, &mut head.headers);
    if writer.has_started() && !writer.is_continued_by(head.status, &head.headers) {
        log::info!(
            "request {}: target {} answers with status {}, which does not go on with the response",
            inbound.id,
            to.target,
            head.status
        );
        return AttemptOutcome::Broken { started: true };
    }
    if head.status.is_server_error() && runtime.should_discard(to.attempt) {
        return AttemptOutcome::OutcomeUnknown(Refusal::unknown(Reason::Broken));
    }
    let mut headers = head.headers;
    let streams = inbound.rules.map(|rules| rules.streams);
    let is_stream = streams == Some(true) && head.status.is_success();
    progress.mark_head(Framing::of(&headers, &body), &headers, is_stream);
    dialect.strip_headers(&mut headers);
    let response = TargetResponse {
        status: head.status,
        headers,
        body,
        max_buffered: max_buffered_bytes(streams),
    };
    let reply = relay_response(monitor, response, writer, progress).await;
    if matches!(reply, AttemptOutcome::Complete { .. }) {
        keep_connection(runtime, to, connection).await;
    }
    reply
}

/// Sends a request. If the target had closed a kept connection, the request is sent on a new one, since the
/// end of the old one does not show that the target refuses connections.
async fn send(
    monitor: &SilenceMonitor<'_>,
    connection: &mut Connection,
    kept: bool,
    request: Request<Body>,
) -> Result<Response<ResponseBody>, ClientError> {
    let sent = monitor.watch(connection.try_send(request), Result::is_ok);
    let SendError { error, unsent } = match sent.await {
        Ok(response) => return Ok(response),
        Err(failed) => failed,
    };
    let Some(request) = unsent.filter(|_| kept) else {
        return Err(error);
    };
    let (to, id) = (monitor.to, monitor.request);
    log::info!("request {id}: kept connection to {}: {error}", to.address);
    *connection = pool::open(to.address).await.map_err(|error| {
        log::info!("request {id}: {error}");
        ClientError::NotSent
    })?;
    if !monitor.runtime.may_send(to.attempt) {
        return Err(ClientError::NotSent);
    }
    let sent = monitor.watch(connection.try_send(request), Result::is_ok);
    sent.await.map_err(|failed| failed.error)
}

/// Returns the status with which to relay a response, and logs if it is another one than the target's.
pub fn relayed_status(
    runtime: &NodeRuntime,
    inbound: &InboundRequest,
    attempt: AttemptKey,
    status: StatusCode,
    headers: &mut http::HeaderMap,
) -> StatusCode {
    let relayed = runtime.dialect.relayed_status(status, headers);
    if relayed != status {
        log::info!(
            target: "request",
            request = inbound.id.as_str(), attempt = attempt.0, status = status.as_u16(),
            relayed = relayed.as_u16();
            "status replaced, as the target may have run the request"
        );
    }
    relayed
}

/// Judges the head of a target's response. Returns the result of the attempt if the response is a
/// refusal or does not belong to the request, `None` if it can be relayed.
fn unusable_head(
    runtime: &NodeRuntime,
    to: TargetAttempt,
    inbound: &InboundRequest,
    head: &response::Parts,
) -> Option<AttemptOutcome> {
    let log_refusal = |retry: Option<Duration>| {
        log::info!(
            target: "request",
            request = inbound.id.as_str(), attempt = to.attempt.0, status = head.status.as_u16(),
            retry_ms = retry.unwrap_or_default().as_millis() as u64;
            "refused by a target"
        );
    };
    let class = runtime
        .dialect
        .classify_response(inbound, head.status, &head.headers);
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        report_limit(runtime, to, class, &head.headers);
        report_brittle(runtime, to, class, &head.headers);
        if class != ResponseClass::Mismatched
            && let Some(time) = closed_for(head)
        {
            runtime.handle(Event::TargetClosed(to.attempt, time));
        }
        if class != ResponseClass::Mismatched && runtime.dialect.is_leaving(&head.headers) {
            runtime.handle(Event::TargetLeaves(to.target));
        }
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST && class != ResponseClass::Mismatched {
        runtime.handle(Event::TargetMoved(to.target));
    }
    if let Some(refusal) = status_refusal(runtime, to, head.status, &head.headers) {
        log_refusal(refusal.retry_after);
        return Some(AttemptOutcome::Refused(refusal));
    }
    match class {
        ResponseClass::Valid => None,
        ResponseClass::NotRun(retry) => {
            log_refusal(retry);
            let refusal =
                Refusal::not_run(Reason::Refused).with_retry_after(retry.unwrap_or(RETRY_DELAY));
            Some(AttemptOutcome::Refused(refusal))
        }
        ResponseClass::Mismatched => {
            log::warn!(
                "request {}: target {} sent a response with status {} that does not belong to the request",
                inbound.id,
                to.target,
                head.status
            );
            Some(AttemptOutcome::Broken { started: false })
        }
    }
}

/// Reports the rate limit that a target's response names, or that it names none any more.
///
/// A refusal may leave it out, as the target did not get to it.
fn report_limit(
    runtime: &NodeRuntime,
    to: TargetAttempt,
    class: ResponseClass,
    headers: &http::HeaderMap,
) {
    let limit = match runtime.dialect.advertised_limit(headers) {
        _ if class == ResponseClass::Mismatched => return,
        Ok(limit) => limit,
        Err(detail) => {
            log::info!("target {}: {detail}", to.target);
            return;
        }
    };
    let ended = || {
        let known = runtime.read(|node, _| node.is_rate_limited(to.target));
        known && class == ResponseClass::Valid
    };
    if limit.is_some() || ended() {
        runtime.handle(Event::LimitAdvertised(to.attempt, limit));
    }
}

/// Reports that a target's response states that it is brittle, or that it no longer does.
fn report_brittle(
    runtime: &NodeRuntime,
    to: TargetAttempt,
    class: ResponseClass,
    headers: &http::HeaderMap,
) {
    if class == ResponseClass::Mismatched {
        return;
    }
    let brittle = runtime.dialect.is_brittle(headers);
    let known = runtime.read(|node, now| node.is_brittle(now, to.service));
    if brittle || (known && class == ResponseClass::Valid) {
        runtime.handle(Event::Brittle(to.attempt, brittle));
    }
}

/// Returns the time for which a target wants no requests, if its response states one.
fn closed_for(head: &response::Parts) -> Option<Duration> {
    /// Longest time that a target is taken at its word for.
    const MAX_CLOSED: Duration = Duration::from_secs(3600);
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = head.headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    let time = Duration::try_from_secs_f64(seconds).ok()?;
    Some(time.min(MAX_CLOSED))
}

/// Puts a connection into the pool once it can carry another request.
async fn keep_connection(runtime: &NodeRuntime, to: TargetAttempt, mut connection: Connection) {
    if connection.ready().await.is_err() {
        return;
    }
    let max_idle = max_idle_connections(
        connections(runtime, to),
        runtime.read(seam_core::Node::ready_node_count),
    );
    runtime.pool.put(to.address, connection, max_idle);
}

/// Returns the number of connections that a target accepts, zero if it states none.
fn connections(runtime: &NodeRuntime, to: TargetAttempt) -> usize {
    let snapshot = runtime.snapshot();
    let services = snapshot.as_ref().map(|snapshot| &snapshot.bundle.services);
    let service = services.and_then(|services| services.get(&to.service));
    service.map_or(0, |service| service.capacity.connections as usize)
}

/// Sets the header that asks a target to resume after the last event that was relayed.
pub fn set_last_event_id(headers: &mut http::HeaderMap, writer: &ResponseWriter) {
    let last = writer.prepare_resume();
    let value = last.and_then(|last| http::HeaderValue::from_str(&last).ok());
    if let Some(value) = value {
        headers.insert(LAST_EVENT_ID_HEADER, value);
    }
}

/// Builds the head of the request. Returns `None` if the target is no longer in the configuration.
fn head(
    runtime: &NodeRuntime,
    to: TargetAttempt,
    inbound: &InboundRequest,
    writer: &ResponseWriter,
) -> Option<request::Parts> {
    let snapshot = runtime.snapshot()?;
    let service = snapshot.bundle.services.get(&to.service)?;
    let target = service.targets.get(&to.target)?;
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = inbound.method.clone();
    match inbound.path.parse() {
        Ok(uri) => head.uri = uri,
        Err(error) => log::warn!("request {}: cannot forward its path: {error}", inbound.id),
    }
    let mut headers = inbound.headers.clone();
    let context = TargetContext {
        target: &target.name,
        address: to.address,
        budget: to.deadline.since(runtime.now()),
        copy_from: to.copy_from,
    };
    runtime
        .dialect
        .set_target_headers(&mut headers, inbound, context);
    set_last_event_id(&mut headers, writer);
    head.headers = headers;
    Some(head)
}

/// Returns the refusal if the service's targets refuse requests with this status without running
/// them.
fn status_refusal(
    runtime: &NodeRuntime,
    to: TargetAttempt,
    status: StatusCode,
    headers: &http::HeaderMap,
) -> Option<Refusal> {
    let snapshot = runtime.snapshot()?;
    let service = snapshot.bundle.services.get(&to.service)?;
    if !service.refuses.contains(&status.as_u16()) {
        return None;
    }
    let retry_after = headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    Some(Refusal::not_run(Reason::Refused).with_retry_after(retry_after.unwrap_or(RETRY_DELAY)))
}

/// Reports an attempt as silent if it makes no progress for too long.
#[derive(Clone, Copy)]
struct SilenceMonitor<'a> {
    runtime: &'a Arc<NodeRuntime>,
    to: TargetAttempt,
    request: &'a str,
}

impl SilenceMonitor<'_> {
    /// Runs a step and reports silence whenever the limit passes, without cancelling the step. Reports
    /// the end of the silence if the output of the step is progress.
    async fn watch<T>(&self, step: impl Future<Output = T>, is_progress: impl Fn(&T) -> bool) -> T {
        let start = self.runtime.now();
        let mut silent = false;
        let report = async {
            loop {
                Timer::after(self.to.silence).await;
                silent = true;
                self.runtime.pool.forget(self.to.address);
                self.runtime.handle(Event::Silent(self.to.attempt));
            }
        };
        let output = step.or(report).await;
        if silent && is_progress(&output) {
            log::info!(
                target: "request",
                request = self.request, attempt = self.to.attempt.0,
                silent_ms = self.runtime.now().since(start).as_millis() as u64;
                "silence ended"
            );
            self.runtime.handle(Event::Progress(self.to.attempt));
        }
        output
    }
}

/// Returns how many bytes of a response to buffer. A response that may be a stream is relayed at
/// once.
fn max_buffered_bytes(streams: Option<bool>) -> usize {
    match streams {
        Some(false) => MAX_BUFFERED_BYTES,
        Some(true) | None => 0,
    }
}

/// A target's response whose body has not been read.
struct TargetResponse {
    status: StatusCode,
    headers: http::HeaderMap,
    body: ResponseBody,
    /// Number of bytes to buffer before the response starts.
    max_buffered: usize,
}

/// A response whose first bytes are buffered, so that another attempt can replace it if it breaks
/// off early.
struct BufferedResponse<'a> {
    writer: &'a ResponseWriter,
    head: Option<ResponseHead>,
    bytes: BytesMut,
    remaining: usize,
}

impl BufferedResponse<'_> {
    /// Returns the outcome if the response broke off.
    fn broken(&self) -> AttemptOutcome {
        AttemptOutcome::Broken {
            started: self.head.is_none() || self.writer.has_started(),
        }
    }

    async fn add(&mut self, bytes: Bytes) -> Result<(), Discontinuity> {
        if self.head.is_some() && bytes.len() <= self.remaining {
            self.remaining -= bytes.len();
            // A kept frame would keep the buffer that it was read into, which may be far larger.
            self.bytes.extend_from_slice(&bytes);
            return Ok(());
        }
        self.flush().await?;
        self.writer.write_data(bytes).await
    }

    async fn flush(&mut self) -> Result<(), Discontinuity> {
        if let Some(head) = self.head.take() {
            self.writer.write_head(head).await;
        }
        if self.bytes.is_empty() {
            return Ok(());
        }
        let bytes = std::mem::take(&mut self.bytes).freeze();
        self.writer.write_data(bytes).await
    }
}

/// Relays a target's response frame by frame, no faster than the caller reads it.
async fn relay_response(
    monitor: SilenceMonitor<'_>,
    response: TargetResponse,
    writer: &ResponseWriter,
    progress: &Progress,
) -> AttemptOutcome {
    let TargetResponse {
        status,
        headers,
        mut body,
        max_buffered,
    } = response;
    let mut recorder = ResponseRecorder::new(monitor.to.keep_response, status, &headers);
    let to = monitor.to;
    let head = ResponseHead {
        status,
        leaving: (monitor.runtime.dialect.is_leaving(&headers)).then_some(to.target),
        headers,
        version: Some(to.version),
    };
    let mut response = BufferedResponse {
        writer,
        head: Some(head),
        bytes: BytesMut::new(),
        remaining: max_buffered,
    };
    let mut awaiting_first = true;
    loop {
        let sound = |frame: &Option<Result<_, _>>| !matches!(frame, Some(Err(_)));
        let frame = monitor.watch(body.frame(), sound).await;
        let broken = !sound(&frame);
        if !broken && std::mem::take(&mut awaiting_first) {
            progress.mark_responded(monitor.runtime.now());
            monitor
                .runtime
                .handle(Event::FirstBytes(monitor.to.attempt));
        }
        match frame {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    progress.mark_body(&bytes);
                    recorder.add(&bytes);
                    if response.add(bytes).await.is_err() {
                        return discontinued(monitor);
                    }
                }
            }
            Some(Err(error)) => {
                log::info!(
                    "request {}: response from target {} broke off: {}",
                    monitor.request,
                    monitor.to.target,
                    describe(&error)
                );
                return response.broken();
            }
            None if progress.received().is_truncated() => {
                log::info!(
                    "request {}: response from target {} broke off: its stream does not end after an event",
                    monitor.request,
                    monitor.to.target
                );
                return response.broken();
            }
            None => {
                if response.flush().await.is_err() {
                    return discontinued(monitor);
                }
                writer.end().await;
                return AttemptOutcome::Complete {
                    response: recorder.finish(),
                    success: status.is_success(),
                };
            }
        }
    }
}

/// Returns the outcome of an attempt whose events do not go on with the stream that has begun.
fn discontinued(monitor: SilenceMonitor<'_>) -> AttemptOutcome {
    log::warn!(
        "request {}: the events of target {} do not go on with the response",
        monitor.request,
        monitor.to.target
    );
    AttemptOutcome::Broken { started: true }
}

/// Records a response for repeats of the request, unless it is too large.
pub struct ResponseRecorder {
    response: Option<StoredResponse>,
}

impl ResponseRecorder {
    /// Starts recording if `keep` is set.
    #[must_use]
    pub fn new(keep: bool, status: StatusCode, headers: &http::HeaderMap) -> Self {
        let response = keep.then(|| StoredResponse {
            status: status.as_u16(),
            headers: headers
                .iter()
                .map(|(name, value)| HeaderField {
                    name: name.as_str().to_owned(),
                    value: value.as_bytes().to_vec(),
                })
                .collect(),
            body: Vec::new(),
        });
        Self { response }
    }

    /// Appends bytes. Stops recording if the response becomes too large.
    pub fn add(&mut self, bytes: &[u8]) {
        let large = self
            .response
            .as_ref()
            .is_some_and(|response| response.body.len() + bytes.len() > MAX_RESPONSE_BYTES);
        if large {
            self.response = None;
        }
        if let Some(response) = &mut self.response {
            response.body.extend_from_slice(bytes);
        }
    }

    /// Returns the recorded response.
    #[must_use]
    pub fn finish(self) -> Option<Arc<StoredResponse>> {
        self.response.map(Arc::new)
    }
}
