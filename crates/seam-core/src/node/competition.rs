//! Applies the decisions of [`crate::admission`] to the requests of this node.

use std::time::Duration;

use seam_protocol::{Kind, Reason, ServiceId, Time};

use super::dispatch::{MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use super::{KindCounters, Node};
use crate::admission::{Contest, Pressure, Reserve, Room};
use crate::command::Command;
use crate::handle::Ticket;
use crate::refusal::Refusal;
use crate::request::{Request, Stage};
use crate::spill::{LocalView, RegionChoice, RoutingDecision};

/// Ranks of the queue for each kind of requests: the usual ones, and those in excess of their tenant's
/// usual load.
const RANKS_OF_KIND: u8 = 2;

impl Node {
    /// Returns whether requests compete for the engines of a service: those of tenants' routes, where nodes
    /// know of each other's work. Without tenants, deployments with uneven engines served less with it.
    pub(crate) fn competes(&self, request: &Request) -> bool {
        let bundle = self.bundle.as_ref();
        let bundle = bundle.filter(|bundle| !bundle.tenants.is_empty());
        let spec = bundle.and_then(|bundle| bundle.services.get(&request.service));
        request.route.is_some()
            && self.targets.shared()
            && spec.is_some_and(|spec| spec.kind == Kind::Engine)
    }

    /// Returns what a request leaves to more urgent ones, or what a tenant's request waits for. The rest
    /// of a stream waits for nothing, since what was done for it would be lost.
    pub(crate) fn reserve(&self, now: Time, request: &Request) -> Option<Reserve> {
        if !self.competes(request) || Self::has_begun(request) {
            return None;
        }
        let state = self.service_states.get(&request.service)?;
        let held = state.demand.reserve(now, request.route?.kind);
        held.or_else(|| Self::turn(request))
    }

    /// Returns what a tenant's request waits for if it is not held back.
    fn turn(request: &Request) -> Option<Reserve> {
        let route = request.route.filter(|_| request.tenant.is_some())?;
        Some(Reserve::for_turns(
            route.kind,
            route.objective,
            request.excess,
        ))
    }

    /// Returns whether a request is held back in favour of more urgent ones.
    fn is_held(&self, now: Time, request: &Request) -> bool {
        let route = request.route.zip(self.reserve(now, request));
        route.is_some_and(|(route, reserve)| reserve.holds(route.kind))
    }

    /// Returns what a queued request leaves to more urgent ones. One that was queued with the most urgent
    /// ones leaves nothing, since it would hold them up.
    pub(super) fn queued_reserve(&self, now: Time, request: &Request) -> Option<Reserve> {
        let kind = request.route?.kind;
        let reserve = self.reserve(now, request)?;
        if reserve.holds(kind) && request.flow.rank / RANKS_OF_KIND != kind {
            return Self::turn(request);
        }
        Some(reserve)
    }

    /// Returns whether an earlier attempt may have run, or the request takes up a stream.
    fn has_begun(request: &Request) -> bool {
        request.runs > 0 || request.stream.is_some_and(|stream| stream.begun)
    }

    /// Returns the rank by which a request is queued. One that leaves no reserve is as urgent as the
    /// most urgent ones. A request in excess of its tenant's usual load follows the others of its kind.
    pub(super) fn effective_rank(&self, now: Time, request: &Request) -> u8 {
        let kind = match request.route {
            Some(route) if self.is_held(now, request) => route.kind,
            _ => 0,
        };
        let rank = kind.saturating_mul(RANKS_OF_KIND);
        rank.saturating_add(u8::from(request.excess))
    }

    /// Returns the use of the engines of a service in this region.
    fn pressure(&self, now: Time, service: ServiceId) -> Pressure {
        self.targets.pressure(now, service)
    }

    /// Returns whether a request would take room at the engines of this region that others need.
    pub(super) fn is_scarce(&self, now: Time, request: &Request) -> bool {
        let route = request.route.filter(|_| self.competes(request));
        route.is_some_and(|route| {
            let pressure = self.pressure(now, request.service);
            pressure.is_scarce(route.objective)
        })
    }

    /// Returns how a request competes for room.
    pub(super) fn room(&self, now: Time, request: &Request) -> Room {
        let Some(route) = request.route.filter(|_| self.competes(request)) else {
            return Room::Scarce;
        };
        let state = self.service_states.get(&request.service);
        let queued = state.is_some_and(|state| state.queue.queued() > 0);
        let pressure = self.pressure(now, request.service);
        if !queued && !pressure.is_scarce(route.objective) {
            Room::Ample
        } else if self.is_held(now, request) {
            Room::Held
        } else {
            Room::Scarce
        }
    }

    /// Returns the part of a predicted wait that is no reason to refuse a request. The penalty for a used
    /// engine is no delay; with it, urgent requests were refused while the last slots were free.
    pub(super) fn refusal_penalty(&self, request: &Request, penalty: Duration) -> Duration {
        if self.competes(request) {
            penalty
        } else {
            Duration::ZERO
        }
    }

    /// Returns the inputs of the decision about a request, for the log.
    pub(crate) fn contest(&self, now: Time, request: &Request) -> Option<Contest> {
        let route = request.route.filter(|_| self.competes(request))?;
        let held = self.reserve(now, request);
        let held = held.filter(|reserve| reserve.holds(route.kind));
        Some(Contest {
            rank: route.kind,
            held_for: held.map(|reserve| reserve.rank),
            excess: request.excess,
            room: self.room(now, request),
            pressure: self.pressure(now, request.service),
        })
    }

    /// Returns the part of a request's objective that it has used. None counts after its response began.
    pub(super) fn counted_age(&self, now: Time, request: &Request) -> Duration {
        if self.competes(request) && !Self::has_begun(request) {
            now.since(request.arrived)
        } else {
            Duration::ZERO
        }
    }

    /// Returns when a request that is being queued can no longer be in time, `None` if only its
    /// deadline limits it.
    pub(super) fn late_at(&self, now: Time, request: &Request) -> Option<Time> {
        let route = request.route.filter(|_| self.competes(request))?;
        let left = route.objective.saturating_sub(now.since(request.arrived));
        let spare = left
            .min(request.budget(now))
            .saturating_sub(self.expected_time(request.service));
        (!Self::has_begun(request) && !spare.is_zero()).then(|| now + spare)
    }

    /// Refuses the queued requests of a service that can no longer be in time.
    pub(super) fn shed_late(&mut self, now: Time, service: ServiceId, out: &mut Vec<Command>) {
        if !self.policy.shed {
            return;
        }
        let Some(state) = self.service_states.get_mut(&service) else {
            return;
        };
        let later = state.late.split_off(&(now, Ticket(0)));
        for (_, ticket) in std::mem::replace(&mut state.late, later) {
            let request = self.requests.get(&ticket);
            if request.is_some_and(|request| request.stage == Stage::Queued) {
                self.refuse_queued(now, ticket, out);
            }
        }
    }

    /// Refuses a queued request that can no longer be in time.
    fn refuse_queued(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let request = &self.requests[&ticket];
        let wait = self.turnover_wait(now, request);
        let decision = RoutingDecision {
            request: self.routing_request(now, request),
            local: LocalView {
                possible: true,
                wait,
                penalty: Duration::ZERO,
                scarce: true,
            },
            best: None,
            age: Duration::ZERO,
            choice: RegionChoice::Refuse(Some(wait)),
            contest: self.contest(now, request),
        };
        out.push(Command::LogRouting { ticket, decision });
        let refusal = Refusal::not_run(Reason::Overload)
            .with_retry_after(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        self.refuse(now, ticket, refusal, out);
    }

    /// Returns whether a prompt waits for slots that others use now, not for engines to come back.
    pub(super) fn awaits_turnover(&self, now: Time, request: &Request) -> bool {
        let open = self
            .targets
            .is_open(now, request.service, request.version());
        open && self.competes(request)
    }

    /// Predicts how long a request waits for a slot that others use now.
    pub(super) fn turnover_wait(&self, now: Time, request: &Request) -> Duration {
        let key = self.flow_key(now, request);
        let weight = self.weight(now, request);
        let state = self.service_states.get(&request.service);
        let Some((state, route)) = state.zip(request.route) else {
            return Duration::ZERO;
        };
        let rank = (key.rank / RANKS_OF_KIND).min(route.kind);
        let ahead = state.queue.ahead(key, weight);
        let rate = if self.is_held(now, request) || request.excess {
            0.0
        } else {
            self.even_rate(now, request.service)
        };
        state.demand.turnover_wait(now, rank, ahead, rate)
    }

    /// Returns this node's even part of the requests a second that end at the region's engines.
    fn even_rate(&self, now: Time, service: ServiceId) -> f64 {
        let running = self.targets.for_service(service);
        let running: u32 = running.map(|(_, state)| state.load(now)).sum();
        let slot_secs = self.slot_time(service).as_secs_f64().max(f64::EPSILON);
        f64::from(running) / slot_secs / self.alive.len().max(1) as f64
    }

    /// Records the start of a request.
    pub(super) fn record_start(&mut self, now: Time, ticket: Ticket) {
        let request = &self.requests[&ticket];
        if let Some(route) = request.route {
            let service = request.service;
            self.counters.kinds[KindCounters::index(route.kind)].started += 1;
            let state = self.service_state(service);
            state.demand.record_start(now, route.kind);
        }
    }

    /// Counts a request that is queued because it is held back.
    pub(super) fn count_held(&mut self, ticket: Ticket, log: &Command) {
        let request = self.requests.get(&ticket);
        let queued = request.is_some_and(|request| request.stage == Stage::Queued);
        if let Command::LogRouting { decision, .. } = log
            && let Some(contest) = decision.contest.filter(|_| queued)
            && contest.held_for.is_some()
        {
            self.counters.kinds[KindCounters::index(contest.rank)].held += 1;
        }
    }

    /// Records the arrival of a request.
    pub(super) fn record_demand(&mut self, now: Time, ticket: Ticket) {
        let request = &self.requests[&ticket];
        if let Some(route) = request.route {
            let (service, tenant) = (request.service, request.tenant);
            self.counters.kinds[KindCounters::index(route.kind)].arrived += 1;
            let demand = &mut self.service_state(service).demand;
            demand.record_arrival(now, route.kind, route.objective);
            if let Some(tenant) = tenant {
                let excess = demand.record_tenant(now, tenant);
                self.request_mut(ticket).excess = excess;
            }
        }
    }

    /// Records that a request is refused for lack of room.
    pub(super) fn record_no_room(&mut self, now: Time, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if let Some(route) = request.route {
            let service = request.service;
            self.counters.kinds[KindCounters::index(route.kind)].no_room += 1;
            let state = self.service_state(service);
            state.demand.record_refusal(now, route.kind);
        }
    }
}
