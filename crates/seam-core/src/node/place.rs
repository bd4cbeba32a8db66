//! Chooses where a request runs: here, at a node nearby, or in another region.

use std::collections::BTreeSet;
use std::time::Duration;

use seam_protocol::heartbeat::ServiceRoom;
use seam_protocol::id::{rank, weighted_rank};
use seam_protocol::{Reason, RegionId, ServiceId, Time, VmId};

use super::Node;
use super::digests::{WAIT_NO_TARGET, ample_slots};
use super::dispatch::{MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use crate::command::Command;
use crate::handle::Ticket;
use crate::refusal::Refusal;
use crate::request::{Request, Stage};
use crate::spill::{Asked, Choice, Here, There, Weighed};
use crate::targets::{Spread, Wish, users};

/// Part of a request's objective beyond which its predicted answer is late, with a margin for what
/// the prediction is worth.
const LATE_PART: f64 = 1.25;
/// Longest wait of a region that takes requests which others could run themselves.
const SPARE_WAIT: Duration = Duration::from_millis(200);
/// Times that a request is sent away before it must stay.
const MOST_AWAY: usize = 3;

impl Node {
    /// Places a request that was admitted: here, away, or nowhere.
    pub(super) fn place(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let request = &self.requests[&ticket];
        if request.forwarded() {
            let service = request.service;
            self.use_targets_briefly(now, service);
        }
        let (weighed, near) = self.weigh(now, ticket);
        let line = Command::Weighed { ticket, weighed };
        match (weighed.choice, near) {
            (Choice::Here, Some(vm)) => self.forward(now, ticket, vm, out),
            (Choice::Here, None) => {
                self.enqueue(now, ticket, out);
                let request = self.requests.get(&ticket);
                if request.is_some_and(|request| request.stage == Stage::Queued) {
                    out.push(line);
                }
            }
            (Choice::There(region), _) => {
                out.push(line);
                self.send_away(now, ticket, region, out);
            }
            (Choice::Nowhere(wait), _) => {
                out.push(line);
                let reason = match wait {
                    Some(_) => Reason::Overload,
                    None => Reason::NoTarget,
                };
                let retry = wait.unwrap_or(MAX_RETRY_AFTER / 10);
                let refusal =
                    Refusal::not_run(reason).after(retry.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
                self.refuse(now, ticket, refusal, out);
            }
        }
    }

    /// Weighs this region against others for a request. Returns the choice with what it was made by, and
    /// the node of this region that the request goes to where this one has no target for it.
    fn weigh(&mut self, now: Time, ticket: Ticket) -> (Weighed, Option<VmId>) {
        let asked = self.placement_query(now, &self.requests[&ticket]);
        let mut here = self.local_prompt_estimate(now, ticket, asked.expected);
        let request = &self.requests[&ticket];
        let tried = here.possible && self.targets.all_in(request.service, &request.avoid);
        let there = tried.then(|| self.remote_regions(now, request));
        if there.as_ref().is_some_and(|there| !there.is_empty()) {
            // Another region's targets have not failed the request yet.
            here.possible = false;
        }
        let near = if here.possible {
            None
        } else {
            self.node_with_targets(now, request)
        };
        if near.is_some() {
            here.possible = true;
            here.wait = self.regional_wait(now, request.service);
        }
        // Where nothing waits, no other region can be sooner; a forwarded request goes no further.
        let idle = here.possible && here.wait.is_zero() && asked.expected <= asked.budget;
        let there = match there {
            _ if idle || request.forwarded() => Vec::new(),
            Some(there) => there,
            None => self.remote_regions(now, request),
        };
        let choice = if request.forwarded() {
            self.choose_forwarded(request, asked, here)
        } else {
            self.spill.choose(asked, here, &there)
        };
        let choice = match choice {
            Choice::There(_) if here.possible && !self.policy.spill => Choice::Here,
            Choice::Nowhere(Some(_)) if !self.policy.shed => Choice::Here,
            choice => choice,
        };
        let taken = |there: &There| choice == Choice::There(there.region);
        let regions = there.iter().copied();
        let best = regions.min_by_key(|there| (!taken(there), there.cost()));
        let heard = best.and_then(|best| self.peers.region_heard(best.region));
        let weighed = Weighed {
            asked,
            here,
            best,
            age: heard.map_or(Duration::ZERO, |heard| now.since(heard)),
            choice,
        };
        (weighed, near)
    }

    fn placement_query(&self, now: Time, request: &Request) -> Asked {
        let weight = self
            .bundle
            .as_ref()
            .map_or(1.0, |bundle| bundle.deployment.weight);
        let budget = request.budget(now);
        let objective = request.class.map_or(budget, |class| {
            class.objective.saturating_sub(now.since(request.arrived))
        });
        let within = match request.class {
            Some(class) => budget.min(class.objective.mul_f64(LATE_PART)),
            None => budget,
        };
        Asked {
            service: request.service,
            budget: within,
            objective: objective.min(budget),
            expected: self.unqueued_time(now, request),
            weight,
        }
    }

    /// Predicts the time of a request itself, without any wait: for streams to the first event.
    fn unqueued_time(&self, now: Time, request: &Request) -> Duration {
        let service = request.service;
        let reading = request.prompt.as_ref().and_then(|prompt| {
            let fresh = self.recently_booted(now);
            self.targets
                .prompt_time(service, fresh, prompt, &self.prefixes)
        });
        reading.unwrap_or_else(|| self.expected_time(service))
    }

    /// Predicts the wait in this region as [`Self::local_estimate`], for a prompt at the engine that it would be
    /// sent to: the one that waits least may have to read all of it. `alone` is its time without a wait.
    fn local_prompt_estimate(&mut self, now: Time, ticket: Ticket, alone: Duration) -> Here {
        let request = &self.requests[&ticket];
        let service = request.service;
        let chosen = match request.prompt.clone() {
            Some(prompt) if self.policy.load_aware && self.possible_here(request) => {
                let wish = Wish {
                    prompt: Some(&prompt),
                    fresh: self.recently_booted(now),
                    ..Wish::default()
                };
                self.choose(now, service, wish)
            }
            _ => None,
        };
        let request = &self.requests[&ticket];
        match chosen {
            Some(chosen) => Here {
                possible: true,
                wait: chosen.delay.saturating_sub(alone) + self.slot_wait(now, request),
            },
            None => self.local_estimate(now, request),
        }
    }

    /// Tells whether a target here takes work and residency allows it.
    fn possible_here(&self, request: &Request) -> bool {
        self.allows(request, self.id.region) && self.targets.serving(request.service)
    }

    /// Predicts the wait for a slot in this region.
    pub(crate) fn local_estimate(&self, now: Time, request: &Request) -> Here {
        Here {
            possible: self.possible_here(request),
            wait: self.local_wait(now, request),
        }
    }

    /// Returns a node of this region that uses a service's targets, for a node that uses none.
    /// Requests with one prefix go to one node.
    pub(crate) fn node_with_targets(&self, now: Time, request: &Request) -> Option<VmId> {
        let region = self.id.region;
        let tried = request.refused.contains(&region) || request.forwarded();
        if tried || !self.allows(request, region) || !self.targets.serving_near(request.service) {
            return None;
        }
        let seed = request.prefix.unwrap_or(request.fingerprint.0);
        users(self.targets.spread(request.service), &self.ready_nodes(now))
            .into_iter()
            .filter(|vm| *vm != self.id.vm)
            .max_by_key(|vm| rank(seed, u64::from(vm.0)))
    }

    /// Returns the number of nodes of this region that take new requests.
    #[must_use]
    pub fn ready_node_count(&self, now: Time) -> usize {
        self.iter_ready_nodes(now).count()
    }

    /// Returns the nodes of this region that take new requests.
    pub(crate) fn ready_nodes(&self, now: Time) -> BTreeSet<VmId> {
        self.iter_ready_nodes(now).collect()
    }

    fn iter_ready_nodes(&self, now: Time) -> impl Iterator<Item = VmId> + '_ {
        let alive = self.alive.iter().copied();
        alive.filter(move |vm| *vm == self.id.vm || self.peers.ready(now, *vm))
    }

    /// Uses a service's targets for a while, since another node believes that this one does.
    ///
    /// That node may have noticed first that a user of the service is gone, or know few nodes here.
    fn use_targets_briefly(&mut self, now: Time, service: ServiceId) {
        const STAY: Duration = Duration::from_secs(10);
        if !self.targets.serving(service) && self.targets.serving_near(service) {
            self.targets.stay(service, now + STAY);
            self.refresh_members(now);
        }
    }

    /// Predicts the wait at the nodes of this region that use a service's targets.
    fn regional_wait(&self, now: Time, service: ServiceId) -> Duration {
        let slots = self.targets.spread(service).slots;
        let (running, queued) = self.regional_load(now, service);
        let turns = f64::from((running + queued + 1).saturating_sub(slots));
        self.expected_time(service)
            .mul_f64(turns / f64::from(slots.max(1)))
    }

    pub(crate) fn allows(&self, request: &Request, region: RegionId) -> bool {
        let Some(bundle) = &self.bundle else {
            return false;
        };
        let rules = bundle
            .services
            .get(&request.service)
            .zip(bundle.customers.get(&request.customer));
        rules.is_some_and(|(service, customer)| bundle.permits(service, customer, region))
    }

    fn local_wait(&self, now: Time, request: &Request) -> Duration {
        let reading = match request.prompt {
            Some(_) => self.prompt_wait(now, request.service),
            None => Duration::ZERO,
        };
        reading + self.slot_wait(now, request)
    }

    /// Predicts the wait of a prompt for an engine.
    pub(super) fn prompt_wait(&self, now: Time, service: ServiceId) -> Duration {
        /// Wait while no engine is open: about the time for which one that is back counts as cold.
        const NONE_OPEN: Duration = Duration::from_secs(2);
        let wait = self.targets.prompt_wait(now, service);
        wait.unwrap_or(NONE_OPEN)
    }

    /// Predicts the wait for a slot.
    fn slot_wait(&self, now: Time, request: &Request) -> Duration {
        let slots = self.slots(now, request.service);
        let Some(lane) = self.service_states.get(&request.service) else {
            return Duration::ZERO;
        };
        let weight = self.weight(request);
        let ahead = lane.queue.ahead(self.flow(request.customer), weight);
        let free = slots.saturating_sub(lane.queue.running());
        if ahead < free as usize {
            return Duration::ZERO;
        }
        let turns = (ahead + 1).saturating_sub(free as usize) as f64 / f64::from(slots.max(1));
        self.slot_time(request.service).mul_f64(turns)
    }

    pub(super) fn slots(&self, now: Time, service: ServiceId) -> u32 {
        const NO_LIMIT: u32 = 1 << 20;
        if self.policy.load_aware {
            self.targets.slots(now, service)
        } else {
            NO_LIMIT
        }
    }

    pub(super) fn weight(&self, request: &Request) -> u64 {
        const MOST_PRIORITY: u8 = 3;
        self.bundle
            .as_ref()
            .and_then(|bundle| bundle.customers.get(&request.customer))
            .map_or(1, |customer| {
                u64::from(customer.weight.max(1)) << customer.priority.min(MOST_PRIORITY)
            })
    }

    /// A forwarded request that could run in its sender's region takes only what is free now.
    fn choose_forwarded(&self, request: &Request, asked: Asked, here: Here) -> Choice {
        let keyed = request.key.is_some();
        let sender = request.hops.last().map(|hop| hop.region);
        let spilled = !keyed
            && sender
                .is_some_and(|region| region != self.id.region && self.allows(request, region));
        let fits = here.wait + asked.expected <= asked.budget;
        if here.possible && fits && (!spilled || here.wait <= SPARE_WAIT) {
            Choice::Here
        } else {
            Choice::Nowhere(here.possible.then_some(here.wait))
        }
    }

    /// Returns the regions that a request may be sent to.
    pub(crate) fn remote_regions(&self, now: Time, request: &Request) -> Vec<There> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let rules = bundle
            .services
            .get(&request.service)
            .zip(bundle.customers.get(&request.customer));
        let Some((service, customer)) = rules else {
            return Vec::new();
        };
        if request.refused.len() >= MOST_AWAY {
            return Vec::new();
        }
        bundle
            .allowed(service, customer)
            .into_iter()
            .filter(|region| *region != self.id.region && !request.refused.contains(region))
            .filter_map(|region| self.remote_capacity(now, region, request.service))
            .collect()
    }

    /// Returns what is left of a region's room after what this node has sent since its digest.
    fn remote_capacity(&self, now: Time, region: RegionId, service: ServiceId) -> Option<There> {
        let bundle = self.bundle.as_ref()?;
        let slots = bundle.services.get(&service)?.slots_in(region);
        self.peers.region(now, region)?;
        let unnamed = ServiceRoom {
            service: service.tag(),
            free: ample_slots(slots),
            wait: 0,
        };
        let room = self.peers.room(now, region, service.tag());
        let room = room.unwrap_or(unnamed);
        if room.wait == WAIT_NO_TARGET {
            return None;
        }
        let heard = self.peers.region_heard(region)?;
        let away = self.region_sends.get(&(region, service)).copied();
        let away = away.filter(|away| away.since >= heard).unwrap_or_default();
        let usable = (f64::from(room.free) * self.spill.ramp(now, region)).ceil() as u32;
        let free = usable.saturating_sub(away.sent);
        let trip = Duration::from_micros(2 * bundle.delay(self.id.region, region));
        let full = away.full || (free == 0 && room.free > 0);
        let wait = if full {
            self.expected_time(service)
        } else {
            Duration::from_millis(u64::from(room.wait))
        };
        Some(There {
            region,
            trip,
            wait,
            free,
        })
    }

    fn send_away(&mut self, now: Time, ticket: Ticket, region: RegionId, out: &mut Vec<Command>) {
        let service = self.requests[&ticket].service;
        let heard = self.peers.region_heard(region).unwrap_or(now);
        let away = self.region_sends.entry((region, service)).or_default();
        if away.since < heard {
            *away = super::RegionSends {
                since: now,
                ..super::RegionSends::default()
            };
        }
        away.sent += 1;
        let Some(vm) = self.node_in(now, region, ticket) else {
            self.request_mut(ticket).refused.insert(region);
            self.place(now, ticket, out);
            return;
        };
        self.counters.sent_away += 1;
        self.forward(now, ticket, vm, out);
    }

    /// Returns a ready node of another region, spread over its nodes by request and weight.
    fn node_in(&self, now: Time, region: RegionId, ticket: Ticket) -> Option<VmId> {
        let nodes = &self.peers.region(now, region)?.nodes;
        let usable: BTreeSet<VmId> = nodes
            .iter()
            .copied()
            .filter(|vm| self.regions.get(vm) == Some(&region))
            .filter(|vm| {
                let peer = self.peers.known(*vm);
                peer.is_none_or(|peer| peer.record.ready && peer.heard.0 > 0)
            })
            .collect();
        // The users of a small service are few, and the same nodes rank first there.
        let service = self.requests.get(&ticket)?.service;
        let bundle = self.bundle.as_ref()?;
        let slots = bundle.services.get(&service)?.slots_in(region);
        let spread = Spread {
            service,
            slots,
            everywhere: self.targets.shared(),
        };
        let turn = rank(ticket.0, u64::from(self.id.vm.0));
        let order = |vm: &VmId| {
            let weight = bundle.deployment.vms.get(vm).map_or(1, |vm| vm.weight);
            weighted_rank(turn, u64::from(vm.0), weight)
        };
        let users = users(spread, &usable).into_iter();
        users.max_by(|one, other| order(one).total_cmp(&order(other)))
    }
}
