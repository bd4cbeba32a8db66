//! The tokens that this node holds for one tenant, and the requests that wait for more.

use std::collections::VecDeque;
use std::time::Duration;

use seam_protocol::Time;

use super::{COORDINATORS, GRANT_LIFETIME, MAX_WAIT, REPORT_INTERVAL, Terms};
use crate::handle::Ticket;

/// Time constant of the measured demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Time of demand that a node asks for ahead.
const AHEAD: Duration = Duration::from_millis(600);
/// Requests of usual cost that a node with little demand holds tokens for.
const STANDING_REQUESTS: f64 = 2.0;
/// Fraction of the burst that all nodes together may hold for little demand.
const STANDING_FRACTION: f64 = 0.4;
/// Remaining time at which unused tokens are returned, before they would expire.
const RETURN_AGE: Duration = Duration::from_millis(300);
/// Remaining time up to which tokens count half, as they will not be there after the next report.
const AGING: Duration = Duration::from_millis(600);
/// Time after which an unanswered question is asked again, within the longest wait even if its answer was lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after the last request at which the state of a tenant is dropped.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Time before a refused caller returns at which tokens are kept for it. It covers the interval in which tokens
/// arrive.
const KEPT_TIME: Duration = Duration::from_millis(500);
/// Time after which a refused caller that has not returned is not expected any more.
const CLAIM_TIME: Duration = Duration::from_millis(200);
/// Part of the expected rate that refused callers are told to return at, so that the tokens are there by then.
const PROMISED_PART: f64 = 0.95;
/// Time for which the answer of a coordinator that lacks tokens counts at least: until its next regular answer.
const LACKING_TIME: Duration = Duration::from_millis(1200);
/// Longest time after which a refused caller is told to return, in seconds.
const MAX_RETRY_S: f64 = 60.0;
/// Maximum number of requests of a tenant that wait at one node, and of refused ones that it expects back.
const MAX_WAITING: usize = 1024;

/// Tokens that may be used for some time.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    tokens: f64,
    until: Time,
}

/// Tokens that were asked for.
#[derive(Clone, Copy, Debug)]
struct Question {
    time: Time,
    /// Part of the share whose coordinator was asked.
    part: usize,
    tokens: f64,
    /// Whether it asked ahead of demand.
    regular: bool,
}

/// Tokens that a coordinator does not have yet.
#[derive(Clone, Copy, Debug)]
struct Lacking {
    /// When it said so.
    at: Time,
    /// Time that it expects to need.
    wait: Duration,
    /// When it is asked again.
    until: Time,
    /// Tokens per second that it expects to have.
    rate: f64,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// The request.
    pub ticket: Ticket,
    /// Tokens that it costs.
    pub cost: f64,
    /// When it is refused.
    pub until: Time,
}

/// A refused request whose caller was told when to return.
#[derive(Clone, Copy, Debug)]
struct Expected {
    at: Time,
    cost: f64,
}

/// This node's own share of an allowance while it is not lent.
#[derive(Clone, Copy, Debug)]
pub struct OwnShare {
    /// The share.
    pub share: f64,
    /// Since when it has not been lent.
    pub since: Time,
}

/// What a node asks for and returns.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ask {
    /// Tokens that it needs beyond those that it holds.
    pub tokens: f64,
    /// Tokens that it removed from its balance.
    pub returned: f64,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Its tokens are taken.
    Admit,
    /// It waits for tokens.
    Wait,
    /// There are no tokens for it before this time has passed.
    Refuse(Duration),
}

/// The state of one tenant at this node.
#[derive(Clone, Debug)]
pub struct Balance {
    /// Granted tokens, in order of their end.
    grants: VecDeque<Tokens>,
    /// Bucket of the own share, with the time for which it holds.
    own: Option<(f64, Time)>,
    /// Decaying sums of the costs and the number of arrived requests.
    costs: f64,
    requests: f64,
    measured: Time,
    last_arrival: Time,
    waiting: VecDeque<Waiting>,
    /// Refused requests that are expected back, in order of time.
    expected: VecDeque<Expected>,
    /// Unanswered questions.
    asked: VecDeque<Question>,
    /// What the last answer of each coordinator lacked.
    lacking: [Option<Lacking>; COORDINATORS],
}

impl Balance {
    /// Creates an empty balance.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            grants: VecDeque::new(),
            own: None,
            costs: 0.0,
            requests: 0.0,
            measured: now,
            last_arrival: now,
            waiting: VecDeque::new(),
            expected: VecDeque::new(),
            asked: VecDeque::new(),
            lacking: [None; COORDINATORS],
        }
    }

    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.measured).as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        self.costs *= factor;
        self.requests *= factor;
        self.measured = now;
    }

    fn granted(&mut self, now: Time) -> f64 {
        self.grants
            .retain(|grant| grant.until > now && grant.tokens > 0.0);
        self.grants.iter().map(|grant| grant.tokens).sum()
    }

    /// Returns the tokens of the own share.
    fn own(&self, now: Time, terms: Terms, own: Option<OwnShare>) -> f64 {
        let Some(own) = own else {
            return 0.0;
        };
        let (tokens, at) = self.own.map_or((0.0, own.since), |(tokens, at)| {
            if at < own.since {
                (0.0, own.since)
            } else {
                (tokens, at)
            }
        });
        let earned = now.since(at).as_secs_f64() * terms.rate * own.share;
        (tokens + earned).min(terms.burst * own.share)
    }

    /// Returns the tokens that this node holds.
    pub fn held(&mut self, now: Time, terms: Terms, own: Option<OwnShare>) -> f64 {
        self.granted(now) + self.own(now, terms, own)
    }

    /// Takes tokens, granted ones first, if there are enough.
    fn take(&mut self, now: Time, cost: f64, terms: Terms, own: Option<OwnShare>) -> bool {
        /// Rounding of the tokens in messages.
        const ROUNDING: f64 = 1e-6;
        let owned = self.own(now, terms, own);
        if self.granted(now) + owned < cost * (1.0 - ROUNDING) {
            return false;
        }
        let mut rest = cost;
        for grant in &mut self.grants {
            let used = grant.tokens.min(rest);
            grant.tokens -= used;
            rest -= used;
        }
        if own.is_some() {
            self.own = Some(((owned - rest).max(0.0), now));
        }
        true
    }

    /// Takes tokens that are not kept for a refused caller. The caller that returns cannot be told from others, so
    /// the first request after the time that it was told is taken for it.
    fn take_unkept(&mut self, now: Time, cost: f64, terms: Terms, own: Option<OwnShare>) -> bool {
        while let Some(first) = self.expected.front()
            && now.since(first.at) >= CLAIM_TIME
        {
            self.expected.pop_front();
        }
        let due = self.expected.front().is_some_and(|first| first.at <= now);
        let soon = self.expected.iter().skip(usize::from(due));
        let soon = soon.take_while(|expected| expected.at <= now + KEPT_TIME);
        let kept: f64 = soon.map(|expected| expected.cost).sum();
        let needed = if due { cost } else { cost + kept };
        if self.held(now, terms, own) < needed || !self.take(now, cost, terms, own) {
            return false;
        }
        if due {
            self.expected.pop_front();
        }
        true
    }

    /// Returns the time after which the caller of a refused request is to return, and expects it then. `wait` is the
    /// time until there are tokens for it, zero if that is not known.
    fn expect(&mut self, now: Time, cost: f64, wait: Duration) -> Duration {
        if wait.is_zero() || self.expected.len() >= MAX_WAITING {
            return wait;
        }
        // Tokens arrive with the next regular answer at the earliest.
        let wait = wait.max(REPORT_INTERVAL);
        let at = now + wait;
        let index = self.expected.partition_point(|expected| expected.at <= at);
        self.expected.insert(index, Expected { at, cost });
        wait
    }

    /// Decides on a request that has arrived, and keeps it if it waits. `left` is the longest time that it may
    /// wait.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::Ticket;
    /// use seam_core::allowance::{Terms, balance::{Balance, Decision}};
    /// use seam_protocol::Time;
    /// let mut balance = Balance::new(Time(0));
    /// let terms = Terms { rate: 100.0, burst: 100.0 };
    /// balance.accept(Time(10), Time(0), (50.0, Duration::ZERO));
    /// let mut admit = |ticket| {
    ///     balance.admit(Time(10), (Ticket(ticket), 30.0), Duration::from_secs(1), terms, None)
    /// };
    /// assert_eq!(admit(1), Decision::Admit);
    /// assert_eq!(admit(2), Decision::Wait);
    /// ```
    pub fn admit(
        &mut self,
        now: Time,
        (ticket, cost): (Ticket, f64),
        left: Duration,
        terms: Terms,
        own: Option<OwnShare>,
    ) -> Decision {
        self.decay(now);
        self.costs += cost;
        self.requests += 1.0;
        self.last_arrival = now;
        if self.waiting.is_empty() && self.take_unkept(now, cost, terms, own) {
            return Decision::Admit;
        }
        let wait = self.wait(now, cost, terms, own);
        if wait > left || self.waiting.len() >= MAX_WAITING {
            return Decision::Refuse(self.expect(now, cost, wait));
        }
        let until = now + left;
        self.waiting.push_back(Waiting {
            ticket,
            cost,
            until,
        });
        Decision::Wait
    }

    /// Returns the time after which a request would have its tokens, as far as is known, after the waiting ones
    /// and the refused ones that are expected back: zero if a coordinator may have them.
    pub fn wait(&mut self, now: Time, cost: f64, terms: Terms, own: Option<OwnShare>) -> Duration {
        let waiting: f64 = self.waiting.iter().map(|waiting| waiting.cost).sum();
        let expected: f64 = self.expected.iter().map(|expected| expected.cost).sum();
        let mut rate = own.map_or(0.0, |own| terms.rate * own.share);
        let mut earned = 0.0;
        for lacking in &self.lacking {
            let Some(lacking) = lacking.filter(|lacking| now < lacking.until) else {
                return Duration::ZERO;
            };
            rate += lacking.rate;
            earned += lacking.rate * now.since(lacking.at).as_secs_f64();
        }
        // A node that refuses requests receives what was earned with its next regular report only.
        if !self.expected.is_empty() {
            earned = 0.0;
        }
        let rate = (rate * PROMISED_PART).max(f64::MIN_POSITIVE);
        let needed = cost + waiting + expected - earned - self.held(now, terms, own);
        let mut wait = needed.max(0.0) / rate;
        if let Some(last) = self.expected.back() {
            wait = wait.max(last.at.since(now).as_secs_f64() + cost / rate);
        }
        Duration::from_secs_f64(wait.min(MAX_RETRY_S))
    }

    /// Records that there is no coordinator for a part of the share.
    pub fn note_absent(&mut self, now: Time, part: usize) {
        self.lacking[part] = Some(Lacking {
            at: now,
            wait: Duration::ZERO,
            until: now + GRANT_LIFETIME,
            rate: 0.0,
        });
    }

    /// Takes the tokens of the first waiting request and returns it, or returns it with the time after which to
    /// retry if there are none in time.
    pub fn next(
        &mut self,
        now: Time,
        terms: Terms,
        own: Option<OwnShare>,
    ) -> Option<(Waiting, Option<Duration>)> {
        let first = *self.waiting.front()?;
        if self.take(now, first.cost, terms, own) {
            self.waiting.pop_front();
            return Some((first, None));
        }
        // Later requests do not delay it.
        let rest = (
            std::mem::take(&mut self.waiting),
            std::mem::take(&mut self.expected),
        );
        let wait = self.wait(now, first.cost, terms, own);
        (self.waiting, self.expected) = rest;
        if now < first.until && now + wait <= first.until {
            return None;
        }
        self.waiting.pop_front();
        let wait = self.wait(now, first.cost, terms, own);
        let wait = self.expect(now, first.cost, wait);
        Some((first, Some(wait)))
    }

    /// Removes and returns the first waiting request.
    pub fn pop_waiting(&mut self) -> Option<Waiting> {
        self.waiting.pop_front()
    }

    /// Removes a request that no longer waits.
    pub fn remove_waiting(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Puts back the tokens of a request that did not run.
    pub fn refund(&mut self, now: Time, cost: f64) {
        let until = now + GRANT_LIFETIME;
        self.grants.push_back(Tokens {
            tokens: cost,
            until,
        });
    }

    /// Returns what to ask the coordinator of a part of the share for at `sent`. A regular report also returns unused
    /// tokens and asks ahead of demand, of which a node with little demand may hold `1 / known` of a part of the burst.
    pub fn ask(
        &mut self,
        (sent, part): (Time, usize),
        terms: Terms,
        known: usize,
        regular: bool,
    ) -> Ask {
        self.decay(sent);
        let mut returned = 0.0;
        if regular && self.waiting.is_empty() {
            for grant in &mut self.grants {
                if grant.until.since(sent) < RETURN_AGE {
                    returned += std::mem::take(&mut grant.tokens);
                }
            }
        }
        let mut held = self.granted(sent);
        if regular {
            let old = self
                .grants
                .iter()
                .filter(|grant| grant.until.since(sent) < AGING);
            held -= old.map(|grant| grant.tokens).sum::<f64>() / 2.0;
        }
        self.asked
            .retain(|question| sent.since(question.time) < ANSWER_TIMEOUT);
        held += self
            .asked
            .iter()
            .map(|question| question.tokens)
            .sum::<f64>();
        let waiting: f64 = self.waiting.iter().map(|waiting| waiting.cost).sum();
        // Extra tokens for a node that refuses requests would be missing where callers are expected back.
        let refusing = !self.expected.is_empty();
        let ahead = if regular || !refusing {
            self.ahead(terms, known)
        } else {
            0.0
        };
        let target = waiting + ahead;
        let lacking = self.lacking[part].filter(|lacking| sent < lacking.until);
        if !regular && refusing && lacking.is_some_and(|lacking| lacking.wait >= MAX_WAIT) {
            return Ask::default();
        }
        // Small amounts wait for the next regular report.
        let due = regular || waiting > held;
        let tokens = if due { (target - held).max(0.0) } else { 0.0 };
        if tokens > 0.0 {
            let time = sent;
            self.asked.push_back(Question {
                time,
                part,
                tokens,
                regular,
            });
        }
        if regular && self.waiting.is_empty() {
            returned += self.take_excess(target, sent);
        }
        Ask { tokens, returned }
    }

    /// Removes and returns the tokens beyond twice the wanted number, the oldest first.
    fn take_excess(&mut self, target: f64, now: Time) -> f64 {
        const EXCESS: f64 = 2.0;
        let mut excess = self.granted(now) - EXCESS * target;
        let mut taken = 0.0;
        for grant in &mut self.grants {
            let used = grant.tokens.min(excess).max(0.0);
            grant.tokens -= used;
            excess -= used;
            taken += used;
        }
        taken
    }

    /// Returns the tokens to hold for requests that have not arrived.
    fn ahead(&self, terms: Terms, known: usize) -> f64 {
        if self.requests < 0.05 {
            return 0.0;
        }
        let ahead = self.costs * AHEAD.as_secs_f64() / DEMAND_TIME.as_secs_f64();
        let usual = self.costs / self.requests;
        let most = STANDING_FRACTION * terms.burst / known.max(1) as f64;
        let standing = (STANDING_REQUESTS * usual).min(most);
        let standing = if standing < usual { 0.0 } else { standing };
        let ahead = if ahead < usual { 0.0 } else { ahead };
        ahead.max(standing)
    }

    /// Accepts the answer to what was asked at a time: tokens, and the time until there are as many as asked.
    pub fn accept(&mut self, now: Time, asked: Time, (tokens, wait): (f64, Duration)) {
        let until = asked + GRANT_LIFETIME;
        let question = self
            .asked
            .iter()
            .position(|question| question.time == asked);
        let question = question.and_then(|index| self.asked.remove(index));
        let tokens = if tokens.is_finite() { tokens } else { 0.0 };
        if until > now && tokens > 0.0 {
            self.grants.push_back(Tokens { tokens, until });
            let grants = self.grants.make_contiguous();
            grants.sort_by_key(|grant| grant.until);
        }
        // While requests are refused, tokens for one that waits do not show that there are more.
        let enough = question.is_some_and(|question| question.regular) || self.expected.is_empty();
        if let Some(question) = question
            && (enough || !wait.is_zero())
        {
            let missing = (question.tokens - tokens).max(0.0);
            self.lacking[question.part] = (!wait.is_zero()).then(|| Lacking {
                at: now,
                wait,
                until: now + wait.max(LACKING_TIME),
                rate: missing / wait.as_secs_f64(),
            });
            if wait.is_zero() {
                self.expected.clear();
            }
        }
    }

    /// Returns whether nothing of it is needed any more.
    #[must_use]
    pub fn idle(&self, now: Time) -> bool {
        self.waiting.is_empty() && now.since(self.last_arrival) >= IDLE_TIME
    }
}
