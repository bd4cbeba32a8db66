//! Targets of this node's region: load, limits, ejection and choice.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::id::rank;
use seam_protocol::{Fingerprint, LoadReport, ServiceId, Target, TargetId, Time, VmId};

use crate::prefix::PrefixTable;

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
/// Age above which a load report is ignored.
const STALE_REPORT: Duration = Duration::from_secs(10);
/// Load above the mean at which prefix affinity yields.
const AFFINITY_BOUND: f64 = 1.25;
/// Nodes that share one target in a large region.
const SHARERS: usize = 8;
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
    /// Whether it takes new work.
    pub phase: Phase,
    /// Requests of this node that run there.
    pub running: u32,
    /// Last report and when it was heard, with the node's own running count then.
    pub report: Option<(Time, LoadReport, u32)>,
    /// Fingerprints of running suspects.
    pub suspects: u32,
    /// This node's part of the target's slots, 0 to 1.
    pub share: f64,
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
            phase: Phase::Serving,
            running: 0,
            report: None,
            suspects: 0,
            share: 1.0,
            failures: 0,
            ejections: 0,
            since,
            mean: 0.0,
            floor: f64::INFINITY,
        }
    }

    /// Returns the requests that this node may run there at once.
    #[must_use]
    pub fn cap(&self, now: Time) -> u32 {
        let ramp = self.since.map_or(1.0, |since| {
            let risen = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
            (FIRST_PART + (1.0 - FIRST_PART) * risen).min(1.0)
        });
        let share = (self.limit * self.share * ramp).ceil();
        share.clamp(1.0, f64::from(self.rule.slots.max(1))) as u32
    }

    /// Returns the estimated requests of all nodes that run there.
    #[must_use]
    pub fn load(&self, now: Time) -> u32 {
        let others = self
            .report
            .as_ref()
            .filter(|(heard, _, _)| now.since(*heard) < STALE_REPORT)
            .map_or(0, |(_, report, own)| {
                (report.running + report.waiting).saturating_sub(*own)
            });
        self.running + others
    }

    /// Tells whether it can take one more request of this node.
    #[must_use]
    pub fn open(&self, now: Time) -> bool {
        self.phase == Phase::Serving
            && self.running < self.cap(now)
            && self.load(now) < self.rule.slots.max(1)
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

    /// Chooses the targets that this node uses, and so its connections.
    ///
    /// In a small region a node uses every target; in a large one each target is used by
    /// [`SHARERS`] nodes, by rendezvous, so that churn moves only the share of who left.
    pub fn subset(&mut self, me: VmId, alive: &BTreeSet<VmId>) {
        self.by_service.clear();
        for (index, state) in self.arena.iter().enumerate() {
            if state.phase == Phase::Gone || !Self::sharer(state.id, me, alive) {
                continue;
            }
            self.by_service
                .entry(state.service)
                .or_default()
                .push(TargetKey(index as u32));
        }
    }

    fn sharer(target: TargetId, me: VmId, alive: &BTreeSet<VmId>) -> bool {
        if alive.len() <= SHARERS {
            return true;
        }
        let key = u64::from(target.0);
        let mine = rank(key, u64::from(me.0));
        let before = alive
            .iter()
            .filter(|vm| rank(key, u64::from(vm.0)) > mine)
            .count();
        before < SHARERS
    }

    /// Sets this node's part of each target of a service.
    pub fn set_share(&mut self, service: ServiceId, share: f64) {
        for key in self.by_service.get(&service).into_iter().flatten() {
            self.arena[key.0 as usize].share = share;
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
        self.of(service)
            .filter(|(_, state)| state.phase == Phase::Serving)
            .map(|(_, state)| state.cap(now))
            .sum()
    }

    /// Returns whether any target of a service takes work.
    #[must_use]
    pub fn serving(&self, service: ServiceId) -> bool {
        self.of(service)
            .any(|(_, state)| state.phase == Phase::Serving)
    }

    /// Chooses a target for a request, `None` if none has a slot.
    ///
    /// A target that holds the prompt's prefix wins while its load is near the mean. Otherwise the
    /// less loaded of two random ones wins. A suspect never joins another suspect.
    pub fn choose(
        &self,
        now: Time,
        service: ServiceId,
        prefix: Option<u64>,
        suspect: Option<Fingerprint>,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Option<TargetKey> {
        let open: Vec<TargetKey> = self
            .of(service)
            .filter(|(_, state)| state.open(now))
            .filter(|(_, state)| suspect.is_none() || state.suspects == 0)
            .map(|(key, _)| key)
            .collect();
        if open.is_empty() {
            return None;
        }
        if let Some(print) = suspect {
            // Nodes agree on a place, so suspects of two nodes seldom meet.
            return open
                .into_iter()
                .max_by_key(|key| rank(print.0, u64::from(self.get(*key).id.0)));
        }
        if let Some(prefix) = prefix
            && let Some(key) = self.affine(now, &open, prefix, prefixes)
        {
            return Some(key);
        }
        let first = open[rng.random_range(0..open.len())];
        let second = open[rng.random_range(0..open.len())];
        Some(if self.fill(now, second) < self.fill(now, first) {
            second
        } else {
            first
        })
    }

    /// Chooses any target that takes work, whatever its load.
    pub fn any(&self, service: ServiceId, rng: &mut Pcg64Mcg) -> Option<TargetKey> {
        let serving: Vec<TargetKey> = self
            .of(service)
            .filter(|(_, state)| state.phase == Phase::Serving)
            .map(|(key, _)| key)
            .collect();
        (!serving.is_empty()).then(|| serving[rng.random_range(0..serving.len())])
    }

    fn fill(&self, now: Time, key: TargetKey) -> f64 {
        let state = self.get(key);
        f64::from(state.load(now)) / f64::from(state.rule.slots.max(1))
    }

    fn affine(
        &self,
        now: Time,
        open: &[TargetKey],
        prefix: u64,
        prefixes: &PrefixTable,
    ) -> Option<TargetKey> {
        let total: f64 = open.iter().map(|key| self.fill(now, *key)).sum();
        let bound = AFFINITY_BOUND * (total / open.len() as f64) + 0.125;
        let fits = |key: &TargetKey| self.fill(now, *key) <= bound;
        let preferred = |key: &TargetKey| rank(prefix, u64::from(self.get(*key).id.0));
        open.iter()
            .copied()
            .filter(|key| prefixes.holds(*key, prefix))
            .filter(fits)
            .max_by_key(preferred)
            .or_else(|| open.iter().copied().max_by_key(preferred).filter(fits))
    }

    /// Counts a request as running.
    pub fn begin(&mut self, key: TargetKey, suspect: bool) {
        let state = self.get_mut(key);
        state.running += 1;
        state.suspects += u32::from(suspect);
    }

    /// Counts a request as ended.
    pub fn end(&mut self, key: TargetKey, suspect: bool) {
        let state = self.get_mut(key);
        state.running = state.running.saturating_sub(1);
        state.suspects = state.suspects.saturating_sub(u32::from(suspect));
    }

    /// Takes in a success and its service time.
    pub fn succeed(&mut self, key: TargetKey, took: Duration) {
        let state = self.get_mut(key);
        state.failures = 0;
        state.ejections = 0;
        state.learn(took);
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
