//! Weighted fair queuing by customer.
//!
//! Implements start-time fair queuing: the virtual start of a customer's request is no earlier than
//! the virtual end of its previous one, and the request with the earliest virtual start runs first.
//! A long backlog of one customer therefore does not delay the others.

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

/// Queued and running requests of one customer.
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
    flows: BTreeMap<CustomerId, Flow>,
    /// Customers with queued requests, by the virtual start of their next one.
    order: BTreeSet<(u64, CustomerId)>,
    virtual_time: u64,
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

    /// Appends a request to its customer's queue.
    ///
    /// ```
    /// use seam_core::{Ticket, fair::FairQueue};
    /// use seam_protocol::CustomerId;
    /// let mut queue = FairQueue::default();
    /// for ticket in 0..3 {
    ///     queue.push(CustomerId(1), 1, Ticket(ticket));
    /// }
    /// queue.push(CustomerId(2), 1, Ticket(9));
    /// assert_eq!(queue.pop(8), Some(Ticket(0)));
    /// assert_eq!(queue.pop(8), Some(Ticket(9)));
    /// ```
    pub fn push(&mut self, customer: CustomerId, weight: u64, ticket: Ticket) {
        let now = self.virtual_time;
        let flow = self.flows.entry(customer).or_insert_with(|| {
            self.total_weight += weight;
            Flow {
                weight,
                ..Flow::default()
            }
        });
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(now);
            self.order.insert((flow.start, customer));
        }
        flow.waiting.push_back(ticket);
        self.queued += 1;
    }

    /// Removes the next request of a customer that is below its share of the slots, and counts it
    /// as running.
    pub fn pop(&mut self, slots: u32) -> Option<Ticket> {
        if self.running >= slots {
            return None;
        }
        let slots_per_weight = self.slots_per_weight(slots);
        let (start, customer) = *self.order.iter().find(|(_, customer)| {
            let flow = &self.flows[customer];
            f64::from(flow.running) < slots_per_weight * flow.weight as f64
        })?;
        self.order.remove(&(start, customer));
        let flow = self.flows.get_mut(&customer)?;
        let ticket = flow.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(start);
        flow.start = start + REQUEST_COST / flow.weight.max(1);
        flow.running += 1;
        if !flow.waiting.is_empty() {
            self.order.insert((flow.start, customer));
        }
        self.queued -= 1;
        self.running += 1;
        Some(ticket)
    }

    /// Puts a popped request back at the head of its customer's queue.
    pub fn requeue(&mut self, customer: CustomerId, ticket: Ticket) {
        let now = self.virtual_time;
        let Some(flow) = self.flows.get_mut(&customer) else {
            return;
        };
        self.order.remove(&(flow.start, customer));
        flow.running = flow.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        flow.start = now;
        self.order.insert((now, customer));
        flow.waiting.push_front(ticket);
        self.queued += 1;
    }

    /// Counts a running request as ended, and removes the customer's entry if it is idle.
    pub fn end(&mut self, customer: CustomerId) {
        let Some(flow) = self.flows.get_mut(&customer) else {
            return;
        };
        flow.running = flow.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        self.remove_idle(customer);
    }

    /// Removes a queued request. Returns whether it was queued.
    pub fn remove(&mut self, customer: CustomerId, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(&customer) else {
            return false;
        };
        let before = flow.waiting.len();
        flow.waiting.retain(|waiting| *waiting != ticket);
        let found = flow.waiting.len() < before;
        self.queued -= usize::from(found);
        if flow.waiting.is_empty() {
            self.order.remove(&(flow.start, customer));
        }
        self.remove_idle(customer);
        found
    }

    fn remove_idle(&mut self, customer: CustomerId) {
        let flow = &self.flows[&customer];
        if flow.running == 0 && flow.waiting.is_empty() {
            self.total_weight -= flow.weight;
            self.flows.remove(&customer);
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

    /// Returns how many queued requests run before a new request of a customer.
    ///
    /// ```
    /// use seam_core::{Ticket, fair::FairQueue};
    /// use seam_protocol::CustomerId;
    /// let mut queue = FairQueue::default();
    /// for ticket in 0..100 {
    ///     queue.push(CustomerId(1), 1, Ticket(ticket));
    /// }
    /// assert_eq!(queue.ahead(CustomerId(1), 1), 100);
    /// assert_eq!(queue.ahead(CustomerId(2), 1), 1);
    /// ```
    #[must_use]
    pub fn ahead(&self, customer: CustomerId, weight: u64) -> usize {
        let flow = self.flows.get(&customer);
        let own_requests = flow.map_or(0, |flow| flow.waiting.len());
        let weight = weight.max(1);
        let known = flow.map_or(0, |flow| flow.weight);
        let total_weight = self.total_weight - known + weight;
        let other_weight = total_weight.saturating_sub(weight) as usize;
        let others_first = (own_requests + 1) * other_weight / weight as usize;
        own_requests + others_first.min(self.queued - own_requests)
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
    ///     queue.push(CustomerId(1), 1, Ticket(ticket));
    /// }
    /// for customer in 2..5 {
    ///     queue.push(CustomerId(customer), 1, Ticket(customer));
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
            .map(|(id, flow)| (*id, f64::from(flow.running) / f64::from(self.running)))
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
