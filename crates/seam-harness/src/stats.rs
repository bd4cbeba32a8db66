//! Measurements of callers.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use seam_protocol::{CustomerId, Reason, RegionId};

/// Counts and latencies of a group of callers' requests.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses before the deadline.
    pub good: u64,
    /// Complete responses after the deadline.
    pub late: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Responses from a region other than the caller's.
    pub remote: u64,
    /// Refusals by reason.
    pub reasons: BTreeMap<Reason, u64>,
    /// Latency of complete responses, in microseconds.
    pub latency: Histogram<u64>,
    /// Time from the call to the start of its run, in microseconds.
    pub wait: Histogram<u64>,
    /// Time from a request's arrival at its target to the start of its run, in microseconds.
    pub target_wait: Histogram<u64>,
    /// Runs whose prompt prefix was cached.
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
            latency: Histogram::new(3).expect("three significant digits are supported"),
            wait: Histogram::new(3).expect("three significant digits are supported"),
            target_wait: Histogram::new(3).expect("three significant digits are supported"),
            cache_hits: 0,
        }
    }
}

impl Tally {
    /// Returns a quantile, from 0 to 1, of the latency.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }

    /// Returns the share of complete responses that came from another region.
    #[must_use]
    pub fn remote_share(&self) -> f64 {
        self.remote as f64 / (self.good + self.late).max(1) as f64
    }

    /// Returns the share of requests with a complete response before the deadline.
    #[must_use]
    pub fn good_share(&self) -> f64 {
        self.good as f64 / self.sent.max(1) as f64
    }

    /// Adds the counts and latencies of another tally.
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
    /// Whether operations that start now are counted.
    pub counting: bool,
}

impl Stats {
    /// Applies a change to the tallies of a customer and of a region.
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
