//! Starts queued requests at targets, and forwards requests to other nodes.

use std::time::Duration;

use seam_protocol::heartbeat::PrefilledPart;
use seam_protocol::{CustomerId, Reason, ServiceId, Time, VmId};

use super::admit::TRANSIENT_RETRY_AFTER;
use super::{Node, ServiceState};
use crate::command::Command;
use crate::handle::{AttemptKey, Ticket};
use crate::refusal::Refusal;
use crate::request::{Attempt, Destination, Request, Stage};
use crate::targets::{PromptWork, TargetChoice, TargetQuery};

/// Shortest retry-after given to callers.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest retry-after given to callers.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Node {
    /// Queues a request for a slot of a target in this region.
    pub(super) fn enqueue(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let request = &self.requests[&ticket];
        let service = request.service;
        let flow = self.flow_key(now, request);
        let weight = self.weight(now, request);
        let late_at = self.late_at(now, request);
        let request = self.request_mut(ticket);
        request.stage = Stage::Queued;
        request.flow = flow;
        let burst_limit = self.retry_burst_limit();
        let state = self.service_states.entry(service).or_default();
        state.retry_budget.earn();
        if let Some(limit) = burst_limit {
            state.retry_budget.cap(limit);
        }
        state.queue.push(flow, weight, ticket);
        state.late.extend(late_at.map(|late_at| (late_at, ticket)));
        self.dispatch(now, service, out);
    }

    /// Starts queued requests of a service while its targets have free slots.
    pub(super) fn dispatch(&mut self, now: Time, service: ServiceId, out: &mut Vec<Command>) {
        let mut deferred = Vec::new();
        let routed = self.routed();
        self.shed_late(now, service, out);
        // A tenant may be naturally large, so it is not confined to some targets.
        let heavy = if self.routed() {
            Vec::new()
        } else {
            self.service_state(service).heavy_customers.clone()
        };
        loop {
            let slots = self.slots(now, service);
            let Some(state) = self.service_states.get_mut(&service) else {
                break;
            };
            if state.queue.running() >= slots {
                break;
            }
            let Some(ticket) = state.queue.pop(slots) else {
                break;
            };
            if self.shed(now, service, ticket, out) {
                continue;
            }
            let request = &self.requests[&ticket];
            let suspect = self.poison.suspected(request.fingerprint);
            let version = request.version();
            let (prompt, avoid) = (request.prompt.clone(), request.avoid.clone());
            let chosen = self.choose(
                now,
                (ticket, service),
                TargetQuery {
                    prefix: request.prefix,
                    suspect: suspect.then_some(request.fingerprint),
                    customer: request.flow.owner,
                    prompt: prompt.as_deref(),
                    just_booted: self.just_booted(now),
                    avoid: (!avoid.is_empty()).then_some(&avoid),
                    heavy: &heavy,
                    version,
                    reserve: self.queued_reserve(now, request),
                    weighs_prefill: self.competes(request),
                },
            );
            match chosen {
                Some(chosen) => self.send(now, ticket, chosen, out),
                None => {
                    deferred.push(ticket);
                    let next = self.targets.next_grant(now, service);
                    let next = next.filter(|next| *next > now);
                    let review = self.targets.next_room(now, service, routed);
                    self.service_state(service).next_grant = next.or(review);
                    // Targets that a suspect or a begun stream may not use can still accept other
                    // requests.
                    if !suspect && version.is_none() {
                        break;
                    }
                }
            }
        }
        for ticket in deferred.into_iter().rev() {
            let flow = self.requests[&ticket].flow;
            self.service_state(service).queue.requeue(flow, ticket);
        }
    }

    /// Chooses a target for a request, `None` if none has a free slot.
    pub(super) fn choose(
        &mut self,
        now: Time,
        (ticket, service): (Ticket, ServiceId),
        query: TargetQuery,
    ) -> Option<TargetChoice> {
        if let Some(trace) = self.trace.as_mut().filter(|trace| trace.ticket == ticket) {
            let (targets, prefixes) = (&self.targets, &self.prefixes);
            trace.targets = targets.verdicts(now, service, query, prefixes, &self.rng);
        }
        if !self.policy.load_aware {
            let key = self
                .targets
                .any_serving(service, query.version, &mut self.rng)?;
            return Some(TargetChoice::plain(key));
        }
        self.targets
            .choose(now, service, query, &self.prefixes, &mut self.rng)
    }

    /// Returns whether this node booted too recently to know what engines have cached.
    ///
    /// Until then a prompt's shared parts are assumed to be cached at their home engine, where the
    /// previous process sent them.
    pub(crate) fn just_booted(&self, now: Time) -> bool {
        const WARM_UP: Duration = Duration::from_secs(8);
        now.since(self.boot) < WARM_UP
    }

    /// Returns this node's share of the retries that all nodes together may send to a service at
    /// once, or `None` without a limit.
    fn retry_burst_limit(&self) -> Option<u32> {
        let bundle = self.bundle.as_ref()?;
        let nodes = bundle.deployment.vms.len() as u32;
        Some(bundle.retries? / (nodes + 1))
    }

    /// Returns the state of a service, created if missing.
    pub(super) fn service_state(&mut self, service: ServiceId) -> &mut ServiceState {
        self.service_states.entry(service).or_default()
    }

    /// Refuses a dequeued request that cannot meet its deadline or is quarantined, and routes one again
    /// that is no longer allowed here. Returns whether it did either.
    fn shed(
        &mut self,
        now: Time,
        service: ServiceId,
        ticket: Ticket,
        out: &mut Vec<Command>,
    ) -> bool {
        const MIN_TIME_SHARE: f64 = 0.5;
        let min_time = self.expected_time(service).mul_f64(MIN_TIME_SHARE);
        let Some(request) = self.requests.get(&ticket) else {
            return true;
        };
        let flow = request.flow;
        let version = request.version();
        if version.is_some() && !self.targets.serving(service, version) {
            // The last target of the version here left while the request waited.
            self.service_state(service).queue.end(flow);
            self.request_mut(ticket).stage = Stage::Routing;
            self.route(now, ticket, out);
            return true;
        }
        if self.outlasts_process(now, request) {
            self.service_state(service).queue.end(flow);
            self.refuse_dequeued(now, ticket, Self::draining_refusal(), out);
            return true;
        }
        let quarantined = self.is_quarantined(request);
        let in_time = request.budget(now) > min_time || !self.policy.shed;
        // A new revision may have forbidden the request here while it waited, or removed its customer or its
        // tenant.
        let allowed = self.allows(request, self.id.region);
        if in_time && !quarantined && allowed {
            return false;
        }
        let reason = if quarantined {
            Reason::Poison
        } else if !in_time {
            Reason::Deadline
        } else if self.has_customer(request.customer) && self.has_tenant(request) {
            self.service_state(service).queue.end(flow);
            self.request_mut(ticket).stage = Stage::Routing;
            self.route(now, ticket, out);
            return true;
        } else {
            Reason::Revision
        };
        self.service_state(service).queue.end(flow);
        let refusal = Refusal::not_run(reason).with_retry_after(MIN_RETRY_AFTER);
        self.refuse_dequeued(now, ticket, refusal, out);
        true
    }

    /// Refuses, for a time, the queued requests of services and tenants that the bundle in force does not
    /// have, and routes those again whose tenants do not permit this region any more.
    pub(super) fn refuse_unserved(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let unserved = |service: &ServiceId| !bundle.services.contains_key(service);
        let queued = |(_, request): &(&Ticket, &Request)| request.stage == Stage::Queued;
        let queued = self.requests.iter().filter(queued);
        let forbidden = queued.filter(|(_, request)| {
            unserved(&request.service) || !bundle.tenant_permits(request.tenant, self.id.region)
        });
        let tickets: Vec<Ticket> = forbidden.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            // Routing another of them may have ended this one.
            let request = self.requests.get(&ticket);
            let Some(request) = request.filter(|request| request.stage == Stage::Queued) else {
                continue;
            };
            if !unserved(&request.service) && self.has_tenant(request) {
                self.remove_from_queue(ticket);
                self.request_mut(ticket).stage = Stage::Routing;
                self.route(now, ticket, out);
                continue;
            }
            let refusal =
                Refusal::not_run(Reason::Revision).with_retry_after(TRANSIENT_RETRY_AFTER);
            self.refuse(now, ticket, refusal, out);
        }
    }

    /// Returns whether the bundle in force has a customer.
    fn has_customer(&self, customer: CustomerId) -> bool {
        let bundle = self.bundle.as_ref();
        bundle.is_some_and(|bundle| bundle.customers.contains_key(&customer))
    }

    /// Returns whether the bundle in force has the tenant of a request, if the request has one.
    pub(super) fn has_tenant(&self, request: &Request) -> bool {
        request.tenant.is_none_or(|tenant| {
            let bundle = self.bundle.as_ref();
            bundle.is_some_and(|bundle| bundle.tenants.contains_key(&tenant))
        })
    }

    /// Starts a request at the chosen target.
    fn send(&mut self, now: Time, ticket: Ticket, chosen: TargetChoice, out: &mut Vec<Command>) {
        let target = chosen.key;
        let attempt = self.start_attempt(now, ticket, Destination::Target(target), chosen.work);
        self.record_start(now, ticket);
        let request = &self.requests[&ticket];
        let suspect = self.poison.suspected(request.fingerprint);
        let keep = request.local_key;
        let budget = request.budget(now);
        let service = request.service;
        let prompt = request.prompt.clone();
        self.targets
            .begin_request(now, target, suspect, chosen.work);
        self.request_mut(ticket).stage = Stage::Running(attempt);
        let state = self.targets.get(target);
        let id = state.id;
        if let Some((prompt, memory)) = prompt.zip(state.memory_tokens()) {
            self.prefixes.record_prompt(now, target, &prompt, memory);
            // Parts that no other request shares are reported too, since they evict shared parts
            // from the engine's cache.
            for part in prompt.parts.iter().rev() {
                self.pending_update.add_part(PrefilledPart {
                    target: id,
                    part: part.id,
                    tokens: part.tokens,
                });
            }
        }
        self.pending_update.mark_changed();
        let copy_from = chosen
            .copy_from
            .map(|from| self.targets.get(from).spec.address);
        let state = self.targets.get(target);
        out.push(Command::Send {
            ticket,
            attempt,
            target: state.id,
            service,
            address: state.spec.address,
            silence: self.silence(service),
            budget,
            keep_response: keep,
            copy_from,
            estimate: chosen.estimate,
            version: state.version,
        });
    }

    /// Returns the time without progress after which an attempt counts as silent.
    pub(super) fn silence(&self, service: ServiceId) -> Duration {
        self.bundle
            .as_ref()
            .and_then(|bundle| bundle.services.get(&service))
            .map_or(MAX_RETRY_AFTER, |spec| Duration::from_millis(spec.silence))
    }

    /// Records a new attempt of a request.
    fn start_attempt(
        &mut self,
        now: Time,
        ticket: Ticket,
        destination: Destination,
        work: PromptWork,
    ) -> AttemptKey {
        self.next_attempt += 1;
        let key = AttemptKey(self.next_attempt);
        self.request_mut(ticket).attempts += 1;
        let suspect = self.poison.suspected(self.requests[&ticket].fingerprint);
        self.attempts.insert(
            key,
            Attempt {
                ticket,
                destination,
                started: now,
                sent: false,
                silent: None,
                cancelled: false,
                suspect,
                work,
                responded: None,
            },
        );
        key
    }

    /// Forwards a request to another node.
    pub(super) fn forward(&mut self, now: Time, ticket: Ticket, vm: VmId, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let Some(node) = bundle.deployment.vms.get(&vm) else {
            return;
        };
        let destination = Destination::Node {
            vm,
            region: node.region,
        };
        let attempt = self.start_attempt(now, ticket, destination, PromptWork::default());
        let hop = self.own_hop();
        let request = self.request_mut(ticket);
        request.stage = Stage::Forwarded(attempt);
        out.push(Command::Forward {
            ticket,
            attempt,
            vm,
            address: node.peer,
            hops: vec![hop],
            revision: bundle.revision,
            version: request.version(),
            budget: request.budget(now),
        });
    }
}
