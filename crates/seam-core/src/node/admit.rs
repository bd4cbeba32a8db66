//! Admission of arriving requests: validity checks, idempotency keys and customer limits.

use std::collections::BTreeSet;
use std::time::Duration;

use seam_protocol::id::rank;
use seam_protocol::{Bundle, Customer, Reason, RegionId, Service, Time, VmId};

use super::{MAX_REQUESTS, Node};
use crate::arrival::{Arrival, Hop, IdempotencyKey, Origin};
use crate::command::Command;
use crate::handle::Ticket;
use crate::keys::Claim;
use crate::limits::Admission;
use crate::refusal::Refusal;
use crate::request::{Request, Stage};

/// Retry-after of refusals because of a temporary state of this node.
pub(super) const TRANSIENT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of nodes that may have forwarded a request before this one.
const MAX_HOPS: usize = 1;

/// Owner of an idempotency key: the one node that decides whether its request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyOwner {
    /// This node.
    ThisNode,
    /// Another node.
    OtherNode(VmId),
    /// No node that can decide: the key belongs to another customer, the node that issued it has
    /// restarted, or the request may not be forwarded to the owner.
    Unavailable,
}

impl Node {
    pub(super) fn arrive(&mut self, now: Time, arrival: &Arrival, out: &mut Vec<Command>) {
        match arrival.origin {
            Origin::Caller => self.counters.arrived += 1,
            Origin::Peer { .. } => self.counters.relayed += 1,
        }
        let request = self.new_request(now, arrival);
        self.deadlines.insert((request.deadline, arrival.ticket));
        self.requests.insert(arrival.ticket, request);
        if let Err(refusal) = self.check(now, arrival, out) {
            self.refuse(now, arrival.ticket, refusal, out);
            return;
        }
        if self.charge_tenant(now, arrival.ticket, out) {
            self.enter(now, arrival.ticket, out);
        }
    }

    /// Returns the request of an arrival, with the regions that its customer and its tenant permit.
    pub(crate) fn new_request(&self, now: Time, arrival: &Arrival) -> Request {
        let mut request = Request::new(now, arrival);
        let customers = self.bundle.as_ref().map(|bundle| &bundle.customers);
        let customer = customers.and_then(|customers| customers.get(&arrival.customer));
        let tenant = self.bundle.as_ref().and_then(|bundle| {
            let id = arrival.tenant?;
            bundle.tenants.get(&id)
        });
        request.residency = intersection(
            customer.and_then(|customer| customer.residency.as_ref()),
            tenant.and_then(|tenant| tenant.home_regions.as_ref()),
        );
        request
    }

    /// Continues a request that was checked and charged to its tenant, at the owner of its key.
    pub(super) fn enter(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        self.record_demand(now, ticket);
        match self.owner_of(&self.requests[&ticket]) {
            None => {
                if self.find_origin(now, ticket, out) {
                    self.charge(now, ticket, out);
                }
            }
            Some(KeyOwner::ThisNode) => self.claim(now, ticket, out),
            Some(KeyOwner::OtherNode(vm)) => {
                self.request_mut(ticket).key_owner = Some(vm);
                self.charge(now, ticket, out);
            }
            Some(KeyOwner::Unavailable) => {
                let refusal = Refusal::unknown(Reason::KeyOwner);
                self.refuse(now, ticket, refusal, out);
            }
        }
    }

    /// Makes all checks that do not depend on the load of targets or on the customer's limits.
    fn check(
        &mut self,
        now: Time,
        arrival: &Arrival,
        out: &mut Vec<Command>,
    ) -> Result<(), Refusal> {
        let bundle = self.accepting_bundle(now)?;
        if self.requests.len() > MAX_REQUESTS {
            return Err(Refusal::not_run(Reason::Overload).with_retry_after(TRANSIENT_RETRY_AFTER));
        }
        self.check_path(now, &arrival.origin, bundle.revision, out)?;
        let forwarded = matches!(arrival.origin, Origin::Peer { .. });
        if arrival.tenant.is_some() && !forwarded {
            self.check_confirmation(now)?;
        }
        // A route named the service and the customer, here or at the node that received the request
        // from its caller. So what is missing has another revision of the configuration.
        let found_before = forwarded || arrival.route.is_some();
        let missing = |reason| {
            if found_before {
                Refusal::not_run(Reason::Revision).with_retry_after(TRANSIENT_RETRY_AFTER)
            } else {
                Refusal::not_run(reason)
            }
        };
        let service = bundle.services.get(&arrival.service);
        let service = service.ok_or_else(|| missing(Reason::Service))?;
        let customer = bundle.customers.get(&arrival.customer);
        let customer = customer.ok_or_else(|| missing(Reason::Credential))?;
        let tenant = arrival.tenant;
        if tenant.is_some_and(|tenant| !bundle.tenants.contains_key(&tenant)) {
            return Err(missing(Reason::Credential));
        }
        let forbidden =
            !customer.services.is_empty() && !customer.services.contains(&arrival.service);
        if forbidden {
            return Err(missing(Reason::Service));
        }
        let request = self.requests.get(&arrival.ticket);
        if request.is_some_and(|request| self.outlasts_process(now, request)) {
            return Err(Self::draining_refusal());
        }
        if request.is_some_and(|request| self.is_quarantined(request))
            && !self.begin_trial(now, arrival.ticket)
        {
            return Err(Refusal::not_run(Reason::Poison));
        }
        let regions = &bundle.deployment.regions;
        let permits = |region: RegionId| {
            bundle.permits_region(service, customer, region)
                && bundle.tenant_permits(tenant, region)
        };
        if !regions.keys().any(|region| permits(*region)) {
            // The regions of a route or a tenant may be unreadable, and a later version may name others.
            return Err(if arrival.route.is_some() && !forwarded {
                Refusal::not_run(Reason::NoTarget).with_retry_after(TRANSIENT_RETRY_AFTER)
            } else {
                missing(Reason::Residency)
            });
        }
        if forwarded && !permits(self.id.region) {
            return Err(missing(Reason::Residency));
        }
        let mut allowed = bundle.allowed_regions(service, customer);
        allowed.retain(|region| bundle.tenant_permits(tenant, *region));
        if allowed.is_empty() || (forwarded && !allowed.contains(&self.id.region)) {
            return Err(Refusal::not_run(Reason::NoTarget).with_retry_after(TRANSIENT_RETRY_AFTER));
        }
        Ok(())
    }

    /// Returns whether a request is quarantined, or something that it shares with others.
    pub(super) fn is_quarantined(&self, request: &Request) -> bool {
        if self.poison.refuses_nothing() {
            return false;
        }
        let mut shared = request.shared();
        self.poison.quarantined(request.fingerprint)
            || (!request.trial && shared.any(|part| self.poison.quarantined(part)))
    }

    /// Lets a request through to try whether the quarantined part of it still crashes targets. One
    /// node of all does so for each part.
    fn begin_trial(&mut self, now: Time, ticket: Ticket) -> bool {
        let request = &self.requests[&ticket];
        let part = request.shared().find(|part| self.poison.quarantined(*part));
        let whole = self.poison.quarantined(request.fingerprint);
        let (Some(part), Some(bundle), false) = (part, &self.bundle, whole) else {
            return false;
        };
        let vms = bundle.deployment.vms.keys();
        let tester = vms.max_by_key(|vm| rank(part.0, u64::from(vm.0)));
        let begins = tester == Some(&self.id.vm) && self.poison.begin_trial(now, part);
        if begins {
            self.request_mut(ticket).trial = true;
        }
        begins
    }

    /// Returns the bundle in force, or why this node accepts no requests.
    fn accepting_bundle(&self, now: Time) -> Result<std::sync::Arc<Bundle>, Refusal> {
        let not_ready = Refusal::not_run(Reason::NotReady).with_retry_after(TRANSIENT_RETRY_AFTER);
        let bundle = self.bundle.clone().filter(|_| self.configured());
        let bundle = bundle.ok_or(not_ready)?;
        if !self.freshness.fresh() {
            return Err(Refusal::not_run(Reason::Stale).with_retry_after(TRANSIENT_RETRY_AFTER));
        }
        if self.grace_over(now) {
            return Err(Self::draining_refusal());
        }
        Ok(bundle)
    }

    /// Checks the path and configuration revision of a forwarded request.
    fn check_path(
        &mut self,
        now: Time,
        origin: &Origin,
        own_revision: u64,
        out: &mut Vec<Command>,
    ) -> Result<(), Refusal> {
        let Origin::Peer { hops, revision } = origin else {
            return Ok(());
        };
        let visited = hops.iter().any(|hop| hop.vm == self.id.vm);
        if visited || hops.is_empty() || hops.len() > MAX_HOPS {
            return Err(Refusal::not_run(Reason::Loop));
        }
        if *revision > own_revision {
            self.fetch_items_from(now, hops[0].vm, out);
            self.fetch_manifest(now, hops[0].vm, *revision, out);
            return Err(Refusal::not_run(Reason::Revision).with_retry_after(TRANSIENT_RETRY_AFTER));
        }
        Ok(())
    }

    /// Returns the owner of a request's key, `None` where no key applies.
    fn owner_of(&self, request: &Request) -> Option<KeyOwner> {
        let bundle = self.bundle.as_ref()?;
        let owner = match request.key.as_ref()? {
            IdempotencyKey::Issued(key) if key.customer != request.customer => {
                KeyOwner::Unavailable
            }
            IdempotencyKey::Issued(key) if key.vm == self.id.vm => {
                if key.incarnation == self.id.incarnation {
                    KeyOwner::ThisNode
                } else {
                    KeyOwner::Unavailable
                }
            }
            IdempotencyKey::Issued(key) => self.other_owner(request, key.vm),
            IdempotencyKey::Caller { digest, .. } => {
                let service = bundle.services.get(&request.service)?;
                let customer = bundle.customers.get(&request.customer)?;
                match caller_key_owner(bundle, service, customer, *digest) {
                    Some(vm) if vm == self.id.vm => KeyOwner::ThisNode,
                    Some(vm) => self.other_owner(request, vm),
                    None => KeyOwner::Unavailable,
                }
            }
        };
        Some(owner)
    }

    /// Returns another node as the owner, if the request may be forwarded to it.
    fn other_owner(&self, request: &Request, vm: VmId) -> KeyOwner {
        let Some(bundle) = &self.bundle else {
            return KeyOwner::Unavailable;
        };
        let specs = bundle
            .services
            .get(&request.service)
            .zip(bundle.customers.get(&request.customer));
        let Some(((service, customer), region)) = specs.zip(self.regions.get(&vm)) else {
            return KeyOwner::Unavailable;
        };
        let from_caller = !request.forwarded();
        let allowed = bundle.allows_region(service, customer, *region)
            && bundle.tenant_permits(request.tenant, *region);
        if from_caller && allowed {
            KeyOwner::OtherNode(vm)
        } else {
            KeyOwner::Unavailable
        }
    }

    /// Claims a key that this node owns. The request then runs, waits for another one with the same
    /// key, or gets its response at once.
    fn claim(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let Some(key) = request.key.clone() else {
            return;
        };
        if !self.keys.holds(&key)
            && matches!(key, IdempotencyKey::Caller { .. })
            && !self.is_sole_owner(now, request)
        {
            let refusal =
                Refusal::unknown(Reason::KeyOwner).with_retry_after(TRANSIENT_RETRY_AFTER);
            self.refuse(now, ticket, refusal, out);
            return;
        }
        match self.keys.claim(now, &key, request.fingerprint, ticket) {
            Claim::Run => {
                self.request_mut(ticket).local_key = true;
                self.charge(now, ticket, out);
            }
            Claim::Join => self.request_mut(ticket).stage = Stage::Joined,
            Claim::Replay(response) => self.replay(ticket, response, out),
            Claim::Refuse(refusal) => self.pass_refusal(ticket, refusal, out),
        }
    }

    /// Returns whether no other node can hold the state of a caller's key.
    ///
    /// This is the case once this node has owned the key for the whole repeat window, if a majority
    /// of its region's published nodes is alive.
    fn is_sole_owner(&self, now: Time, request: &Request) -> bool {
        let window = self.keys.window();
        let changed = self.owner_changes.get(&request.customer).copied();
        let since = changed.map_or(self.owner_since, |changed| changed.max(self.owner_since));
        let published = self.gossip.local_peers().len() + 1;
        now.since(since) >= window && 2 * self.alive.len() > published
    }

    /// Charges a caller's request to its customer's concurrency limit.
    ///
    /// The request proceeds, waits for a concurrency unit, or is refused. A forwarded request was
    /// charged at the node that received it.
    pub(super) fn charge(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let request = &self.requests[&ticket];
        if request.forwarded() {
            self.route(now, ticket, out);
            return;
        }
        let Some(context) = self.limit_context(&bundle, request.customer, request.deadline) else {
            return;
        };
        if context.customer.unlimited_concurrency() {
            self.proceed(now, ticket, out);
            return;
        }
        match self.limits.admit(now, context, ticket) {
            Admission::Admit => {
                self.request_mut(ticket).charged = true;
                self.proceed(now, ticket, out);
            }
            Admission::Park => {
                self.request_mut(ticket).stage = Stage::Parked;
                self.request_units(now, context, out);
            }
            Admission::Refuse(refusal) => self.refuse(now, ticket, refusal, out),
        }
    }

    /// Continues an admitted request: forwards it to its key's owner, or routes it.
    pub(super) fn proceed(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        match self.requests[&ticket].key_owner {
            // This node charges the customer; the owner queues the request for the service.
            Some(vm) => {
                self.counters.sent_owner += 1;
                self.forward(now, ticket, vm, out);
            }
            None => self.route(now, ticket, out),
        }
    }

    /// Returns this node as a hop of a request's path.
    pub(super) fn own_hop(&self) -> Hop {
        Hop {
            vm: self.id.vm,
            region: self.id.region,
        }
    }

    /// Returns a held request.
    ///
    /// # Panics
    ///
    /// Panics if no held request has the ticket.
    pub(super) fn request_mut(&mut self, ticket: Ticket) -> &mut Request {
        self.requests
            .get_mut(&ticket)
            .expect("every ticket in use has a held request")
    }
}

/// Returns the regions that are in both sets, where `None` stands for all regions.
fn intersection(
    one: Option<&BTreeSet<RegionId>>,
    other: Option<&BTreeSet<RegionId>>,
) -> Option<BTreeSet<RegionId>> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one & other),
        (one, other) => one.or(other).cloned(),
    }
}

/// Returns the node that owns a key chosen by a caller.
///
/// It is one of the published nodes of the customer's home region, or of another allowed region if
/// the service may not run at home or no node is published there.
#[must_use]
pub fn caller_key_owner(
    bundle: &Bundle,
    service: &Service,
    customer: &Customer,
    digest: u64,
) -> Option<VmId> {
    let region = owner_region(bundle, service, customer)?;
    bundle
        .deployment
        .vms_in(region)
        .max_by_key(|id| rank(digest, u64::from(id.0)))
}

/// Returns the region whose nodes own a customer's keys for a service.
#[must_use]
pub fn owner_region(bundle: &Bundle, service: &Service, customer: &Customer) -> Option<RegionId> {
    let mut allowed = bundle.allowed_regions(service, customer);
    allowed.retain(|region| bundle.deployment.vms_in(*region).next().is_some());
    customer
        .home
        .filter(|home| allowed.contains(home))
        .or_else(|| {
            let seed = seam_protocol::CustomerId::of(&customer.name).0;
            allowed
                .into_iter()
                .max_by_key(|region| rank(seed, u64::from(region.0)))
        })
}
