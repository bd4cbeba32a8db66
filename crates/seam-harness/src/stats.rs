//! What callers measured.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use seam_protocol::{CustomerId, Reason, RegionId};

/// Answers of one kind of caller.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers in time.
    pub good: u64,
    /// Whole answers after the deadline.
    pub late: u64,
    /// Refusals as not run.
    pub not_run: u64,
    /// Unknown outcomes.
    pub unknown: u64,
    /// Answers from another region than the caller's.
    pub remote: u64,
    /// Refusals by reason.
    pub reasons: BTreeMap<Reason, u64>,
    /// Latency of whole answers in microseconds.
    pub latency: Histogram<u64>,
    /// Time from the call to the start of its run, in microseconds.
    pub wait: Histogram<u64>,
    /// Time from a request's arrival at its target to the start of its run, in microseconds.
    pub target_wait: Histogram<u64>,
    /// Runs that found their prefix cached.
    pub cache_hits: u64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            sent: 0,
            good: 0,
            late: 0,
            not_run: 0,
            unknown: 0,
            remote: 0,
            reasons: BTreeMap::new(),
            latency: Histogram::new(3).expect("three digits are supported"),
            wait: Histogram::new(3).expect("three digits are supported"),
            target_wait: Histogram::new(3).expect("three digits are supported"),
            cache_hits: 0,
        }
    }
}

impl Tally {
    /// Returns a quantile of the latency.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }

    /// Returns the share of whole answers that came from another region.
    #[must_use]
    pub fn remote_share(&self) -> f64 {
        self.remote as f64 / (self.good + self.late).max(1) as f64
    }

    /// Returns the share of requests with a whole answer in time.
    #[must_use]
    pub fn good_share(&self) -> f64 {
        self.good as f64 / self.sent.max(1) as f64
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Tally) {
        self.sent += other.sent;
        self.good += other.good;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.remote += other.remote;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(*reason).or_default() += count;
        }
        self.cache_hits += other.cache_hits;
        let _ = self.latency.add(&other.latency);
        let _ = self.wait.add(&other.wait);
        let _ = self.target_wait.add(&other.target_wait);
    }
}

/// Tallies by customer and by region of the node called.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// By customer.
    pub customers: BTreeMap<CustomerId, Tally>,
    /// By region.
    pub regions: BTreeMap<RegionId, Tally>,
    /// Whether requests that are made now are counted.
    pub counting: bool,
}

impl Stats {
    /// Changes the tallies of a request.
    pub fn record(&mut self, customer: CustomerId, region: RegionId, change: impl Fn(&mut Tally)) {
        change(self.customers.entry(customer).or_default());
        change(self.regions.entry(region).or_default());
    }

    /// Returns the sum over all regions.
    #[must_use]
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.regions.values() {
            total.add(tally);
        }
        total
    }
}
