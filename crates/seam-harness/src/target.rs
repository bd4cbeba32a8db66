//! A fake target with slots, a queue, a prefix cache and crashes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::{Incarnation, Kind, RegionId, ServiceId, Time, VmId};

use crate::ids::RunId;
use crate::oracle::CONTACT_TIME;

/// Maximum number of prefixes in an engine's cache.
const CACHE_PREFIXES: usize = 64;
/// Window in which requests are counted against a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor on what a limit allows within the window.
const LIMIT_OVERAGE: f64 = 1.5;
/// Requests within the window beyond that.
const LIMIT_SLACK: f64 = 5.0;
/// Time from an answer that names a limit to the time from which its receiver is counted.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Fraction of the service time that a cached prefix saves.
const CACHE_SAVING: f64 = 0.35;

/// A limit of the requests from all nodes together, and what the target got since it named it.
#[derive(Clone, Debug)]
pub struct FakeLimit {
    /// Requests per second.
    pub rate: f64,
    /// Since when it is named.
    pub since: Time,
    /// When each process first received an answer that names it.
    pub received: BTreeMap<(VmId, Incarnation), Time>,
    /// Recent requests from nodes that had received it.
    pub arrivals: VecDeque<Time>,
}

impl FakeLimit {
    /// Returns a limit that is named from now on.
    #[must_use]
    pub fn new(now: Time, rate: f64) -> Self {
        Self {
            rate,
            since: now,
            received: BTreeMap::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Records a request of a settled node. Returns the number of requests within four seconds
    /// if it exceeds what the limit allows.
    pub fn record_arrival(&mut self, now: Time, from: (VmId, Incarnation)) -> Option<usize> {
        let received = self.received.get(&from);
        let knows = received.is_some_and(|received| now.since(*received) >= NOTICE_TIME);
        if !knows || now.since(self.since) < CONTACT_TIME {
            return None;
        }
        self.arrivals.push_back(now);
        self.arrivals
            .retain(|arrived| now.since(*arrived) < LIMIT_WINDOW);
        let allowed = LIMIT_OVERAGE * self.rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        let count = self.arrivals.len();
        (count as f64 > allowed).then_some(count)
    }
}

/// State of a fake target.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    /// Region of the target.
    pub region: RegionId,
    /// Service that the target provides.
    pub service: ServiceId,
    /// Kind of the service.
    pub kind: Kind,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Mean service time.
    pub mean: Duration,
    /// Factor on the service time; 1 is the normal speed.
    pub slowdown: f64,
    /// Time until which it refuses connections after a crash.
    pub down_until: Option<Time>,
    /// Whether existing connections are silent; new ones work.
    pub silent: bool,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// One in so many runs fails, with a status by which callers know that a request was not run.
    pub failure_interval: Option<u64>,
    /// Completed runs so far.
    pub completed: u64,
    /// Limit that it names in its answers.
    pub limit: Option<FakeLimit>,
    /// Running requests with their start times.
    pub running: BTreeMap<RunId, Time>,
    /// Requests in the target's queue.
    pub waiting: VecDeque<RunId>,
    /// Cached prefixes, least recently used first.
    pub cache: VecDeque<u64>,
    /// Requests whose prefix was cached.
    pub cache_hits: u64,
    /// Requests with a prefix.
    pub lookups: u64,
}

impl FakeTarget {
    /// Returns an idle target.
    #[must_use]
    pub fn new(
        region: RegionId,
        service: ServiceId,
        kind: Kind,
        slots: u32,
        mean: Duration,
    ) -> Self {
        Self {
            region,
            service,
            kind,
            slots,
            mean,
            slowdown: 1.0,
            down_until: None,
            silent: false,
            leaving: false,
            failure_interval: None,
            completed: 0,
            limit: None,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            cache_hits: 0,
            lookups: 0,
        }
    }

    /// Returns whether the target accepts connections.
    #[must_use]
    pub fn accepts(&self, now: Time) -> bool {
        self.down_until.is_none_or(|until| until <= now)
    }

    /// Counts a completed run. Returns whether it fails.
    pub fn complete_run(&mut self) -> bool {
        self.completed += 1;
        self.failure_interval
            .is_some_and(|runs| self.completed.is_multiple_of(runs))
    }

    /// Returns the service time of a request, and adds its prefix to the cache.
    ///
    /// The time is at least half the mean, has an exponential tail, and grows with the number of
    /// running requests.
    pub fn service_time(&mut self, rng: &mut Pcg64Mcg, prefix: Option<u64>) -> Duration {
        const MIN_FACTOR: f64 = 0.5;
        const BATCH_FACTOR: f64 = 0.3;
        const MAX_TAIL: f64 = 4.0;
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        let tail = (-draw.ln()).min(MAX_TAIL) * (1.0 - MIN_FACTOR);
        let fill = f64::from(self.running.len() as u32) / f64::from(self.slots.max(1));
        let cache_factor = if self.lookup_prefix(prefix) {
            1.0 - CACHE_SAVING
        } else {
            1.0
        };
        let factor =
            (MIN_FACTOR + tail) * (1.0 + BATCH_FACTOR * fill) * cache_factor * self.slowdown;
        self.mean.mul_f64(factor)
    }

    fn lookup_prefix(&mut self, prefix: Option<u64>) -> bool {
        let Some(prefix) = prefix else {
            return false;
        };
        self.lookups += 1;
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(position) = found {
            self.cache.remove(position);
            self.cache_hits += 1;
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_PREFIXES {
            self.cache.pop_front();
        }
        found.is_some()
    }

    /// Crashes the target until a time. Returns the running and queued requests that are lost.
    pub fn crash(&mut self, until: Time) -> Vec<RunId> {
        self.down_until = Some(until);
        self.cache.clear();
        let lost = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        lost.into_keys().chain(waiting).collect()
    }
}
