//! Open-loop callers.

use std::time::Duration;

use seam_protocol::{CustomerId, RegionId, ServiceId, Time};

use crate::ids::KeyChoice;

/// Requests of one customer's callers in one region, at random times.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The customer.
    pub customer: CustomerId,
    /// Where its callers are.
    pub region: RegionId,
    /// The service called.
    pub service: ServiceId,
    /// Mean requests a second.
    pub rate: f64,
    /// A peak: its middle, its half width and the factor on the rate at the middle.
    pub peak: Option<Peak>,
    /// First time.
    pub from: Time,
    /// Last time.
    pub until: Time,
    /// Whether requests may be repeated.
    pub repeatable: bool,
    /// Key of each request.
    pub key: KeyChoice,
    /// Different prompt prefixes, zero for none.
    pub prefixes: u64,
    /// Time until the deadline.
    pub budget: Duration,
}

/// A daily peak.
#[derive(Clone, Copy, Debug)]
pub struct Peak {
    /// Time of the highest rate.
    pub middle: Time,
    /// Time from the middle to the end.
    pub width: Duration,
    /// Factor at the middle.
    pub factor: f64,
}

impl Traffic {
    /// Returns the rate at a time.
    #[must_use]
    pub fn rate_at(&self, now: Time) -> f64 {
        let Some(peak) = self.peak else {
            return self.rate;
        };
        let off = now.since(peak.middle).max(peak.middle.since(now));
        let part = 1.0 - (off.as_secs_f64() / peak.width.as_secs_f64()).min(1.0);
        self.rate * (1.0 + (peak.factor - 1.0) * part)
    }
}
