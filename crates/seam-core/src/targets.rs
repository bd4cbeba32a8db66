//! Targets of this node's region: load, limits and ejection.

mod choice;
mod cold;
mod engine;
mod lately;
mod recent;
mod spread;
mod state;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use seam_protocol::bundle::Capacity;
use seam_protocol::heartbeat::TargetWork;
use seam_protocol::{LoadReport, ServiceId, Target, TargetId, Time, VmId};

use crate::handle::TargetKey;
pub use choice::{Chosen, Grounds, Wish};
pub use cold::{ColdShare, cold_share};
pub use engine::{EngineModel, Work};
pub use lately::Lately;
pub use recent::Recent;
pub use spread::{Spread, sharers, users};
pub use state::{Phase, TargetState};

/// Failures in a row after which a target is ejected.
const FAILURES: u32 = 3;
/// First ejection time; each further one doubles it.
const EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection time.
const LONGEST_EJECTION: Duration = Duration::from_secs(32);

/// A change of a target's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The target.
    pub target: TargetId,
    /// Before.
    pub old: Phase,
    /// After.
    pub new: Phase,
}

/// Arena of the targets of this node's region. A key stays valid for the life of the process.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    arena: Vec<TargetState>,
    keys: BTreeMap<TargetId, TargetKey>,
    by_service: BTreeMap<ServiceId, Vec<TargetKey>>,
    everywhere: BTreeSet<ServiceId>,
    /// Whether nodes tell each other their work, and so share targets without fixed parts.
    shared: bool,
    guest: BTreeMap<ServiceId, Time>,
}

impl Targets {
    /// Takes in the targets of a service in this region. Unknown ones start slowly after boot.
    ///
    /// Returns those that were gone and are back.
    pub fn adopt(
        &mut self,
        now: Time,
        first: bool,
        wanted: &BTreeMap<TargetId, (ServiceId, Target)>,
    ) -> Vec<TargetId> {
        let mut back = Vec::new();
        for state in &mut self.arena {
            if !wanted.contains_key(&state.id) {
                state.phase = Phase::Gone;
            }
        }
        for (id, (service, rule)) in wanted {
            let since = (!first).then_some(now);
            if let Some(key) = self.keys.get(id) {
                let state = &mut self.arena[key.0 as usize];
                state.limit = state.limit.min(f64::from(rule.slots));
                state.rule = rule.clone();
                state.service = *service;
                if state.phase == Phase::Gone {
                    state.phase = Phase::Serving;
                    state.since = since;
                    back.push(*id);
                }
            } else {
                let key = TargetKey(self.arena.len() as u32);
                self.keys.insert(*id, key);
                self.arena
                    .push(TargetState::new(*id, *service, rule.clone(), since));
            }
        }
        back
    }

    /// Sets the limits of each target of a service.
    pub fn set_capacity(&mut self, service: ServiceId, capacity: Capacity) {
        for state in &mut self.arena {
            if state.service == service {
                state.capacity = capacity;
            }
        }
    }

    /// Chooses the targets that this node uses, and so its connections.
    ///
    /// See [`sharers`].
    pub fn subset(&mut self, now: Time, me: VmId, alive: &BTreeSet<VmId>) {
        self.guest.retain(|_, until| *until > now);
        let services: BTreeSet<ServiceId> = self.all().map(|(_, state)| state.service).collect();
        let spreads: BTreeMap<ServiceId, Spread> = services
            .into_iter()
            .map(|service| (service, self.spread(service)))
            .collect();
        let mut by_service: BTreeMap<ServiceId, Vec<TargetKey>> = BTreeMap::new();
        for (key, state) in self.all() {
            let guest = self.guest.contains_key(&state.service);
            if guest || sharers(state.id, spreads[&state.service], alive).contains(&me) {
                by_service.entry(state.service).or_default().push(key);
            }
        }
        self.by_service = by_service;
        for state in &mut self.arena {
            state.lately.set_nodes(alive.len() as u32);
        }
    }

    /// Uses a service's targets until a time, whoever its users are.
    pub fn stay(&mut self, service: ServiceId, until: Time) {
        self.guest.insert(service, until);
    }

    /// Lets every node use every target up to its slots, since nodes tell each other their work.
    pub fn share_all(&mut self) {
        self.shared = true;
    }

    /// Tells whether nodes share targets without fixed parts.
    #[must_use]
    pub fn shared(&self) -> bool {
        self.shared
    }

    /// Names the services that every node uses.
    pub fn set_everywhere(&mut self, services: BTreeSet<ServiceId>) {
        self.everywhere = services;
    }

    /// Sets this node's part of a target's slots.
    pub fn set_part(&mut self, key: TargetKey, part: u32) {
        self.get_mut(key).part = part;
    }

    /// Returns this node's own work at the targets of its region.
    #[must_use]
    pub fn works(&self) -> Vec<TargetWork> {
        let busy = self.all().filter(|(_, state)| state.running > 0);
        busy.map(|(_, state)| TargetWork {
            target: state.id,
            running: state.running,
            prefill_tokens: u32::try_from(state.engine.unread()).unwrap_or(u32::MAX),
            kv_tokens: state.engine.held(),
        })
        .collect()
    }

    /// Takes in all of another node's work. Targets that it does not name have none of it.
    pub fn hear_work(&mut self, now: Time, from: VmId, works: &[(TargetKey, TargetWork)]) {
        for state in &mut self.arena {
            if let Some((told, work)) = state.others.get_mut(&from) {
                *told = now;
                work.running = 0;
                work.prefill_tokens = 0;
                work.kv_tokens = 0;
            }
        }
        for (key, work) in works {
            self.get_mut(*key).others.insert(from, (now, *work));
        }
    }

    /// Returns the key of a target.
    #[must_use]
    pub fn key(&self, id: TargetId) -> Option<TargetKey> {
        self.keys.get(&id).copied()
    }

    /// Returns a target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> &TargetState {
        &self.arena[key.0 as usize]
    }

    fn get_mut(&mut self, key: TargetKey) -> &mut TargetState {
        &mut self.arena[key.0 as usize]
    }

    /// Returns the targets of a service that this node uses.
    pub fn of(&self, service: ServiceId) -> impl Iterator<Item = (TargetKey, &TargetState)> + '_ {
        self.by_service
            .get(&service)
            .into_iter()
            .flatten()
            .map(|key| (*key, self.get(*key)))
    }

    /// Returns every target of the region that is configured.
    pub fn all(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> + '_ {
        self.arena
            .iter()
            .enumerate()
            .map(|(index, state)| (TargetKey(index as u32), state))
            .filter(|(_, state)| state.phase != Phase::Gone)
    }

    /// Returns the slots of this node for a service, free or not.
    #[must_use]
    pub fn slots(&self, now: Time, service: ServiceId) -> u32 {
        let serving = self
            .of(service)
            .filter(|(_, state)| state.phase == Phase::Serving);
        // Parts of slots are rounded once for all targets; rounding each up would promise more than
        // there is.
        if self.shared {
            return serving.map(|(_, state)| state.rule.slots).sum();
        }
        let slots: f64 = serving.map(|(_, state)| state.own_part(now)).sum();
        if slots > 0.0 {
            slots.round().max(1.0) as u32
        } else {
            0
        }
    }

    /// Returns how a service's targets are spread over nodes.
    #[must_use]
    pub fn spread(&self, service: ServiceId) -> Spread {
        let slots = self
            .all()
            .filter(|(_, state)| state.service == service)
            .map(|(_, state)| state.rule.slots);
        Spread {
            service,
            slots: slots.sum(),
            everywhere: self.shared || self.everywhere.contains(&service),
        }
    }

    /// Returns whether any target of a service in this region takes work, whoever uses it.
    #[must_use]
    pub fn serving_near(&self, service: ServiceId) -> bool {
        self.all()
            .any(|(_, state)| state.service == service && state.phase == Phase::Serving)
    }

    /// Tells whether a set names every target of a service that takes work.
    #[must_use]
    pub fn all_in(&self, service: ServiceId, set: &BTreeSet<TargetKey>) -> bool {
        !set.is_empty()
            && self
                .of(service)
                .filter(|(_, state)| state.phase == Phase::Serving)
                .all(|(key, _)| set.contains(&key))
    }

    /// Returns whether any target of a service takes work.
    #[must_use]
    pub fn serving(&self, service: ServiceId) -> bool {
        self.of(service)
            .any(|(_, state)| state.phase == Phase::Serving)
    }

    /// Sets until when a target is cold, and what this node may send it till then.
    pub fn chill(&mut self, key: TargetKey, boot: Time, until: Time, allowed: u32) {
        self.get_mut(key).cold.set(boot, until, allowed);
    }

    /// Returns the shortest time that a prompt waits at an engine that is open, `None` if none is.
    #[must_use]
    pub fn prompt_wait(&self, now: Time, service: ServiceId) -> Option<Duration> {
        const MILLIS: f64 = 1000.0;
        let open = self.of(service);
        let open = open.filter(|(_, state)| state.open(now, false, self.shared));
        let waits = open.map(|(_, state)| {
            let load = state.load(now);
            let pressure = EngineModel::pressure(load, state.rule.slots);
            state.engine.queue(state.unread(now), load) + pressure
        });
        let least = waits.min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(least / MILLIS))
    }

    /// Lets measured slowness fade.
    pub fn fade(&mut self) {
        for state in &mut self.arena {
            state.engine.fade();
        }
    }

    /// Takes in that an engine has read a request's prompt.
    pub fn read(&mut self, key: TargetKey, work: Work, took: Duration) {
        let state = self.get_mut(key);
        let (service, pace) = (state.service, state.engine.read(work, took));
        for state in &mut self.arena {
            if state.service == service {
                state.engine.set_pace(pace);
            }
        }
    }

    /// Takes in the end of what a request brought to an engine.
    pub fn end_work(&mut self, key: TargetKey, work: Work, read: bool) {
        self.get_mut(key).engine.end(work, read);
    }

    /// Counts a request as running.
    pub fn begin(&mut self, now: Time, key: TargetKey, suspect: bool, work: Work) {
        let state = self.get_mut(key);
        state.cold.note(now);
        state.lately.note(now);
        state.engine.begin(work);
        state.running += 1;
        state.suspects += u32::from(suspect);
    }

    /// Counts a request as ended.
    pub fn end(&mut self, key: TargetKey, suspect: bool) {
        let state = self.get_mut(key);
        state.running = state.running.saturating_sub(1);
        state.suspects = state.suspects.saturating_sub(u32::from(suspect));
    }

    /// Takes in a success, and its service time unless that depends on the length of the answer.
    pub fn succeed(&mut self, key: TargetKey, took: Option<Duration>) {
        let state = self.get_mut(key);
        state.failures = 0;
        state.ejections = 0;
        if let Some(took) = took {
            state.learn(took);
        }
    }

    /// Takes in a failure. Returns the ejection that it caused.
    pub fn fail(&mut self, now: Time, key: TargetKey, certain: bool) -> Option<Turn> {
        let state = self.get_mut(key);
        state.failures += 1;
        if state.phase != Phase::Serving && state.phase != Phase::Probing {
            return None;
        }
        let probing = state.phase == Phase::Probing;
        if !certain && !probing && state.failures < FAILURES {
            return None;
        }
        let factor = 1 << state.ejections.min(8);
        state.ejections += 1;
        let until = now + (EJECTION * factor).min(LONGEST_EJECTION);
        Some(Self::turn(state, Phase::Ejected(until)))
    }

    fn turn(state: &mut TargetState, new: Phase) -> Turn {
        let old = state.phase;
        state.phase = new;
        Turn {
            target: state.id,
            old,
            new,
        }
    }

    /// Returns targets whose ejection has ended and marks them as being probed.
    pub fn due_probes(&mut self, now: Time) -> Vec<(TargetId, SocketAddr)> {
        let mut due = Vec::new();
        for state in &mut self.arena {
            if let Phase::Ejected(until) = state.phase
                && until <= now
            {
                state.phase = Phase::Probing;
                due.push((state.id, state.rule.address));
            }
        }
        due
    }

    /// Takes in a probe. Returns the target's return or its further ejection.
    pub fn probed(&mut self, now: Time, key: TargetKey, accepted: bool) -> Option<Turn> {
        if !accepted {
            return self.fail(now, key, true);
        }
        let state = self.get_mut(key);
        if state.phase != Phase::Probing {
            return None;
        }
        state.failures = 0;
        state.since = Some(now);
        Some(Self::turn(state, Phase::Serving))
    }

    /// Takes in the platform's list or an operator's drain.
    pub fn mark(&mut self, now: Time, key: TargetKey, phase: Phase) -> Option<Turn> {
        let state = self.get_mut(key);
        if state.phase == phase || state.phase == Phase::Gone {
            return None;
        }
        let returning = phase == Phase::Serving;
        if returning && !matches!(state.phase, Phase::Leaving | Phase::Drained) {
            return None;
        }
        if returning {
            state.since = Some(now);
        }
        Some(Self::turn(state, phase))
    }

    /// Takes in a target's load report.
    pub fn report(&mut self, now: Time, key: TargetKey, report: LoadReport) {
        let state = self.get_mut(key);
        let own = state.running;
        state.report = Some((now, report, own));
    }
}
