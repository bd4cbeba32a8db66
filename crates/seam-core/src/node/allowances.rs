//! Token quotas of tenants at this node: admission of requests, reports to the coordinator, and its answers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::heartbeat::{AllowanceReport, TokenGrant, TokenRequest};
use seam_protocol::{Bundle, Heartbeat, Incarnation, Reason, TenantId, Time, VmId};

use super::admit::TRANSIENT_RETRY_AFTER;
use super::{Node, TICK};
use crate::allowance::balance::{Balance, Decision, OwnShare};
use crate::allowance::lease::Lender;
use crate::allowance::pool::{Granted, Pool};
use crate::allowance::{COORDINATORS, LEASE, REPORT_INTERVAL, Terms};
use crate::command::{AllowanceEvent, Command};
use crate::handle::Ticket;
use crate::refusal::Refusal;
use crate::request::{Request, Stage};

/// Minimum time between two reports because requests wait.
const EXTRA_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two reports of a part of the share that is not lent, or whose coordinator does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a coordinator is not asked for waiting requests before it has answered.
const PROMPT_ANSWER: Duration = Duration::from_millis(150);
/// Time for which a record says that a node is not ready. Records from other regions arrive every 20 s or so.
const UNREADY_TIME: Duration = Duration::from_millis(2500);
/// Maximum number of tenants that one datagram names.
const MAX_NAMED: usize = 32;
/// Shortest lease that counts. A shorter one only asks for an answer.
const MIN_LEASE: Duration = Duration::from_millis(10);
/// Retry-after of a refusal if it is not known when there are tokens.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Counts of the tenants' allowances since boot, and their state.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct AllowanceStatus {
    /// Tokens of admitted requests.
    pub admitted: f64,
    /// Tokens of refused requests.
    pub refused: f64,
    /// Tokens returned for requests that did not run.
    pub returned: f64,
    /// Requests that wait for tokens.
    pub waiting: usize,
    /// Coordinators that were asked last.
    pub coordinators: [Option<VmId>; COORDINATORS],
    /// Parts of this node's share that are lent.
    pub lent: usize,
    /// Sum of the shares that are lent to this node.
    pub pooled: f64,
}

/// State of all allowances at a node.
#[derive(Clone, Debug)]
pub(crate) struct Allowances {
    lender: Lender,
    pool: Pool,
    balances: BTreeMap<TenantId, Balance>,
    /// Tenants with waiting requests.
    waiting: BTreeSet<TenantId>,
    /// Whether the tenants without a limit in the configuration in force were released.
    released: bool,
    /// Configuration that was examined last, and whether a tenant in it has an allowance.
    examined: Option<(Arc<Bundle>, bool)>,
    /// Tokens of requests that did not run, until they are added to the balances.
    refunds: Vec<(TenantId, f64)>,
    /// Last regular report of each part of the share.
    reported: [Option<Time>; COORDINATORS],
    /// Part whose coordinator was asked last, and when.
    asked: Option<(usize, Time)>,
    status: AllowanceStatus,
}

/// What an allowance has to know of a request.
#[derive(Clone, Copy, Debug)]
struct ChargeRequest {
    tenant: TenantId,
    /// Tokens of its prompt and its answer, if stated.
    tokens: Option<u64>,
    /// Time for which it may wait.
    left: Duration,
}

impl ChargeRequest {
    /// Returns what is charged for a request, `None` if it has no tenant or was charged by another node.
    fn of(now: Time, request: &Request) -> Option<Self> {
        let tokens = request.prompt.as_ref().map(|prompt| prompt.peak_tokens());
        Some(Self {
            tenant: request.tenant.filter(|_| !request.forwarded())?,
            tokens,
            // Refused before the deadline passes between two ticks.
            left: request.budget(now).saturating_sub(TICK),
        })
    }
}

/// The decision of an allowance on a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    pub(crate) tenant: TenantId,
    /// Tokens that the request costs.
    pub(crate) cost: f64,
    pub(crate) decision: Decision,
}

impl Allowances {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            lender: Lender::new(now),
            pool: Pool::new(now),
            balances: BTreeMap::new(),
            waiting: BTreeSet::new(),
            released: true,
            examined: None,
            refunds: Vec::new(),
            reported: [None; COORDINATORS],
            asked: None,
            status: AllowanceStatus::default(),
        }
    }

    fn balance(&mut self, now: Time, tenant: TenantId) -> &mut Balance {
        let balance = self.balances.entry(tenant);
        balance.or_insert_with(|| Balance::new(now))
    }

    /// Removes a request that no longer waits for tokens.
    pub(super) fn remove_waiting(&mut self, tenant: Option<TenantId>, ticket: Ticket) {
        if let Some(balance) = tenant.and_then(|id| self.balances.get_mut(&id)) {
            balance.remove_waiting(ticket);
        }
    }

    /// Returns the tokens of a request that did not run.
    pub(super) fn refund(&mut self, request: &Request) {
        if let (Some(tokens), Some(tenant)) = (request.paid, request.tenant) {
            self.status.returned += tokens;
            self.refunds.push((tenant, tokens));
        }
    }
}

/// Returns the token bucket of a tenant.
fn terms(bundle: &Bundle, tenant: TenantId) -> Option<Terms> {
    let allowance = bundle.tenants.get(&tenant)?.allowance.as_ref()?;
    Some(Terms::new(allowance, &bundle.tenant_bounds))
}

impl Node {
    /// Returns the counts and the state of the tenants' allowances.
    ///
    /// ```
    /// use seam_core::{Identity, Node};
    /// use seam_protocol::{Incarnation, RegionId, Time, VmId};
    /// let id = Identity { vm: VmId(1), region: RegionId(1), incarnation: Incarnation(1) };
    /// assert_eq!(Node::new(id, 1, Time(0)).allowance_status(Time(5)).waiting, 0);
    /// ```
    #[must_use]
    pub fn allowance_status(&self, now: Time) -> AllowanceStatus {
        let mut state = self.allowances.clone();
        let waiting = state.balances.values().map(Balance::waiting);
        AllowanceStatus {
            waiting: waiting.sum(),
            coordinators: state.lender.coordinators(),
            lent: (0..COORDINATORS)
                .filter(|part| state.lender.lent_to(now, *part).is_some())
                .count(),
            pooled: state.pool.share(now),
            ..state.status
        }
    }

    /// Returns the number of tenants whose state this node holds, as a receiver of requests and as a coordinator.
    #[must_use]
    pub fn allowance_states(&self) -> (usize, usize) {
        let allowances = &self.allowances;
        (allowances.balances.len(), allowances.pool.buckets())
    }

    /// Returns the configuration in force if a tenant in it has an allowance.
    fn limited_bundle(&mut self) -> Option<Arc<Bundle>> {
        let bundle = self.bundle.as_ref()?;
        let examined = self.allowances.examined.as_ref();
        let limited = match examined.filter(|(known, _)| Arc::ptr_eq(known, bundle)) {
            Some((_, limited)) => *limited,
            None => {
                let mut tenants = bundle.tenants.values();
                let limited = tenants.any(|tenant| tenant.allowance.is_some());
                self.allowances.examined = Some((bundle.clone(), limited));
                self.allowances.released = false;
                limited
            }
        };
        limited.then(|| bundle.clone())
    }

    /// Charges a caller's request to the allowance of its tenant. Returns whether it may proceed; otherwise it
    /// waits or is refused.
    pub(super) fn charge_tenant(
        &mut self,
        now: Time,
        ticket: Ticket,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(asked) = ChargeRequest::of(now, &self.requests[&ticket]) else {
            return true;
        };
        let Some(charge) = self.take_tokens(now, ticket, asked) else {
            return true;
        };
        let (tenant, cost) = (charge.tenant, charge.cost);
        match charge.decision {
            Decision::Admit => {
                self.pay(ticket, cost);
                true
            }
            Decision::Wait => {
                self.request_mut(ticket).stage = Stage::AwaitingTokens;
                self.allowances.waiting.insert(tenant);
                if let Some(bundle) = self.limited_bundle() {
                    self.ask_for_waiting(now, &bundle, out);
                }
                false
            }
            Decision::Refuse(wait) => {
                self.refuse_tokens(now, (ticket, tenant), cost, wait, out);
                false
            }
        }
    }

    /// Takes the tokens of a caller's request from its tenant's balance, or lets it wait for them. Returns `None`
    /// if no allowance limits it.
    fn take_tokens(&mut self, now: Time, ticket: Ticket, asked: ChargeRequest) -> Option<Charge> {
        let ChargeRequest {
            tenant,
            tokens,
            left,
        } = asked;
        let bundle = self.limited_bundle()?;
        let allowance = bundle.tenants.get(&tenant)?.allowance?;
        let terms = Terms::new(&allowance, &bundle.tenant_bounds);
        let cost = allowance.cost(tokens);
        self.update_known(now);
        let own = self.allowances.lender.own(now);
        let left = left.min(self.allowances.lender.longest_wait(now));
        let balance = self.allowances.balance(now, tenant);
        let decision = balance.admit(now, (ticket, cost), left, terms, own);
        Some(Charge {
            tenant,
            cost,
            decision,
        })
    }

    /// Returns the tokens that this node holds for the tenant of a request, what the request costs, and the
    /// decision on it, `None` if no allowance limits it. Charges nothing.
    pub(crate) fn preview_charge(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &Request,
    ) -> Option<(f64, Charge)> {
        let asked = ChargeRequest::of(now, request)?;
        let before = self.allowances.clone();
        let charge = self.take_tokens(now, ticket, asked);
        self.allowances = before;
        let charge = charge?;
        let bundle = self.limited_bundle()?;
        let terms = terms(&bundle, charge.tenant)?;
        let own = self.allowances.lender.own(now);
        let balance = self.allowances.balance(now, charge.tenant);
        let held = balance.held(now, terms, own);
        Some((held, charge))
    }

    fn pay(&mut self, ticket: Ticket, cost: f64) {
        self.request_mut(ticket).paid = Some(cost);
        self.allowances.status.admitted += cost;
    }

    /// Refuses a request for which there are no tokens, with the time after which there are.
    fn refuse_tokens(
        &mut self,
        now: Time,
        (ticket, tenant): (Ticket, TenantId),
        cost: f64,
        wait: Duration,
        out: &mut Vec<Command>,
    ) {
        self.allowances.status.refused += cost;
        let wait = if wait.is_zero() {
            UNKNOWN_RETRY_AFTER
        } else {
            wait
        };
        let own = self.allowances.lender.own(now);
        let bundle = self.bundle.clone();
        let terms = bundle.and_then(|bundle| terms(&bundle, tenant));
        let held = terms.map_or(0.0, |terms| {
            self.allowances.balance(now, tenant).held(now, terms, own)
        });
        out.push(Command::LogAllowance(AllowanceEvent::Refused {
            ticket,
            tenant,
            cost,
            held,
            coordinators: self.allowances.lender.coordinators(),
            wait,
        }));
        let refusal = Refusal::not_run(Reason::Rate).with_retry_after(wait);
        self.refuse(now, ticket, refusal, out);
    }

    /// Counts the known nodes, which set this node's share.
    fn update_known(&mut self, now: Time) {
        let unheard = self
            .roster
            .as_ref()
            .map_or(0, crate::roster::Roster::unheard_seeds);
        let known = self.regions.len();
        self.allowances.lender.set_known(now, known, unheard);
    }

    /// Reports to the coordinator if it is due, and decides on waiting requests.
    pub(super) fn tend_allowances(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(bundle) = self.limited_bundle() else {
            self.allowances.refunds.clear();
            if !self.allowances.released {
                self.allowances.pool.expire(now, |_| None);
                self.release_unlimited(now, None, out);
            }
            return;
        };
        for (tenant, tokens) in std::mem::take(&mut self.allowances.refunds) {
            self.allowances.balance(now, tenant).refund(now, tokens);
        }
        self.update_known(now);
        for part in 0..COORDINATORS {
            if self.report_due(now, part) {
                let tenants = |tenant| terms(&bundle, tenant);
                self.allowances.pool.expire(now, tenants);
                self.allowances.balances.retain(|_, known| !known.idle(now));
                self.check_silent(now, &bundle, out);
                self.report_allowances(now, &bundle, (part, true), out);
            }
        }
        self.serve_waiting(now, &bundle, out);
        self.ask_for_waiting(now, &bundle, out);
    }

    /// Returns whether a regular report of a part of the share is due. Reports of the parts alternate.
    fn report_due(&mut self, now: Time, part: usize) -> bool {
        let lender = &mut self.allowances.lender;
        let silent = lender.check_answer(now, part);
        let since = |time: Option<Time>| time.map_or(Duration::MAX, |time| now.since(time));
        let reported = self.allowances.reported;
        let urgent =
            lender.lent_to(now, part).is_none() || lender.unanswered(now, part) >= RETRY_INTERVAL;
        if silent || (urgent && since(reported[part]) >= RETRY_INTERVAL) {
            return true;
        }
        let last = since(reported.iter().copied().flatten().max());
        since(reported[part]) >= REPORT_INTERVAL * COORDINATORS as u32 && last >= REPORT_INTERVAL
    }

    /// Asks the coordinators in turn for tokens if requests wait for more than was asked for.
    fn ask_for_waiting(&mut self, now: Time, bundle: &Bundle, out: &mut Vec<Command>) {
        let (part, asked) = self.allowances.asked.unwrap_or_default();
        if now.since(asked) < EXTRA_INTERVAL {
            return;
        }
        if !self.allowances.waiting.is_empty() {
            let lender = &self.allowances.lender;
            let parts = (1..=COORDINATORS).map(|step| (part + step) % COORDINATORS);
            let prompt = |part: &usize| lender.unanswered(now, *part) < PROMPT_ANSWER;
            let mut prompt = parts.filter(prompt);
            let next = prompt.next().unwrap_or((part + 1) % COORDINATORS);
            self.report_allowances(now, bundle, (next, false), out);
        }
    }

    /// Admits waiting requests for which there are tokens, in order, and refuses those for which there are none
    /// in time.
    fn serve_waiting(&mut self, now: Time, bundle: &Arc<Bundle>, out: &mut Vec<Command>) {
        if !self.allowances.released {
            self.release_unlimited(now, Some(bundle), out);
        }
        let own = self.allowances.lender.own(now);
        let waiting: Vec<TenantId> = self.allowances.waiting.iter().copied().collect();
        for tenant in waiting {
            let Some(terms) = terms(bundle, tenant) else {
                continue;
            };
            while let Some((next, refused)) = self.next_waiting(now, tenant, terms, own) {
                match refused {
                    Some(wait) => {
                        self.refuse_tokens(now, (next.ticket, tenant), next.cost, wait, out);
                    }
                    None => {
                        self.pay(next.ticket, next.cost);
                        self.enter_waiting(now, next.ticket, out);
                    }
                }
            }
        }
        let balances = &self.allowances.balances;
        let waits = |tenant: &TenantId| {
            balances
                .get(tenant)
                .is_some_and(|known| known.waiting() > 0)
        };
        self.allowances.waiting.retain(waits);
    }

    fn next_waiting(
        &mut self,
        now: Time,
        tenant: TenantId,
        terms: Terms,
        own: Option<OwnShare>,
    ) -> Option<(crate::allowance::balance::Waiting, Option<Duration>)> {
        let balance = self.allowances.balances.get_mut(&tenant)?;
        balance.next(now, terms, own)
    }

    /// Admits the waiting requests of tenants without a limit in a configuration, and drops their state.
    fn release_unlimited(
        &mut self,
        now: Time,
        bundle: Option<&Arc<Bundle>>,
        out: &mut Vec<Command>,
    ) {
        let limited = |tenant: TenantId| bundle.is_some_and(|known| terms(known, tenant).is_some());
        let tenants = self.allowances.balances.keys().copied();
        self.allowances.released = true;
        let unlimited: Vec<TenantId> = tenants.filter(|tenant| !limited(*tenant)).collect();
        for tenant in unlimited {
            let Some(mut balance) = self.allowances.balances.remove(&tenant) else {
                continue;
            };
            while let Some(next) = balance.pop_waiting() {
                self.enter_waiting(now, next.ticket, out);
            }
        }
    }

    /// Continues a request that waited for tokens, unless the configuration lacks what it needs by now.
    pub(crate) fn enter_waiting(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.stage = Stage::Routing;
        let (service, customer, tenant) = (request.service, request.customer, request.tenant);
        let known = self.bundle.as_ref().is_some_and(|bundle| {
            bundle.services.contains_key(&service)
                && bundle.customers.contains_key(&customer)
                && tenant.is_none_or(|tenant| bundle.tenants.contains_key(&tenant))
        });
        if known {
            self.enter(now, ticket, out);
        } else {
            let refusal =
                Refusal::not_run(Reason::Revision).with_retry_after(TRANSIENT_RETRY_AFTER);
            self.refuse(now, ticket, refusal, out);
        }
    }

    /// Returns whether a node seems able to coordinate. Nodes of other regions rarely send heartbeats, so they
    /// count as alive while their region does.
    fn may_coordinate(&self, now: Time, vm: VmId) -> bool {
        if vm == self.id.vm {
            return self.drain_since.is_none();
        }
        let unready = self
            .peers
            .known(vm)
            .is_some_and(|peer| !peer.record.ready && now.since(peer.updated) < UNREADY_TIME);
        let region = self.regions.get(&vm).copied();
        let alive = match region {
            Some(region) if region != self.id.region => !self.peers.region_silent(now, region),
            _ => self.peers.alive(now, vm).is_some(),
        };
        !unready && alive
    }

    /// Sends the coordinator of a part of this node's share the lease of it and what this node needs. `regular`
    /// reports renew the lease, the others only ask for waiting requests.
    fn report_allowances(
        &mut self,
        now: Time,
        bundle: &Bundle,
        (part, regular): (usize, bool),
        out: &mut Vec<Command>,
    ) {
        let mut lender = self.allowances.lender.clone();
        let vms = bundle.deployment.vms.iter();
        let chosen = lender.choose(now, part, vms, |vm| self.may_coordinate(now, vm));
        self.allowances.lender = lender;
        if regular {
            self.allowances.reported[part] = Some(now);
        }
        self.allowances.asked = Some((part, now));
        let Some((best, asked)) = chosen else {
            // A process that has just started knows no coordinator yet.
            if self.allowances.lender.own(now).is_none() {
                return;
            }
            for balance in self.allowances.balances.values_mut() {
                balance.note_absent(now, part);
            }
            return;
        };
        let sent = self.next_timestamp(now);
        let requests = self.token_requests((sent, part), bundle, regular);
        if !regular && requests.is_empty() {
            return;
        }
        let lender = &mut self.allowances.lender;
        let share = lender.part_share();
        let renewable = lender.unanswered(now, part) < RETRY_INTERVAL;
        if let Some(from) = lender.note_asked(now, part, asked) {
            let to = asked;
            let change = AllowanceEvent::Coordinator { from, to, share };
            out.push(Command::LogAllowance(change));
        }
        let lends = regular && best == asked && renewable;
        if asked == self.id.vm {
            let to = (asked, self.id.incarnation);
            if lends && lender.lend(now, part, to) {
                self.allowances.pool.lend(now, asked, share, now + LEASE);
            }
            self.allowances.lender.note_answer(asked);
            let grants = self.grant_tokens(now, bundle, &requests, (true, regular));
            self.accept_tokens(now, sent, &grants);
            return;
        }
        let Some((address, mut heartbeat)) = self.new_short_heartbeat(sent, asked) else {
            return;
        };
        let to = (asked, heartbeat.receiver_incarnation);
        let known = to.1 != Incarnation(0);
        let lent = lends && known && self.allowances.lender.lend(sent, part, to);
        let lease = if lent {
            LEASE.as_millis() as u32
        } else {
            u32::from(regular)
        };
        heartbeat.allowances = AllowanceReport {
            lease,
            share: share as f32,
            requests,
            ..AllowanceReport::default()
        };
        out.push(Command::Heartbeat {
            to: asked,
            address,
            heartbeat,
        });
    }

    /// Checks whether a preferred coordinator that did not answer does so again.
    fn check_silent(&mut self, now: Time, bundle: &Bundle, out: &mut Vec<Command>) {
        let vms = bundle.deployment.vms.iter();
        let Some(to) = self.allowances.lender.due_check(now, vms) else {
            return;
        };
        let sent = self.next_timestamp(now);
        if let Some((address, mut heartbeat)) = self.new_short_heartbeat(sent, to) {
            heartbeat.allowances.lease = 1;
            out.push(Command::Heartbeat {
                to,
                address,
                heartbeat,
            });
        }
    }

    /// Returns what to ask for, at most for [`MAX_NAMED`] tenants: those with waiting requests first.
    fn token_requests(
        &mut self,
        asked: (Time, usize),
        bundle: &Bundle,
        regular: bool,
    ) -> Vec<TokenRequest> {
        let known = self.allowances.lender.known();
        let Allowances {
            balances, waiting, ..
        } = &mut self.allowances;
        let balances = balances.iter_mut();
        let mut balances: Vec<_> = balances
            .filter(|(tenant, _)| regular || waiting.contains(tenant))
            .collect();
        balances.sort_by_key(|(_, balance)| std::cmp::Reverse(balance.waiting()));
        let mut requests = Vec::new();
        for (tenant, balance) in balances {
            if requests.len() >= MAX_NAMED {
                break;
            }
            let Some(terms) = terms(bundle, *tenant) else {
                continue;
            };
            let ask = balance.ask(asked, terms, known, regular);
            if ask.tokens > 0.0 || ask.returned > 0.0 {
                requests.push(TokenRequest {
                    tenant: *tenant,
                    tokens: ask.tokens as f32,
                    returned: ask.returned as f32,
                });
            }
        }
        requests
    }

    /// Grants tokens from the shares that are lent to this node. Tokens that were granted by another process
    /// are not `returnable`. Regular reports ask ahead of demand. A tenant without a limit in the configuration
    /// in force gets what it asks for.
    fn grant_tokens(
        &mut self,
        now: Time,
        bundle: &Bundle,
        requests: &[TokenRequest],
        (returnable, regular): (bool, bool),
    ) -> Vec<TokenGrant> {
        let grant = |request: &TokenRequest| {
            let returned = if returnable {
                f64::from(request.returned)
            } else {
                0.0
            };
            let asked = (f64::from(request.tokens), returned);
            let granted = match terms(bundle, request.tenant) {
                Some(terms) => {
                    self.allowances
                        .pool
                        .grant(now, request.tenant, terms, asked, regular)
                }
                None => Granted {
                    tokens: asked.0,
                    wait: Duration::ZERO,
                },
            };
            TokenGrant {
                tenant: request.tenant,
                tokens: granted.tokens as f32,
                wait: granted.wait.as_micros().div_ceil(1000) as u32,
            }
        };
        requests.iter().take(MAX_NAMED).map(grant).collect()
    }

    /// Adds granted tokens to the balances.
    fn accept_tokens(&mut self, now: Time, asked: Time, grants: &[TokenGrant]) {
        for grant in grants {
            let answer = (
                f64::from(grant.tokens),
                Duration::from_millis(grant.wait.into()),
            );
            if let Some(balance) = self.allowances.balances.get_mut(&grant.tenant) {
                balance.accept(now, asked, answer);
            }
        }
    }

    /// Handles the lease, the requests or the grants of another node. `echo` is the last time at which it
    /// received a heartbeat of this process.
    pub(super) fn receive_allowances(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        echo: Option<Time>,
        out: &mut Vec<Command>,
    ) {
        let report = &heartbeat.allowances;
        if report.is_empty() {
            return;
        }
        let Some(bundle) = self.limited_bundle() else {
            return;
        };
        if report.requested_at != 0 && echo.is_some() {
            self.allowances.lender.note_answer(heartbeat.from);
            self.accept_tokens(now, Time(report.requested_at), &report.grants);
            self.serve_waiting(now, &bundle, out);
        }
        if report.lease == 0 && report.requests.is_empty() {
            return;
        }
        let lease = Duration::from_millis(report.lease.into()).min(LEASE);
        if let Some(echo) = echo
            && lease >= MIN_LEASE
        {
            let share = f64::from(report.share);
            let until = echo.min(now) + lease;
            let pool = &mut self.allowances.pool;
            pool.lend(now, heartbeat.from, share, until);
        }
        let from = (echo.is_some(), report.lease > 0);
        let grants = self.grant_tokens(now, &bundle, &report.requests, from);
        let sent = self.next_timestamp(now);
        if let Some((address, mut answer)) = self.new_short_heartbeat(sent, heartbeat.from) {
            answer.allowances.grants = grants;
            answer.allowances.requested_at = heartbeat.sent;
            out.push(Command::Heartbeat {
                to: heartbeat.from,
                address,
                heartbeat: answer,
            });
        }
    }
}
