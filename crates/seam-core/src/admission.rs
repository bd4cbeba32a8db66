//! Decides which requests of a service are held back in favour of more urgent ones.
//!
//! A service may serve several kinds of requests, ordered by the rank of their routes. While engines
//! have ample room, the rank has no effect. When room gets scarce, less urgent requests leave a
//! reserve of each engine to the most urgent rank that was lately asked for.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{TenantId, Time};

use crate::targets::SlidingWindow;

/// Time for which a rank counts as asked for after its last request.
const RECENT: Duration = Duration::from_secs(10);
/// Time in which the weight of an arrival or a refusal halves.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// The same time for the usual load of a tenant, several times as long as surges last.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(60);
/// Fraction of its objective that an engine's queued prefill may take before a tenant's prompt waits in
/// the queue of its node, where tenants have their turns. Engines have no such order.
const TURN_FRACTION: f64 = 0.4;
/// Time in which the weight of a request halves in the present load of a tenant.
const PRESENT_HALF_LIFE: Duration = Duration::from_secs(3);
/// Multiple of its usual load from which a tenant's requests are in excess.
const EXCESS_FACTOR: f64 = 1.5;
/// How much a request in excess counts in the usual load, so that a load that stays becomes usual.
const EXCESS_WEIGHT: f64 = 0.1;
/// Fraction of its objective that an engine's queued prefill may take before it takes a request in
/// excess.
const EXCESS_WAIT_FRACTION: f64 = 0.2;
/// Largest weight of a tenant, so that sums stay small.
const MAX_WEIGHT: u64 = 4096;
/// Fraction of the slots and the memory of each engine that less urgent requests leave free. Nodes
/// learn of each other's requests within 0.2 s; in this time about a tenth of the slots is taken.
const RESERVED_FRACTION: f64 = 0.125;
/// Fraction of the most urgent objective that an engine's queued prefill may take before less urgent
/// prompts are held back. The rest is for the prefill of the urgent prompt and prediction errors.
const WAIT_FRACTION: f64 = 0.25;
/// Fraction of the service ratio of all ranks below which a rank is not held back. It is more than a
/// quarter, since a ratio is known late.
const MIN_RELATIVE_SERVICE: f64 = 0.35;
/// Number of recent requests of a rank from which its service ratio counts.
const MIN_REQUESTS: f64 = 8.0;
/// Time over which starts are counted to predict how long queued requests wait.
const START_WINDOW: Duration = Duration::from_secs(2);
/// Fraction of the slots or the memory in use above which room is scarce.
const SCARCE_USE: f64 = 0.75;

/// A count that halves within a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    count: f64,
    updated: Time,
}

impl DecayingCount {
    pub(crate) fn value(self, now: Time, half_life: Duration) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / half_life.as_secs_f64();
        self.count * (-half_lives).exp2()
    }

    pub(crate) fn add(&mut self, now: Time, half_life: Duration, weight: f64) {
        self.count = self.value(now, half_life) + weight;
        self.updated = now;
    }
}

/// Recent requests of one rank at this node.
#[derive(Clone, Debug, Default)]
struct RankDemand {
    arrived: DecayingCount,
    refused: DecayingCount,
    starts: SlidingWindow,
    last: Time,
    /// Objective of the last request.
    objective: Duration,
}

impl RankDemand {
    /// Returns the recent arrivals and how many of them were not refused.
    fn served(&self, now: Time) -> (f64, f64) {
        let arrived = self.arrived.value(now, HALF_LIFE);
        (
            arrived,
            (arrived - self.refused.value(now, HALF_LIFE)).max(0.0),
        )
    }
}

/// Recent requests of one tenant at this node, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct TenantLoad {
    usual: DecayingCount,
    /// Those that were not in excess.
    present: DecayingCount,
}

impl TenantLoad {
    fn add(&mut self, now: Time, excess: bool) {
        let weight = if excess { EXCESS_WEIGHT } else { 1.0 };
        self.usual.add(now, USUAL_HALF_LIFE, weight);
        if !excess {
            self.present.add(now, PRESENT_HALF_LIFE, 1.0);
        }
    }

    /// Returns the usual load and the present one, as counts.
    fn counts(&self, now: Time) -> (f64, f64) {
        let usual = self.usual.value(now, USUAL_HALF_LIFE);
        (usual, self.present.value(now, PRESENT_HALF_LIFE))
    }
}

/// Part of each engine that a request leaves to more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// Rank that it is left to.
    pub rank: u8,
    /// Fraction of the slots and of the memory that stays free.
    pub fraction: f64,
    /// Longest predicted wait for the prefill of other prompts at which the engine takes a less
    /// urgent one.
    pub max_wait: Duration,
}

/// Use of the engines of a service in this region, by all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Shortest predicted wait of a prompt over the engines in use.
    pub wait: Duration,
    /// Fraction of the slots in use.
    pub slots: f64,
    /// Fraction of the memory in use, zero if its size is not known.
    pub memory: f64,
    /// Mean fraction of their time that the engines spend on prefill.
    pub prefill: f64,
}

impl Reserve {
    /// Returns the limits of a tenant's request that no more urgent one competes with: it leaves no part
    /// of the engine free, but waits for its turn while much prefill is queued there. One in `excess` of
    /// the tenant's usual load leaves a part to other tenants.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::admission::Reserve;
    /// let reserve = Reserve::for_turns(0, Duration::from_millis(800), false);
    /// assert_eq!(reserve.max_wait, Duration::from_millis(320));
    /// assert!(!reserve.holds(0));
    /// ```
    #[must_use]
    pub fn for_turns(rank: u8, objective: Duration, excess: bool) -> Self {
        let (fraction, wait) = if excess {
            (RESERVED_FRACTION, EXCESS_WAIT_FRACTION)
        } else {
            (0.0, TURN_FRACTION)
        };
        Self {
            rank,
            fraction,
            max_wait: objective.mul_f64(wait),
        }
    }

    /// Returns whether it holds a request of this rank back in favour of more urgent ones.
    #[must_use]
    pub fn holds(&self, rank: u8) -> bool {
        self.rank < rank
    }
}

impl Pressure {
    /// Returns whether a request with a latency objective takes room that others need.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::admission::Pressure;
    /// let objective = Duration::from_millis(800);
    /// let pressure = Pressure { slots: 0.5, ..Pressure::default() };
    /// assert!(!pressure.is_scarce(objective));
    /// let pressure = Pressure { slots: 0.9, ..Pressure::default() };
    /// assert!(pressure.is_scarce(objective));
    /// ```
    #[must_use]
    pub fn is_scarce(&self, objective: Duration) -> bool {
        let long_wait = self.wait > objective.mul_f64(WAIT_FRACTION);
        long_wait || self.slots.max(self.memory) > SCARCE_USE
    }
}

/// Recent requests of a service at this node, by the rank of their routes.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    ranks: BTreeMap<u8, RankDemand>,
    /// Recent requests of each tenant.
    tenants: BTreeMap<TenantId, TenantLoad>,
    all_tenants: TenantLoad,
}

impl Demand {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, now: Time, rank: u8, objective: Duration) {
        let demand = self.ranks.entry(rank).or_default();
        demand.arrived.add(now, HALF_LIFE, 1.0);
        demand.last = now;
        demand.objective = objective;
    }

    /// Records the arrival of a tenant's request. Returns whether it is in excess of the tenant's usual
    /// load, scaled by how much the load of the others differs from their usual one.
    ///
    /// ```
    /// use seam_core::admission::Demand;
    /// use seam_protocol::{TenantId, Time};
    /// let mut demand = Demand::default();
    /// let mut excess = [0, 0];
    /// for second in 0..120 {
    ///     let rates = if second < 110 { [4, 4] } else { [4, 28] };
    ///     for (tenant, rate) in rates.into_iter().enumerate() {
    ///         for _ in 0..rate {
    ///             let tenant_id = TenantId(tenant as u64);
    ///             let now = Time(second * 1_000_000);
    ///             excess[tenant] += u32::from(demand.record_tenant(now, tenant_id));
    ///         }
    ///     }
    /// }
    /// assert!(excess[0] < 5 && excess[1] > 120);
    /// ```
    pub fn record_tenant(&mut self, now: Time, tenant: TenantId) -> bool {
        let own = self.tenants.entry(tenant).or_default();
        let (usual, present) = own.counts(now);
        let (all_usual, all_present) = self.all_tenants.counts(now);
        let (other_usual, other_present) = (all_usual - usual, all_present - present);
        let excess = other_usual > 0.0 && {
            let expected = usual * other_present / other_usual;
            present > EXCESS_FACTOR * expected + 1.0
        };
        own.add(now, excess);
        self.all_tenants.add(now, excess);
        excess
    }

    /// Returns the fair-queuing weight of a tenant: its usual load, so that one that is large by nature
    /// is served as often as the others, and one in a surge waits behind its own requests. Each step of
    /// its priority above 3 doubles the weight.
    ///
    /// ```
    /// use seam_core::admission::Demand;
    /// use seam_protocol::{TenantId, Time};
    /// let mut demand = Demand::default();
    /// assert_eq!(demand.tenant_weight(Time(0), TenantId(1), 3), 1);
    /// for _ in 0..50 {
    ///     demand.record_tenant(Time(0), TenantId(1));
    /// }
    /// assert_eq!(demand.tenant_weight(Time(0), TenantId(1), 3), 50);
    /// assert_eq!(demand.tenant_weight(Time(0), TenantId(1), 2), 100);
    /// ```
    #[must_use]
    pub fn tenant_weight(&self, now: Time, tenant: TenantId, priority: u8) -> u64 {
        const LOWEST_PRIORITY: u8 = 3;
        let count = self.tenants.get(&tenant);
        let usual = count.map_or(0.0, |count| count.counts(now).0);
        let weight = (usual.round() as u64).clamp(1, MAX_WEIGHT);
        weight << LOWEST_PRIORITY.saturating_sub(priority)
    }

    /// Records that a request was refused for lack of room.
    pub fn record_refusal(&mut self, now: Time, rank: u8) {
        if let Some(demand) = self.ranks.get_mut(&rank) {
            demand.refused.add(now, HALF_LIFE, 1.0);
        }
    }

    /// Records that a request was sent to a target.
    pub fn record_start(&mut self, now: Time, rank: u8) {
        let demand = self.ranks.entry(rank).or_default();
        demand.starts.record(now, START_WINDOW);
    }

    /// Returns what a request of a rank leaves to more urgent ones, `None` if it leaves nothing: no
    /// more urgent rank was asked for lately, or too many of its own rank were refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::admission::Demand;
    /// use seam_protocol::{TenantId, Time};
    /// let mut demand = Demand::default();
    /// demand.record_arrival(Time(0), 2, Duration::from_secs(3));
    /// assert!(demand.reserve(Time(0), 2).is_none());
    /// demand.record_arrival(Time(0), 0, Duration::from_millis(800));
    /// let reserve = demand.reserve(Time(0), 2).unwrap();
    /// assert_eq!((reserve.rank, reserve.max_wait), (0, Duration::from_millis(200)));
    /// assert!(demand.reserve(Time(0), 0).is_none());
    /// ```
    #[must_use]
    pub fn reserve(&self, now: Time, rank: u8) -> Option<Reserve> {
        let mut more_urgent = self.ranks.range(..rank);
        let asked = |demand: &RankDemand| now.since(demand.last) < RECENT;
        let (urgent, demand) = more_urgent.find(|(_, demand)| asked(demand))?;
        (!self.is_starved(now, rank)).then(|| Reserve {
            rank: *urgent,
            fraction: RESERVED_FRACTION,
            max_wait: demand.objective.mul_f64(WAIT_FRACTION),
        })
    }

    /// Returns the fraction of the recent requests of a rank that were not refused.
    #[must_use]
    pub fn service_ratio(&self, now: Time, rank: u8) -> f64 {
        let demand = self.ranks.get(&rank);
        let (arrived, served) = demand.map_or((0.0, 0.0), |demand| demand.served(now));
        if arrived < 1.0 { 1.0 } else { served / arrived }
    }

    /// Returns whether a rank is served so much less often than all that it is not held back.
    fn is_starved(&self, now: Time, rank: u8) -> bool {
        let Some((arrived, served)) = self.ranks.get(&rank).map(|demand| demand.served(now)) else {
            return false;
        };
        let (all_arrived, all_served) = self.ranks.values().fold((0.0, 0.0), |sum, demand| {
            let (arrived, served) = demand.served(now);
            (sum.0 + arrived, sum.1 + served)
        });
        arrived >= MIN_REQUESTS
            && served * all_arrived < MIN_RELATIVE_SERVICE * all_served * arrived
    }

    /// Predicts how long a request of a rank waits behind others, by the recent starts of requests of
    /// its rank and of less urgent ones, whose slots it would get. `rate` is this node's even part of
    /// the starts a second that the region's engines have room for, zero if others get that room.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::admission::Demand;
    /// use seam_protocol::{TenantId, Time};
    /// let mut demand = Demand::default();
    /// assert_eq!(demand.turnover_wait(Time(0), 0, 0, 0.0), Duration::from_secs(2));
    /// for _ in 0..19 {
    ///     demand.record_start(Time(0), 2);
    /// }
    /// assert_eq!(demand.turnover_wait(Time(0), 0, 0, 0.0), Duration::from_millis(100));
    /// assert_eq!(demand.turnover_wait(Time(0), 3, 0, 0.0), Duration::from_secs(2));
    /// assert_eq!(demand.turnover_wait(Time(0), 3, 0, 4.5), Duration::from_millis(200));
    /// ```
    #[must_use]
    pub fn turnover_wait(&self, now: Time, rank: u8, ahead: usize, rate: f64) -> Duration {
        let ranks = self.ranks.range(rank..);
        let starts: usize = ranks
            .map(|(_, demand)| demand.starts.count(now, START_WINDOW))
            .sum();
        let starts = (starts as f64).max(rate * START_WINDOW.as_secs_f64());
        START_WINDOW.mul_f64((ahead + 1) as f64 / (starts + 1.0))
    }
}

/// The inputs of the decision about a request that competes for engines, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contest {
    /// Rank of the request's route.
    pub rank: u8,
    /// More urgent rank that it is held back for.
    pub held_for: Option<u8>,
    /// Whether it is in excess of its tenant's usual load.
    pub excess: bool,
    /// How much room there is.
    pub room: Room,
    /// Use of the engines in this region.
    pub pressure: Pressure,
}

/// How a request competes for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is room for it and others.
    Ample,
    /// It would take room that others need.
    Scarce,
    /// It leaves scarce room to more urgent requests.
    Held,
}

impl Room {
    /// Returns the name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ample => "ample",
            Self::Scarce => "scarce",
            Self::Held => "held",
        }
    }
}

/// Returns the time by which the response to a request has to begin so that the request is worth its
/// room, measured from now.
///
/// While room is scarce, this is the end of its objective, with a margin for prediction errors. With
/// ample room it is the caller's deadline. A request that is held back joins the queue with a part of
/// its objective, since urgent requests may come before it.
///
/// ```
/// use std::time::Duration;
/// use seam_core::admission::{Room, time_limit};
/// let millis = Duration::from_millis;
/// let (objective, age, budget) = (millis(800), millis(100), millis(4000));
/// assert_eq!(time_limit(Room::Scarce, objective, age, budget), millis(900));
/// assert_eq!(time_limit(Room::Held, objective, age, budget), millis(380));
/// assert_eq!(time_limit(Room::Ample, objective, age, budget), budget);
/// ```
#[must_use]
pub fn time_limit(room: Room, objective: Duration, age: Duration, budget: Duration) -> Duration {
    /// Multiple of the objective beyond which a predicted response counts as late.
    const LATE_FACTOR: f64 = 1.25;
    /// Fraction of the objective within which the response to a held request has to be expected. With
    /// 1.25 the queue settled at this wait, and most responses were late.
    const HELD_FACTOR: f64 = 0.6;
    let factor = match room {
        Room::Ample => return budget,
        Room::Scarce => LATE_FACTOR,
        Room::Held => HELD_FACTOR,
    };
    budget.min(objective.mul_f64(factor).saturating_sub(age))
}
