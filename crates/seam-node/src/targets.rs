//! Exchanges with targets.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Request, StatusCode, header, request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use seam_core::keys::LARGEST_ANSWER;
use seam_core::{Event, Refusal, Reply};
use seam_http::ClientError;
use seam_protocol::{Field, Reason, StoredAnswer};

use crate::dialect::{ResponseClass, TargetContext};
use crate::events::LAST_EVENT_FIELD;
use crate::hub::{Hub, TargetAttempt};
use crate::inbound::InboundRequest;
use crate::pool::most_idle;
use crate::progress::Progress;
use crate::response_writer::ResponseWriter;

/// Largest answer in bytes that is read whole before it is passed on.
const HELD: usize = 64 << 10;
/// Time after which a refused request may be tried again, if the target does not say.
const RETRY: Duration = Duration::from_secs(1);

/// Sends a request to a target and passes its answer on. Returns how that ended.
pub async fn exchange(
    hub: &Arc<Hub>,
    to: TargetAttempt,
    inbound: &InboundRequest,
    writer: &ResponseWriter,
    progress: &Progress,
) -> Reply {
    let Some(mut head) = head(hub, to, inbound) else {
        return Reply::NotSent;
    };
    set_last_event_id(&mut head.headers, writer);
    let mut connection = match hub.pool.connection(to.address, inbound.repeatable).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!("request {}: {error}", inbound.id);
            return Reply::NotSent;
        }
    };
    if !hub.may_send(to.attempt) {
        return Reply::NotSent;
    }
    let Some(body) = inbound.open_body() else {
        return Reply::NotSent;
    };
    progress.mark_sent();
    let silence = SilenceMonitor { hub, to };
    let request = Request::from_parts(head, body);
    let answer = match silence.watch(connection.send(request)).await {
        Ok(answer) => answer,
        Err(ClientError::NotSent) => return Reply::NotSent,
        Err(error) => {
            if let Some(reply) = inbound.body_failure() {
                return reply;
            }
            log::info!(
                "request {}: no answer of target {}: {error}",
                inbound.id,
                to.target
            );
            return Reply::Broken {
                started: writer.has_started(),
            };
        }
    };
    let (head, body) = answer.into_parts();
    if let Some(load) = hub.dialect.load_report(&head.headers) {
        hub.handle(Event::Load(to.target, load));
    }
    let log_refusal = |retry: Option<Duration>| {
        log::info!(
            target: "request",
            request = inbound.id.as_str(), attempt = to.attempt.0, status = head.status.as_u16(),
            retry_ms = retry.unwrap_or_default().as_millis() as u64;
            "refused by a target"
        );
    };
    if let Some(refusal) = refused(hub, to, head.status, &head.headers) {
        log_refusal(refusal.retry);
        return Reply::Refused(refusal);
    }
    match hub
        .dialect
        .classify_response(inbound, head.status, &head.headers)
    {
        ResponseClass::Valid => {}
        ResponseClass::NotRun(retry) => {
            log_refusal(retry);
            let refusal = Refusal::not_run(Reason::Refused).after(retry.unwrap_or(RETRY));
            return Reply::Refused(refusal);
        }
        ResponseClass::Mismatched => {
            log::warn!(
                "request {}: target {} sent an answer with status {} that is not to it",
                inbound.id,
                to.target,
                head.status
            );
            return Reply::Broken { started: false };
        }
    }
    if writer.has_started() && !head.status.is_success() {
        // Only a stream can go on where another one broke off.
        return Reply::Broken { started: true };
    }
    if head.status.is_server_error() && hub.should_discard(to.attempt) {
        return Reply::Unsure(Refusal::unknown(Reason::Broken));
    }
    let mut fields = head.headers;
    hub.dialect.strip_headers(&mut fields);
    let streams = inbound.rules.is_none_or(|rules| rules.streams);
    let most = if streams { 0 } else { HELD };
    let answer = TargetAnswer {
        status: head.status,
        fields,
        body,
    };
    let reply = pass_on(silence, answer, writer, progress, most).await;
    if matches!(reply, Reply::Complete { .. }) && connection.ready().await.is_ok() {
        let most = most_idle(connections(hub, to), hub.read(seam_core::Node::nodes_near));
        hub.pool.put(to.address, connection, most);
    }
    reply
}

/// Returns the connections that a target takes, zero where it does not say.
fn connections(hub: &Hub, to: TargetAttempt) -> usize {
    let snapshot = hub.snapshot();
    let services = snapshot.as_ref().map(|snapshot| &snapshot.bundle.services);
    let service = services.and_then(|services| services.get(&to.service));
    service.map_or(0, |service| service.capacity.connections as usize)
}

/// Asks a target to go on after the last event that has passed.
pub fn set_last_event_id(fields: &mut http::HeaderMap, writer: &ResponseWriter) {
    let last = writer.prepare_resume();
    let value = last.and_then(|last| http::HeaderValue::from_str(&last).ok());
    if let Some(value) = value {
        fields.insert(LAST_EVENT_FIELD, value);
    }
}

/// Builds the request's head, `None` if the target is no longer in the configuration.
fn head(hub: &Hub, to: TargetAttempt, inbound: &InboundRequest) -> Option<request::Parts> {
    let snapshot = hub.snapshot()?;
    let service = snapshot.bundle.services.get(&to.service)?;
    let target = service.targets.get(&to.target)?;
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = inbound.method.clone();
    match inbound.path.parse() {
        Ok(uri) => head.uri = uri,
        Err(error) => log::warn!("request {}: path not passed on: {error}", inbound.id),
    }
    let mut fields = inbound.headers.clone();
    let told = TargetContext {
        target: &target.name,
        address: to.address,
        budget: to.deadline.since(hub.now()),
        copy_from: to.copy_from,
    };
    hub.dialect.set_target_headers(&mut fields, inbound, told);
    head.headers = fields;
    Some(head)
}

fn refused(
    hub: &Hub,
    to: TargetAttempt,
    status: StatusCode,
    fields: &http::HeaderMap,
) -> Option<Refusal> {
    let snapshot = hub.snapshot()?;
    let service = snapshot.bundle.services.get(&to.service)?;
    if !service.refuses.contains(&status.as_u16()) {
        return None;
    }
    let stated = fields
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    Some(Refusal::not_run(Reason::Refused).after(stated.unwrap_or(RETRY)))
}

/// Reports an attempt as silent when nothing happens for too long.
#[derive(Clone, Copy)]
struct SilenceMonitor<'a> {
    hub: &'a Arc<Hub>,
    to: TargetAttempt,
}

impl SilenceMonitor<'_> {
    /// Runs a step and reports silence while it lasts too long. The step itself goes on.
    async fn watch<T>(&self, step: impl Future<Output = T>) -> T {
        let report = async {
            loop {
                Timer::after(self.to.silence).await;
                self.hub.pool.forget(self.to.address);
                self.hub.handle(Event::Silent(self.to.attempt));
            }
        };
        step.or(report).await
    }
}

/// A target's answer, its body still to be read.
struct TargetAnswer {
    status: StatusCode,
    fields: http::HeaderMap,
    body: Incoming,
}

/// An answer of which the first bytes are held back, so that one that breaks off early can be
/// replaced by another.
struct BufferedResponse<'a> {
    writer: &'a ResponseWriter,
    head: Option<(StatusCode, http::HeaderMap)>,
    bytes: Vec<Bytes>,
    left: usize,
}

impl BufferedResponse<'_> {
    async fn add(&mut self, bytes: Bytes) {
        if self.head.is_some() && bytes.len() <= self.left {
            self.left -= bytes.len();
            self.bytes.push(bytes);
            return;
        }
        self.release().await;
        self.writer.write_data(bytes).await;
    }

    async fn release(&mut self) {
        if let Some((status, fields)) = self.head.take() {
            self.writer.write_head(status, fields).await;
        }
        for bytes in std::mem::take(&mut self.bytes) {
            self.writer.write_data(bytes).await;
        }
    }
}

/// Passes a target's answer on, frame by frame, no faster than its reader takes it.
async fn pass_on(
    silence: SilenceMonitor<'_>,
    answer: TargetAnswer,
    writer: &ResponseWriter,
    progress: &Progress,
    held: usize,
) -> Reply {
    let TargetAnswer {
        status,
        fields,
        mut body,
    } = answer;
    let mut recorder = ResponseRecorder::new(silence.to.keep, status, &fields);
    let mut answer = BufferedResponse {
        writer,
        head: Some((status, fields)),
        bytes: Vec::new(),
        left: held,
    };
    let mut first = true;
    loop {
        let frame = silence.watch(body.frame()).await;
        if std::mem::take(&mut first) {
            progress.mark_responded(silence.hub.now());
            silence.hub.handle(Event::First(silence.to.attempt));
        }
        match frame {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    recorder.add(&bytes);
                    answer.add(bytes).await;
                }
            }
            Some(Err(error)) => {
                log::info!("answer of target {} broke off: {error}", silence.to.target);
                return Reply::Broken {
                    started: answer.head.is_none() || writer.has_started(),
                };
            }
            None => {
                answer.release().await;
                writer.end().await;
                return Reply::Complete {
                    answer: recorder.whole(),
                };
            }
        }
    }
}

/// Collects an answer for repeats while it is small enough.
pub struct ResponseRecorder {
    answer: Option<StoredAnswer>,
}

impl ResponseRecorder {
    /// Starts collecting, if asked to.
    #[must_use]
    pub fn new(keep: bool, status: StatusCode, fields: &http::HeaderMap) -> Self {
        let answer = keep.then(|| StoredAnswer {
            status: status.as_u16(),
            fields: fields
                .iter()
                .map(|(name, value)| Field {
                    name: name.as_str().to_owned(),
                    value: value.as_bytes().to_vec(),
                })
                .collect(),
            body: Vec::new(),
        });
        Self { answer }
    }

    /// Adds bytes, or gives up if the answer grows too large.
    pub fn add(&mut self, bytes: &[u8]) {
        let large = self
            .answer
            .as_ref()
            .is_some_and(|answer| answer.body.len() + bytes.len() > LARGEST_ANSWER);
        if large {
            self.answer = None;
        }
        if let Some(answer) = &mut self.answer {
            answer.body.extend_from_slice(bytes);
        }
    }

    /// Returns the whole answer, if it was kept.
    #[must_use]
    pub fn whole(self) -> Option<Arc<StoredAnswer>> {
        self.answer.map(Arc::new)
    }
}
