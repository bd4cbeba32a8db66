//! Explains how a node would route a request, and ranks nodes for callers.

use std::collections::BTreeSet;
use std::time::Duration;

use seam_protocol::{CustomerId, Fingerprint, ServiceId, Time, VmId};
use serde::Serialize;

use crate::arrival::{Arrival, Origin};
use crate::config_version::ConfigStamp;
use crate::handle::Ticket;
use crate::node::Node;
use crate::request::Request;

/// How a request would be served in one region.
#[derive(Clone, Debug, Serialize)]
pub struct RegionView {
    /// Region name.
    pub name: String,
    /// Whether residency permits the region and a target is configured there.
    pub allowed: bool,
    /// Whether this node has recent load data of the region.
    pub known: bool,
    /// Predicted wait in milliseconds, including the round trip.
    pub wait_ms: Option<u64>,
    /// Free slots.
    pub free: Option<u32>,
}

/// How a node would route a request now.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Customer name.
    pub customer: String,
    /// Service name.
    pub service: String,
    /// Configuration by which it is explained.
    pub config: ConfigStamp,
    /// All regions in key order, including this one.
    pub regions: Vec<RegionView>,
    /// Targets of this region that accept the request, with their load in requests.
    pub targets: Vec<(String, u32)>,
    /// The decision as text.
    pub decision: String,
}

/// Recommended nodes for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entries {
    /// Nodes, best first.
    pub nodes: Vec<VmId>,
    /// How long the caller may cache the list.
    pub valid: Duration,
}

impl Node {
    /// Explains how this node would route a customer's request for a service.
    ///
    /// Returns `None` without a bundle, or if the service or customer is unknown.
    #[must_use]
    pub fn explain(
        &self,
        now: Time,
        customer: CustomerId,
        service: ServiceId,
    ) -> Option<Explanation> {
        let bundle = self.bundle.as_ref()?;
        let spec = bundle.services.get(&service)?;
        let customer_spec = bundle.customers.get(&customer)?;
        let arrival = Arrival {
            ticket: Ticket(0),
            origin: Origin::Caller,
            customer,
            service,
            repeatable: true,
            replayable: true,
            key: None,
            fingerprint: Fingerprint(0),
            attributes: Vec::new(),
            prefix: None,
            budget: Duration::from_millis(spec.deadline),
            tenant: None,
            route: None,
            prompt: None,
            stream: None,
        };
        let request = Request::new(now, &arrival);
        let allowed = bundle.allowed_regions(spec, customer_spec);
        let mut local = self.local_view(now, &request);
        let other_node = self
            .node_with_targets(now, &request)
            .filter(|_| !local.possible);
        local.possible |= other_node.is_some();
        let remotes = self.remote_views(now, &request);
        let regions = bundle
            .deployment
            .regions
            .iter()
            .map(|(id, region)| {
                let own = *id == self.id.region;
                let remote = remotes.iter().find(|view| view.region == *id);
                let wait = if own {
                    local.possible.then_some(local.wait)
                } else {
                    remote.map(|view| view.round_trip + view.wait)
                };
                RegionView {
                    name: region.name.clone(),
                    allowed: allowed.contains(id),
                    known: own || remote.is_some(),
                    wait_ms: wait.map(|wait| wait.as_millis() as u64),
                    free: remote.map(|view| view.free),
                }
            })
            .collect();
        let choice = self.spill.clone().choose(
            crate::spill::RoutingRequest {
                service,
                budget: Duration::from_millis(spec.deadline),
                expected: self.expected_time(service),
                objective: Duration::from_millis(spec.deadline),
                weight: bundle.deployment.latency_weight,
            },
            local,
            &remotes,
        );
        let decision = describe(choice, &allowed, bundle);
        Some(Explanation {
            customer: customer_spec.name.clone(),
            service: spec.name.clone(),
            config: self.config_view.version.stamp(now),
            regions,
            targets: self
                .targets
                .for_service(service)
                .filter(|(_, state)| state.accepts(now, false, self.targets.shared()))
                .map(|(_, state)| (state.spec.name.clone(), state.load(now)))
                .collect(),
            decision,
        })
    }

    /// Returns the nodes that a customer should call, best first.
    ///
    /// Ready nodes are sorted by network delay from this region, so that its own nodes come first.
    /// Nodes at the same delay follow a rank by customer, which spreads customers over them.
    #[must_use]
    pub fn entries(&self, now: Time, customer: CustomerId) -> Entries {
        const VALID: Duration = Duration::from_secs(5);
        let Some(bundle) = &self.bundle else {
            return Entries {
                nodes: Vec::new(),
                valid: Duration::ZERO,
            };
        };
        let mut nodes: Vec<(u64, std::cmp::Reverse<u64>, VmId)> = bundle
            .deployment
            .vms
            .iter()
            .filter(|(id, _)| self.known_ready(now, **id))
            .map(|(id, vm)| {
                let delay = bundle.delay(self.id.region, vm.region);
                let rank = seam_protocol::id::rank(customer.0, u64::from(id.0));
                (delay, std::cmp::Reverse(rank), *id)
            })
            .collect();
        nodes.sort_unstable();
        Entries {
            nodes: nodes.into_iter().map(|(_, _, id)| id).collect(),
            valid: VALID,
        }
    }

    /// Returns whether this node or another one is known to be ready for requests.
    pub(crate) fn known_ready(&self, now: Time, vm: VmId) -> bool {
        if vm == self.id.vm {
            return self.ready(now);
        }
        if self.peers.ready(now, vm) {
            return true;
        }
        // Nodes of other regions are known only by region summaries, which list a few ready nodes.
        self.regions
            .get(&vm)
            .filter(|region| **region != self.id.region)
            .is_some_and(|region| self.peers.listed_ready(now, *region, vm))
    }
}

fn describe(
    choice: crate::spill::RegionChoice,
    allowed: &BTreeSet<seam_protocol::RegionId>,
    bundle: &seam_protocol::Bundle,
) -> String {
    use crate::spill::RegionChoice;
    match choice {
        _ if allowed.is_empty() => "refused: no region satisfies the residency".to_owned(),
        RegionChoice::Local => "served in this region".to_owned(),
        RegionChoice::Remote(region) => {
            let name = &bundle.deployment.regions[&region].name;
            format!("sent to region {name:?}")
        }
        RegionChoice::Refuse(Some(wait)) => {
            format!("refused: the predicted wait is {} ms", wait.as_millis())
        }
        RegionChoice::Refuse(None) => "refused: no target takes work".to_owned(),
    }
}
