//! The shares that are lent to this node as a coordinator, and the token buckets that they fill.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::{TenantId, Time, VmId};

use super::{LEASE, Terms};

/// Maximum number of past pool sizes that limit the buckets, above the number of nodes.
const MAX_LOWS: usize = 256;
/// Wait that is reported while no shares are lent, or have just been: about the time until they are.
const GROWTH_WAIT: Duration = Duration::from_millis(350);
/// Interval of a node's reports to one coordinator.
const ROUND: Duration = Duration::from_millis(900);
/// Rounds over which the tokens that were asked for are averaged. Reports of the nodes come in clusters.
const ASKED_ROUNDS: f64 = 2.0;
/// Part of what a bucket receives in a round that it holds on average while nodes ask for more than that, so that
/// those that report late in a cluster receive as much as the others.
const RESERVE: f64 = 0.5;
/// Part of a bucket above which it is not short.
const FULL_PART: f64 = 0.9;
/// Time within which lenders choose a new coordinator.
const GROWTH_TIME: Duration = Duration::from_secs(1);

/// A share that another node does not use while it is lent.
#[derive(Clone, Copy, Debug)]
struct Loan {
    share: f64,
    until: Time,
}

/// A token bucket when it was last used.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    /// [`Pool::earned`] at that time.
    earned: f64,
    /// Tokens that nodes lately asked for, a decaying sum, and when it was counted.
    asked: f64,
    counted: Time,
    /// Whether it was empty, and nodes have asked for more than it receives since.
    short: bool,
}

/// A size that the pool had.
#[derive(Clone, Copy, Debug)]
struct Low {
    /// [`Pool::earned`] at that time.
    earned: f64,
    share: f64,
}

/// Tokens for a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Granted {
    /// Tokens that the node may use.
    pub tokens: f64,
    /// Time until there are as many as it asked for.
    pub wait: Duration,
}

/// The lent shares of every allowance, with a token bucket for each tenant that is in use.
///
/// The rate and the size of each bucket are proportional to the lent shares. A bucket that is not stored is
/// as full as one that nobody has used.
#[derive(Clone, Debug)]
pub struct Pool {
    loans: BTreeMap<VmId, Loan>,
    /// Sum of the lent shares.
    share: f64,
    /// Sum of the lent shares over time, in seconds.
    earned: f64,
    at: Time,
    grown: Time,
    /// Past sizes of the pool, each smaller than the later ones. A bucket never held more than its size then.
    lows: Vec<Low>,
    buckets: BTreeMap<TenantId, Bucket>,
}

impl Pool {
    /// Creates a pool without shares.
    #[must_use]
    pub fn new(now: Time) -> Self {
        let start = Low {
            earned: 0.0,
            share: 0.0,
        };
        Self {
            loans: BTreeMap::new(),
            share: 0.0,
            earned: 0.0,
            at: now,
            grown: now,
            lows: vec![start],
            buckets: BTreeMap::new(),
        }
    }

    /// Returns the sum of the shares that are lent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::allowance::pool::Pool;
    /// use seam_protocol::{Time, VmId};
    /// let mut pool = Pool::new(Time(0));
    /// pool.lend(Time(0), VmId(1), 0.25, Time(1_000_000));
    /// assert_eq!(pool.share(Time(999_999)), 0.25);
    /// assert_eq!(pool.share(Time(1_000_000)), 0.0);
    /// ```
    pub fn share(&mut self, now: Time) -> f64 {
        self.advance(now);
        self.share
    }

    /// Adds what the lent shares earned until now, and removes those whose lease has ended.
    fn advance(&mut self, now: Time) {
        while let Some(end) = self.loans.values().map(|loan| loan.until).min()
            && end <= now
        {
            self.earn(end);
            self.loans.retain(|_, loan| loan.until > end);
            self.resize(end);
        }
        self.earn(now);
    }

    fn earn(&mut self, now: Time) {
        self.earned += self.share * now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Sets the size of the pool to the sum of the lent shares.
    fn resize(&mut self, now: Time) {
        let share: f64 = self.loans.values().map(|loan| loan.share).sum();
        let share = share.min(1.0);
        let low = share.min(self.share);
        if share > self.share {
            self.grown = now;
        }
        // A smaller size limits the buckets longer than an earlier larger one.
        while self.lows.last().is_some_and(|last| last.share >= low) {
            self.lows.pop();
        }
        self.lows.push(Low {
            earned: self.earned,
            share: low,
        });
        if self.lows.len() > MAX_LOWS {
            let oldest = self.lows.remove(0);
            self.lows[0].share = oldest.share;
        }
        self.share = share;
    }

    /// Records that a node lends its share until a time on this node's clock.
    pub fn lend(&mut self, now: Time, vm: VmId, share: f64, until: Time) {
        self.advance(now);
        let until = until.min(now + LEASE);
        if until <= now || !share.is_finite() {
            return;
        }
        let share = share.clamp(0.0, 1.0);
        let known = self.loans.insert(vm, Loan { share, until });
        if let Some(known) = known
            && known.until > until
        {
            // An earlier lease holds until its end.
            self.loans.insert(vm, Loan { share, ..known });
        }
        if known.is_none_or(|known| (known.share - share).abs() > f64::EPSILON) {
            self.resize(now);
        }
    }

    /// Returns the tokens of a bucket that had the most that was possible since `earned`, and `tokens` then.
    fn level(&self, terms: Terms, bucket: Option<Bucket>) -> f64 {
        let since = bucket.map_or(0.0, |bucket| bucket.earned);
        let filled = |tokens: f64, earned: f64| tokens + terms.rate * (self.earned - earned);
        let sizes = self.lows.iter().filter(|low| low.earned >= since);
        let limits = sizes.map(|low| filled(terms.burst * low.share, low.earned));
        let full = limits.fold(terms.burst * self.share, f64::min);
        bucket.map_or(full, |bucket| {
            filled(bucket.tokens, bucket.earned).min(full)
        })
    }

    /// Takes tokens that a node asks for from a tenant's bucket, after adding those that it returns. Tokens for
    /// requests that have not arrived (`ahead`) are divided evenly if there are few.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::allowance::{Terms, pool::Pool};
    /// use seam_protocol::{TenantId, Time, VmId};
    /// let mut pool = Pool::new(Time(0));
    /// pool.lend(Time(0), VmId(1), 0.5, Time(1_200_000));
    /// let terms = Terms { rate: 1000.0, burst: 1000.0 };
    /// let granted = pool.grant(Time(1_000_000), TenantId(1), terms, (600.0, 0.0), false);
    /// assert_eq!(granted.tokens, 500.0);
    /// assert!(granted.wait > Duration::from_millis(199));
    /// ```
    pub fn grant(
        &mut self,
        now: Time,
        tenant: TenantId,
        terms: Terms,
        (asked, returned): (f64, f64),
        ahead: bool,
    ) -> Granted {
        self.advance(now);
        let stored = self.buckets.get(&tenant).copied();
        let valid = |tokens: f64| {
            if tokens.is_finite() {
                tokens.max(0.0)
            } else {
                0.0
            }
        };
        let (asked, returned) = (valid(asked), valid(returned));
        let held = self.level(terms, stored) + returned;
        let held = held.min(terms.burst * self.share).max(0.0);
        let before = stored.map_or(0.0, |bucket| {
            let age = now.since(bucket.counted).as_secs_f64();
            bucket.asked * (-age / ROUND.as_secs_f64() / ASKED_ROUNDS).exp()
        });
        let known = before + if ahead { asked } else { 0.0 };
        let rate = terms.rate * self.share;
        let supply = rate * ROUND.as_secs_f64();
        let short = asked > held
            || stored.is_some_and(|bucket| bucket.short)
                && known / ASKED_ROUNDS > supply
                && held < FULL_PART * terms.burst * self.share;
        let part = if ahead && short && known > 0.0 {
            let available = supply + (held - RESERVE * supply) / 2.0;
            (available * ASKED_ROUNDS / known).clamp(0.0, 1.0)
        } else {
            1.0
        };
        let tokens = (asked * part).min(held);
        let missing = asked - tokens;
        // Questions for waiting requests are repeated, so they count while they are not met.
        let demand = known + if ahead { 0.0 } else { missing };
        let bucket = Bucket {
            tokens: held - tokens,
            earned: self.earned,
            asked: demand,
            counted: now,
            short,
        };
        self.buckets.insert(tenant, bucket);
        let growing = now.since(self.grown) < GROWTH_TIME;
        let wait = if missing <= 0.0 {
            Duration::ZERO
        } else if rate <= 0.0 {
            GROWTH_WAIT
        } else {
            const MAX_WAIT_S: f64 = 60.0;
            // The node receives the part of the rate that it has of the demand.
            let wait = missing / asked * (demand / ASKED_ROUNDS).max(asked) / rate;
            let wait = Duration::from_secs_f64(wait.min(MAX_WAIT_S));
            if growing { wait.min(GROWTH_WAIT) } else { wait }
        };
        Granted { tokens, wait }
    }

    /// Drops the buckets that are full, which need not be stored.
    pub fn expire(&mut self, now: Time, terms: impl Fn(TenantId) -> Option<Terms>) {
        self.advance(now);
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|tenant, bucket| {
            terms(*tenant).is_some_and(|terms| {
                self.level(terms, Some(*bucket)) < self.level(terms, None) - f64::EPSILON
            })
        });
        self.buckets = buckets;
    }

    /// Returns the number of stored buckets.
    #[must_use]
    pub fn buckets(&self) -> usize {
        self.buckets.len()
    }
}
