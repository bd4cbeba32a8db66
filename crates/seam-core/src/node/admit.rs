//! Decides on a request that just arrived.

use std::time::Duration;

use seam_protocol::id::rank;
use seam_protocol::{Bundle, Customer, Reason, RegionId, Service, Time, VmId};

use super::{MAX_REQUESTS, Node};
use crate::arrival::{Arrival, Hop, KeyName, Origin};
use crate::command::Command;
use crate::handle::Ticket;
use crate::keys::Claim;
use crate::limits::Verdict;
use crate::node::DRAIN_GRACE;
use crate::refusal::Refusal;
use crate::request::{Request, Stage};

/// Time after which a refusal for a passing state may be tried again.
const SOON: Duration = Duration::from_secs(1);
/// Nodes that a request may have passed when it arrives.
const MOST_HOPS: usize = 1;

/// Who decides on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyOwner {
    /// This node.
    ThisNode,
    /// Another node.
    OtherNode(VmId),
    /// Nobody who still knows.
    Unavailable,
}

impl Node {
    pub(super) fn arrive(&mut self, now: Time, arrival: &Arrival, out: &mut Vec<Command>) {
        match arrival.origin {
            Origin::Caller => self.counters.arrived += 1,
            Origin::Peer { .. } => self.counters.relayed += 1,
        }
        let request = Request::new(now, arrival);
        self.deadlines.insert((request.deadline, arrival.ticket));
        self.requests.insert(arrival.ticket, request);
        if let Err(refusal) = self.check(now, arrival, out) {
            self.refuse(now, arrival.ticket, refusal, out);
            return;
        }
        match self.owner_of(arrival) {
            None => self.charge(now, arrival.ticket, out),
            Some(KeyOwner::ThisNode) => self.claim(now, arrival.ticket, out),
            Some(KeyOwner::OtherNode(vm)) => {
                self.request_mut(arrival.ticket).owner = Some(vm);
                self.charge(now, arrival.ticket, out);
            }
            Some(KeyOwner::Unavailable) => {
                let refusal = Refusal::unknown(Reason::KeyOwner);
                self.refuse(now, arrival.ticket, refusal, out);
            }
        }
    }

    /// Checks what forbids a request whatever the load.
    fn check(
        &mut self,
        now: Time,
        arrival: &Arrival,
        out: &mut Vec<Command>,
    ) -> Result<(), Refusal> {
        let bundle = self.current(now)?;
        if self.requests.len() > MAX_REQUESTS {
            return Err(Refusal::not_run(Reason::Overload).after(SOON));
        }
        self.check_path(now, &arrival.origin, bundle.revision, out)?;
        let not_found = || Refusal::not_run(Reason::Service);
        let service = bundle
            .services
            .get(&arrival.service)
            .ok_or_else(not_found)?;
        let customer = bundle
            .customers
            .get(&arrival.customer)
            .ok_or(Refusal::not_run(Reason::Credential))?;
        let closed = !customer.services.is_empty() && !customer.services.contains(&arrival.service);
        if closed {
            return Err(not_found());
        }
        if self.poison.quarantined(arrival.fingerprint) {
            return Err(Refusal::not_run(Reason::Poison));
        }
        let allowed = bundle.allowed(service, customer);
        let forwarded = matches!(arrival.origin, Origin::Peer { .. });
        if allowed.is_empty() || (forwarded && !allowed.contains(&self.id.region)) {
            return Err(Refusal::not_run(Reason::Residency));
        }
        Ok(())
    }

    fn current(&self, now: Time) -> Result<std::sync::Arc<Bundle>, Refusal> {
        let not_ready = Refusal::not_run(Reason::NotReady).after(SOON);
        let bundle = self.bundle.clone().filter(|_| self.configured());
        let bundle = bundle.ok_or(not_ready)?;
        if !self.freshness.fresh() {
            return Err(Refusal::not_run(Reason::Stale).after(SOON));
        }
        let drained = self
            .drain_since
            .is_some_and(|since| now.since(since) >= DRAIN_GRACE);
        if drained {
            return Err(not_ready);
        }
        Ok(bundle)
    }

    fn check_path(
        &mut self,
        now: Time,
        origin: &Origin,
        mine: u64,
        out: &mut Vec<Command>,
    ) -> Result<(), Refusal> {
        let Origin::Peer { hops, revision } = origin else {
            return Ok(());
        };
        let again = hops.iter().any(|hop| hop.vm == self.id.vm);
        if again || hops.is_empty() || hops.len() > MOST_HOPS {
            return Err(Refusal::not_run(Reason::Loop));
        }
        if *revision > mine {
            self.fetch_bundle(now, hops[0].vm, *revision, out);
            return Err(Refusal::not_run(Reason::Revision).after(SOON));
        }
        Ok(())
    }

    /// Returns who decides on a request's key, `None` without a key.
    fn owner_of(&self, arrival: &Arrival) -> Option<KeyOwner> {
        let bundle = self.bundle.as_ref()?;
        if arrival.repeatable {
            return None;
        }
        let owner = match arrival.key.as_ref()? {
            KeyName::Issued(key) if key.customer != arrival.customer => KeyOwner::Unavailable,
            KeyName::Issued(key) if key.vm == self.id.vm => {
                if key.incarnation == self.id.incarnation {
                    KeyOwner::ThisNode
                } else {
                    KeyOwner::Unavailable
                }
            }
            KeyName::Issued(key) => self.other_owner(arrival, key.vm),
            KeyName::Caller { digest, .. } => {
                let service = bundle.services.get(&arrival.service)?;
                let customer = bundle.customers.get(&arrival.customer)?;
                match caller_key_owner(bundle, service, customer, *digest) {
                    Some(vm) if vm == self.id.vm => KeyOwner::ThisNode,
                    Some(vm) => self.other_owner(arrival, vm),
                    None => KeyOwner::Unavailable,
                }
            }
        };
        Some(owner)
    }

    /// Returns another node as owner, if a request may go there.
    fn other_owner(&self, arrival: &Arrival, vm: VmId) -> KeyOwner {
        let Some(bundle) = &self.bundle else {
            return KeyOwner::Unavailable;
        };
        let rules = bundle
            .services
            .get(&arrival.service)
            .zip(bundle.customers.get(&arrival.customer));
        let Some(((service, customer), region)) = rules.zip(self.regions.get(&vm)) else {
            return KeyOwner::Unavailable;
        };
        let first = arrival.origin == Origin::Caller;
        if first && bundle.allowed(service, customer).contains(region) {
            KeyOwner::OtherNode(vm)
        } else {
            KeyOwner::Unavailable
        }
    }

    fn claim(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let Some(name) = request.key.clone() else {
            return;
        };
        if !self.keys.holds(&name)
            && matches!(name, KeyName::Caller { .. })
            && !self.is_settled_owner(now, request)
        {
            let refusal = Refusal::unknown(Reason::KeyOwner).after(SOON);
            self.refuse(now, ticket, refusal, out);
            return;
        }
        match self.keys.claim(now, &name, request.fingerprint, ticket) {
            Claim::Run => {
                self.request_mut(ticket).owned = true;
                self.charge(now, ticket, out);
            }
            Claim::Join => self.request_mut(ticket).stage = Stage::Joined,
            Claim::Replay(answer) => self.replay(ticket, answer, out),
            Claim::Refuse(refusal) => self.pass_refusal(ticket, refusal, out),
        }
    }

    /// Tells whether this node has owned a caller's key for the whole repeat window, and is in
    /// touch with most nodes of its region, so that no other node can own it unheard.
    fn is_settled_owner(&self, now: Time, request: &Request) -> bool {
        let window = self.keys.window();
        let moved = self.owner_changes.get(&request.customer).copied();
        let since = moved.map_or(self.owner_since, |moved| moved.max(self.owner_since));
        let published = self.gossip.near().len() + 1;
        now.since(since) >= window && 2 * self.alive.len() > published
    }

    /// Charges a caller's request to its customer, and lets it go on if there is room.
    pub(super) fn charge(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let request = &self.requests[&ticket];
        if request.forwarded() {
            self.place(now, ticket, out);
            return;
        }
        let Some(asking) = self.asking(&bundle, request.customer, request.deadline) else {
            return;
        };
        if asking.rule.unlimited() {
            self.proceed(now, ticket, out);
            return;
        }
        match self.limits.admit(now, asking, ticket) {
            Verdict::Admit => {
                self.request_mut(ticket).charged = true;
                self.proceed(now, ticket, out);
            }
            Verdict::Park => {
                self.request_mut(ticket).stage = Stage::Parked;
                self.ask_for_units(now, asking, out);
            }
            Verdict::Refuse(refusal) => self.refuse(now, ticket, refusal, out),
        }
    }

    /// Lets an admitted request go on: to its key's owner, or to be placed.
    pub(super) fn proceed(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        match self.requests[&ticket].owner {
            // The owner counts the request against the service; this node against the customer.
            Some(vm) => {
                self.counters.sent_owner += 1;
                self.forward(now, ticket, vm, out);
            }
            None => self.place(now, ticket, out),
        }
    }

    pub(super) fn own_hop(&self) -> Hop {
        Hop {
            vm: self.id.vm,
            region: self.id.region,
        }
    }

    pub(super) fn request_mut(&mut self, ticket: Ticket) -> &mut Request {
        self.requests
            .get_mut(&ticket)
            .expect("a ticket in use names a held request")
    }
}

/// Returns the one node that decides on a key made by a caller.
///
/// It is one of the published nodes of the customer's home region, or of another allowed region if
/// the service may not or cannot run at home.
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

/// Returns the region whose nodes decide on a customer's keys for a service.
#[must_use]
pub fn owner_region(bundle: &Bundle, service: &Service, customer: &Customer) -> Option<RegionId> {
    let mut allowed = bundle.allowed(service, customer);
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
