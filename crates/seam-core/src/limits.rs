//! Limits of a customer whose sum over the fleet holds.
//!
//! A customer's concurrency is a number of units. Every node derives the same split of the units
//! over the published nodes; a live node stands in for a dead one of its region. A node that is
//! short borrows from nodes that have idle units: a lender stops using them before the borrower
//! starts, and the borrower admits only what ends before the loan does, so the sum over nodes never
//! exceeds the limit.
//!
//! Each request for units states how many the borrower still holds of that lender, so it renews
//! and returns at the same time. A borrower takes only the grant that answers its newest request,
//! which makes late and repeated datagrams harmless.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use seam_protocol::heartbeat::{Grant, Shortage};
use seam_protocol::id::rank;
use seam_protocol::{Bundle, Customer, CustomerId, Reason, RegionId, Time, VmId};

use crate::handle::Ticket;
use crate::refusal::Refusal;

/// How long units are lent.
pub const LOAN_DURATION: Duration = Duration::from_secs(60);
/// Longest wait for borrowed units.
pub const PARK_TIMEOUT: Duration = Duration::from_secs(2);
/// Most requests of one customer that wait for units.
const MAX_PARKED: usize = 64;
/// Time after which an idle customer is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two requests for units of one customer.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Units that one node holds, so far as there are that many.
const UNITS_PER_NODE: u32 = 8;
/// Time after which a loan in use is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(15);
/// Time after which units that are not in use are returned.
const RETURN_DELAY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Loan {
    units: u32,
    until: Time,
}

#[derive(Clone, Debug, Default)]
struct Usage {
    /// Revision and view of live nodes by which the base was worked out.
    base_key: (u64, u64),
    base: u32,
    running: u32,
    lent: BTreeMap<VmId, Loan>,
    borrowed: BTreeMap<VmId, Loan>,
    requested_at: BTreeMap<VmId, Time>,
    tokens: f64,
    refilled: Time,
    used: Time,
    parked: VecDeque<Ticket>,
    asked: Option<Time>,
    turn: usize,
}

/// What to do with a request under its customer's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Admit it; a unit is charged.
    Admit,
    /// Let it wait until units are borrowed.
    Park,
    /// Refuse it.
    Refuse(Refusal),
}

/// Live nodes of the own region.
#[derive(Clone, Debug, Default)]
struct Alive {
    nodes: BTreeSet<VmId>,
    changes: u64,
}

/// Usage of every customer that was active lately.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    usage: BTreeMap<CustomerId, Usage>,
    alive: Alive,
}

/// Units of one region, by the nodes that hold them.
struct RegionUnits {
    /// Published nodes of the region by rank, the first one first.
    nodes: Vec<VmId>,
    /// Units of each of the first nodes.
    units: Vec<u32>,
}

/// Splits some units into whole parts that differ by one at most.
fn even(units: u32, parts: u32) -> impl Iterator<Item = u32> {
    let parts = parts.max(1);
    (0..parts).map(move |index| units / parts + u32::from(index < units % parts))
}

/// Returns who holds a customer's units, over the published nodes.
///
/// A customer with a home has its units there; another one has them in every region alike, so that
/// a region which is cut off keeps some. Few nodes of a region hold many units each, so that a node
/// that is short finds them with few questions.
fn unit_holders(bundle: &Bundle, id: CustomerId, customer: &Customer) -> Vec<RegionUnits> {
    let deployment = &bundle.deployment;
    let has_nodes = |region: &RegionId| deployment.vms_in(*region).next().is_some();
    let mut regions: Vec<RegionId> = match customer.home.filter(|home| has_nodes(home)) {
        Some(home) => vec![home],
        None => deployment
            .regions
            .keys()
            .copied()
            .filter(has_nodes)
            .collect(),
    };
    regions.sort_by_key(|region| std::cmp::Reverse(rank(id.0, u64::from(region.0))));
    let region_units = even(customer.concurrency, regions.len() as u32);
    let pairs = regions.into_iter().zip(region_units);
    pairs
        .map(|(region, units)| {
            let mut nodes: Vec<VmId> = deployment.vms_in(region).collect();
            nodes.sort_by_key(|vm| std::cmp::Reverse(rank(id.0, u64::from(vm.0))));
            let holders = units.div_ceil(UNITS_PER_NODE).clamp(1, nodes.len() as u32);
            let units = even(units, holders).collect();
            RegionUnits { nodes, units }
        })
        .collect()
}

impl RegionUnits {
    /// Returns the nodes that hold units now. A live node of the region stands in for a dead one.
    fn holders(&self, me: VmId, alive: &BTreeSet<VmId>) -> Vec<(VmId, u32)> {
        let here = self.nodes.contains(&me);
        let is_live = |vm: &VmId| !here || *vm == me || alive.contains(vm);
        let substitute = self.nodes.iter().copied().find(is_live);
        let pairs = self.nodes.iter().zip(&self.units);
        pairs
            .map(|(vm, units)| {
                let holder = if is_live(vm) { Some(*vm) } else { substitute };
                (holder.unwrap_or(*vm), *units)
            })
            .collect()
    }
}

/// Returns a node's own units of a customer's concurrency.
///
/// Over the published nodes of one bundle, all alive, the units sum to the customer's concurrency.
#[must_use]
pub fn base_units(
    bundle: &Bundle,
    me: VmId,
    alive: &BTreeSet<VmId>,
    id: CustomerId,
    customer: &Customer,
) -> u32 {
    unit_holders(bundle, id, customer)
        .iter()
        .flat_map(|holding| holding.holders(me, alive))
        .filter(|(vm, _)| *vm == me)
        .map(|(_, units)| units)
        .sum()
}

impl Usage {
    fn refresh(&mut self, now: Time, ctx: LimitContext, alive: &Alive) {
        self.lent.retain(|_, loan| loan.until > now);
        self.borrowed.retain(|_, loan| loan.until > now);
        let base_key = (ctx.bundle.revision, alive.changes);
        if self.base_key != base_key {
            self.base_key = base_key;
            self.base = base_units(ctx.bundle, ctx.me, &alive.nodes, ctx.id, ctx.rule);
        }
        self.used = now;
    }

    fn lent(&self) -> u32 {
        self.lent.values().map(|loan| loan.units).sum()
    }

    fn own(&self) -> u32 {
        self.base.saturating_sub(self.lent())
    }

    fn borrowed(&self, deadline: Time) -> u32 {
        self.borrowed
            .values()
            .filter(|loan| loan.until >= deadline)
            .map(|loan| loan.units)
            .sum()
    }

    fn room(&self, deadline: Time) -> u32 {
        (self.own() + self.borrowed(deadline)).saturating_sub(self.running)
    }

    /// Returns the next node to ask, in turn. LimitContext several would lend units that nobody needs.
    fn lender(&mut self, ctx: LimitContext, alive: &BTreeSet<VmId>) -> Option<VmId> {
        let mut nodes: Vec<VmId> = unit_holders(ctx.bundle, ctx.id, ctx.rule)
            .iter()
            .flat_map(|holding| holding.holders(ctx.me, alive))
            .map(|(vm, _)| vm)
            .filter(|vm| *vm != ctx.me)
            .collect();
        nodes.dedup();
        let turn = self.turn;
        self.turn += 1;
        nodes.get(turn % nodes.len().max(1)).copied()
    }

    /// Builds a request to a lender and notes its time.
    fn request(&mut self, now: Time, customer: CustomerId, lender: VmId, more: u32) -> Shortage {
        self.requested_at.insert(lender, now);
        Shortage {
            customer,
            held: self.borrowed.get(&lender).map_or(0, |loan| loan.units),
            more,
        }
    }

    fn try_take_token(&mut self, now: Time, rule: &Customer) -> bool {
        let units = self.own() + self.borrowed(now);
        let share = f64::from(units.max(1)) / f64::from(rule.concurrency.max(1));
        let rate = f64::from(rule.rate) * share;
        let burst = rate.max(1.0);
        let earned = now.since(self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(burst);
        self.refilled = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// A request under the limits of its customer.
#[derive(Clone, Copy, Debug)]
pub struct LimitContext<'a> {
    /// The bundle in force.
    pub bundle: &'a Bundle,
    /// This node.
    pub me: VmId,
    /// The customer's key.
    pub id: CustomerId,
    /// The customer's rules.
    pub rule: &'a Customer,
    /// When the request ends at the latest.
    pub deadline: Time,
}

impl Limits {
    fn usage(&mut self, now: Time, ctx: LimitContext) -> &mut Usage {
        let usage = self.usage.entry(ctx.id).or_insert_with(|| Usage {
            tokens: f64::MAX,
            refilled: now,
            ..Usage::default()
        });
        usage.refresh(now, ctx, &self.alive);
        usage
    }

    /// Takes in which nodes of the region live.
    pub fn set_alive(&mut self, nodes: &BTreeSet<VmId>) {
        if self.alive.nodes != *nodes {
            self.alive.nodes.clone_from(nodes);
            self.alive.changes += 1;
        }
    }

    /// Decides on a new request.
    pub fn admit(&mut self, now: Time, ctx: LimitContext, ticket: Ticket) -> Admission {
        const RATE_RETRY: Duration = Duration::from_secs(1);
        let usage = self.usage(now, ctx);
        if !usage.try_take_token(now, ctx.rule) {
            return Admission::Refuse(Refusal::not_run(Reason::Rate).with_retry_after(RATE_RETRY));
        }
        if usage.parked.is_empty() && usage.room(ctx.deadline) > 0 {
            usage.running += 1;
            return Admission::Admit;
        }
        let elsewhere = usage.base < ctx.rule.concurrency;
        if !elsewhere || usage.parked.len() >= MAX_PARKED {
            return Admission::Refuse(
                Refusal::not_run(Reason::Concurrency).with_retry_after(RATE_RETRY),
            );
        }
        usage.parked.push_back(ticket);
        Admission::Park
    }

    /// Returns a unit and the parked request that may go now.
    pub fn release(&mut self, id: CustomerId) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Takes the next parked request of a customer if there is room for it.
    pub fn unpark(&mut self, now: Time, ctx: LimitContext) -> Option<Ticket> {
        let usage = self.usage(now, ctx);
        if usage.parked.is_empty() || usage.room(ctx.deadline) == 0 {
            return None;
        }
        usage.running += 1;
        usage.parked.pop_front()
    }

    /// Returns the first parked request of a customer.
    #[must_use]
    pub fn first_parked(&self, id: CustomerId) -> Option<Ticket> {
        self.usage.get(&id)?.parked.front().copied()
    }

    /// Drops a parked request.
    pub fn remove_parked(&mut self, id: CustomerId, ticket: Ticket) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.parked.retain(|parked| *parked != ticket);
        }
    }

    /// Returns the customers with parked requests.
    #[must_use]
    pub fn parked_customers(&self) -> Vec<CustomerId> {
        self.usage
            .iter()
            .filter(|(_, usage)| !usage.parked.is_empty())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns whom to ask for units now, at most once in a while for a customer.
    ///
    /// `sent` is the time that the datagrams will carry.
    pub fn request_loan(
        &mut self,
        now: Time,
        sent: Time,
        ctx: LimitContext,
    ) -> Option<(VmId, Shortage)> {
        let recent = |asked| now.since(asked) < LOAN_REQUEST_INTERVAL;
        if self.usage(now, ctx).asked.is_some_and(recent) {
            return None;
        }
        let usage = self.usage.get_mut(&ctx.id)?;
        usage.asked = Some(now);
        let lender = usage.lender(ctx, &self.alive.nodes)?;
        let more = usage.parked.len() as u32;
        Some((lender, usage.request(sent, ctx.id, lender, more)))
    }

    /// Returns the requests that renew loans in use and return those that are not.
    ///
    /// `sent` is the time that the datagrams will carry.
    pub fn renew_loans(
        &mut self,
        now: Time,
        sent: Time,
        ctx: LimitContext,
    ) -> Vec<(VmId, Shortage)> {
        let usage = self.usage(now, ctx);
        let idle = usage.room(now) > 0;
        let pause = if idle { RETURN_DELAY } else { RENEW_INTERVAL };
        let due: Vec<VmId> = usage
            .borrowed
            .keys()
            .copied()
            .filter(|vm| {
                let asked = usage.requested_at.get(vm);
                asked.is_none_or(|asked| now.since(*asked) >= pause)
            })
            .collect();
        let mut requests = Vec::new();
        for vm in due {
            let spare = usage.room(now);
            if let Some(loan) = usage.borrowed.get_mut(&vm) {
                loan.units -= loan.units.min(spare);
            }
            requests.push((vm, usage.request(sent, ctx.id, vm, 0)));
        }
        requests
    }

    /// Returns the customers with borrowed units.
    #[must_use]
    pub fn borrowing_customers(&self) -> Vec<CustomerId> {
        self.usage
            .iter()
            .filter(|(_, usage)| !usage.borrowed.is_empty())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Renews, takes back and lends units as a node asks. `asked` is that node's own time.
    pub fn lend(
        &mut self,
        now: Time,
        ctx: LimitContext,
        (to, shortage): (VmId, Shortage),
        asked: u64,
    ) -> Option<Grant> {
        let usage = self.usage(now, ctx);
        let before = usage.lent.remove(&to).map_or(0, |loan| loan.units);
        let held = shortage.held.min(before);
        let idle = usage.own().saturating_sub(usage.running + held);
        let more = if usage.parked.is_empty() {
            shortage.more.min(idle)
        } else {
            0
        };
        let units = held + more;
        if units == 0 {
            return None;
        }
        let until = now + LOAN_DURATION;
        usage.lent.insert(to, Loan { units, until });
        Some(Grant {
            customer: ctx.id,
            units,
            asked,
        })
    }

    /// Takes in lent units. They count from the time at which this node asked.
    pub fn accept_grant(&mut self, now: Time, ctx: LimitContext, from: VmId, grant: Grant) {
        let usage = self.usage(now, ctx);
        let asked = Time(grant.asked);
        let newest = usage.requested_at.get(&from) == Some(&asked);
        let until = asked + LOAN_DURATION;
        if newest && until > now {
            let units = grant.units;
            usage.borrowed.insert(from, Loan { units, until });
        }
    }

    /// Forgets customers without activity.
    pub fn expire(&mut self, now: Time) {
        self.usage.retain(|_, usage| {
            usage.running > 0 || !usage.parked.is_empty() || now.since(usage.used) < IDLE_TIMEOUT
        });
    }

    /// Drops borrowed units, as after a pause.
    pub fn forget_borrowed(&mut self) {
        for usage in self.usage.values_mut() {
            usage.borrowed.clear();
        }
    }

    /// Returns the requests of a customer that hold a unit here.
    #[must_use]
    pub fn running(&self, id: CustomerId) -> u32 {
        self.usage.get(&id).map_or(0, |usage| usage.running)
    }

    /// Returns the customers remembered.
    pub fn active(&self) -> impl Iterator<Item = CustomerId> + '_ {
        self.usage.keys().copied()
    }

    /// Returns the number of customers remembered.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.usage.len()
    }
}
