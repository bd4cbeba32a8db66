//! Periodic work of a node: deadlines, expiry, heartbeats, loans and orders to engines.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::heartbeat::Shortage;
use seam_protocol::{Reason, Time, VmId};

use super::{Node, ServiceState};
use crate::audit::Change;
use crate::command::Command;
use crate::handle::Ticket;
use crate::limits::PARK_TIMEOUT;
use crate::placement::{EngineOrder, Order};
use crate::refusal::Refusal;
use crate::targets::PROBE_TIMEOUT;

/// Interval between two refreshes of membership, slot shares and queues.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of nodes of the region that receive a change of readiness directly. The others
/// receive it by gossip.
const MAX_DIRECT_PEERS: usize = 16;

impl Node {
    /// Runs all periodic work that is due.
    ///
    /// This runs after every event. Each part checks whether it is due, so frequent calls are
    /// cheap.
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.expire_requests(now, out);
        self.announce_readiness(now, out);
        self.review_admission(now, out);
        self.send_due_heartbeats(now, out);
        self.maintain_roster(now, out);
        self.send_work_update(now, out);
        self.exchange_origins(now, out);
        if now.since(self.last_refresh) >= REFRESH_INTERVAL {
            self.refresh(now, out);
        }
        self.tend_allowances(now, out);
        self.use_grants(now, out);
        self.unpark(now, out);
    }

    /// Starts queued requests for which this node's share of a granted rate has become free.
    fn use_grants(&mut self, now: Time, out: &mut Vec<Command>) {
        let due = |state: &ServiceState| state.next_grant.is_some_and(|next| next <= now);
        let states = self.service_states.iter_mut();
        let mut services = Vec::new();
        for (service, state) in states.filter(|(_, state)| due(state)) {
            state.next_grant = None;
            services.push(*service);
        }
        for service in services {
            self.dispatch(now, service, out);
        }
    }

    /// Announces a change of readiness at once to nodes of the region and some of other regions.
    fn announce_readiness(&mut self, now: Time, out: &mut Vec<Command>) {
        let ready = self.ready(now);
        if ready == self.announced_ready {
            return;
        }
        self.announced_ready = ready;
        let receivers: Vec<VmId> = self
            .gossip
            .local_peers()
            .iter()
            .copied()
            .take(MAX_DIRECT_PEERS)
            .collect();
        for vm in receivers {
            self.send_heartbeat(now, vm, out);
        }
        self.send_urgent_heartbeats(now, out);
    }

    /// Expires state, updates slot shares and starts queued requests.
    fn refresh(&mut self, now: Time, out: &mut Vec<Command>) {
        self.last_refresh = now;
        self.peers.expire(now);
        self.smooth_demand();
        self.decay_measurements(now);
        self.refresh_members(now);
        self.update_step(now, out);
        if self.catalogue.expire(now) {
            self.rebuild_bundle(now, out);
        }
        self.review_differences(now, out);
        self.review_silence(now, out);
        self.keys.expire(now);
        self.record_open_answers(now, out);
        self.poison.expire(now);
        self.streams.expire(now);
        self.expire_quarantine_reports(now);
        self.limits.expire(now);
        self.crash_watches
            .retain(|_, watch| now.since(watch.since) < PROBE_TIMEOUT);
        for (target, address) in self.targets.due_probes(now) {
            let patience = Duration::ZERO;
            out.push(Command::Probe {
                target,
                address,
                patience,
            });
        }
        self.handle_parked(now, out);
        self.review_loans(now, out);
        self.send_next_order(now, out);
        let services: Vec<_> = self.service_states.keys().copied().collect();
        for service in services {
            self.update_reach(now, service, out);
            self.dispatch(now, service, out);
        }
        self.reroute_stranded(now, out);
    }

    /// Drops all state received from peers after a pause of the process, since it may be outdated.
    pub(super) fn resume_after_pause(&mut self, now: Time, gap: Duration, out: &mut Vec<Command>) {
        self.counters.pauses += 1;
        self.restart_silence(now);
        self.peers.clear(now);
        self.placement.drop_leadership();
        self.limits.forget_borrowed();
        self.region_sends.clear();
        out.push(self.audit(
            now,
            Change::Pause,
            "beliefs about peers",
            ("held", "dropped"),
            format!("no event for {} ms", gap.as_millis()),
        ));
        self.refresh_members(now);
        self.send_urgent_heartbeats(now, out);
    }

    /// Continues parked requests of customers for which concurrency units became free.
    pub(super) fn unpark(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(customer) = self.freed_customers.pop_first() {
            while let Some(ticket) = self.unpark_next(now, customer) {
                self.request_mut(ticket).charged = true;
                self.proceed(now, ticket, out);
            }
        }
    }

    /// Returns the next parked request of a customer if a unit is free for it.
    fn unpark_next(&mut self, now: Time, customer: seam_protocol::CustomerId) -> Option<Ticket> {
        let bundle = self.bundle.clone()?;
        let first = self.limits.first_parked(customer)?;
        let deadline = self.requests.get(&first)?.deadline;
        let context = self.limit_context(&bundle, customer, deadline)?;
        self.limits.unpark(now, context)
    }

    /// Refuses requests that were parked too long, and requests units for the others.
    fn handle_parked(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        for customer in self.limits.parked_customers() {
            self.freed_customers.insert(customer);
            while let Some(ticket) = self.limits.first_parked(customer) {
                let waited = self
                    .requests
                    .get(&ticket)
                    .map_or(PARK_TIMEOUT, |request| now.since(request.arrived));
                if waited < PARK_TIMEOUT {
                    break;
                }
                self.limits.remove_parked(customer, ticket);
                let refusal = Refusal::not_run(Reason::Concurrency).with_retry_after(PARK_TIMEOUT);
                self.refuse_dequeued(now, ticket, refusal, out);
            }
            if let Some(context) = self.limit_context(&bundle, customer, now) {
                self.request_units(now, context, out);
            }
        }
    }

    /// Renews the loans of concurrency units in use, and returns unused units.
    fn review_loans(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let mut requests: BTreeMap<VmId, Vec<Shortage>> = BTreeMap::new();
        let sent = self.next_timestamp(now);
        for customer in self.limits.borrowing_customers() {
            let Some(context) = self.limit_context(&bundle, customer, now) else {
                continue;
            };
            for (lender, shortage) in self.limits.renew_loans(now, sent, context) {
                requests.entry(lender).or_default().push(shortage);
            }
        }
        for (lender, shortages) in requests {
            self.send_unit_heartbeat(sent, lender, shortages, Vec::new(), out);
        }
    }

    /// Sends the next order to load a model that the configured placement lacks, if one is due.
    fn send_next_order(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        if !self.freshness.fresh() {
            return;
        }
        let live: Vec<_> = self.alive.iter().copied().collect();
        let next = self
            .placement
            .next_order(now, &bundle, self.id.vm, &live, &self.targets);
        if let Some(order) = next {
            self.send_order(now, order, out);
        }
    }

    /// Sends an order to an engine and audits it.
    fn send_order(&mut self, now: Time, order: EngineOrder, out: &mut Vec<Command>) {
        let state = self.targets.get(order.target);
        let (Order::Load(model) | Order::Unload(model)) = &order.order;
        let subject = format!("target {}", state.id);
        let entry = self.audit(
            now,
            Change::Order,
            subject,
            ("", model.as_str()),
            format!("wanted placement, fence {}", order.fence),
        );
        out.push(Command::Order {
            target: state.id,
            address: state.spec.address,
            order: order.order,
            fence: order.fence,
        });
        out.push(entry);
    }
}
