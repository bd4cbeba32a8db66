//! This node's view of one target.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::bundle::Capacity;
use seam_protocol::heartbeat::TargetWork;
use seam_protocol::{LoadReport, ServiceId, Target, TargetId, Time, VersionId, VmId};

use super::brittle::BrittleRoom;
use super::{
    ColdShare, EngineModel, PrefillMeter, QueueRoom, RateLimit, ShareLimiter, StartLimiter,
};
use crate::admission::Reserve;

/// Time over which the usable slots of a new or returning target ramp up.
const SLOW_START: Duration = Duration::from_secs(20);
/// Fraction of its slots that a new or returning target starts with.
const INITIAL_FRACTION: f64 = 0.25;
/// Age above which another node's reported work is ignored, several times the report interval.
const STALE_WORK: Duration = Duration::from_millis(1500);
/// Maximum number of nodes whose work at a target is known, several times those of the largest region.
const MAX_REPORTERS: usize = 1024;
/// Age up to which a target's load report is used along with the work reported by other nodes.
const RECENT_REPORT: Duration = Duration::from_millis(300);
/// Age above which a target's load report is ignored.
const STALE_REPORT: Duration = Duration::from_secs(10);
/// Ratio of mean to minimum service time above which a target's concurrency limit is lowered.
const SLOW_RATIO: f64 = 3.0;
/// Weight of a new sample in the moving average of the service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Whether a target accepts new requests, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts requests.
    Serving,
    /// It accepts no requests until this time, then a probe follows.
    Ejected(Time),
    /// A new connection is being tried as a probe.
    Probing,
    /// The platform lists it as leaving.
    Leaving,
    /// An operator drained it.
    Drained,
    /// It is no longer configured.
    Gone,
}

impl Phase {
    /// Returns whether the target may accept requests of other nodes: this one at most fails to reach
    /// it.
    #[must_use]
    pub fn may_serve_others(self) -> bool {
        matches!(self, Self::Serving | Self::Ejected(_) | Self::Probing)
    }
}

/// Work of another node at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct OtherWork {
    /// When the last report arrived.
    received: Time,
    /// When a report last differed from the one before.
    changed: Time,
    work: TargetWork,
}

/// This node's view of a target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Identifier.
    pub id: TargetId,
    /// Service.
    pub service: ServiceId,
    /// Specification from the configuration.
    pub spec: Target,
    /// Version of its software.
    pub version: VersionId,
    /// Capacity of each target of the service.
    pub capacity: Capacity,
    /// Phase, which decides whether it accepts new requests.
    pub phase: Phase,
    /// Running requests of this node.
    pub running: u32,
    /// Time of receipt of the last load report, the report, and the value of `running` at that
    /// time.
    pub report: Option<(Time, LoadReport, u32)>,
    /// Running requests of this node that are suspected of crashing targets.
    pub suspects: u32,
    /// This node's share of the slots.
    pub share: u32,
    /// Work and speed, if it is an engine.
    pub engine: EngineModel,
    /// Tokens that were lately sent to it for prefill.
    pub prefills: PrefillMeter,
    /// Limit of requests while it is cold.
    pub cold: ColdShare,
    /// Limit of requests that it names for all nodes together.
    pub rate_limit: RateLimit,
    /// Limit of requests that this node starts before other nodes learn of them.
    pub(super) starts: StartLimiter,
    /// Work of other nodes, by their own reports.
    pub(super) others: BTreeMap<VmId, OtherWork>,
    /// Whether it said in an answer that it is about to leave.
    pub(super) says_leaving: bool,
    /// Room at it while it is brittle.
    pub(super) brittle: BrittleRoom,
    /// Requests that it holds before it turns some away, if it queues requests by itself.
    pub(super) room: QueueRoom,
    /// Whether connections to it hang, so that others are preferred.
    pub(super) suspended: bool,
    /// When the last probe beside requests began.
    pub(super) probed: Option<Time>,
    /// When it last refused a connection, of this node or another one.
    pub(super) refused: Option<Time>,
    /// When it last began an answer.
    pub(super) answered: Option<Time>,
    /// Consecutive failures.
    pub(super) failures: u32,
    /// Ejections since the last success.
    pub(super) ejections: u32,
    /// Start of the current slow start.
    pub(super) slow_start: Option<Time>,
    /// Concurrency limit by measured service times, up to the slots.
    pub(super) limit: f64,
    /// Moving average of the service time, in seconds.
    pub(super) mean_secs: f64,
    /// Minimum of `mean_secs` in seconds, which rises slowly so that old minima expire.
    pub(super) floor_secs: f64,
}

impl TargetState {
    pub(super) fn new(
        id: TargetId,
        service: ServiceId,
        spec: Target,
        slow_start: Option<Time>,
    ) -> Self {
        Self {
            id,
            service,
            limit: f64::from(spec.slots),
            version: spec.version_id(),
            spec,
            capacity: Capacity::default(),
            phase: Phase::Serving,
            running: 0,
            report: None,
            suspects: 0,
            share: 1,
            engine: EngineModel::default(),
            prefills: PrefillMeter::default(),
            cold: ColdShare::default(),
            rate_limit: RateLimit::default(),
            starts: StartLimiter::default(),
            others: BTreeMap::new(),
            says_leaving: false,
            brittle: BrittleRoom::default(),
            room: QueueRoom::default(),
            suspended: false,
            probed: None,
            refused: None,
            answered: None,
            failures: 0,
            ejections: 0,
            slow_start,
            mean_secs: 0.0,
            floor_secs: f64::INFINITY,
        }
    }

    /// Returns whether it accepts requests in principle, with the given version of its software if
    /// there is one.
    pub(super) fn serves(&self, version: Option<VersionId>) -> bool {
        self.phase == Phase::Serving && version.is_none_or(|version| version == self.version)
    }

    /// Returns this node's share of the slots, reduced while the target is slow or in slow start.
    pub(super) fn own_share(&self, now: Time) -> f64 {
        let ramp = self.slow_start.map_or(1.0, |slow_start| {
            let elapsed = now.since(slow_start).as_secs_f64() / SLOW_START.as_secs_f64();
            (INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * elapsed).min(1.0)
        });
        let slots = f64::from(self.spec.slots.max(1));
        f64::from(self.share) * ramp * self.limit / slots
    }

    /// Returns the largest number of requests that this node may run at once if the load allows it.
    ///
    /// All slots are allowed while at most half are in use. Otherwise the number exceeds this
    /// node's share, since nodes do not spread their requests evenly.
    #[must_use]
    pub fn max_running(&self, now: Time) -> u32 {
        const IMBALANCE_FACTOR: f64 = 1.5;
        let slots = self.spec.slots.max(1);
        if 2 * self.load(now) <= slots {
            return slots;
        }
        (self.own_share(now) * IMBALANCE_FACTOR)
            .ceil()
            .clamp(1.0, f64::from(slots)) as u32
    }

    /// Returns the size of the KV memory in tokens, if configured.
    #[must_use]
    pub fn memory_tokens(&self) -> Option<f64> {
        (self.capacity.kv_tokens > 0).then_some(self.capacity.kv_tokens as f64)
    }

    /// Returns whether the last load report is about as recent as the reports of other nodes.
    fn report_is_recent(&self, now: Time) -> bool {
        let received = self.report.as_ref().map(|(received, _, _)| *received);
        received.is_some_and(|received| now.since(received) < RECENT_REPORT)
    }

    /// Returns the last load report unless it is stale.
    fn reported(&self, now: Time) -> Option<&(Time, LoadReport, u32)> {
        let report = self.report.as_ref()?;
        (now.since(report.0) < STALE_REPORT).then_some(report)
    }

    /// Replaces the recorded work of another node, unless too many report some. `work` is `None` if it has
    /// none here.
    pub(super) fn merge_other(&mut self, now: Time, from: VmId, work: Option<TargetWork>) {
        if let Some(known) = self.others.get_mut(&from) {
            let work = work.unwrap_or(TargetWork {
                running: 0,
                prefill_tokens: 0,
                kv_tokens: 0,
                ..known.work
            });
            if known.work != work {
                known.changed = now;
            }
            known.work = work;
            known.received = now;
            return;
        }
        let Some(work) = work else {
            return;
        };
        if self.others.len() >= MAX_REPORTERS {
            self.others
                .retain(|_, other| now.since(other.received) < STALE_WORK);
        }
        if self.others.len() < MAX_REPORTERS {
            let other = OtherWork {
                received: now,
                changed: now,
                work,
            };
            self.others.insert(from, other);
        }
    }

    /// Returns the recently reported work of other nodes.
    fn others(&self, now: Time) -> impl Iterator<Item = &TargetWork> + '_ {
        let fresh = move |other: &&OtherWork| now.since(other.received) < STALE_WORK;
        self.others.values().filter(fresh).map(|other| &other.work)
    }

    /// Returns the running requests of those nodes that lately began or ended some, and so are likely to
    /// reach the target.
    #[must_use]
    pub fn active_elsewhere(&self, now: Time) -> u32 {
        let others = self.others.values();
        let active = others.filter(|other| now.since(other.changed) < STALE_WORK);
        active.map(|other| other.work.running).sum()
    }

    /// Returns the queued prefill tokens of all nodes.
    #[must_use]
    pub fn prefill_queue(&self, now: Time) -> u64 {
        let others: u64 = self
            .others(now)
            .map(|work| u64::from(work.prefill_tokens))
            .sum();
        self.engine.prefill_queue() + others
    }

    /// Returns the largest number of KV tokens of running requests of all nodes.
    #[must_use]
    pub fn kv_tokens(&self, now: Time) -> u64 {
        let others: u64 = self.others(now).map(|work| work.kv_tokens).sum();
        self.engine.kv_tokens() + others
    }

    /// Returns the fraction of its time that it spends on prefill.
    #[must_use]
    pub fn utilization(&self, now: Time) -> f64 {
        self.prefills.utilization(now, self.engine.prefill_ms(1))
    }

    /// Returns the estimated number of running requests of all nodes.
    #[must_use]
    pub fn load(&self, now: Time) -> u32 {
        let by_nodes: u32 = self.others(now).map(|work| work.running).sum();
        // The target's report also covers requests of nodes whose heartbeats do not reach this
        // node.
        let reported = self.reported(now).map_or(0, |(_, report, own)| {
            (report.running + report.waiting).saturating_sub(*own)
        });
        let reported = if self.others.is_empty() || self.report_is_recent(now) {
            reported
        } else {
            0
        };
        self.running + by_nodes.max(reported)
    }

    /// Returns the limiters of the rates that the target grants to all nodes together.
    fn limiters(&self, now: Time) -> impl Iterator<Item = &ShareLimiter> {
        let cold = self.cold.limiter(now);
        cold.into_iter().chain(self.rate_limit.limiter())
    }

    /// Returns whether a request that was placed at this time may be sent now by the granted rates, and
    /// counts it at the time at which it is sent.
    pub(super) fn confirm_grant(&mut self, now: Time, placed: Time) -> bool {
        self.cold.withdraw(placed);
        self.rate_limit.withdraw(placed);
        if !self.limiters(now).all(|limiter| limiter.allows(now)) {
            return false;
        }
        self.cold.record(now);
        self.rate_limit.record_request(now);
        true
    }

    /// Returns whether the target takes only a granted rate of requests.
    pub(super) fn is_granted(&self, now: Time) -> bool {
        self.limiters(now).next().is_some()
    }

    /// Returns when this node may send the next request by the granted rates, or `None` if it has no
    /// share of one.
    pub(super) fn next_grant(&self, now: Time) -> Option<Time> {
        let mut limiters = self.limiters(now);
        limiters.try_fold(now, |latest, limiter| Some(latest.max(limiter.next(now)?)))
    }

    /// Returns this node's share of the lowest granted rate, in requests per second.
    pub(super) fn granted_rate(&self, now: Time) -> f64 {
        let rates = self.limiters(now).map(|limiter| limiter.share().rate());
        rates.fold(f64::INFINITY, f64::min)
    }

    /// Returns whether it said in an answer that it is about to leave.
    pub(crate) fn says_leaving(&self) -> bool {
        self.says_leaving
    }

    /// Returns the slots that this node may use of a shared target.
    pub(super) fn usable_slots(&self, brittle: bool) -> u32 {
        match self.brittle.share {
            share if brittle && share > 0 => share,
            _ => self.spec.slots,
        }
    }

    /// Returns whether the target has room for one more request, if it is brittle.
    pub(super) fn has_sure_room(&self, now: Time) -> bool {
        let slots = self.spec.slots;
        self.brittle
            .is_sure(now, self.running, self.load(now), slots)
    }

    /// Returns whether the target accepts one more request of this node.
    ///
    /// Within its share, this node does not consider the load by other nodes. Beyond it, the
    /// reported load must leave free slots, with a margin since the report may be old.
    #[must_use]
    pub fn accepts(&self, now: Time, heavy: bool, shared: bool) -> bool {
        const SPARE_SLOTS: u32 = 2;
        let granted = self.limiters(now).all(|limiter| limiter.allows(now));
        if self.phase != Phase::Serving || !granted {
            return false;
        }
        if shared {
            if self.queues_itself() {
                let room = self.room.allows(now, self.load(now), self.spec.slots);
                return self.running < self.spec.slots && room;
            }
            let free = self.spec.slots.saturating_sub(self.load(now));
            return free > 0 && self.starts.allows(now, free);
        }
        let share = self.own_share(now).round() as u32;
        if self.running < share {
            return true;
        }
        let has_report = self.reported(now).is_some();
        let has_free_slots = self.load(now) + SPARE_SLOTS <= self.spec.slots || self.load(now) == 0;
        has_report && !heavy && self.running < self.max_running(now) && has_free_slots
    }

    /// Returns whether an engine keeps a reserve for more urgent requests if it takes another one with
    /// this many KV tokens.
    pub(super) fn leaves(&self, now: Time, reserve: &Reserve, tokens: u64) -> bool {
        let Some(memory) = self.memory_tokens() else {
            return true;
        };
        let load = self.load(now);
        let usable = 1.0 - reserve.fraction;
        let slots = (f64::from(self.spec.slots) * usable).floor() as u32;
        let free = slots.saturating_sub(load);
        let fits = (self.kv_tokens(now) + tokens) as f64 <= memory * usable;
        let wait_ms = self.engine.queue_ms(self.prefill_queue(now), load);
        let short = wait_ms <= reserve.max_wait.as_secs_f64() * 1000.0;
        // Nodes that do not know of each other's starts would use up the reserve together.
        free > 0 && self.starts.allows(now, free) && fits && short
    }

    /// Returns whether the target queues excess requests by itself. Only engines, which do not, have a
    /// configured KV memory.
    pub(super) fn queues_itself(&self) -> bool {
        self.memory_tokens().is_none()
    }

    /// Returns the service time without a queue, if it was measured.
    pub(super) fn unqueued_time(&self) -> Option<Duration> {
        (self.floor_secs < f64::INFINITY).then(|| Duration::from_secs_f64(self.floor_secs))
    }

    /// Records that the target turned a request of this node away. A brittle one lets fewer wait for
    /// some time only, so its rejections say nothing of its room later.
    pub(super) fn record_rejection(&mut self, now: Time, brittle: bool) {
        self.brittle.rejected = Some(now);
        let load = self.load(now);
        if self.queues_itself() && !brittle {
            let pace = self.unqueued_time().unwrap_or_default();
            self.room.record_rejection(now, load, self.spec.slots, pace);
        }
    }

    /// Adjusts the concurrency limit to a measured service time (additive increase, multiplicative
    /// decrease).
    pub(super) fn record_service_time(&mut self, duration: Duration) {
        let secs = duration.as_secs_f64();
        let slots = f64::from(self.spec.slots.max(1));
        self.mean_secs = if self.mean_secs == 0.0 {
            secs
        } else {
            self.mean_secs + SAMPLE_WEIGHT * (secs - self.mean_secs)
        };
        self.floor_secs = self.floor_secs.min(self.mean_secs) * 1.0005;
        if self.mean_secs > SLOW_RATIO * self.floor_secs {
            self.limit = (self.limit * 0.95).max(1.0);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(slots);
        }
    }
}
