//! Where a request goes: its own region first, another one when that is clearly sooner.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{RegionId, ServiceId, Time};

/// Part of the threshold at which a service that is being sent away comes back.
const RETURN_THRESHOLD_FACTOR: f64 = 0.7;
/// Time over which a region that was cut off gets its share of traffic back.
pub const RETURN_RAMP: Duration = Duration::from_secs(30);
/// Part of a returning region's room that is used at once.
const INITIAL_FRACTION: f64 = 0.1;

/// What is known of serving a request here.
#[derive(Clone, Copy, Debug)]
pub struct LocalView {
    /// Whether a target here takes work and residency allows it.
    pub possible: bool,
    /// Predicted wait for a slot.
    pub wait: Duration,
}

/// What is known of serving a request in another region.
#[derive(Clone, Copy, Debug)]
pub struct RemoteView {
    /// The region.
    pub region: RegionId,
    /// Round trip to it.
    pub round_trip: Duration,
    /// Predicted wait for a slot there.
    pub wait: Duration,
    /// Slots without a request, less what this node has sent since.
    pub free: u32,
}

impl RemoteView {
    /// Orders regions by what they add to a request, and by name where that is the same.
    #[must_use]
    pub fn cost(&self) -> (Duration, RegionId) {
        (self.round_trip + self.wait, self.region)
    }
}

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest {
    /// Service.
    pub service: ServiceId,
    /// Time until the deadline.
    pub budget: Duration,
    /// Expected service time, for streams to the first event.
    pub expected: Duration,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Weight of tail latency against the share sent away, 0 to 1.
    pub weight: f64,
}

/// Where to serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionChoice {
    /// In this region.
    Local,
    /// In another region.
    Remote(RegionId),
    /// Nowhere in time; a request may be tried again after this time.
    Refuse(Option<Duration>),
}

/// What a placement was decided by, for the log.
#[derive(Clone, Copy, Debug)]
pub struct RoutingDecision {
    /// The request.
    pub request: RoutingRequest,
    /// This region.
    pub local: LocalView,
    /// The region that was chosen, or else the one with the least wait and trip, where others were
    /// weighed.
    pub best: Option<RemoteView>,
    /// Age of what is known of that region.
    pub age: Duration,
    /// The decision. Here means that the request waits for a slot.
    pub choice: RegionChoice,
}

/// Remembers which services are being sent away, and regions that came back.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    spilling: BTreeMap<ServiceId, bool>,
    returned: BTreeMap<RegionId, Time>,
}

impl Spill {
    /// Notes that a region is heard of again after a partition.
    pub fn note_return(&mut self, now: Time, region: RegionId) {
        self.returned.insert(region, now);
    }

    /// Returns the part of a region's room that may be used now, 0 to 1.
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
    /// A request leaves when this region cannot serve it in time, or when the gain exceeds the
    /// reluctance: the part of the request's slack that the weight gives to staying home.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::spill::{RoutingRequest, RegionChoice, LocalView, Spill, RemoteView};
    /// use seam_protocol::{RegionId, ServiceId};
    /// let asked = RoutingRequest {
    ///     service: ServiceId(1),
    ///     budget: Duration::from_secs(10),
    ///     expected: Duration::from_secs(1),
    ///     objective: Duration::from_secs(10),
    ///     weight: 1.0,
    /// };
    /// let there = RemoteView {
    ///     region: RegionId(2),
    ///     round_trip: Duration::from_millis(160),
    ///     wait: Duration::ZERO,
    ///     free: 3,
    /// };
    /// let idle = LocalView { possible: true, wait: Duration::ZERO };
    /// let busy = LocalView { possible: true, wait: Duration::from_secs(1) };
    /// let mut spill = Spill::default();
    /// assert_eq!(spill.choose(asked, idle, &[there]), RegionChoice::Local);
    /// assert_eq!(spill.choose(asked, busy, &[there]), RegionChoice::Remote(RegionId(2)));
    /// ```
    pub fn choose(
        &mut self,
        asked: RoutingRequest,
        here: LocalView,
        there: &[RemoteView],
    ) -> RegionChoice {
        let best = there
            .iter()
            .filter(|there| there.free > 0 || there.wait > Duration::ZERO)
            .filter(|there| there.round_trip + there.wait + asked.expected <= asked.budget)
            .min_by_key(|there| there.cost());
        let fits = here.possible && here.wait + asked.expected <= asked.budget;
        let Some(best) = best else {
            let wait = here.possible.then_some(here.wait);
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
        let slack = asked.objective.saturating_sub(asked.expected + cost);
        let spilling = self.spilling.entry(asked.service).or_default();
        let factor = if *spilling {
            RETURN_THRESHOLD_FACTOR
        } else {
            1.0
        };
        let stay_margin = slack.mul_f64((1.0 - asked.weight).clamp(0.0, 1.0));
        let threshold = (cost + stay_margin).mul_f64(factor);
        *spilling = here.wait > threshold;
        if *spilling {
            RegionChoice::Remote(best.region)
        } else {
            RegionChoice::Local
        }
    }
}
