//! Routing of requests: to targets of this region, to another node of it, or to another region.

use std::collections::BTreeSet;
use std::time::Duration;

use seam_protocol::heartbeat::ServiceCapacity;
use seam_protocol::id::{rank, weighted_rank};
use seam_protocol::{Reason, RegionId, ServiceId, Time, VersionId, VmId};

use super::Node;
use super::admit::TRANSIENT_RETRY_AFTER;
use super::dispatch::{MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use super::summaries::{WAIT_NO_TARGET, ample_slots};
use crate::admission::time_limit;
use crate::command::Command;
use crate::handle::Ticket;
use crate::peers::Peer;
use crate::refusal::Refusal;
use crate::request::{Request, Stage};
use crate::spill::{
    LocalView, RELIEF_FRACTION, RegionChoice, RemoteView, RoutingDecision, RoutingRequest,
};
use crate::targets::{NodeSubset, TargetQuery, service_nodes};

/// Longest predicted wait at which a region accepts forwarded requests that the sender's region is
/// allowed to serve itself.
const MAX_SPILL_WAIT: Duration = Duration::from_millis(200);
/// Number of regions that refused or failed a request after which it is sent to no other region.
const MAX_REFUSALS: usize = 3;
/// Time after which a caller may come back if no region has a target for its request.
const NO_TARGET_RETRY: Duration = Duration::from_secs(MAX_RETRY_AFTER.as_secs() / 10);

impl Node {
    /// Routes an admitted request: queues it at this node, forwards it, or refuses it.
    pub(super) fn route(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        if self.refuse_late(now, ticket, out) {
            return;
        }
        let request = &self.requests[&ticket];
        if request.version().is_some() && self.out_of_step() {
            let refusal = Refusal::not_run(Reason::Version).with_retry_after(MIN_RETRY_AFTER);
            self.refuse(now, ticket, refusal, out);
            return;
        }
        if request.forwarded() {
            let service = request.service;
            self.use_targets_briefly(now, service);
        }
        let (decision, local_node) = self.decide_region(now, ticket);
        let log = Command::LogRouting { ticket, decision };
        match (decision.choice, local_node) {
            (RegionChoice::Local, Some(vm)) => self.forward(now, ticket, vm, out),
            (RegionChoice::Local, None) => {
                self.enqueue(now, ticket, out);
                self.count_held(ticket, &log);
                let request = self.requests.get(&ticket);
                if request.is_some_and(|request| request.stage == Stage::Queued) {
                    out.push(log);
                }
            }
            (RegionChoice::Remote(region), _) => {
                out.push(log);
                self.send_to_region(now, ticket, region, out);
            }
            (RegionChoice::Refuse(wait), _) => {
                out.push(log);
                let request = &self.requests[&ticket];
                let (reason, retry) = match wait {
                    Some(wait) => (Reason::Overload, wait),
                    None if !self.has_tenant(request) => (Reason::Revision, TRANSIENT_RETRY_AFTER),
                    None if request.version().is_some() => (Reason::Version, NO_TARGET_RETRY),
                    None if request.other_revision => (Reason::Revision, TRANSIENT_RETRY_AFTER),
                    None => (Reason::NoTarget, NO_TARGET_RETRY),
                };
                let refusal = Refusal::not_run(reason)
                    .with_retry_after(retry.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
                self.refuse(now, ticket, refusal, out);
            }
        }
    }

    /// Compares this region with others for a request.
    ///
    /// Returns the decision with its inputs, and the node of this region to forward the request to
    /// if this node uses no target of the service.
    fn decide_region(&mut self, now: Time, ticket: Ticket) -> (RoutingDecision, Option<VmId>) {
        let routing = self.routing_request(now, &self.requests[&ticket]);
        let mut local = self.local_prompt_view(now, ticket, routing.expected);
        let request = &self.requests[&ticket];
        let all_failed = local.possible
            && self
                .targets
                .covers_serving(request.service, request.version(), &request.avoid);
        let retry_regions = all_failed.then(|| self.remote_views(now, request));
        if retry_regions
            .as_ref()
            .is_some_and(|regions| !regions.is_empty())
        {
            // Every target of this region has failed the request, but other regions may serve it.
            local.possible = false;
        }
        let relay = self.relay_node(now, request);
        let local_node = match relay {
            None if !local.possible => self.node_with_targets(now, request),
            relay => relay,
        };
        if local_node.is_some() {
            local.possible = true;
            local.wait = self.regional_wait(now, request.service);
            local.penalty = Duration::ZERO;
        }
        // No other region is faster than this one without a wait. A forwarded request is not
        // forwarded again.
        let no_wait = local.possible
            && local.wait.is_zero()
            && !local.scarce
            && routing.expected <= routing.budget;
        let remotes = match retry_regions {
            _ if no_wait || request.forwarded() => Vec::new(),
            Some(regions) => regions,
            None => self.remote_views(now, request),
        };
        let choice = if request.forwarded() {
            self.choose_forwarded(request, routing, local)
        } else {
            self.spill.choose(routing, local, &remotes)
        };
        let choice = match choice {
            RegionChoice::Remote(_) if local.possible && !self.policy.spill => RegionChoice::Local,
            RegionChoice::Refuse(Some(_)) if !self.policy.shed => RegionChoice::Local,
            choice => choice,
        };
        let (choice, local_node) = match choice {
            RegionChoice::Refuse(None) => match self.last_relay(now, request) {
                Some(vm) => (RegionChoice::Local, Some(vm)),
                None => (choice, None),
            },
            choice => (choice, local_node),
        };
        let chosen = |remote: &RemoteView| choice == RegionChoice::Remote(remote.region);
        let regions = remotes.iter().copied();
        let best = regions.min_by_key(|remote| (!chosen(remote), remote.cost()));
        let received = best.and_then(|best| self.peers.summary_received(best.region));
        let decision = RoutingDecision {
            request: routing,
            local,
            best,
            age: received.map_or(Duration::ZERO, |received| now.since(received)),
            choice,
            contest: self.contest(now, request),
        };
        if let Some(trace) = self.trace.as_mut().filter(|trace| trace.ticket == ticket) {
            trace.decision = Some(decision);
        }
        (decision, local_node)
    }

    /// Returns the properties of a request that decide its region.
    pub(super) fn routing_request(&self, now: Time, request: &Request) -> RoutingRequest {
        let weight = self
            .bundle
            .as_ref()
            .map_or(1.0, |bundle| bundle.deployment.latency_weight);
        let budget = request.budget(now);
        let objective = request.route.map_or(budget, |class| {
            class.objective.saturating_sub(now.since(request.arrived))
        });
        let late_after = match request.route {
            Some(class) => {
                let room = self.room(now, request);
                time_limit(
                    room,
                    class.objective,
                    self.counted_age(now, request),
                    budget,
                )
            }
            None => budget,
        };
        RoutingRequest {
            service: request.service,
            budget: late_after,
            objective: objective.min(budget),
            expected: self.unqueued_time(now, request),
            weight,
        }
    }

    /// Predicts the service time of a request without any wait; for streams, the time to the first
    /// event.
    fn unqueued_time(&self, now: Time, request: &Request) -> Duration {
        let service = request.service;
        let prompt_time = request.prompt.as_ref().and_then(|prompt| {
            let fresh = self.just_booted(now);
            self.targets
                .prompt_time(service, fresh, prompt, &self.prefixes)
        });
        prompt_time.unwrap_or_else(|| self.expected_time(service))
    }

    /// Predicts the wait in this region like [`Self::local_view`], but for a prompt at the engine
    /// that it would be sent to.
    ///
    /// That engine may have a longer wait than others, because it has parts of the prompt cached.
    /// `unqueued` is the predicted service time of the request without a wait.
    fn local_prompt_view(&mut self, now: Time, ticket: Ticket, unqueued: Duration) -> LocalView {
        let request = &self.requests[&ticket];
        let service = request.service;
        let chosen = match request.prompt.clone() {
            Some(prompt) if self.policy.load_aware && self.possible_here(request) => {
                let query = TargetQuery {
                    prompt: Some(&prompt),
                    just_booted: self.just_booted(now),
                    version: request.version(),
                    reserve: self.reserve(now, request),
                    weighs_prefill: self.competes(request),
                    ..TargetQuery::default()
                };
                self.choose(now, (ticket, service), query)
            }
            _ => None,
        };
        let request = &self.requests[&ticket];
        match chosen {
            Some(chosen) => LocalView {
                possible: true,
                wait: chosen.delay.saturating_sub(unqueued) + self.slot_wait(now, request),
                penalty: self.refusal_penalty(request, chosen.penalty),
                scarce: self.is_scarce(now, request),
            },
            None => self.local_view(now, request),
        }
    }

    /// Returns whether residency allows a request in this region and a target that this node uses
    /// is serving.
    fn possible_here(&self, request: &Request) -> bool {
        self.allows(request, self.id.region)
            && self.targets.serving(request.service, request.version())
    }

    /// Predicts the wait for a slot in this region.
    pub(crate) fn local_view(&self, now: Time, request: &Request) -> LocalView {
        LocalView {
            possible: self.possible_here(request),
            wait: self.local_wait(now, request),
            penalty: Duration::ZERO,
            scarce: self.is_scarce(now, request),
        }
    }

    /// Returns another node of this region that uses a service's targets, for a node that uses
    /// none.
    ///
    /// Requests with the same prompt prefix go to the same node.
    pub(crate) fn node_with_targets(&self, now: Time, request: &Request) -> Option<VmId> {
        let region = self.id.region;
        let refused = request.refused.contains(&region) || request.forwarded();
        if refused
            || !self.allows(request, region)
            || !self
                .targets
                .serving_in_region(request.service, request.version())
        {
            return None;
        }
        let seed = request.prefix.unwrap_or(request.fingerprint.0);
        service_nodes(
            self.targets.node_subset(request.service),
            &self.ready_nodes(now),
        )
        .into_iter()
        .filter(|vm| *vm != self.id.vm && !request.tried.contains(vm))
        .max_by_key(|vm| rank(seed, u64::from(vm.0)))
    }

    /// Returns the number of nodes of this region that accept new requests.
    #[must_use]
    pub fn ready_node_count(&self, now: Time) -> usize {
        self.iter_ready_nodes(now).count()
    }

    /// Returns the nodes of this region that accept new requests.
    pub(crate) fn ready_nodes(&self, now: Time) -> BTreeSet<VmId> {
        self.iter_ready_nodes(now).collect()
    }

    fn iter_ready_nodes(&self, now: Time) -> impl Iterator<Item = VmId> + '_ {
        let alive = self.alive.iter().copied();
        alive.filter(move |vm| *vm == self.id.vm || self.peers.ready(now, *vm))
    }

    /// Uses a service's targets for a limited time after another node forwarded a request for it.
    ///
    /// That node assumes that this one uses the targets: it may have noticed the loss of a node
    /// earlier, or know only some nodes of this region.
    fn use_targets_briefly(&mut self, now: Time, service: ServiceId) {
        const USE_TIME: Duration = Duration::from_secs(10);
        if !self.targets.serving(service, None) && self.targets.serving_in_region(service, None) {
            self.targets.use_until(service, now + USE_TIME);
            self.refresh_members(now);
        }
    }

    /// Predicts the wait at the nodes of this region that use a service's targets.
    fn regional_wait(&self, now: Time, service: ServiceId) -> Duration {
        let slots = self.targets.node_subset(service).slots;
        let (running, queued) = self.regional_load(now, service);
        let ahead = f64::from((running + queued + 1).saturating_sub(slots));
        self.expected_time(service)
            .mul_f64(ahead / f64::from(slots.max(1)))
    }

    /// Returns whether the residency rules allow a request to run in a region, both those in force and
    /// those by which it was admitted.
    pub(crate) fn allows(&self, request: &Request, region: RegionId) -> bool {
        let Some(bundle) = &self.bundle else {
            return false;
        };
        let specs = bundle
            .services
            .get(&request.service)
            .zip(bundle.customers.get(&request.customer));
        let allowed = specs
            .is_some_and(|(service, customer)| bundle.allows_region(service, customer, region));
        allowed && bundle.tenant_permits(request.tenant, region) && request.permits(region)
    }

    /// Predicts the wait for an engine and a slot in this region, or for a share of a granted rate.
    fn local_wait(&self, now: Time, request: &Request) -> Duration {
        let (service, version) = (request.service, request.version());
        let slot_wait = self.slot_wait(now, request);
        let wait = match request.prompt {
            Some(_) if self.awaits_turnover(now, request) => self.turnover_wait(now, request),
            Some(_) => self.prompt_wait(now, service, version) + slot_wait,
            None => {
                let (_, queued) = self.regional_load(now, service);
                let wait = self.targets.queue_wait(now, service, version, queued);
                wait.max(slot_wait)
            }
        };
        wait.max(self.granted_wait(now, service, version))
    }

    /// Predicts how long a prompt waits for an engine.
    pub(super) fn prompt_wait(
        &self,
        now: Time,
        service: ServiceId,
        version: Option<VersionId>,
    ) -> Duration {
        /// Wait while no engine accepts work: about the time for which a returning one counts as
        /// cold.
        const NO_OPEN_ENGINE: Duration = Duration::from_secs(2);
        let wait = self.targets.prompt_wait(now, service, version);
        wait.unwrap_or(NO_OPEN_ENGINE)
    }

    /// Predicts how long a request waits for a slot.
    fn slot_wait(&self, now: Time, request: &Request) -> Duration {
        let slots = self.slots(now, request.service);
        let Some(state) = self.service_states.get(&request.service) else {
            return Duration::ZERO;
        };
        let weight = self.weight(now, request);
        let ahead = state.queue.ahead(self.flow_key(now, request), weight);
        let free = slots.saturating_sub(state.queue.running());
        if ahead < free as usize {
            return Duration::ZERO;
        }
        let rounds = (ahead + 1).saturating_sub(free as usize) as f64 / f64::from(slots.max(1));
        self.slot_time(request.service).mul_f64(rounds)
    }

    /// Returns the slots of a service that this node may use.
    pub(super) fn slots(&self, now: Time, service: ServiceId) -> u32 {
        const NO_LIMIT: u32 = 1 << 20;
        if self.policy.load_aware {
            self.targets.slots(now, service)
        } else {
            NO_LIMIT
        }
    }

    /// Returns the fair-queueing weight of a request. Each priority level doubles it.
    /// A tenant's weight is its usual load.
    pub(super) fn weight(&self, now: Time, request: &Request) -> u64 {
        const MAX_PRIORITY: u8 = 3;
        let state = self.service_states.get(&request.service);
        if let Some((tenant, route)) = request.tenant.zip(request.route) {
            return state.map_or(1, |state| {
                state.demand.tenant_weight(now, tenant, route.rank)
            });
        }
        self.bundle
            .as_ref()
            .and_then(|bundle| bundle.customers.get(&request.customer))
            .map_or(1, |customer| {
                u64::from(customer.weight.max(1)) << customer.priority.min(MAX_PRIORITY)
            })
    }

    /// Decides whether a forwarded request is served in this region or refused.
    ///
    /// A request that its sender's region may serve itself is accepted only with a short wait.
    fn choose_forwarded(
        &self,
        request: &Request,
        routing: RoutingRequest,
        local: LocalView,
    ) -> RegionChoice {
        let keyed = request.key.is_some();
        let sender_region = request.hops.last().map(|hop| hop.region);
        let spilled = !keyed
            && sender_region
                .is_some_and(|region| region != self.id.region && self.allows(request, region));
        let in_time = local.wait + routing.expected <= routing.budget;
        let short = local.wait <= self.spill_limit(request, routing);
        if local.possible && in_time && (!spilled || short) {
            RegionChoice::Local
        } else {
            RegionChoice::Refuse(local.possible.then_some(local.wait))
        }
    }

    /// Returns the longest predicted wait at which a forwarded request is accepted that the sender's region
    /// may serve itself. One that competes was sent because room is scarce there, so it is worth more here
    /// than refused, as long as it is in time.
    fn spill_limit(&self, request: &Request, routing: RoutingRequest) -> Duration {
        if !self.competes(request) {
            return MAX_SPILL_WAIT;
        }
        let objective = routing.objective.mul_f64(RELIEF_FRACTION);
        MAX_SPILL_WAIT.max(objective.saturating_sub(routing.expected))
    }

    /// Returns the other regions that a request may be sent to.
    pub(crate) fn remote_views(&self, now: Time, request: &Request) -> Vec<RemoteView> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let specs = bundle
            .services
            .get(&request.service)
            .zip(bundle.customers.get(&request.customer));
        let Some((service, customer)) = specs else {
            return Vec::new();
        };
        if request.refused.len() >= MAX_REFUSALS {
            return Vec::new();
        }
        bundle
            .allowed_regions(service, customer)
            .into_iter()
            .filter(|region| *region != self.id.region && !request.refused.contains(region))
            .filter(|region| bundle.tenant_permits(request.tenant, *region))
            .filter(|region| request.permits(*region))
            .filter(|region| {
                let version = request.version();
                version.is_none_or(|version| self.lists_version(request.service, *region, version))
            })
            .filter_map(|region| self.remote_capacity(now, region, request.service))
            .collect()
    }

    /// Returns a region's free capacity for a service, less the requests that this node has sent
    /// since the region's summary. Returns `None` if there is no valid summary or no target there
    /// accepts work.
    fn remote_capacity(
        &self,
        now: Time,
        region: RegionId,
        service: ServiceId,
    ) -> Option<RemoteView> {
        let bundle = self.bundle.as_ref()?;
        let slots = bundle.services.get(&service)?.slots_in(region);
        self.peers.region(now, region)?;
        let unlisted = ServiceCapacity {
            service: service.tag(),
            free: ample_slots(slots),
            wait: 0,
        };
        let capacity = self.peers.service_capacity(now, region, service.tag());
        let listed = capacity.is_some();
        let capacity = capacity.unwrap_or(unlisted);
        if capacity.wait == WAIT_NO_TARGET {
            return None;
        }
        let received = self.peers.summary_received(region)?;
        let sends = self.region_sends.get(&(region, service)).copied();
        let sends = sends
            .filter(|sends| sends.since >= received)
            .unwrap_or_default();
        let usable = (f64::from(capacity.free) * self.spill.ramp(now, region)).ceil() as u32;
        let free = usable.saturating_sub(sends.sent);
        let round_trip = Duration::from_micros(2 * bundle.delay(self.id.region, region));
        let full = sends.full || (free == 0 && capacity.free > 0);
        let wait = if full {
            self.expected_time(service)
        } else {
            Duration::from_millis(u64::from(capacity.wait))
        };
        Some(RemoteView {
            region,
            round_trip,
            wait,
            free,
            ample: !listed && !full,
        })
    }

    /// Forwards a request to a node of another region, or routes it again if no node there is known
    /// to be ready.
    fn send_to_region(
        &mut self,
        now: Time,
        ticket: Ticket,
        region: RegionId,
        out: &mut Vec<Command>,
    ) {
        let service = self.requests[&ticket].service;
        let received = self.peers.summary_received(region).unwrap_or(now);
        let sends = self.region_sends.entry((region, service)).or_default();
        if sends.since < received {
            *sends = super::RegionSends {
                since: now,
                ..super::RegionSends::default()
            };
        }
        sends.sent += 1;
        let Some(vm) = self.node_in(now, region, ticket) else {
            self.request_mut(ticket).refused.insert(region);
            self.route(now, ticket, out);
            return;
        };
        self.counters.sent_away += 1;
        self.forward(now, ticket, vm, out);
    }

    /// Returns a ready node of another region by rendezvous hashing of the request, with the
    /// weights of the nodes.
    fn node_in(&self, now: Time, region: RegionId, ticket: Ticket) -> Option<VmId> {
        let nodes = &self.peers.region(now, region)?.nodes;
        let made = self.peers.summary_made(region)?;
        let tried = &self.requests.get(&ticket)?.tried;
        let reachable = nodes.iter().copied().filter(|vm| {
            let refused = |peer: &Peer| peer.updated.0 == 0;
            self.regions.get(vm) == Some(&region)
                && !tried.contains(vm)
                && !self.peers.known(*vm).is_some_and(refused)
        });
        let not_ready = |vm: &VmId| {
            let peer = self.peers.known(*vm);
            peer.filter(|peer| !peer.record.ready)
        };
        let (doubtful, mut usable): (BTreeSet<VmId>, BTreeSet<VmId>) =
            reachable.partition(|vm| not_ready(vm).is_some());
        if usable.is_empty() {
            // The summary may list nodes that have become ready since their last record.
            let ready_since = |vm: &VmId| not_ready(vm).is_some_and(|peer| peer.updated < made);
            usable = doubtful.into_iter().filter(ready_since).collect();
        }
        // Only a few nodes use the targets of a small service. The ranking is the same as in that
        // region, so it finds these nodes.
        let service = self.requests.get(&ticket)?.service;
        let bundle = self.bundle.as_ref()?;
        let slots = bundle.services.get(&service)?.slots_in(region);
        let subset = NodeSubset {
            service,
            slots,
            every_node: self.targets.shared(),
        };
        let seed = rank(ticket.0, u64::from(self.id.vm.0));
        let order = |vm: &VmId| {
            let weight = bundle.deployment.vms.get(vm).map_or(1, |vm| vm.weight);
            weighted_rank(seed, u64::from(vm.0), weight)
        };
        let users = service_nodes(subset, &usable).into_iter();
        users.max_by(|one, other| order(one).total_cmp(&order(other)))
    }
}
