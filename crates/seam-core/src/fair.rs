//! Queuing by rank, and weighted fair queuing by customer or tenant within each rank.
//!
//! Implements start-time fair queuing: the virtual start of a flow's request is no earlier than the
//! virtual end of its previous one, and of the most urgent rank the request with the earliest
//! virtual start runs first. A long backlog of one customer therefore does not delay the others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use seam_protocol::CustomerId;

use crate::handle::Ticket;

/// Virtual time that one request of weight 1 takes, in microseconds.
const REQUEST_COST: u64 = 1 << 20;

/// Slots reserved for light customers, as a multiple of the square root of their current demand:
/// the demand of random arrivals varies by about its square root.
const RESERVE_FACTOR: f64 = 1.5;
/// Largest fraction of the slots that is reserved.
const MAX_RESERVED_FRACTION: f64 = 0.25;

/// Identifies the requests of one customer or tenant that have the same rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// Rank of the requests. 0 is the most urgent and runs first.
    pub rank: u8,
    /// Customer, or tenant.
    pub owner: CustomerId,
}

impl From<CustomerId> for FlowKey {
    fn from(owner: CustomerId) -> Self {
        Self { rank: 0, owner }
    }
}

/// Queued and running requests of one flow.
#[derive(Clone, Debug, Default)]
struct Flow {
    waiting: VecDeque<Ticket>,
    /// Virtual start of the next request.
    start: u64,
    weight: u64,
    running: u32,
}

/// Divides slots among customers by weighted max-min fairness.
///
/// `demands` holds the demand per weight and the weight of each customer, sorted by demand. Returns
/// the slots per weight at which the slots run out, and the total demand of the customers below it.
fn water_fill(demands: &[(f64, f64)], slots: f64) -> (f64, f64) {
    let mut remaining = slots;
    let mut total_weight: f64 = demands.iter().map(|(_, weight)| weight).sum();
    for (demand, weight) in demands {
        let slots_per_weight = remaining / total_weight;
        if *demand >= slots_per_weight {
            return (slots_per_weight, slots - remaining);
        }
        remaining -= demand * weight;
        total_weight -= weight;
    }
    (f64::INFINITY, slots - remaining)
}

/// Request queue of one service at one node.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    flows: BTreeMap<FlowKey, Flow>,
    /// Flows with queued requests, by rank and by the virtual start of their next one.
    order: BTreeSet<(u8, u64, FlowKey)>,
    /// Virtual time of each rank.
    virtual_times: BTreeMap<u8, u64>,
    total_weight: u64,
    queued: usize,
    running: u32,
}

impl FairQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Appends a request to its flow.
    ///
    /// ```
    /// use seam_core::{Ticket, fair::{FairQueue, FlowKey}};
    /// use seam_protocol::CustomerId;
    /// let mut queue = FairQueue::default();
    /// for ticket in 0..3 {
    ///     queue.push(CustomerId(1).into(), 1, Ticket(ticket));
    /// }
    /// queue.push(CustomerId(2).into(), 1, Ticket(9));
    /// assert_eq!(queue.pop(8), Some(Ticket(0)));
    /// assert_eq!(queue.pop(8), Some(Ticket(9)));
    /// let less_urgent = FlowKey { rank: 1, owner: CustomerId(3) };
    /// queue.push(less_urgent, 1, Ticket(10));
    /// assert_eq!(queue.pop(8), Some(Ticket(1)));
    /// ```
    pub fn push(&mut self, key: FlowKey, weight: u64, ticket: Ticket) {
        let now = self.virtual_time(key.rank);
        let flow = self.flows.entry(key).or_default();
        self.total_weight = self.total_weight - flow.weight + weight;
        flow.weight = weight;
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(now);
            self.order.insert((key.rank, flow.start, key));
        }
        flow.waiting.push_back(ticket);
        self.queued += 1;
    }

    fn virtual_time(&self, rank: u8) -> u64 {
        self.virtual_times.get(&rank).copied().unwrap_or_default()
    }

    /// Removes the next request of a flow that is below its share of the slots, and counts it as
    /// running.
    pub fn pop(&mut self, slots: u32) -> Option<Ticket> {
        if self.running >= slots {
            return None;
        }
        let slots_per_weight = self.slots_per_weight(slots);
        let (rank, start, key) = *self.order.iter().find(|(_, _, key)| {
            let flow = &self.flows[key];
            f64::from(flow.running) < slots_per_weight * flow.weight as f64
        })?;
        self.order.remove(&(rank, start, key));
        let flow = self.flows.get_mut(&key)?;
        let ticket = flow.waiting.pop_front()?;
        let virtual_time = self.virtual_times.entry(rank).or_default();
        *virtual_time = start.max(*virtual_time);
        flow.start = start + REQUEST_COST / flow.weight.max(1);
        flow.running += 1;
        if !flow.waiting.is_empty() {
            self.order.insert((rank, flow.start, key));
        }
        self.queued -= 1;
        self.running += 1;
        Some(ticket)
    }

    /// Puts a popped request back at the head of its flow's queue.
    pub fn requeue(&mut self, key: FlowKey, ticket: Ticket) {
        let now = self.virtual_time(key.rank);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        self.order.remove(&(key.rank, flow.start, key));
        flow.running = flow.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        flow.start = now;
        self.order.insert((key.rank, now, key));
        flow.waiting.push_front(ticket);
        self.queued += 1;
    }

    /// Counts a running request as ended, and removes the flow's entry if it is idle.
    pub fn end(&mut self, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.running = flow.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        self.remove_idle(key);
    }

    /// Removes a queued request. Returns whether it was queued.
    pub fn remove(&mut self, key: FlowKey, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(&key) else {
            return false;
        };
        let before = flow.waiting.len();
        flow.waiting.retain(|waiting| *waiting != ticket);
        let found = flow.waiting.len() < before;
        self.queued -= usize::from(found);
        if flow.waiting.is_empty() {
            self.order.remove(&(key.rank, flow.start, key));
        }
        self.remove_idle(key);
        found
    }

    fn remove_idle(&mut self, key: FlowKey) {
        let flow = &self.flows[&key];
        if flow.running == 0 && flow.waiting.is_empty() {
            self.total_weight -= flow.weight;
            self.flows.remove(&key);
        }
    }

    /// Returns the slots per weight that a customer may use at once.
    ///
    /// A customer that needs less than its fair share gets all it needs, and the others divide the
    /// rest. Some slots are reserved for new requests of light customers, so that these start at
    /// once instead of waiting for a running request to end.
    fn slots_per_weight(&self, slots: u32) -> f64 {
        // Without a heavy customer the virtual start order is fair without a cap or reserved slots.
        if self.heavy().is_empty() {
            return f64::INFINITY;
        }
        let mut demands: Vec<(f64, f64)> = self
            .flows
            .values()
            .map(|flow| {
                let demand = f64::from(flow.running) + flow.waiting.len() as f64;
                let weight = flow.weight as f64;
                (demand / weight, weight)
            })
            .collect();
        demands.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let slots = f64::from(slots);
        let (_, light_slots) = water_fill(&demands, slots);
        let reserved = (RESERVE_FACTOR * light_slots.sqrt()).min(slots * MAX_RESERVED_FRACTION);
        water_fill(&demands, slots - reserved).0
    }

    /// Returns how many queued requests run before a new request of a flow.
    ///
    /// ```
    /// use seam_core::{Ticket, fair::{FairQueue, FlowKey}};
    /// use seam_protocol::CustomerId;
    /// let mut queue = FairQueue::default();
    /// for ticket in 0..100 {
    ///     queue.push(CustomerId(1).into(), 1, Ticket(ticket));
    /// }
    /// assert_eq!(queue.ahead(CustomerId(1).into(), 1), 100);
    /// assert_eq!(queue.ahead(CustomerId(2).into(), 1), 1);
    /// let less_urgent = FlowKey { rank: 1, owner: CustomerId(2) };
    /// assert_eq!(queue.ahead(less_urgent, 1), 100);
    /// ```
    #[must_use]
    pub fn ahead(&self, key: FlowKey, weight: u64) -> usize {
        let weight = weight.max(1);
        let (mut more_urgent, mut same_rank, mut other_weight) = (0, 0, 0);
        for (other, flow) in self
            .flows
            .iter()
            .filter(|(other, _)| other.rank <= key.rank)
        {
            if other.rank < key.rank {
                more_urgent += flow.waiting.len();
            } else if *other != key {
                same_rank += flow.waiting.len();
                other_weight += flow.weight as usize;
            }
        }
        let own = self.flows.get(&key).map_or(0, |flow| flow.waiting.len());
        let others_first = (own + 1) * other_weight / weight as usize;
        more_urgent + own + others_first.min(same_rank)
    }

    /// Returns the heavy customers, with their fractions of all running requests.
    ///
    /// A customer is heavy if it runs more than twice as many requests per weight as the
    /// others on average, at least three, and at least a quarter of all running requests.
    ///
    /// ```
    /// use seam_core::{Ticket, fair::FairQueue};
    /// use seam_protocol::CustomerId;
    /// let mut queue = FairQueue::default();
    /// for ticket in 0..9 {
    ///     queue.push(CustomerId(1).into(), 1, Ticket(ticket));
    /// }
    /// for customer in 2..5 {
    ///     queue.push(CustomerId(customer).into(), 1, Ticket(customer));
    /// }
    /// while queue.pop(12).is_some() {}
    /// let heavy = queue.heavy();
    /// assert_eq!(heavy.len(), 1);
    /// assert_eq!(heavy[0].0, CustomerId(1));
    /// ```
    #[must_use]
    pub fn heavy(&self) -> Vec<(CustomerId, f64)> {
        const HEAVY_RATIO: u64 = 2;
        const MIN_RUNNING: u32 = 3;
        const MIN_FRACTION_DIVISOR: u32 = 4;
        let heavy = self.flows.iter().filter(|(_, flow)| {
            let others = u64::from(self.running - flow.running);
            let other_weight = self.total_weight - flow.weight;
            let scaled_running = u64::from(flow.running) * other_weight;
            let large =
                flow.running >= MIN_RUNNING && flow.running * MIN_FRACTION_DIVISOR >= self.running;
            large && others > 0 && scaled_running > HEAVY_RATIO * others * flow.weight
        });
        heavy
            .map(|(key, flow)| (key.owner, f64::from(flow.running) / f64::from(self.running)))
            .collect()
    }

    /// Returns the total weight of the customers with queued or running requests.
    #[must_use]
    pub fn total_weight(&self) -> u64 {
        self.total_weight
    }

    /// Returns the number of customers with queued or running requests.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.flows.len()
    }
}
