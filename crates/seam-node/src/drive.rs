//! The task of one request, from its arrival to its final response.

use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::Task;
use futures_lite::{FutureExt, future};
use log::kv::Value;
use seam_core::arrival::Arrival;
use seam_core::command::{OriginSource, Withheld};
use seam_core::spill::{RegionChoice, RoutingDecision};
use seam_core::{AttemptKey, AttemptOutcome, ConfigStamp, Event, Origin, Refusal, Ticket};
use seam_http::spawn;
use seam_protocol::{Outcome, Reason, TenantId, Time, VersionId};

use crate::config_log::{confirmed, meaning};
use crate::inbound::InboundRequest;
use crate::progress::Progress;
use crate::response_writer::{ResponsePart, ResponseWriter, response_channel};
use crate::runtime::{NodeAttempt, NodeRuntime, TargetAttempt, TaskCommand};
use crate::{link, targets};

struct RunningAttempt {
    task: Task<()>,
    context: AttemptContext,
}

/// Where an attempt is sent.
enum Destination {
    Target(TargetAttempt),
    Node(NodeAttempt),
}

/// One attempt of a request.
#[derive(Clone)]
struct AttemptContext {
    runtime: Arc<NodeRuntime>,
    inbound: Arc<InboundRequest>,
    attempt: AttemptKey,
    progress: Progress,
    start: Time,
}

/// The task of one request.
struct RequestTask {
    runtime: Arc<NodeRuntime>,
    inbound: Arc<InboundRequest>,
    writer: ResponseWriter,
    running: BTreeMap<AttemptKey, RunningAttempt>,
    arrived: Time,
    /// The refusal, and whether the caller received it as the response.
    refusal: Option<(Refusal, bool)>,
    /// The configuration that decided the refusal, or else that by which the request was read.
    config: ConfigStamp,
    /// Whether the caller disconnected before the end of its response.
    caller_left: bool,
}

/// Returns a request as the decision core takes it.
pub(crate) fn arrival(
    runtime: &NodeRuntime,
    inbound: &InboundRequest,
    ticket: Ticket,
    origin: Origin,
) -> Arrival {
    let prefix = runtime.snapshot().and_then(|snapshot| {
        let service = snapshot.bundle.services.get(&inbound.service)?;
        inbound.prefix(service)
    });
    Arrival {
        ticket,
        origin,
        customer: inbound.customer,
        service: inbound.service,
        repeatable: inbound.repeatable,
        replayable: inbound.body.replayable(),
        key: inbound.key.clone(),
        fingerprint: inbound.fingerprint,
        attributes: inbound
            .attributes()
            .map(|attribute| attribute.fingerprint)
            .collect(),
        prefix,
        budget: inbound.budget,
        tenant: inbound.tenant.as_deref().map(TenantId::of),
        route: inbound.rules,
        prompt: inbound.prompt.clone(),
        stream: inbound.stream(),
    }
}

/// Submits a request to the decision core and returns the receiver of its response parts.
pub fn start(
    runtime: &Arc<NodeRuntime>,
    inbound: InboundRequest,
    origin: Origin,
) -> Receiver<ResponsePart> {
    let arrival = arrival(runtime, &inbound, runtime.next_ticket(), origin);
    let (sender, commands) = async_channel::unbounded();
    let resumable = inbound.rules.is_some_and(|rules| rules.resumable);
    let (writer, reader) = response_channel(resumable);
    let arrived = runtime.now();
    let request_task = RequestTask {
        config: inbound.config.stamp(arrived),
        runtime: runtime.clone(),
        inbound: Arc::new(inbound),
        writer,
        running: BTreeMap::new(),
        arrived,
        refusal: None,
        caller_left: false,
    };
    runtime.register(arrival.ticket, sender);
    let ticket = arrival.ticket;
    runtime.handle(Event::Arrive(arrival));
    spawn(request_task.run(ticket, commands)).detach();
    reader
}

impl RequestTask {
    async fn run(mut self, ticket: Ticket, commands: Receiver<TaskCommand>) {
        let mut finished = false;
        loop {
            let next = async { commands.recv().await.ok() };
            let command = if finished {
                next.await
            } else {
                let caller_left = async {
                    self.writer.closed().await;
                    None
                };
                let first = future::or(async { Some(next.await) }, caller_left).await;
                match first {
                    Some(command) => command,
                    None => {
                        finished = true;
                        self.caller_left = !self.writer.is_complete();
                        self.runtime.handle(Event::CallerGone(ticket));
                        continue;
                    }
                }
            };
            match command {
                Some(TaskCommand::LogRouting(decision)) => self.log_routing(&decision),
                Some(TaskCommand::LogOrigin(version, source)) => self.log_origin(version, source),
                Some(TaskCommand::LogWithheld(attempt, reason)) => {
                    self.log_withheld(attempt, reason);
                }
                Some(TaskCommand::Send(to)) => self.send(to),
                Some(TaskCommand::Forward(to)) => self.forward(to),
                Some(TaskCommand::Cancel(attempt)) => self.cancel(attempt).await,
                Some(TaskCommand::Refuse(refusal, config)) => {
                    finished = true;
                    let response_part = ResponsePart::Refusal(refusal, config);
                    let delivered = self.writer.send_final(response_part);
                    if self.refusal.is_none() {
                        self.refusal = Some((refusal, delivered));
                        self.config = config;
                    }
                }
                Some(TaskCommand::Replay(response)) => {
                    finished = true;
                    self.writer.send_final(ResponsePart::Replay(response));
                }
                Some(TaskCommand::Done) | None => break,
            }
        }
        self.log_end();
        // A response whose last parts are still being read ends by itself.
        for (_, running) in std::mem::take(&mut self.running) {
            running.task.detach();
        }
    }

    /// Logs the basis of the routing decision: predicted times in this region and in the best other
    /// region.
    fn log_routing(&self, decision: &RoutingDecision) {
        let RoutingDecision {
            request,
            local,
            best,
            contest,
            ..
        } = decision;
        let pressure = contest.map(|contest| contest.pressure).unwrap_or_default();
        let percent = |part: f64| (part * 100.0).round() as u64;
        let choice = match decision.choice {
            RegionChoice::Local => "waits here",
            RegionChoice::Remote(_) => "other region",
            RegionChoice::Refuse(_) => "nowhere in time",
        };
        let millis = |time: Duration| time.as_millis() as u64;
        log::info!(
            target: "request",
            request = self.inbound.id.as_str(), choice = choice, possible = local.possible,
            wait_ms = millis(local.wait), expected_ms = millis(request.expected),
            limit_ms = millis(request.budget),
            other:% = best.map_or_else(String::new, |best| best.region.to_string()),
            other_wait_ms = best.map_or(0, |best| millis(best.round_trip + best.wait)),
            other_age_ms = millis(decision.age),
            rank = contest.map_or(0, |contest| contest.rank),
            held_for = contest.and_then(|contest| contest.held_for).map_or_else(Value::null, Value::from),
            excess = contest.is_some_and(|contest| contest.excess),
            room = contest.map_or("", |contest| contest.room.name()),
            urgent_wait_ms = millis(pressure.wait), slots_percent = percent(pressure.slots),
            memory_percent = percent(pressure.memory), scarce = local.scarce, age_ms = self.age();
            "placed"
        );
    }

    /// Logs which version of the targets' software began the stream that the request takes up.
    fn log_origin(&self, version: Option<VersionId>, source: OriginSource) {
        let snapshot = self.runtime.snapshot();
        let services = snapshot.as_ref().map(|snapshot| &snapshot.bundle.services);
        let service = services.and_then(|services| services.get(&self.inbound.service));
        let version = version.map_or_else(String::new, |version| {
            let targets = service
                .into_iter()
                .flat_map(|service| service.targets.values());
            let target = targets
                .into_iter()
                .find(|target| target.version_id() == version);
            target.map_or_else(|| version.to_string(), |target| target.version.clone())
        });
        log::info!(
            target: "request",
            request = self.inbound.id.as_str(), resumes = self.inbound.resumes.as_deref().unwrap_or_default(),
            version = version.as_str(), origin = source.name(), age_ms = self.age();
            "takes up a stream"
        );
    }

    /// Logs why an attempt is not sent after all.
    fn log_withheld(&self, attempt: AttemptKey, reason: Withheld) {
        log::info!(
            target: "request",
            request = self.inbound.id.as_str(), attempt = attempt.0, reason = reason.name(),
            age_ms = self.age();
            "withheld"
        );
    }

    /// Logs the end of the request, once per request.
    fn log_end(&self) {
        let (end, refusal) = match self.refusal {
            _ if self.writer.is_complete() => ("complete", None),
            Some((refusal, true)) => ("refused", Some(refusal)),
            Some((refusal, false)) if self.caller_left => ("left", Some(refusal)),
            Some((refusal, false)) => ("cut", Some(refusal)),
            None => ("left", None),
        };
        let outcome = match refusal {
            Some(refusal) => refusal.outcome,
            None if self.writer.is_complete() => Outcome::Complete,
            None => Outcome::Unknown,
        };
        let age = self.runtime.now().since(self.arrived);
        let poison = refusal.is_some_and(|refusal| refusal.reason == Reason::Poison);
        let parts = poison.then(|| self.inbound.shared_parts());
        let caller = self.inbound.caller_text();
        let status = refusal.map(|refusal| self.runtime.dialect.refusal_status(refusal));
        self.runtime
            .metrics
            .request_ended(&self.inbound.customer_name, end, age);
        if let Some((status, refusal)) = status.zip(refusal) {
            self.runtime
                .note_refusal(status, refusal.reason, &self.config);
        }
        log::info!(
            target: "request",
            request = self.inbound.id.as_str(), route = self.inbound.customer_name.as_str(),
            tenant = self.inbound.tenant.as_deref().unwrap_or_default(), end = end,
            outcome:% = outcome, fingerprint:% = self.inbound.fingerprint,
            method = self.inbound.method.as_str(), path = self.inbound.path.as_str(), caller = caller.as_str(),
            status = status.map_or_else(Value::null, |status| status.as_u16().into()),
            reason = refusal.map_or("", |refusal| refusal.reason.slug()),
            parts = parts.unwrap_or_default().as_str(), resumes = self.inbound.resumes.as_deref().unwrap_or_default(),
            retry_ms = refusal.and_then(|refusal| refusal.retry_after).unwrap_or_default().as_millis() as u64,
            config = self.config.revision, config_item = self.config.item_revision,
            config_age_ms = self.config.age_ms, confirmed_age_ms = confirmed(&self.config),
            meaning = meaning(&self.config), config_read = self.inbound.config.revision,
            age_ms = age.as_millis() as u64;
            "request ended"
        );
    }

    /// Returns the milliseconds since the request arrived.
    fn age(&self) -> u64 {
        self.runtime.now().since(self.arrived).as_millis() as u64
    }

    /// Returns the published version of a target's software, empty if there is none.
    fn target_version(&self, to: TargetAttempt) -> String {
        let snapshot = self.runtime.snapshot();
        let services = snapshot.as_ref().map(|snapshot| &snapshot.bundle.services);
        let service = services.and_then(|services| services.get(&to.service));
        let target = service.and_then(|service| service.targets.get(&to.target));
        target.map_or_else(String::new, |target| target.version.clone())
    }

    fn send(&mut self, to: TargetAttempt) {
        log::info!(
            target: "request",
            request = self.inbound.id.as_str(), attempt = to.attempt.0, to:% = to.target,
            address:% = to.address, copies = to.copy_from.is_some(), load = to.estimate.load, unread = to.estimate.prefill_tokens,
            predicted_ms = to.estimate.predicted_ms, version = self.target_version(to).as_str(), age_ms = self.age();
            "sent to a target"
        );
        self.start_attempt(to.attempt, Destination::Target(to));
    }

    fn forward(&mut self, to: NodeAttempt) {
        log::info!(
            target: "request",
            request = self.inbound.id.as_str(), attempt = to.attempt.0, node:% = to.address,
            revision = to.revision, age_ms = self.age();
            "forwarded"
        );
        self.start_attempt(to.attempt, Destination::Node(to));
    }

    /// Starts an attempt in a task of its own.
    fn start_attempt(&mut self, attempt: AttemptKey, destination: Destination) {
        let context = self.attempt_context(attempt);
        let (running, writer) = (context.clone(), self.writer.clone());
        let task = spawn(async move {
            let AttemptContext {
                runtime,
                inbound,
                progress,
                ..
            } = &running;
            let exchange = async {
                match destination {
                    Destination::Target(to) => {
                        targets::exchange(runtime, to, inbound, &writer, progress).await
                    }
                    Destination::Node(to) => {
                        link::forward(runtime, to, inbound, &writer, progress).await
                    }
                }
            };
            // An attempt that is never reported would hold its place at the target for good.
            let reply = AssertUnwindSafe(exchange).catch_unwind().await;
            let reply = reply.unwrap_or_else(|_| panicked(&running, &writer));
            report(&running, reply, &writer);
        });
        self.running
            .insert(attempt, RunningAttempt { task, context });
    }

    fn attempt_context(&self, attempt: AttemptKey) -> AttemptContext {
        AttemptContext {
            runtime: self.runtime.clone(),
            inbound: self.inbound.clone(),
            attempt,
            progress: Progress::default(),
            start: self.runtime.now(),
        }
    }

    /// Cancels an attempt and reports its outcome as far as it is certain.
    async fn cancel(&mut self, attempt: AttemptKey) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if running.task.cancel().await.is_some() {
            return;
        }
        let reply = if running.context.progress.was_sent() {
            AttemptOutcome::Broken {
                started: self.writer.has_started(),
            }
        } else {
            AttemptOutcome::NotSent
        };
        report(&running.context, reply, &self.writer);
    }
}

/// Returns the outcome of an attempt that panicked. Nothing is promised of the request, and the target is
/// not at fault.
fn panicked(context: &AttemptContext, writer: &ResponseWriter) -> AttemptOutcome {
    log::error!(
        target: "request",
        request = context.inbound.id.as_str(), attempt = context.attempt.0;
        "attempt panicked"
    );
    if writer.has_started() {
        return AttemptOutcome::Broken { started: true };
    }
    AttemptOutcome::OutcomeUnknown(Refusal::unknown(Reason::Broken))
}

/// Reports the end of an attempt. A response that broke off after its start is aborted unless
/// another target can resume it; it is never completed.
fn report(context: &AttemptContext, reply: AttemptOutcome, writer: &ResponseWriter) {
    let AttemptContext {
        runtime, attempt, ..
    } = context;
    let attempt = *attempt;
    let end = match &reply {
        AttemptOutcome::Complete { .. } => "complete",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Refused(_) => "refused",
        AttemptOutcome::OutcomeUnknown(_) => "unsure",
        AttemptOutcome::Broken { started: true } => "cut",
        AttemptOutcome::Broken { started: false } => "broken",
    };
    let received = context.progress.received();
    let broken = matches!(reply, AttemptOutcome::Broken { .. });
    let parts = broken.then(|| context.inbound.shared_parts());
    log::info!(
        target: "request",
        request = context.inbound.id.as_str(), attempt = attempt.0, end = end,
        parts = parts.unwrap_or_default().as_str(), framing = received.framing.name(), bytes = received.bytes, in_event = received.in_event(),
        first_ms = context.progress.first_ms(context.start),
        took_ms = runtime.now().since(context.start).as_millis() as u64;
        "attempt ended"
    );
    let aborted =
        matches!(reply, AttemptOutcome::Broken { started: true }) && !writer.is_resumable();
    runtime.forget_attempt(attempt);
    runtime.handle(Event::AttemptEnded(attempt, reply));
    // If the writer were closed first, the request would look abandoned by its caller.
    if aborted {
        writer.close();
    }
}
