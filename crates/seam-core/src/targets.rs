//! Targets of this node's region: load, concurrency limits and ejection.

mod brittle;
mod cache_value;
mod choice;
mod cold;
mod engine;
mod rate_limit;
mod room;
mod shared_rate;
mod sliding_window;
mod start_limit;
mod state;
mod subset;
mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use seam_protocol::bundle::Capacity;
use seam_protocol::heartbeat::{MAX_COUNT, TargetWork};
use seam_protocol::{LoadReport, ServiceId, Target, TargetId, Time, VersionId, VmId};

use crate::admission::Pressure;
use crate::handle::TargetKey;
pub use brittle::slot_share;
pub use cache_value::prefill_weight;
pub use choice::{TargetChoice, TargetEstimate, TargetQuery};
pub use cold::{ColdShare, cold_share};
pub use engine::{EngineModel, PromptWork};
pub use rate_limit::{AdvertisedLimit, RateLimit, limit_share};
pub use room::QueueRoom;
pub use shared_rate::{RateShare, ShareLimiter};
pub use sliding_window::SlidingWindow;
pub use start_limit::StartLimiter;
pub use state::{Phase, TargetState};
pub use subset::{NodeSubset, service_nodes, target_nodes};
pub use verdict::{TargetVerdict, Verdict};

/// Time after which a probe without a result is taken to have none.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// Consecutive failures after which a target is ejected.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection. Each further one doubles it.
const BASE_EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(32);

/// A change of a target's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PhaseChange {
    /// Target.
    pub target: TargetId,
    /// Previous phase.
    pub old: Phase,
    /// New phase.
    pub new: Phase,
}

/// Targets of this node's region. Keys stay valid until the process ends.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    arena: Vec<TargetState>,
    keys: BTreeMap<TargetId, TargetKey>,
    by_service: BTreeMap<ServiceId, Vec<TargetKey>>,
    /// The last start of each name.
    names: BTreeMap<String, TargetKey>,
    /// Services whose targets every node uses.
    every_node: BTreeSet<ServiceId>,
    /// Whether nodes exchange work updates and use targets without fixed shares of the slots.
    shared: bool,
    /// Services whose targets are brittle, and until when that counts.
    brittle: BTreeMap<ServiceId, Time>,
    /// Services whose targets outside its subset this node uses too, and until when.
    temporary: BTreeMap<ServiceId, Time>,
}

impl Targets {
    /// Applies the configured targets of this region.
    ///
    /// Targets that appear after the first configuration begin with a slow start. Returns the
    /// targets that had been removed and are configured again.
    pub fn update_config(
        &mut self,
        now: Time,
        initial: bool,
        configured: &BTreeMap<TargetId, (ServiceId, Target)>,
    ) -> Vec<TargetId> {
        let mut returned = Vec::new();
        for state in &mut self.arena {
            if !configured.contains_key(&state.id) {
                state.phase = Phase::Gone;
            }
        }
        for (id, (service, spec)) in configured {
            let slow_start = (!initial).then_some(now);
            if let Some(key) = self.keys.get(id).copied() {
                let state = &mut self.arena[key.0 as usize];
                state.limit = state.limit.min(f64::from(spec.slots));
                state.version = spec.version_id();
                state.spec = spec.clone();
                state.service = *service;
                if state.phase == Phase::Gone && state.says_leaving {
                    state.phase = Phase::Leaving;
                } else if state.phase == Phase::Gone {
                    state.phase = Phase::Serving;
                    state.slow_start = slow_start;
                    returned.push(*id);
                    self.note_start(key);
                }
            } else {
                let key = TargetKey(self.arena.len() as u32);
                self.keys.insert(*id, key);
                self.arena
                    .push(TargetState::new(*id, *service, spec.clone(), slow_start));
                self.note_start(key);
            }
        }
        returned
    }

    /// Counts what was lately sent to the last start under the name of a target that comes into use: it may be
    /// the same process, known by its earlier start until now.
    fn note_start(&mut self, key: TargetKey) {
        let name = self.get(key).spec.name.clone();
        let earlier = self.names.insert(name, key);
        if let Some(earlier) = earlier.filter(|earlier| *earlier != key) {
            let earlier = self.get(earlier).cold.clone();
            self.get_mut(key).cold.continue_count(&earlier);
        }
    }

    /// Sets the capacity of every target of a service.
    pub fn set_capacity(&mut self, service: ServiceId, capacity: Capacity) {
        for state in &mut self.arena {
            if state.service == service {
                state.capacity = capacity;
            }
        }
    }

    /// Selects the targets that this node uses, which bounds its connections. See [`target_nodes`].
    pub fn select_subset(&mut self, now: Time, me: VmId, alive: &BTreeSet<VmId>) {
        self.temporary.retain(|_, until| *until > now);
        let services: BTreeSet<ServiceId> = self.all().map(|(_, state)| state.service).collect();
        let subsets: BTreeMap<ServiceId, NodeSubset> = services
            .into_iter()
            .map(|service| (service, self.node_subset(service)))
            .collect();
        let mut by_service: BTreeMap<ServiceId, Vec<TargetKey>> = BTreeMap::new();
        for (key, state) in self.all() {
            let temporary = self.temporary.contains_key(&state.service);
            if temporary || target_nodes(state.id, subsets[&state.service], alive).contains(&me) {
                by_service.entry(state.service).or_default().push(key);
            }
        }
        self.by_service = by_service;
        for state in &mut self.arena {
            state.starts.set_nodes(alive.len() as u32);
        }
    }

    /// Uses all targets of a service until a time, including those outside this node's subset.
    pub fn use_until(&mut self, service: ServiceId, until: Time) {
        self.temporary.insert(service, until);
    }

    /// Lets every node use all slots of every target. Requires that nodes exchange work updates.
    pub fn enable_sharing(&mut self) {
        self.shared = true;
    }

    /// Returns whether nodes use targets without fixed shares of the slots.
    #[must_use]
    pub fn shared(&self) -> bool {
        self.shared
    }

    /// Sets the services whose targets every node uses.
    pub fn set_every_node(&mut self, services: BTreeSet<ServiceId>) {
        self.every_node = services;
    }

    /// Sets this node's share of a target's slots.
    pub fn set_share(&mut self, key: TargetKey, share: u32) {
        self.get_mut(key).share = share;
    }

    /// Returns this node's own work at the targets of its region.
    #[must_use]
    pub fn own_work(&self) -> Vec<TargetWork> {
        let running = self.all().filter(|(_, state)| state.running > 0);
        running
            .map(|(_, state)| TargetWork {
                target: state.id,
                running: state.running,
                prefill_tokens: u32::try_from(state.engine.prefill_queue()).unwrap_or(u32::MAX),
                kv_tokens: state.engine.kv_tokens(),
            })
            .collect()
    }

    /// Replaces the recorded work of another node. It has no work at targets that `target_work`
    /// does not contain.
    pub fn merge_work(&mut self, now: Time, from: VmId, target_work: &[(TargetKey, TargetWork)]) {
        let reported: BTreeMap<TargetKey, TargetWork> = target_work.iter().copied().collect();
        for (index, state) in self.arena.iter_mut().enumerate() {
            let key = TargetKey(index as u32);
            state.merge_other(now, from, reported.get(&key).copied());
        }
    }

    /// Returns the key of a target.
    #[must_use]
    pub fn key(&self, id: TargetId) -> Option<TargetKey> {
        self.keys.get(&id).copied()
    }

    /// Returns the state of a target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> &TargetState {
        &self.arena[key.0 as usize]
    }

    fn get_mut(&mut self, key: TargetKey) -> &mut TargetState {
        &mut self.arena[key.0 as usize]
    }

    /// Returns the targets of a service that this node uses.
    pub fn for_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (TargetKey, &TargetState)> + '_ {
        self.by_service
            .get(&service)
            .into_iter()
            .flatten()
            .map(|key| (*key, self.get(*key)))
    }

    /// Returns all configured targets of the region.
    pub fn all(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> + '_ {
        self.arena
            .iter()
            .enumerate()
            .map(|(index, state)| (TargetKey(index as u32), state))
            .filter(|(_, state)| state.phase != Phase::Gone)
    }

    /// Returns this node's slots for a service, free or in use.
    #[must_use]
    pub fn slots(&self, now: Time, service: ServiceId) -> u32 {
        let serving = self
            .for_service(service)
            .filter(|(_, state)| state.phase == Phase::Serving);
        // The sum is rounded, not each target's share: rounding each up would exceed the real
        // slots.
        if self.shared {
            let brittle = self.is_brittle(now, service);
            return serving.map(|(_, state)| state.usable_slots(brittle)).sum();
        }
        let slots: f64 = serving.map(|(_, state)| state.own_share(now)).sum();
        if slots > 0.0 {
            slots.round().max(1.0) as u32
        } else {
            0
        }
    }

    /// Returns the parameters that decide which nodes use a service's targets.
    #[must_use]
    pub fn node_subset(&self, service: ServiceId) -> NodeSubset {
        let slots = self
            .all()
            .filter(|(_, state)| state.service == service)
            .map(|(_, state)| state.spec.slots);
        NodeSubset {
            service,
            slots: slots.sum(),
            every_node: self.shared || self.every_node.contains(&service),
        }
    }

    /// Returns whether any target of a service in this region is serving, in this node's subset or
    /// not, with the given version of its software if there is one.
    #[must_use]
    pub fn serving_in_region(&self, service: ServiceId, version: Option<VersionId>) -> bool {
        self.all()
            .any(|(_, state)| state.service == service && state.serves(version))
    }

    /// Returns the slots of the targets in this node's subset that accept requests from this node, and
    /// of those that would if this node reached them.
    #[must_use]
    pub fn reached_slots(&self, service: ServiceId) -> (u32, u32) {
        self.for_service(service)
            .fold((0, 0), |(reached, listed), (_, state)| {
                let slots = state.spec.slots;
                match state.phase {
                    Phase::Serving => (reached + slots, listed + slots),
                    phase if phase.may_serve_others() => (reached, listed + slots),
                    _ => (reached, listed),
                }
            })
    }

    /// Returns whether a non-empty set contains every serving target of a service in this node's
    /// subset, or every one of a version.
    #[must_use]
    pub fn covers_serving(
        &self,
        service: ServiceId,
        version: Option<VersionId>,
        set: &BTreeSet<TargetKey>,
    ) -> bool {
        !set.is_empty()
            && self
                .for_service(service)
                .filter(|(_, state)| state.serves(version))
                .all(|(key, _)| set.contains(&key))
    }

    /// Returns whether any target of a service in this node's subset is serving, with the given
    /// version of its software if there is one.
    #[must_use]
    pub fn serving(&self, service: ServiceId, version: Option<VersionId>) -> bool {
        self.for_service(service)
            .any(|(_, state)| state.serves(version))
    }

    /// Sets until when a target is cold, and this node's share of the rate that it takes until then.
    pub fn set_cold(&mut self, key: TargetKey, boot: Time, until: Time, share: RateShare) {
        self.get_mut(key).cold.set(boot, until, share);
    }

    /// Limits requests to a target as if it were cold. See [`ColdShare::presume`].
    pub fn presume_cold(&mut self, key: TargetKey, boot: Time, until: Time, share: RateShare) {
        self.get_mut(key).cold.presume(boot, until, share);
    }

    /// Limits requests to a target whose entry lapsed. See [`ColdShare::lapse`].
    pub fn lapse(&mut self, now: Time, key: TargetKey, boot: Time, until: Time, share: RateShare) {
        self.get_mut(key).cold.lapse(now, boot, until, share);
    }

    /// Records that a target has published its entry. See [`ColdShare::end_lapse`].
    pub fn end_lapse(&mut self, id: TargetId) {
        if let Some(key) = self.key(id) {
            self.get_mut(key).cold.end_lapse();
        }
    }

    /// Notes that a target refused a connection, of this node or another one. Returns whether that is news.
    pub fn note_refusal(&mut self, now: Time, key: TargetKey) -> bool {
        /// Time for which refused connections tell of the same crash.
        const REFUSAL_LIFETIME: Duration = Duration::from_secs(2);
        let state = self.get_mut(key);
        let refused = state.refused.replace(now);
        refused.is_none_or(|refused| now.since(refused) >= REFUSAL_LIFETIME)
    }

    /// Records that this node lost a target. See [`ColdShare::record_loss`].
    pub fn record_loss(&mut self, now: Time, key: TargetKey) {
        self.get_mut(key).cold.record_loss(now);
    }

    /// Ends what was presumed of a target's coldness. See [`ColdShare::end_presumption`].
    pub fn end_cold_presumption(&mut self, key: TargetKey, asked: Time) {
        self.get_mut(key).cold.end_presumption(asked);
    }

    /// Counts a health check like a request, which it is for the target.
    pub fn begin_health_check(&mut self, now: Time, key: TargetKey) {
        self.get_mut(key).cold.record(now);
    }

    /// Returns whether connections to a target hang, so that others are preferred.
    #[must_use]
    pub fn is_suspended(&self, key: TargetKey) -> bool {
        self.get(key).suspended
    }

    /// Records what a target advertises of its rate limit. See [`RateLimit::record`].
    pub fn record_advertised_limit(
        &mut self,
        key: TargetKey,
        advertised: AdvertisedLimit,
    ) -> Option<Option<f64>> {
        self.get_mut(key).rate_limit.record(advertised)
    }

    /// Sets this node's share of the rate limit that a target names.
    pub fn set_limit_share(&mut self, key: TargetKey, boot: Time, share: RateShare) {
        self.get_mut(key).rate_limit.set_share(boot, share);
    }

    /// Predicts how long the last of some queued requests waits for this node's share of granted
    /// rates, zero if a serving target of the service takes requests at any rate.
    #[must_use]
    pub fn granted_wait(
        &self,
        now: Time,
        service: ServiceId,
        version: Option<VersionId>,
        queued: usize,
    ) -> Duration {
        /// Wait at a node without a share.
        const NO_SHARE: Duration = Duration::from_secs(60);
        let mut first: Option<Time> = None;
        let mut rate = 0.0;
        let serving = self.for_service(service);
        for (_, state) in serving.filter(|(_, state)| state.serves(version)) {
            if !state.is_granted(now) {
                return Duration::ZERO;
            }
            if let Some(next) = state.next_grant(now) {
                first = Some(first.map_or(next, |first| first.min(next)));
                rate += state.granted_rate(now);
            }
        }
        match first {
            Some(first) => {
                let wait = first.since(now).as_secs_f64() + queued as f64 / rate;
                Duration::from_secs_f64(wait.min(NO_SHARE.as_secs_f64()))
            }
            None if self.serving(service, version) => NO_SHARE,
            None => Duration::ZERO,
        }
    }

    /// Returns when this node may next send a request to a target of a service that takes only a
    /// granted rate, if there is one.
    #[must_use]
    pub fn next_grant(&self, now: Time, service: ServiceId) -> Option<Time> {
        let serving = self.for_service(service);
        let serving = serving.filter(|(_, state)| state.phase == Phase::Serving);
        let granted = serving.filter(|(_, state)| state.is_granted(now));
        granted.filter_map(|(_, state)| state.next_grant(now)).min()
    }

    /// Returns when to look again for room at the targets of a service that queue requests by
    /// themselves, or of any with `all`, if there are some: their load changes by what other nodes do.
    /// A brittle one is not asked sooner than requests come.
    #[must_use]
    pub fn next_room(&self, now: Time, service: ServiceId, all: bool) -> Option<Time> {
        const REVIEW_INTERVAL: Duration = Duration::from_millis(25);
        let serving = self.for_service(service);
        let mut serving = serving.filter(|(_, state)| state.phase == Phase::Serving);
        let queues = self.shared && serving.any(|(_, state)| all || state.queues_itself());
        let sound = !self.is_brittle(now, service);
        (queues && sound).then_some(now + REVIEW_INTERVAL)
    }

    /// Returns the shortest predicted wait of a prompt over the engines that accept requests, or
    /// `None` if there is none.
    #[must_use]
    pub fn prompt_wait(
        &self,
        now: Time,
        service: ServiceId,
        version: Option<VersionId>,
    ) -> Option<Duration> {
        const MILLIS: f64 = 1000.0;
        let open = self.for_service(service);
        let open = open.filter(|(_, state)| state.serves(version));
        let open = open.filter(|(key, _)| self.accepts(now, *key, false));
        let waits = open.map(|(_, state)| {
            let load = state.load(now);
            let load_penalty = EngineModel::load_penalty_ms(load, state.spec.slots);
            state.engine.queue_ms(state.prefill_queue(now), load) + load_penalty
        });
        let shortest = waits.min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(shortest / MILLIS))
    }

    /// Returns whether a target of a service serves and takes requests at any rate, so that only its use
    /// keeps it from taking one.
    #[must_use]
    pub fn is_open(&self, now: Time, service: ServiceId, version: Option<VersionId>) -> bool {
        let mut serving = self.for_service(service);
        serving.any(|(_, state)| state.serves(version) && !state.is_granted(now))
    }

    /// Returns the use of a service's engines by all nodes together.
    #[must_use]
    pub fn pressure(&self, now: Time, service: ServiceId) -> Pressure {
        let serving = self.for_service(service);
        let serving = serving.filter(|(_, state)| state.phase == Phase::Serving);
        let (mut slots, mut load, mut memory, mut tokens) = (0, 0, 0.0, 0);
        let mut wait: Option<f64> = None;
        for (_, state) in serving {
            let running = state.load(now);
            slots += state.spec.slots;
            load += running;
            memory += state.memory_tokens().unwrap_or_default();
            tokens += state.kv_tokens(now);
            let queue_ms = state.engine.queue_ms(state.prefill_queue(now), running);
            wait = Some(wait.map_or(queue_ms, |wait| wait.min(queue_ms)));
        }
        Pressure {
            wait: Duration::from_secs_f64(wait.unwrap_or_default() / 1000.0),
            slots: f64::from(load) / f64::from(slots.max(1)),
            memory: if memory > 0.0 {
                tokens as f64 / memory
            } else {
                0.0
            },
        }
    }

    /// Predicts how long a request waits in the queues of targets that queue requests by themselves,
    /// behind `queued` others that are not sent yet.
    #[must_use]
    pub fn queue_wait(
        &self,
        now: Time,
        service: ServiceId,
        version: Option<VersionId>,
        queued: u32,
    ) -> Duration {
        let serving = self.for_service(service);
        let serving = serving.filter(|(_, state)| state.serves(version) && state.queues_itself());
        let (mut slots, mut load, mut rate) = (0, queued, 0.0);
        for (_, state) in serving {
            slots += state.spec.slots;
            load += state.load(now);
            if let Some(time) = state.unqueued_time() {
                rate += f64::from(state.spec.slots) / time.as_secs_f64().max(f64::EPSILON);
            }
        }
        let ahead = (load + 1).saturating_sub(slots);
        if !self.shared || ahead == 0 || rate == 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(f64::from(ahead) / rate)
    }

    /// Decays the measured slowness of all targets towards 1.
    pub fn decay_slowness(&mut self) {
        for state in &mut self.arena {
            state.engine.decay();
        }
    }

    /// Records that an engine has prefilled a request's prompt.
    pub fn record_prefill(&mut self, key: TargetKey, work: PromptWork, duration: Duration) {
        let state = self.get_mut(key);
        let (service, pace) = (state.service, state.engine.record_prefill(work, duration));
        for state in &mut self.arena {
            if state.service == service {
                state.engine.set_pace(pace);
            }
        }
    }

    /// Removes a request's work from an engine. `prefilled` is whether its prompt was prefilled.
    pub fn end_prompt(&mut self, key: TargetKey, work: PromptWork, prefilled: bool) {
        self.get_mut(key).engine.end_request(work, prefilled);
    }

    /// Counts a request as running at a target.
    pub fn begin_request(&mut self, now: Time, key: TargetKey, suspect: bool, work: PromptWork) {
        let state = self.get_mut(key);
        state.cold.record(now);
        state.rate_limit.record_request(now);
        state.starts.record(now);
        state.engine.begin_request(work);
        state.running += 1;
        state.suspects += u32::from(suspect);
    }

    /// Returns whether a request that was placed at a target some time ago may be sent now. If its
    /// target takes only a granted rate, it counts from now on.
    pub fn confirm_grant(&mut self, now: Time, key: TargetKey, placed: Time) -> bool {
        self.get_mut(key).confirm_grant(now, placed)
    }

    /// Counts a request as ended.
    pub fn end_request(&mut self, key: TargetKey, suspect: bool) {
        let state = self.get_mut(key);
        state.running = state.running.saturating_sub(1);
        state.suspects = state.suspects.saturating_sub(u32::from(suspect));
    }

    /// Records a success, with the service time unless it depends on the length of the response.
    pub fn record_success(&mut self, key: TargetKey, duration: Option<Duration>) {
        let state = self.get_mut(key);
        state.failures = 0;
        state.ejections = 0;
        if let Some(duration) = duration {
            state.record_service_time(duration);
        }
    }

    /// Records a failure. Returns the ejection, if any.
    ///
    /// A refused connection (`certain`) ejects the target at once, like any failure while it is
    /// being probed. Other failures eject it after `MAX_FAILURES` in a row.
    pub fn record_failure(
        &mut self,
        now: Time,
        key: TargetKey,
        certain: bool,
    ) -> Option<PhaseChange> {
        let state = self.get_mut(key);
        state.failures += 1;
        if state.phase != Phase::Serving && state.phase != Phase::Probing {
            return None;
        }
        let probing = state.phase == Phase::Probing;
        if !certain && !probing && state.failures < MAX_FAILURES {
            return None;
        }
        let factor = 1 << state.ejections.min(8);
        state.ejections += 1;
        let until = now + (BASE_EJECTION * factor).min(MAX_EJECTION);
        Some(Self::change_phase(state, Phase::Ejected(until)))
    }

    /// Prefers other targets to one whose connections hang, until it answers or a probe ends. Returns
    /// whether it was not suspended before.
    pub fn suspend(&mut self, key: TargetKey) -> bool {
        !std::mem::replace(&mut self.get_mut(key).suspended, true)
    }

    /// Records that a probe of a target begins beside requests. Returns whether none is in progress.
    pub fn begin_probe(&mut self, now: Time, key: TargetKey) -> bool {
        let state = self.get_mut(key);
        let running = |since: Time| now.since(since) < PROBE_TIMEOUT;
        if state.probed.is_some_and(running) {
            return false;
        }
        state.probed = Some(now);
        true
    }

    /// Records that a target answers.
    pub fn record_answer(&mut self, now: Time, key: TargetKey) {
        let state = self.get_mut(key);
        state.answered = Some(now);
        state.suspended = false;
    }

    /// Ends a probe that began beside requests. Returns whether the target answered one meanwhile.
    pub fn end_probe(&mut self, key: TargetKey) -> bool {
        let state = self.get_mut(key);
        let probed = state.probed.take();
        probed.is_some() && state.answered > probed
    }

    /// Records whether the targets of a service are brittle.
    pub fn set_brittle(&mut self, now: Time, service: ServiceId, brittle: bool) {
        /// Time for which an answer shows that targets are brittle.
        const BRITTLE_TTL: Duration = Duration::from_secs(30);
        if brittle {
            self.brittle.insert(service, now + BRITTLE_TTL);
        } else {
            self.brittle.remove(&service);
        }
    }

    /// Returns whether the targets of a service are known to be brittle.
    #[must_use]
    pub fn is_brittle(&self, now: Time, service: ServiceId) -> bool {
        self.brittle.get(&service).is_some_and(|until| *until > now)
    }

    /// Sets this node's share of a brittle target's slots.
    pub fn set_brittle_share(&mut self, key: TargetKey, share: u32) {
        self.get_mut(key).brittle.share = share;
    }

    /// Records that a target turned a request away.
    pub fn record_rejection(&mut self, now: Time, key: TargetKey) {
        let brittle = self.is_brittle(now, self.get(key).service);
        self.get_mut(key).record_rejection(now, brittle);
    }

    /// Returns whether a target accepts one more request of this node. See [`TargetState::accepts`].
    #[must_use]
    pub fn accepts(&self, now: Time, key: TargetKey, heavy: bool) -> bool {
        let state = self.get(key);
        let room = !self.is_brittle(now, state.service) || state.has_sure_room(now);
        room && state.accepts(now, heavy, self.shared)
    }

    fn change_phase(state: &mut TargetState, new: Phase) -> PhaseChange {
        let old = state.phase;
        state.phase = new;
        PhaseChange {
            target: state.id,
            old,
            new,
        }
    }

    /// Returns the targets whose ejection has ended, and marks them as being probed.
    pub fn due_probes(&mut self, now: Time) -> Vec<(TargetId, SocketAddr)> {
        let mut due = Vec::new();
        for state in &mut self.arena {
            if let Phase::Ejected(until) = state.phase
                && until <= now
            {
                state.phase = Phase::Probing;
                state.probed = None;
                due.push((state.id, state.spec.address));
            }
        }
        due
    }

    /// Records the result of a probe. Returns the change to serving or to another ejection.
    pub fn record_probe(
        &mut self,
        now: Time,
        key: TargetKey,
        accepted: bool,
    ) -> Option<PhaseChange> {
        self.get_mut(key).suspended = false;
        if !accepted {
            return self.record_failure(now, key, true);
        }
        let state = self.get_mut(key);
        if state.phase != Phase::Probing {
            return None;
        }
        state.failures = 0;
        state.slow_start = Some(now);
        Some(Self::change_phase(state, Phase::Serving))
    }

    /// Applies a phase set by the platform's target list or by an operator's drain.
    ///
    /// Only a target that is leaving or drained can be set back to serving.
    pub fn set_phase(&mut self, now: Time, key: TargetKey, phase: Phase) -> Option<PhaseChange> {
        let state = self.get_mut(key);
        if state.phase == phase || state.phase == Phase::Gone {
            return None;
        }
        let returning = phase == Phase::Serving;
        let may_return = matches!(state.phase, Phase::Leaving | Phase::Drained);
        if returning && (!may_return || state.says_leaving) {
            return None;
        }
        if returning {
            state.slow_start = Some(now);
        }
        Some(Self::change_phase(state, phase))
    }

    /// Ejects a target until the time at which it takes requests again, by its own answer.
    pub fn close(&mut self, key: TargetKey, until: Time) -> Option<PhaseChange> {
        let state = self.get_mut(key);
        match state.phase {
            Phase::Ejected(before) if before >= until => None,
            Phase::Serving | Phase::Ejected(_) | Phase::Probing => {
                Some(Self::change_phase(state, Phase::Ejected(until)))
            }
            Phase::Leaving | Phase::Drained | Phase::Gone => None,
        }
    }

    /// Records that a target says that it is about to leave. It is not used again.
    pub fn record_leaving(&mut self, now: Time, key: TargetKey) -> Option<PhaseChange> {
        self.get_mut(key).says_leaving = true;
        self.set_phase(now, key, Phase::Leaving)
    }

    /// Records a target's load report.
    pub fn record_report(&mut self, now: Time, key: TargetKey, report: LoadReport) {
        let report = LoadReport {
            running: report.running.min(MAX_COUNT),
            waiting: report.waiting.min(MAX_COUNT),
            ..report
        };
        let state = self.get_mut(key);
        let own = state.running;
        state.report = Some((now, report, own));
    }
}
