//! Concurrency and rate limits of customers, enforced over the whole fleet.
//!
//! A customer's concurrency limit is a number of units, one for each running request. Every node
//! computes the same split of the units over the published nodes; a live node takes over the units
//! of a dead one in its region. A node without free units borrows from nodes with idle ones. The
//! lender stops using lent units before the borrower starts, and the borrower admits only requests
//! that end before the loan does, so the sum over all nodes never exceeds the limit.
//!
//! Each loan request states how many units of that lender the borrower still holds, so the same
//! message renews and returns units. A borrower accepts only the grant for its newest request,
//! so late and duplicate datagrams have no effect.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use seam_protocol::heartbeat::{Grant, Shortage};
use seam_protocol::id::rank;
use seam_protocol::{Bundle, Customer, CustomerId, Reason, RegionId, Time, VmId};

use crate::handle::Ticket;
use crate::refusal::Refusal;

/// Duration of a loan of units.
pub const LOAN_DURATION: Duration = Duration::from_secs(60);
/// Longest time that a request waits for borrowed units.
pub const PARK_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of one customer's requests that wait for units.
const MAX_PARKED: usize = 64;
/// Time after which the state of an idle customer is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Shortest time between two loan requests for one customer.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Units of a customer per node. The number of nodes that hold its units follows from it.
const UNITS_PER_NODE: u32 = 8;
/// Age of the last request at which a loan in use is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(15);
/// Age of the last request at which unused units are returned.
const RETURN_DELAY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Loan {
    units: u32,
    until: Time,
}

/// State of one customer's limits at this node.
#[derive(Clone, Debug, Default)]
struct Usage {
    /// Bundle revision and version of the live node set from which `base` was computed.
    base_key: (u64, u64),
    /// Units that this node holds without loans.
    base: u32,
    running: u32,
    lent: BTreeMap<VmId, Loan>,
    borrowed: BTreeMap<VmId, Loan>,
    /// Timestamp of the newest loan request to each lender.
    requested_at: BTreeMap<VmId, Time>,
    /// Tokens in the bucket of the rate limit.
    tokens: f64,
    refilled_at: Time,
    last_used: Time,
    parked: VecDeque<Ticket>,
    last_request: Option<Time>,
    next_lender: usize,
}

/// Decision on a request under its customer's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted and uses one unit.
    Admit,
    /// The request waits until units are borrowed.
    Park,
    /// The request is refused.
    Refuse(Refusal),
}

/// Live nodes of this node's region.
#[derive(Clone, Debug, Default)]
struct LiveNodes {
    nodes: BTreeSet<VmId>,
    version: u64,
}

/// State of the limits of all recently active customers.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    usage: BTreeMap<CustomerId, Usage>,
    alive: LiveNodes,
}

/// Split of one region's units over its nodes.
struct RegionUnits {
    /// Published nodes of the region, highest rank first.
    nodes: Vec<VmId>,
    /// Units of the first nodes, in the order of `nodes`.
    units: Vec<u32>,
}

/// Splits units into parts that differ by at most one.
fn split_evenly(units: u32, parts: u32) -> impl Iterator<Item = u32> {
    let parts = parts.max(1);
    (0..parts).map(move |index| units / parts + u32::from(index < units % parts))
}

/// Returns the split of a customer's units over the published nodes, by region.
///
/// A customer with a home region has all its units in that region. The units of other customers are
/// split evenly over the regions, so that a partitioned region keeps some. Within a region only a
/// few nodes hold units, many each, so that a node without free units finds a lender with few
/// requests.
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
    let region_units = split_evenly(customer.concurrency, regions.len() as u32);
    let holdings = regions.into_iter().zip(region_units);
    holdings
        .map(|(region, units)| {
            let mut nodes: Vec<VmId> = deployment.vms_in(region).collect();
            nodes.sort_by_key(|vm| std::cmp::Reverse(rank(id.0, u64::from(vm.0))));
            let holders = units.div_ceil(UNITS_PER_NODE).clamp(1, nodes.len() as u32);
            let units = split_evenly(units, holders).collect();
            RegionUnits { nodes, units }
        })
        .collect()
}

impl RegionUnits {
    /// Returns the nodes that hold units now, with their units.
    ///
    /// In this node's own region, the live node with the highest rank takes over for dead ones.
    fn holders(&self, me: VmId, alive: &BTreeSet<VmId>) -> Vec<(VmId, u32)> {
        let own_region = self.nodes.contains(&me);
        let is_live = |vm: &VmId| !own_region || *vm == me || alive.contains(vm);
        let substitute = self.nodes.iter().copied().find(is_live);
        let holdings = self.nodes.iter().zip(&self.units);
        holdings
            .map(|(vm, units)| {
                let holder = if is_live(vm) { Some(*vm) } else { substitute };
                (holder.unwrap_or(*vm), *units)
            })
            .collect()
    }
}

/// Returns the units of a customer that a node holds without loans.
///
/// While all published nodes of a bundle are alive, their units sum to the customer's concurrency
/// limit.
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
        .flat_map(|region| region.holders(me, alive))
        .filter(|(vm, _)| *vm == me)
        .map(|(_, units)| units)
        .sum()
}

impl Usage {
    fn refresh(&mut self, now: Time, ctx: LimitContext, alive: &LiveNodes) {
        self.lent.retain(|_, loan| loan.until > now);
        self.borrowed.retain(|_, loan| loan.until > now);
        let base_key = (ctx.bundle.revision, alive.version);
        if self.base_key != base_key {
            self.base_key = base_key;
            self.base = base_units(ctx.bundle, ctx.me, &alive.nodes, ctx.id, ctx.customer);
        }
        self.last_used = now;
    }

    fn lent(&self) -> u32 {
        self.lent.values().map(|loan| loan.units).sum()
    }

    fn own_units(&self) -> u32 {
        self.base.saturating_sub(self.lent())
    }

    fn borrowed(&self, deadline: Time) -> u32 {
        self.borrowed
            .values()
            .filter(|loan| loan.until >= deadline)
            .map(|loan| loan.units)
            .sum()
    }

    fn free_units(&self, deadline: Time) -> u32 {
        (self.own_units() + self.borrowed(deadline)).saturating_sub(self.running)
    }

    /// Returns the next lender in round-robin order.
    ///
    /// A loan request goes to only one lender at a time, since several would together lend more
    /// units than the borrower needs.
    fn lender(&mut self, ctx: LimitContext, alive: &BTreeSet<VmId>) -> Option<VmId> {
        let mut nodes: Vec<VmId> = unit_holders(ctx.bundle, ctx.id, ctx.customer)
            .iter()
            .flat_map(|region| region.holders(ctx.me, alive))
            .map(|(vm, _)| vm)
            .filter(|vm| *vm != ctx.me)
            .collect();
        nodes.dedup();
        let next_lender = self.next_lender;
        self.next_lender += 1;
        nodes.get(next_lender % nodes.len().max(1)).copied()
    }

    /// Builds a loan request and records its time.
    fn request(&mut self, now: Time, customer: CustomerId, lender: VmId, more: u32) -> Shortage {
        self.requested_at.insert(lender, now);
        Shortage {
            customer,
            held: self.borrowed.get(&lender).map_or(0, |loan| loan.units),
            more,
        }
    }

    /// Takes a token from this node's bucket, whose refill rate is proportional to the units that
    /// it holds.
    fn try_take_token(&mut self, now: Time, customer: &Customer) -> bool {
        let units = self.own_units() + self.borrowed(now);
        let share = f64::from(units.max(1)) / f64::from(customer.concurrency.max(1));
        let rate = f64::from(customer.rate) * share;
        let burst = rate.max(1.0);
        let earned = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(burst);
        self.refilled_at = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Context in which a customer's limits are applied.
#[derive(Clone, Copy, Debug)]
pub struct LimitContext<'a> {
    /// The active configuration bundle.
    pub bundle: &'a Bundle,
    /// This node.
    pub me: VmId,
    /// The customer's identifier.
    pub id: CustomerId,
    /// The customer's configuration.
    pub customer: &'a Customer,
    /// Latest time at which the request ends.
    pub deadline: Time,
}

impl Limits {
    fn usage(&mut self, now: Time, ctx: LimitContext) -> &mut Usage {
        let usage = self.usage.entry(ctx.id).or_insert_with(|| Usage {
            tokens: f64::MAX,
            refilled_at: now,
            ..Usage::default()
        });
        usage.refresh(now, ctx, &self.alive);
        usage
    }

    /// Sets the live nodes of this node's region.
    pub fn set_alive(&mut self, nodes: &BTreeSet<VmId>) {
        if self.alive.nodes != *nodes {
            self.alive.nodes.clone_from(nodes);
            self.alive.version += 1;
        }
    }

    /// Decides whether to admit a new request.
    pub fn admit(&mut self, now: Time, ctx: LimitContext, ticket: Ticket) -> Admission {
        const RETRY_AFTER: Duration = Duration::from_secs(1);
        let usage = self.usage(now, ctx);
        if !usage.try_take_token(now, ctx.customer) {
            return Admission::Refuse(Refusal::not_run(Reason::Rate).with_retry_after(RETRY_AFTER));
        }
        if usage.parked.is_empty() && usage.free_units(ctx.deadline) > 0 {
            usage.running += 1;
            return Admission::Admit;
        }
        let can_borrow = usage.base < ctx.customer.concurrency;
        if !can_borrow || usage.parked.len() >= MAX_PARKED {
            return Admission::Refuse(
                Refusal::not_run(Reason::Concurrency).with_retry_after(RETRY_AFTER),
            );
        }
        usage.parked.push_back(ticket);
        Admission::Park
    }

    /// Releases the unit of a request that has ended.
    pub fn release(&mut self, id: CustomerId) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Removes and returns the next parked request of a customer if a unit is free for it.
    pub fn unpark(&mut self, now: Time, ctx: LimitContext) -> Option<Ticket> {
        let usage = self.usage(now, ctx);
        if usage.parked.is_empty() || usage.free_units(ctx.deadline) == 0 {
            return None;
        }
        usage.running += 1;
        usage.parked.pop_front()
    }

    /// Returns the oldest parked request of a customer.
    #[must_use]
    pub fn first_parked(&self, id: CustomerId) -> Option<Ticket> {
        self.usage.get(&id)?.parked.front().copied()
    }

    /// Removes a parked request.
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

    /// Returns the next loan request and its lender, at most one per customer and interval.
    ///
    /// `sent` is the timestamp that the datagram will carry.
    pub fn request_loan(
        &mut self,
        now: Time,
        sent: Time,
        ctx: LimitContext,
    ) -> Option<(VmId, Shortage)> {
        let too_recent = |last| now.since(last) < LOAN_REQUEST_INTERVAL;
        if self.usage(now, ctx).last_request.is_some_and(too_recent) {
            return None;
        }
        let usage = self.usage.get_mut(&ctx.id)?;
        usage.last_request = Some(now);
        let lender = usage.lender(ctx, &self.alive.nodes)?;
        let more = usage.parked.len() as u32;
        Some((lender, usage.request(sent, ctx.id, lender, more)))
    }

    /// Returns the loan requests that renew units in use and return unused ones, with their
    /// lenders.
    ///
    /// `sent` is the timestamp that the datagrams will carry.
    pub fn renew_loans(
        &mut self,
        now: Time,
        sent: Time,
        ctx: LimitContext,
    ) -> Vec<(VmId, Shortage)> {
        let usage = self.usage(now, ctx);
        let idle = usage.free_units(now) > 0;
        let interval = if idle { RETURN_DELAY } else { RENEW_INTERVAL };
        let due: Vec<VmId> = usage
            .borrowed
            .keys()
            .copied()
            .filter(|vm| {
                let requested_at = usage.requested_at.get(vm);
                requested_at.is_none_or(|requested_at| now.since(*requested_at) >= interval)
            })
            .collect();
        let mut requests = Vec::new();
        for vm in due {
            let spare = usage.free_units(now);
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

    /// Handles a loan request: renews, takes back and lends units.
    ///
    /// `requested_at` is the timestamp of the request, by the borrower's clock. Returns `None` if
    /// the borrower ends up with no units.
    pub fn lend(
        &mut self,
        now: Time,
        ctx: LimitContext,
        (to, shortage): (VmId, Shortage),
        requested_at: u64,
    ) -> Option<Grant> {
        let usage = self.usage(now, ctx);
        let lent_before = usage.lent.remove(&to).map_or(0, |loan| loan.units);
        let held = shortage.held.min(lent_before);
        let idle = usage.own_units().saturating_sub(usage.running + held);
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
            requested_at,
        })
    }

    /// Applies a grant of units. The loan runs from the time of this node's request.
    pub fn accept_grant(&mut self, now: Time, ctx: LimitContext, from: VmId, grant: Grant) {
        let usage = self.usage(now, ctx);
        let requested_at = Time(grant.requested_at);
        let is_newest = usage.requested_at.get(&from) == Some(&requested_at);
        let until = requested_at + LOAN_DURATION;
        if is_newest && until > now {
            let units = grant.units;
            usage.borrowed.insert(from, Loan { units, until });
        }
    }

    /// Drops the state of idle customers.
    pub fn expire(&mut self, now: Time) {
        self.usage.retain(|_, usage| {
            usage.running > 0
                || !usage.parked.is_empty()
                || now.since(usage.last_used) < IDLE_TIMEOUT
        });
    }

    /// Drops all borrowed units, for example after this process was paused.
    pub fn forget_borrowed(&mut self) {
        for usage in self.usage.values_mut() {
            usage.borrowed.clear();
        }
    }

    /// Returns the number of a customer's requests that use a unit at this node.
    #[must_use]
    pub fn running(&self, id: CustomerId) -> u32 {
        self.usage.get(&id).map_or(0, |usage| usage.running)
    }

    /// Returns the recently active customers.
    pub fn active(&self) -> impl Iterator<Item = CustomerId> + '_ {
        self.usage.keys().copied()
    }

    /// Returns the number of recently active customers.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.usage.len()
    }
}
