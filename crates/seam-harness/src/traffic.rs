//! Open-loop traffic.

use std::time::Duration;

use seam_protocol::{CustomerId, RegionId, ServiceId, Time};

use crate::ids::KeyChoice;

/// Requests of one customer's callers in one region, as a Poisson process.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The customer.
    pub customer: CustomerId,
    /// Region of the callers.
    pub region: RegionId,
    /// The service called.
    pub service: ServiceId,
    /// Mean requests per second outside the peak.
    pub rate: f64,
    /// Peak of the rate, if any.
    pub peak: Option<Peak>,
    /// Start of the traffic.
    pub from: Time,
    /// End of the traffic.
    pub until: Time,
    /// Whether requests are idempotent.
    pub repeatable: bool,
    /// Kind of idempotency key of each request.
    pub key: KeyChoice,
    /// Number of distinct prompt prefixes; zero sends none.
    pub prefixes: u64,
    /// Time from a call to its deadline.
    pub budget: Duration,
}

/// A triangular peak of the rate.
#[derive(Clone, Copy, Debug)]
pub struct Peak {
    /// Time of the highest rate.
    pub middle: Time,
    /// Time from the middle to either end.
    pub width: Duration,
    /// Factor on the rate at the middle.
    pub factor: f64,
}

impl Traffic {
    /// Returns the mean requests per second at a time.
    #[must_use]
    pub fn rate_at(&self, now: Time) -> f64 {
        let Some(peak) = self.peak else {
            return self.rate;
        };
        let distance = now.since(peak.middle).max(peak.middle.since(now));
        let height = 1.0 - (distance.as_secs_f64() / peak.width.as_secs_f64()).min(1.0);
        self.rate * (1.0 + (peak.factor - 1.0) * height)
    }
}
