//! Which nodes reach the targets of this region's services.
//!
//! A node whose own links are at fault hands its requests to a neighbour that reaches the targets. A
//! neighbour is known to do so if a target answered it after this node lost its own targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use seam_protocol::heartbeat::ServiceReach;
use seam_protocol::id::rank;
use seam_protocol::{Heartbeat, ServiceId, ServiceTag, Time, VmId};

use super::Node;
use crate::audit::Change;
use crate::command::Command;
use crate::handle::Ticket;
use crate::request::{Request, Stage};

/// Age up to which an answer of a target shows that a node reaches the service.
const CONTACT_TTL: Duration = Duration::from_secs(5);
/// Maximum number of services in one heartbeat.
const MAX_REACHED: usize = 16;

/// Maximum number of services that a node is known to reach or not.
const MAX_KNOWN: usize = 256;

/// Whether another node reaches targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// It does not say.
    Unknown,
    /// It has lost most of them.
    Lost,
    /// A target last answered it at this time.
    Answered(Time),
}

impl Contact {
    /// Returns whether a target answered after this node had lost its own, and recently.
    fn is_since(self, now: Time, lost: Time) -> bool {
        match self {
            Self::Unknown | Self::Lost => false,
            Self::Answered(time) => time > lost && now.since(time) < CONTACT_TTL,
        }
    }
}

/// Which services' targets the other nodes of this region reach.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReach {
    contacts: BTreeMap<VmId, BTreeMap<ServiceTag, Contact>>,
}

impl PeerReach {
    /// Merges what a node reports of some services, or replaces what is known if it reports all.
    fn merge(&mut self, now: Time, from: VmId, reached: &[ServiceReach]) {
        let known = self.contacts.entry(from).or_default();
        if reached.len() < MAX_REACHED || known.len() > MAX_KNOWN {
            known.clear();
        }
        known.extend(reached.iter().take(MAX_REACHED).map(|reach| {
            let contact = reach.age.map_or(Contact::Lost, |age| {
                Contact::Answered(now - Duration::from_millis(age.into()))
            });
            (reach.service, contact)
        }));
    }

    /// Records that a node does not reach a service either.
    fn record_stranded(&mut self, vm: VmId, service: ServiceTag) {
        let contacts = self.contacts.entry(vm).or_default();
        contacts.insert(service, Contact::Lost);
    }

    /// Forgets nodes that are not alive.
    pub(super) fn retain(&mut self, alive: &BTreeSet<VmId>) {
        self.contacts.retain(|vm, _| alive.contains(vm));
    }

    /// Returns what a node reports of a service.
    fn contact(&self, vm: VmId, service: ServiceTag) -> Contact {
        let contacts = self.contacts.get(&vm);
        let contact = contacts.and_then(|contacts| contacts.get(&service));
        contact.copied().unwrap_or(Contact::Unknown)
    }
}

impl Node {
    /// Records and audits whether this node reaches most targets of a service.
    pub(super) fn update_reach(&mut self, now: Time, service: ServiceId, out: &mut Vec<Command>) {
        let (reached, listed) = self.targets.reached_slots(service);
        let stranded = 2 * reached < listed;
        let state = self.service_state(service);
        let since = state.stranded_since;
        if since.is_some() == stranded {
            return;
        }
        state.stranded_since = stranded.then_some(now);
        self.pending_update.mark_changed();
        let spec = self.bundle.as_ref().and_then(|b| b.services.get(&service));
        let name = spec.map_or_else(|| service.to_string(), |spec| spec.name.clone());
        let states = match since {
            None => ("reaches most targets".to_owned(), "reaches few".to_owned()),
            Some(since) => {
                let millis = now.since(since).as_millis();
                let new = format!("reaches most targets, after {millis} ms");
                ("reaches few".to_owned(), new)
            }
        };
        let cause = format!("it reaches {reached} of {listed} slots here");
        out.push(self.audit(now, Change::Reach, format!("service {name}"), states, cause));
    }

    /// Records that a target of a service answers this node.
    pub(super) fn record_contact(&mut self, now: Time, service: ServiceId) {
        self.service_state(service).last_contact = Some(now);
    }

    /// Lists the services whose targets this node reached lately, or does not reach. If there are too
    /// many, each heartbeat lists others, wherever the receivers are in their turns.
    pub(super) fn list_reached(&mut self, now: Time, heartbeat: &mut Heartbeat) {
        let states = self.service_states.iter();
        let reached = states.filter_map(|(service, state)| {
            let age = state.last_contact.map(|contact| now.since(contact));
            let age = match (state.stranded_since, age) {
                (Some(_), _) => None,
                (None, Some(age)) if age < CONTACT_TTL => Some(age.as_millis() as u16),
                (None, _) => return None,
            };
            let service = service.tag();
            Some(ServiceReach { service, age })
        });
        let mut reached: Vec<ServiceReach> = reached.collect();
        if reached.len() > MAX_REACHED {
            let start = self.rng.random_range(0..reached.len());
            reached.rotate_left(start);
            reached.truncate(MAX_REACHED);
        }
        heartbeat.reached = reached;
    }

    /// Merges what another node of this region reaches.
    pub(super) fn merge_reached(&mut self, now: Time, heartbeat: &Heartbeat) {
        // Only a known node can be handed a request.
        if self.regions.get(&heartbeat.from) == Some(&self.id.region) {
            self.reach.merge(now, heartbeat.from, &heartbeat.reached);
        }
    }

    /// Records that a node of this region refused a request since it reaches no target for it.
    pub(super) fn record_unreached(&mut self, ticket: Ticket, vm: VmId) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.tried.insert(vm);
        if request.version().is_none() {
            let service = request.service.tag();
            self.reach.record_stranded(vm, service);
        }
    }

    /// Returns the node of this region to hand a request to, if this node lost its targets and that
    /// one reached some since.
    pub(super) fn relay_node(&self, now: Time, request: &Request) -> Option<VmId> {
        let state = self.service_states.get(&request.service);
        let bound = request.version();
        let since = match state.and_then(|state| state.stranded_since) {
            Some(since) => since,
            // Targets of one version may be out of reach, and others not.
            None if bound.is_some() && !self.targets.serving(request.service, bound) => state
                .and_then(|state| state.last_contact)
                .unwrap_or_default(),
            None => return None,
        };
        let service = request.service.tag();
        self.choose_relay(now, request, |vm| {
            self.reach.contact(vm, service).is_since(now, since)
        })
    }

    /// Returns a node of this region that may reach a target for a request that no other node serves.
    pub(super) fn last_relay(&self, now: Time, request: &Request) -> Option<VmId> {
        let service = request.service.tag();
        let listed = self.targets.reached_slots(request.service).1 > 0;
        self.choose_relay(now, request, |vm| {
            listed && self.reach.contact(vm, service) != Contact::Lost
        })
    }

    /// Chooses among nodes of this region by the prompt of a request. A forwarded request is not handed
    /// on.
    fn choose_relay(
        &self,
        now: Time,
        request: &Request,
        usable: impl Fn(VmId) -> bool,
    ) -> Option<VmId> {
        let region = self.id.region;
        if request.forwarded() || request.refused.contains(&region) || !self.allows(request, region)
        {
            return None;
        }
        let passed = |vm: &VmId| *vm == self.id.vm || request.tried.contains(vm);
        let seed = request.prefix.unwrap_or(request.fingerprint.0);
        let ready = self.ready_nodes(now).into_iter();
        let usable = ready.filter(|vm| !passed(vm) && usable(*vm));
        usable.max_by_key(|vm| rank(seed, u64::from(vm.0)))
    }

    /// Returns whether another node of this region reaches the targets of a service that this node
    /// has lost.
    pub(super) fn reached_by_others(&self, now: Time, service: ServiceId) -> bool {
        let state = self.service_states.get(&service);
        let Some(since) = state.and_then(|state| state.stranded_since) else {
            return false;
        };
        let tag = service.tag();
        let mut others = self.ready_nodes(now).into_iter();
        others.any(|vm| self.reach.contact(vm, tag).is_since(now, since))
    }

    /// Returns whether a node of this region reports that it has lost the targets of some service.
    pub(super) fn has_lost_targets(&self, vm: VmId) -> bool {
        if vm == self.id.vm {
            let mut states = self.service_states.values();
            return states.any(|state| state.stranded_since.is_some());
        }
        let contacts = self.reach.contacts.get(&vm);
        contacts.is_some_and(|contacts| contacts.values().any(|contact| *contact == Contact::Lost))
    }

    /// Routes the queued requests of services again whose targets this node has lost.
    pub(super) fn reroute_stranded(&mut self, now: Time, out: &mut Vec<Command>) {
        let states = &self.service_states;
        let stranded = |request: &Request| {
            let state = states.get(&request.service);
            let lost = state.is_some_and(|state| state.stranded_since.is_some());
            lost && request.stage == Stage::Queued
        };
        let queued: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| stranded(request))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in queued {
            let request = &self.requests[&ticket];
            let lost = !self.targets.serving(request.service, request.version());
            if lost || self.relay_node(now, request).is_some() {
                self.remove_from_queue(ticket);
                self.request_mut(ticket).stage = Stage::Routing;
                self.route(now, ticket, out);
            }
        }
    }
}
