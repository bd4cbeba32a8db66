//! Why a request would go where.

use std::collections::BTreeSet;
use std::time::Duration;

use seam_protocol::{CustomerId, Fingerprint, ServiceId, Time, VmId};
use serde::Serialize;

use crate::arrival::{Arrival, Origin};
use crate::handle::Ticket;
use crate::node::Node;
use crate::request::Request;

/// A region weighed for a request.
#[derive(Clone, Debug, Serialize)]
pub struct RegionView {
    /// Name.
    pub name: String,
    /// Whether residency allows it and a target is configured there.
    pub allowed: bool,
    /// Whether its state is known and recent.
    pub known: bool,
    /// Predicted wait in milliseconds, round trip included.
    pub wait_ms: Option<u64>,
    /// Slots without a request.
    pub free: Option<u32>,
}

/// What a node would do with a request now.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Customer.
    pub customer: String,
    /// Service.
    pub service: String,
    /// Regions in key order, this one among them.
    pub regions: Vec<RegionView>,
    /// Targets of this region that could take it, with their load.
    pub targets: Vec<(String, u32)>,
    /// The decision in words.
    pub decision: String,
}

/// Nodes for callers to use, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entries {
    /// Nodes, best first.
    pub nodes: Vec<VmId>,
    /// How long the answer holds.
    pub valid: Duration,
}

impl Node {
    /// Explains what would happen to a request of a customer for a service.
    #[must_use]
    pub fn explain(
        &self,
        now: Time,
        customer: CustomerId,
        service: ServiceId,
    ) -> Option<Explanation> {
        let bundle = self.bundle.as_ref()?;
        let rule = bundle.services.get(&service)?;
        let who = bundle.customers.get(&customer)?;
        let arrival = Arrival {
            ticket: Ticket(0),
            origin: Origin::Caller,
            customer,
            service,
            repeatable: true,
            replayable: true,
            key: None,
            fingerprint: Fingerprint(0),
            prefix: None,
            budget: Duration::from_millis(rule.deadline),
            class: None,
            prompt: None,
        };
        let request = Request::new(now, &arrival);
        let allowed = bundle.allowed(rule, who);
        let mut here = self.local_view(now, &request);
        let near = self
            .node_with_targets(now, &request)
            .filter(|_| !here.possible);
        here.possible |= near.is_some();
        let there = self.remote_views(now, &request);
        let regions = bundle
            .deployment
            .regions
            .iter()
            .map(|(id, region)| {
                let own = *id == self.id.region;
                let remote = there.iter().find(|view| view.region == *id);
                let wait = if own {
                    here.possible.then_some(here.wait)
                } else {
                    remote.map(|view| view.trip + view.wait)
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
            crate::spill::Asked {
                service,
                budget: Duration::from_millis(rule.deadline),
                expected: self.expected_time(service),
                objective: Duration::from_millis(rule.deadline),
                weight: bundle.deployment.weight,
            },
            here,
            &there,
        );
        let decision = describe(choice, &allowed, bundle);
        Some(Explanation {
            customer: who.name.clone(),
            service: rule.name.clone(),
            regions,
            targets: self
                .targets
                .of(service)
                .filter(|(_, state)| state.open(now, false, self.targets.shared()))
                .map(|(_, state)| (state.rule.name.clone(), state.load(now)))
                .collect(),
            decision,
        })
    }

    /// Returns the nodes that a customer should use, best first.
    ///
    /// Ready nodes of this region come first, in an order of the customer's own, so that customers
    /// spread; then ready nodes of other regions, nearest first.
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
            .filter(|(id, _)| self.usable(now, **id))
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

    pub(crate) fn usable(&self, now: Time, vm: VmId) -> bool {
        if vm == self.id.vm {
            return self.ready(now);
        }
        if self.peers.ready(now, vm) {
            return true;
        }
        // Nodes of other regions are known through digests, which name a few ready ones.
        self.regions
            .get(&vm)
            .filter(|region| **region != self.id.region)
            .and_then(|region| self.peers.region(now, *region))
            .is_some_and(|digest| digest.nodes.contains(&vm))
    }
}

fn describe(
    choice: crate::spill::Choice,
    allowed: &BTreeSet<seam_protocol::RegionId>,
    bundle: &seam_protocol::Bundle,
) -> String {
    use crate::spill::Choice;
    match choice {
        _ if allowed.is_empty() => "refused: no region satisfies the residency".to_owned(),
        Choice::Here => "served in this region".to_owned(),
        Choice::There(region) => {
            let name = &bundle.deployment.regions[&region].name;
            format!("sent to region {name:?}")
        }
        Choice::Nowhere(Some(wait)) => {
            format!("refused: the predicted wait is {} ms", wait.as_millis())
        }
        Choice::Nowhere(None) => "refused: no target takes work".to_owned(),
    }
}
