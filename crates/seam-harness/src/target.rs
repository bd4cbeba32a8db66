//! A fake target: slots, a queue inside, a prefix cache, crashes and silence.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::{Kind, RegionId, ServiceId, Time};

use crate::ids::RunId;

/// Prefixes that an engine's cache holds.
const CACHE_PREFIXES: usize = 64;
/// Part of the service time that a cached prefix saves.
const CACHE_SAVING: f64 = 0.35;

/// State of a fake target.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    /// Region.
    pub region: RegionId,
    /// Service.
    pub service: ServiceId,
    /// Kind.
    pub kind: Kind,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Mean service time.
    pub mean: Duration,
    /// Factor on the service time, for slow phases.
    pub slowdown: f64,
    /// Down until this time.
    pub down_until: Option<Time>,
    /// Existing connections are silent; new ones work.
    pub silent: bool,
    /// Whether the platform's list says that it leaves.
    pub leaving: bool,
    /// Requests that run.
    pub running: BTreeMap<RunId, Time>,
    /// Requests that wait inside.
    pub waiting: VecDeque<RunId>,
    /// Prefixes held, the oldest first.
    pub cache: VecDeque<u64>,
    /// Requests whose prefix was held.
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
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            cache_hits: 0,
            lookups: 0,
        }
    }

    /// Tells whether connections are accepted.
    #[must_use]
    pub fn accepts(&self, now: Time) -> bool {
        self.down_until.is_none_or(|until| until <= now)
    }

    /// Returns how long a request runs, and notes its prefix.
    ///
    /// The time has a floor of half the mean and an exponential tail, and grows with the batch.
    pub fn service_time(&mut self, rng: &mut Pcg64Mcg, prefix: Option<u64>) -> Duration {
        const FLOOR: f64 = 0.5;
        const BATCH: f64 = 0.3;
        const LONGEST: f64 = 4.0;
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        let tail = (-draw.ln()).min(LONGEST) * (1.0 - FLOOR);
        let fill = f64::from(self.running.len() as u32) / f64::from(self.slots.max(1));
        let saved = if self.lookup_prefix(prefix) {
            1.0 - CACHE_SAVING
        } else {
            1.0
        };
        let factor = (FLOOR + tail) * (1.0 + BATCH * fill) * saved * self.slowdown;
        self.mean.mul_f64(factor)
    }

    fn lookup_prefix(&mut self, prefix: Option<u64>) -> bool {
        let Some(prefix) = prefix else {
            return false;
        };
        self.lookups += 1;
        let found = self.cache.iter().position(|held| *held == prefix);
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

    /// Forgets everything, as a crash does. Returns the requests that were lost.
    pub fn crash(&mut self, until: Time) -> Vec<RunId> {
        self.down_until = Some(until);
        self.cache.clear();
        let lost = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        lost.into_keys().chain(waiting).collect()
    }
}
