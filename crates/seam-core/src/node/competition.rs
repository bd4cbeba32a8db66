//! Applies the decisions of [`crate::admission`] to the requests of this node.

use std::time::Duration;

use seam_protocol::{Kind, Reason, ServiceId, Time};

use super::Node;
use super::dispatch::MIN_RETRY_AFTER;
use crate::admission::{Pressure, Reserve, Room};
use crate::command::Command;
use crate::handle::Ticket;
use crate::refusal::Refusal;
use crate::request::{Request, Stage};

impl Node {
    /// Returns whether requests compete for the engines of a service: those of routes, where nodes
    /// know of each other's work.
    fn competes(&self, request: &Request) -> bool {
        let spec = self.bundle.as_ref();
        let spec = spec.and_then(|bundle| bundle.services.get(&request.service));
        request.route.is_some()
            && self.targets.shared()
            && spec.is_some_and(|spec| spec.kind == Kind::Engine)
    }

    /// Returns what a request leaves to more urgent ones. The rest of a stream leaves nothing, since
    /// what was done for it would be lost.
    pub(super) fn reserve(&self, now: Time, request: &Request) -> Option<Reserve> {
        if !self.competes(request) || Self::has_begun(request) {
            return None;
        }
        let state = self.service_states.get(&request.service)?;
        state.demand.reserve(now, request.route?.kind)
    }

    /// Returns what a queued request leaves to more urgent ones. One that was queued with the most urgent
    /// ones leaves nothing, since it would hold them up.
    pub(super) fn queued_reserve(&self, now: Time, request: &Request) -> Option<Reserve> {
        let kind = request.route?.kind;
        let reserve = self.reserve(now, request);
        reserve.filter(|_| request.flow.rank == kind)
    }

    /// Returns whether an earlier attempt may have run, or the request takes up a stream.
    fn has_begun(request: &Request) -> bool {
        request.runs > 0 || request.stream.is_some_and(|stream| stream.begun)
    }

    /// Returns the rank by which a request is queued. One that leaves no reserve is as urgent as the
    /// most urgent ones.
    pub(super) fn effective_rank(&self, now: Time, request: &Request) -> u8 {
        match request.route {
            Some(route) if self.reserve(now, request).is_some() => route.kind,
            _ => 0,
        }
    }

    /// Returns the use of the engines of a service in this region.
    fn pressure(&self, now: Time, service: ServiceId) -> Pressure {
        self.targets.pressure(now, service)
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
        } else if self.reserve(now, request).is_some() {
            Room::Held
        } else {
            Room::Scarce
        }
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
                let refusal = Refusal::not_run(Reason::Overload).with_retry_after(MIN_RETRY_AFTER);
                self.refuse(now, ticket, refusal, out);
            }
        }
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
        let weight = self.weight(request);
        let state = self.service_states.get(&request.service);
        let Some((state, route)) = state.zip(request.route) else {
            return Duration::ZERO;
        };
        let rank = key.rank.min(route.kind);
        let ahead = state.queue.ahead(key, weight);
        state.demand.turnover_wait(now, rank, ahead)
    }

    /// Records the start of a request.
    pub(super) fn record_start(&mut self, now: Time, ticket: Ticket) {
        let request = &self.requests[&ticket];
        if let Some(route) = request.route {
            let service = request.service;
            let state = self.service_state(service);
            state.demand.record_start(now, route.kind);
        }
    }

    /// Records the arrival of a request.
    pub(super) fn record_demand(&mut self, now: Time, ticket: Ticket) {
        let request = &self.requests[&ticket];
        if let Some(route) = request.route {
            let service = request.service;
            let state = self.service_state(service);
            state
                .demand
                .record_arrival(now, route.kind, route.objective);
        }
    }

    /// Records that a request is refused for lack of room.
    pub(super) fn record_no_room(&mut self, now: Time, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if let Some(route) = request.route {
            let service = request.service;
            let state = self.service_state(service);
            state.demand.record_refusal(now, route.kind);
        }
    }
}
