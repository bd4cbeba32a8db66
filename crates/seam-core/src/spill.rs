//! Chooses the region of a request: the region of this node, or another one where the request would
//! start clearly sooner.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{RegionId, ServiceId, Time};

use crate::admission::Contest;

/// Factor on the threshold for sending requests to another region while a service's requests are
/// sent there, for hysteresis.
const RETURN_THRESHOLD_FACTOR: f64 = 0.7;
/// Time over which the traffic to a region ramps up after a partition.
pub const RETURN_RAMP: Duration = Duration::from_secs(30);
/// Fraction of what is left of its objective that the way to a region with ample room and the expected
/// service time may take together. The rest is for prediction errors.
pub const RELIEF_FRACTION: f64 = 0.75;
/// Fraction of a region's free slots that is used right after a partition.
const INITIAL_FRACTION: f64 = 0.1;

/// State of this region for a request.
#[derive(Clone, Copy, Debug)]
pub struct LocalView {
    /// Whether a target here accepts requests and residency permits the region.
    pub possible: bool,
    /// Predicted wait for a slot.
    pub wait: Duration,
    /// Part of the wait that does not delay the request, but makes a region with many requests less
    /// preferred.
    pub penalty: Duration,
    /// Whether the request would take room here that others need.
    pub scarce: bool,
}

/// State of another region for a request.
#[derive(Clone, Copy, Debug)]
pub struct RemoteView {
    /// Region.
    pub region: RegionId,
    /// Network round trip to the region.
    pub round_trip: Duration,
    /// Predicted wait for a slot there.
    pub wait: Duration,
    /// Reported free slots, minus the requests that this node has sent there since the report.
    pub free: u32,
    /// Whether it has ample free slots and no wait.
    pub ample: bool,
}

impl RemoteView {
    /// Returns the sort key of a region: the delay that it adds to a request, whether it lacks ample room,
    /// then its identifier.
    #[must_use]
    pub fn cost(&self) -> (Duration, bool, RegionId) {
        (self.round_trip + self.wait, !self.ample, self.region)
    }
}

/// Properties of a request that decide its region.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest {
    /// Service.
    pub service: ServiceId,
    /// Time until the deadline.
    pub budget: Duration,
    /// Expected service time, for streams to the first event.
    pub expected: Duration,
    /// Time left of the latency objective, after which a response is worth less.
    pub objective: Duration,
    /// Weight of tail latency against the fraction of requests that are sent to other regions, from
    /// 0 to 1.
    pub weight: f64,
}

/// Region chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionChoice {
    /// This region.
    Local,
    /// Another region.
    Remote(RegionId),
    /// No region serves the request in time. The caller may retry after the predicted wait here,
    /// which is `None` if no target here accepts the request.
    Refuse(Option<Duration>),
}

/// A routing decision with its inputs, for the log.
#[derive(Clone, Copy, Debug)]
pub struct RoutingDecision {
    /// The request.
    pub request: RoutingRequest,
    /// State of this region.
    pub local: LocalView,
    /// The chosen remote region, or else the one with the lowest cost. `None` if no other region
    /// was considered.
    pub best: Option<RemoteView>,
    /// Age of the load data of `best`.
    pub age: Duration,
    /// The decision. `Local` means that the request waits for a slot here.
    pub choice: RegionChoice,
    /// What it competes with, if it competes for engines.
    pub contest: Option<Contest>,
}

/// State of region selection: the services whose requests are sent to other regions, and the
/// regions that became reachable again after a partition.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    /// Whether a service's requests are currently sent to other regions because of the threshold.
    spilling: BTreeMap<ServiceId, bool>,
    /// Time at which a region became reachable again.
    returned: BTreeMap<RegionId, Time>,
}

impl Spill {
    /// Records that a region is reachable again after a partition.
    pub fn note_return(&mut self, now: Time, region: RegionId) {
        self.returned.insert(region, now);
    }

    /// Returns the fraction of a region's free slots that may be used now, from 0 to 1.
    ///
    /// ```
    /// use seam_core::spill::{RETURN_RAMP, Spill};
    /// use seam_protocol::{RegionId, Time};
    /// let mut spill = Spill::default();
    /// assert!(spill.ramp(Time(0), RegionId(1)) >= 1.0);
    /// spill.note_return(Time(0), RegionId(1));
    /// assert!(spill.ramp(Time(0), RegionId(1)) < 0.2);
    /// assert!(spill.ramp(Time(0) + RETURN_RAMP, RegionId(1)) >= 1.0);
    /// ```
    #[must_use]
    pub fn ramp(&self, now: Time, region: RegionId) -> f64 {
        let Some(since) = self.returned.get(&region) else {
            return 1.0;
        };
        let elapsed = now.since(*since).as_secs_f64() / RETURN_RAMP.as_secs_f64();
        (INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * elapsed).min(1.0)
    }

    /// Chooses the region of a request.
    ///
    /// A request is sent to the best other region if this region cannot serve it in time, or if the
    /// wait here exceeds the cost of that region by a margin: the request's slack times one minus
    /// the weight. The threshold is lowered while the service's requests are sent to other regions.
    ///
    /// If room is scarce here and the best other region has ample room, a request goes there as soon as
    /// its objective allows for the way. The wait here says too little then: where slots are nearly used
    /// up, all responses take longer, and the next requests find no slot.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::spill::{LocalView, RegionChoice, RemoteView, RoutingRequest, Spill};
    /// use seam_protocol::{RegionId, ServiceId};
    /// let request = RoutingRequest {
    ///     service: ServiceId(1),
    ///     budget: Duration::from_secs(10),
    ///     expected: Duration::from_secs(1),
    ///     objective: Duration::from_secs(10),
    ///     weight: 1.0,
    /// };
    /// let remote = RemoteView {
    ///     region: RegionId(2),
    ///     round_trip: Duration::from_millis(160),
    ///     wait: Duration::ZERO,
    ///     free: 3,
    ///     ample: true,
    /// };
    /// let idle = LocalView {
    ///     possible: true,
    ///     wait: Duration::ZERO,
    ///     penalty: Duration::ZERO,
    ///     scarce: false,
    /// };
    /// let busy = LocalView { wait: Duration::from_secs(1), ..idle };
    /// let scarce = LocalView { scarce: true, ..idle };
    /// let mut spill = Spill::default();
    /// assert_eq!(spill.choose(request, idle, &[remote]), RegionChoice::Local);
    /// assert_eq!(spill.choose(request, busy, &[remote]), RegionChoice::Remote(RegionId(2)));
    /// assert_eq!(spill.choose(request, scarce, &[remote]), RegionChoice::Remote(RegionId(2)));
    /// let full = RemoteView { ample: false, ..remote };
    /// assert_eq!(spill.choose(request, scarce, &[full]), RegionChoice::Local);
    /// ```
    pub fn choose(
        &mut self,
        request: RoutingRequest,
        local: LocalView,
        remotes: &[RemoteView],
    ) -> RegionChoice {
        let best = remotes
            .iter()
            .filter(|remote| remote.free > 0 || remote.wait > Duration::ZERO)
            .filter(|remote| remote.round_trip + remote.wait + request.expected <= request.budget)
            .min_by_key(|remote| remote.cost());
        let delay = local.wait.saturating_sub(local.penalty);
        let fits = local.possible && delay + request.expected <= request.budget;
        let Some(best) = best else {
            let wait = local.possible.then_some(local.wait);
            return if fits {
                RegionChoice::Local
            } else {
                RegionChoice::Refuse(wait)
            };
        };
        if !fits {
            return RegionChoice::Remote(best.region);
        }
        let cost = best.round_trip + best.wait;
        let way = best.round_trip + request.expected;
        if local.scarce && best.ample && way <= request.objective.mul_f64(RELIEF_FRACTION) {
            return RegionChoice::Remote(best.region);
        }
        let slack = request.objective.saturating_sub(request.expected + cost);
        let spilling = self.spilling.entry(request.service).or_default();
        let factor = if *spilling {
            RETURN_THRESHOLD_FACTOR
        } else {
            1.0
        };
        let stay_margin = slack.mul_f64((1.0 - request.weight).clamp(0.0, 1.0));
        let threshold = (cost + stay_margin).mul_f64(factor);
        *spilling = local.wait > threshold;
        if *spilling {
            RegionChoice::Remote(best.region)
        } else {
            RegionChoice::Local
        }
    }
}
