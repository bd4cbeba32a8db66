//! What this node believes of one target.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::bundle::Capacity;
use seam_protocol::heartbeat::TargetWork;
use seam_protocol::{LoadReport, ServiceId, Target, TargetId, Time, VmId};

use super::{ColdShare, EngineModel, StartLimiter};

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
    pub share: u32,
    /// What is known of its work, if it is an engine.
    pub engine: EngineModel,
    /// What it may be sent while it is cold.
    pub cold: ColdShare,
    /// What this node began there starts.
    pub(super) starts: StartLimiter,
    /// Work of other nodes there, by their own word.
    pub(super) others: BTreeMap<VmId, (Time, TargetWork)>,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) since: Option<Time>,
    pub(super) limit: f64,
    pub(super) mean: f64,
    pub(super) floor: f64,
}

impl TargetState {
    pub(super) fn new(id: TargetId, service: ServiceId, rule: Target, since: Option<Time>) -> Self {
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
            share: 1,
            engine: EngineModel::default(),
            cold: ColdShare::default(),
            starts: StartLimiter::default(),
            others: BTreeMap::new(),
            failures: 0,
            ejections: 0,
            since,
            mean: 0.0,
            floor: f64::INFINITY,
        }
    }

    /// Returns this node's part of the slots, lowered while the target is slow or new.
    pub(super) fn own_part(&self, now: Time) -> f64 {
        let ramp = self.since.map_or(1.0, |since| {
            let risen = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
            (FIRST_PART + (1.0 - FIRST_PART) * risen).min(1.0)
        });
        let slots = f64::from(self.rule.slots.max(1));
        f64::from(self.share) * ramp * self.limit / slots
    }

    /// Returns the requests that this node may run there at once while others are quiet there.
    ///
    /// That is more than its part, since nodes need not spread their requests evenly.
    #[must_use]
    pub fn max_running(&self, now: Time) -> u32 {
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
    pub fn memory_tokens(&self) -> Option<f64> {
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

    /// Returns the work of other nodes there, as far as they told of it starts.
    fn others(&self, now: Time) -> impl Iterator<Item = &TargetWork> + '_ {
        let fresh = move |(told, _): &&(Time, TargetWork)| now.since(*told) < STALE_WORK;
        self.others.values().filter(fresh).map(|(_, work)| work)
    }

    /// Returns the tokens that are still to be read there, for all nodes.
    #[must_use]
    pub fn prefill_queue(&self, now: Time) -> u64 {
        let others: u64 = self.others(now).map(|work| u64::from(work.unread)).sum();
        self.engine.prefill_queue() + others
    }

    /// Returns the tokens that running requests of all nodes may hold there.
    #[must_use]
    pub fn kv_tokens(&self, now: Time) -> u64 {
        let others: u64 = self.others(now).map(|work| work.held).sum();
        self.engine.kv_tokens() + others
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
    pub fn accepts(&self, now: Time, heavy: bool, shared: bool) -> bool {
        const SPARE: u32 = 2;
        if self.phase != Phase::Serving || !self.cold.allows(now) {
            return false;
        }
        if shared {
            // What a plain target cannot run at once it queues itself, and its calls are short.
            if self.memory_tokens().is_none() {
                return self.running < self.rule.slots;
            }
            let free = self.rule.slots.saturating_sub(self.load(now));
            return free > 0 && self.starts.allows(now, free);
        }
        let part = self.own_part(now).round() as u32;
        if self.running < part {
            return true;
        }
        let known = self.reported(now).is_some();
        let room = self.load(now) + SPARE <= self.rule.slots || self.load(now) == 0;
        known && !heavy && self.running < self.max_running(now) && room
    }

    /// Adjusts the concurrency limit to a measured service time.
    pub(super) fn learn(&mut self, took: Duration) {
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
