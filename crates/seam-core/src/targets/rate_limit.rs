//! Rate limits that targets in need name in their answers.

use std::time::Duration;

use seam_protocol::Time;

use super::{RateShare, ShareLimiter};

/// Time for which a limit holds on after an answer that names a higher one. A target may name
/// another limit in each answer.
const RAISE_DELAY: Duration = Duration::from_secs(4);
/// Smallest rate that is shared out, in requests per second. With a lower one, a request now and
/// then shows whether the target still names it.
const MIN_RATE: f64 = 0.1;
/// Largest rate that is shared out, in requests per second, beyond what targets reach.
const MAX_RATE: f64 = 100_000.0;
/// Largest number of requests in the window of a share.
const MAX_BURST: f64 = 20.0;
/// Minimum interval between two changes of a limit that are reported. Its start and its end are
/// always reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What a target advertises about its limit, as received by this node or another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests per second from all nodes together; `None` if the target names no limit.
    pub rate: Option<f64>,
    /// When the answer arrived.
    pub received: Time,
}

/// The rate limit of one target, and this node's share of it.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    last: Option<AdvertisedLimit>,
    /// The lowest rate that was named lately, and when.
    lowest: Option<(f64, Time)>,
    limiter: ShareLimiter,
    reported: Option<AdvertisedLimit>,
}

impl RateLimit {
    /// Records what a target advertises, unless it is older than what is known. Returns the rate that
    /// it advertised before, if the change is worth a report.
    ///
    /// ```
    /// use seam_core::targets::{AdvertisedLimit, RateLimit};
    /// use seam_protocol::Time;
    /// let mut limit = RateLimit::default();
    /// let limit_at = |rate, received| AdvertisedLimit { rate, received: Time(received) };
    /// limit.record(limit_at(Some(1.0), 5_000_000));
    /// limit.record(limit_at(Some(8.0), 6_000_000));
    /// assert_eq!(limit.rate(), Some(1.0));
    /// limit.record(limit_at(Some(8.0), 10_000_000));
    /// assert_eq!(limit.rate(), Some(8.0));
    /// limit.record(limit_at(None, 9_000_000));
    /// assert_eq!(limit.rate(), Some(8.0));
    /// limit.record(limit_at(None, 11_000_000));
    /// assert_eq!(limit.rate(), None);
    /// ```
    pub fn record(&mut self, advertised: AdvertisedLimit) -> Option<Option<f64>> {
        if self
            .last
            .is_some_and(|known| known.received >= advertised.received)
        {
            return None;
        }
        self.last = Some(advertised);
        self.lowest = advertised.rate.map(|rate| {
            let held = self.lowest.filter(|(lowest, named)| {
                *lowest < rate && advertised.received.since(*named) < RAISE_DELAY
            });
            held.unwrap_or((rate, advertised.received))
        });
        let before = self.reported;
        let old = before.and_then(|before| before.rate);
        let recent = before
            .is_some_and(|before| advertised.received.since(before.received) < REPORT_INTERVAL);
        let is_news =
            old.is_some() != advertised.rate.is_some() || (old != advertised.rate && !recent);
        if is_news {
            self.reported = Some(advertised);
        }
        is_news.then_some(old)
    }

    /// Returns what the target advertised last.
    #[must_use]
    pub fn advertised(&self) -> Option<AdvertisedLimit> {
        self.last
    }

    /// Returns the limit in force, in requests per second from all nodes together.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.lowest.map(|(rate, _)| rate)
    }

    /// Sets the share of this node, whose process started at `boot`.
    pub fn set_share(&mut self, boot: Time, share: RateShare) {
        self.limiter.set(boot, share);
    }

    /// Returns this node's limiter while the target names a limit.
    #[must_use]
    pub fn limiter(&self) -> Option<&ShareLimiter> {
        self.lowest.is_some().then_some(&self.limiter)
    }

    /// Records a request that is being sent.
    pub fn record_request(&mut self, now: Time) {
        if self.lowest.is_some() {
            self.limiter.record(now);
        }
    }

    /// Forgets a request that was recorded at this time and not sent.
    pub fn withdraw(&mut self, placed: Time) {
        self.limiter.withdraw(placed);
    }
}

/// Returns a node's share of a rate limit, in requests per second, that a target names for all
/// nodes of its region.
///
/// `rank` is the node's position among all nodes, from 0. Shares with less than a request are not
/// spread over more nodes than requests may come at once, since all of them may send one at the same
/// time. There is a share more than nodes, since a new one may not be known yet.
///
/// ```
/// use std::time::Duration;
/// use seam_core::targets::limit_share;
/// let share = limit_share(1.0, 3, 0);
/// assert_eq!((share.allowed, share.window), (1, Duration::from_secs(3)));
/// assert_eq!(limit_share(1.0, 30, 2), share);
/// assert_eq!(limit_share(1.0, 30, 3).allowed, 0);
/// assert_eq!(limit_share(500.0, 3, 2).rate(), 125.0);
/// ```
#[must_use]
pub fn limit_share(rate: f64, nodes: usize, rank: usize) -> RateShare {
    /// Holders of a share for each request per second, and beyond that.
    const HOLDERS: (f64, f64) = (1.0, 2.0);
    let rate = rate.clamp(MIN_RATE, MAX_RATE);
    let most = (HOLDERS.0 * rate + HOLDERS.1) as usize;
    let holders = most.min(nodes + 1);
    if rank >= holders {
        return RateShare::default();
    }
    let own = rate / holders as f64;
    let allowed = own.floor().clamp(1.0, MAX_BURST);
    RateShare {
        allowed: allowed as u32,
        window: Duration::from_secs_f64(allowed / own),
    }
}
