//! Targets of this node's region: load, limits and ejection.

mod choice;
mod cold;
mod engine;
mod spread;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use seam_protocol::bundle::Capacity;
use seam_protocol::heartbeat::TargetWork;
use seam_protocol::{LoadReport, ServiceId, Target, TargetId, Time, VmId};

pub use choice::{Chosen, Wish};
pub use cold::{ColdShare, cold_share};
pub use engine::{EngineModel, Work};
pub use spread::{Spread, sharers, users};

seam_protocol::small_key! {
    /// Position of a target in [`Targets`].
    TargetKey(u32);
}

/// Failures in a row after which a target is ejected.
const FAILURES: u32 = 3;
/// First ejection time; each further one doubles it.
const EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection time.
const LONGEST_EJECTION: Duration = Duration::from_secs(32);
/// Time over which a returning target's limit rises to its slots.
const SLOW_START: Duration = Duration::from_secs(20);
/// Part of its slots that a returning target gets at once.
const FIRST_PART: f64 = 0.25;
/// Age above which another node's word on its work is ignored; several times its period.
const STALE_WORK: Duration = Duration::from_millis(1500);
/// Age up to which a load report says more than the words of other nodes.
const RECENT_REPORT: Duration = Duration::from_millis(300);
/// Age above which a load report is ignored.
const STALE_REPORT: Duration = Duration::from_secs(10);
/// Mean-to-floor ratio of service times above which a target's limit falls.
const SLOW_RATIO: f64 = 3.0;
/// Weight of a new sample in a mean.
const SAMPLE: f64 = 0.1;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Serving,
    /// It takes none until this time, then one probe.
    Ejected(Time),
    /// A fresh connection is being tried.
    Probing,
    /// It is leaving, by the platform's list.
    Leaving,
    /// An operator drained it on this node's belief.
    Drained,
    /// No longer in the configuration.
    Gone,
}

/// What this node believes of a target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Stable key.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// Its rules.
    pub rule: Target,
    /// Limits of each target of its service.
    pub capacity: Capacity,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Requests of this node that run there.
    pub running: u32,
    /// Last report and when it was heard, with the node's own running count then.
    pub report: Option<(Time, LoadReport, u32)>,
    /// Fingerprints of running suspects.
    pub suspects: u32,
    /// This node's part of the target's slots.
    pub part: u32,
    /// What is known of its work, if it is an engine.
    pub engine: EngineModel,
    /// What it may be sent while it is cold.
    pub cold: ColdShare,
    /// Work of other nodes there, by their own word.
    others: BTreeMap<VmId, (Time, TargetWork)>,
    failures: u32,
    ejections: u32,
    since: Option<Time>,
    limit: f64,
    mean: f64,
    floor: f64,
}

impl TargetState {
    fn new(id: TargetId, service: ServiceId, rule: Target, since: Option<Time>) -> Self {
        Self {
            id,
            service,
            limit: f64::from(rule.slots),
            rule,
            capacity: Capacity::default(),
            phase: Phase::Serving,
            running: 0,
            report: None,
            suspects: 0,
            part: 1,
            engine: EngineModel::default(),
            cold: ColdShare::default(),
            others: BTreeMap::new(),
            failures: 0,
            ejections: 0,
            since,
            mean: 0.0,
            floor: f64::INFINITY,
        }
    }

    /// Returns this node's part of the slots, lowered while the target is slow or new.
    fn own_part(&self, now: Time) -> f64 {
        let ramp = self.since.map_or(1.0, |since| {
            let risen = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
            (FIRST_PART + (1.0 - FIRST_PART) * risen).min(1.0)
        });
        let slots = f64::from(self.rule.slots.max(1));
        f64::from(self.part) * ramp * self.limit / slots
    }

    /// Returns the requests that this node may run there at once while others are quiet there.
    ///
    /// That is more than its part, since nodes need not spread their requests evenly.
    #[must_use]
    pub fn cap(&self, now: Time) -> u32 {
        const UNEVEN: f64 = 1.5;
        let most = self.rule.slots.max(1);
        if 2 * self.load(now) <= most {
            return most;
        }
        (self.own_part(now) * UNEVEN)
            .ceil()
            .clamp(1.0, f64::from(most)) as u32
    }

    /// Returns the tokens of its memory, if they are stated.
    #[must_use]
    pub fn memory(&self) -> Option<f64> {
        (self.capacity.memory > 0).then_some(self.capacity.memory as f64)
    }

    /// Tells whether the last report is about as fresh as the words of other nodes.
    fn recent(&self, now: Time) -> bool {
        let heard = self.report.as_ref().map(|(heard, _, _)| *heard);
        heard.is_some_and(|heard| now.since(heard) < RECENT_REPORT)
    }

    fn reported(&self, now: Time) -> Option<&(Time, LoadReport, u32)> {
        let report = self.report.as_ref()?;
        (now.since(report.0) < STALE_REPORT).then_some(report)
    }

    /// Returns the work of other nodes there, as far as they told of it lately.
    fn others(&self, now: Time) -> impl Iterator<Item = &TargetWork> + '_ {
        let fresh = move |(told, _): &&(Time, TargetWork)| now.since(*told) < STALE_WORK;
        self.others.values().filter(fresh).map(|(_, work)| work)
    }

    /// Returns the tokens that are still to be read there, for all nodes.
    #[must_use]
    pub fn unread(&self, now: Time) -> u64 {
        let others: u64 = self.others(now).map(|work| u64::from(work.unread)).sum();
        self.engine.unread() + others
    }

    /// Returns the tokens that running requests of all nodes may hold there.
    #[must_use]
    pub fn held(&self, now: Time) -> u64 {
        let others: u64 = self.others(now).map(|work| work.held).sum();
        self.engine.held() + others
    }

    /// Returns the estimated requests of all nodes that run there.
    #[must_use]
    pub fn load(&self, now: Time) -> u32 {
        let told: u32 = self.others(now).map(|work| work.running).sum();
        // A node that does not hear others still sees their requests in what the target reports.
        let reported = self.reported(now).map_or(0, |(_, report, own)| {
            (report.running + report.waiting).saturating_sub(*own)
        });
        let reported = if self.others.is_empty() || self.recent(now) {
            reported
        } else {
            0
        };
        self.running + told.max(reported)
    }

    /// Tells whether it can take one more request of this node.
    ///
    /// Within its part a node need not ask what others do. Beyond it the reported load must leave
    /// room, and some to spare since it is old.
    #[must_use]
    pub fn open(&self, now: Time, heavy: bool, shared: bool) -> bool {
        const SPARE: u32 = 2;
        if self.phase != Phase::Serving || !self.cold.open(now) {
            return false;
        }
        if shared {
            // What a plain target cannot run at once it queues itself, and its calls are short.
            let taken = if self.memory().is_some() {
                self.load(now)
            } else {
                self.running
            };
            return taken < self.rule.slots;
        }
        let part = self.own_part(now).round() as u32;
        if self.running < part {
            return true;
        }
        let known = self.reported(now).is_some();
        let room = self.load(now) + SPARE <= self.rule.slots || self.load(now) == 0;
        known && !heavy && self.running < self.cap(now) && room
    }

    /// Adjusts the concurrency limit to a measured service time.
    fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let slots = f64::from(self.rule.slots.max(1));
        self.mean = if self.mean == 0.0 {
            took
        } else {
            self.mean + SAMPLE * (took - self.mean)
        };
        self.floor = self.floor.min(self.mean) * 1.0005;
        if self.mean > SLOW_RATIO * self.floor {
            self.limit = (self.limit * 0.95).max(1.0);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(slots);
        }
    }
}

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
    pub fn adopt(
        &mut self,
        now: Time,
        first: bool,
        wanted: &BTreeMap<TargetId, (ServiceId, Target)>,
    ) {
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
                }
            } else {
                let key = TargetKey(self.arena.len() as u32);
                self.keys.insert(*id, key);
                self.arena
                    .push(TargetState::new(*id, *service, rule.clone(), since));
            }
        }
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
            unread: u32::try_from(state.engine.unread()).unwrap_or(u32::MAX),
            held: state.engine.held(),
        })
        .collect()
    }

    /// Takes in all of another node's work. Targets that it does not name have none of it.
    pub fn hear_work(&mut self, now: Time, from: VmId, works: &[(TargetKey, TargetWork)]) {
        for state in &mut self.arena {
            if let Some((told, work)) = state.others.get_mut(&from) {
                *told = now;
                work.running = 0;
                work.unread = 0;
                work.held = 0;
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

    /// Returns the shortest time that a prompt waits at an engine that takes work.
    #[must_use]
    pub fn prompt_wait(&self, now: Time, service: ServiceId) -> Duration {
        const MILLIS: f64 = 1000.0;
        let serving = self.of(service);
        let serving = serving.filter(|(_, state)| state.phase == Phase::Serving);
        let waits = serving.map(|(_, state)| {
            let load = state.load(now);
            let pressure = EngineModel::pressure(load, state.rule.slots);
            state.engine.queue(state.unread(now), load) + pressure
        });
        let least = waits.min_by(f64::total_cmp).unwrap_or_default();
        Duration::from_secs_f64(least / MILLIS)
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
