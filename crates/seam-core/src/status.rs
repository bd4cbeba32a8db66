//! Snapshots of a node's state for the administration API.

use std::net::SocketAddr;

use seam_protocol::{CustomerId, RegionId, ServiceId, TargetId, Time, VmId};
use serde::Serialize;

use crate::config_version::ConfigStatus;
use crate::node::allowances::AllowanceStatus;
use crate::node::{Counters, Node};
use crate::targets::{Phase, TargetState};

/// A node's state and its view of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether its view of the fleet is confirmed.
    pub fresh: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Active configuration revision, zero for none.
    pub revision: u64,
    /// What is known about versions of the configuration.
    pub config: ConfigStatus,
    /// Digest of the active manifest.
    pub digest: String,
    /// Number of requests without a final response.
    pub held: usize,
    /// Number of idempotency keys in the table.
    pub keys: usize,
    /// Revision up to which all platform items are known, zero for none.
    pub items: u64,
    /// Digest of the items that were not removed.
    pub items_digest: u32,
    /// Number of nodes that have other items at the same revision.
    pub items_differ: usize,
    /// Whether the platform's item store is reachable from this node.
    pub platform: bool,
    /// Quarantined fingerprints.
    pub quarantine: Vec<String>,
    /// Number of fingerprints suspected of crashing targets, quarantined or not.
    pub suspects: usize,
    /// Other nodes.
    pub peers: Vec<PeerStatus>,
    /// Targets of this region.
    pub targets: Vec<TargetStatus>,
    /// Allowances of tenants.
    pub allowances: AllowanceStatus,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Counters since the process started.
    pub counters: Counters,
}

/// The known state of another node.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Name.
    pub name: String,
    /// Name of its region.
    pub region: String,
    /// Whether its lease is valid.
    pub alive: bool,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Its active configuration revision.
    pub revision: u64,
    /// Milliseconds since its newest record arrived.
    pub age_ms: Option<u64>,
}

/// The known state of a target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetStatus {
    /// Name.
    pub name: String,
    /// Name of its service.
    pub service: String,
    /// Its phase, for example `serving` or `drained`.
    pub phase: String,
    /// Requests of this node that it runs.
    pub running: u32,
    /// Maximum number of requests of this node that it may run at once.
    pub cap: u32,
    /// Estimated number of requests of all nodes that it runs.
    pub load: u32,
    /// Models that it reports as loaded.
    pub models: Vec<String>,
    /// Limit in force that it names for the requests of all nodes together, in requests per second.
    pub rate_limit: Option<f64>,
    /// Whether it counts as cold, so that it is sent few requests.
    pub cold: bool,
    /// How long work takes there at this moment, in percent of the usual time.
    pub slowdown: u32,
    /// How long a prompt takes there in a usual moment, in percent of the time at the other engines of the
    /// service; 100 until it is measured.
    pub slowness: u32,
    /// Memory of the running requests of all nodes in tokens, zero if it is no engine.
    pub kv_tokens: u64,
}

/// Load of a service at this node.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// Name.
    pub name: String,
    /// Requests at targets.
    pub running: u32,
    /// Requests in the queue.
    pub queued: usize,
    /// Expected service time in milliseconds.
    pub expected_ms: u64,
}

/// A customer's usage at this node.
#[derive(Clone, Debug, Serialize)]
pub struct UsageStatus {
    /// Name.
    pub name: String,
    /// Requests that count against its concurrency at this node.
    pub running: u32,
    /// Maximum number of its concurrent requests in the whole fleet.
    pub concurrency: u32,
}

impl Node {
    /// Returns a snapshot of this node's state.
    ///
    /// ```
    /// use seam_core::{Identity, Node};
    /// use seam_protocol::{Incarnation, RegionId, Time, VmId};
    /// let id = Identity { vm: VmId(1), region: RegionId(1), incarnation: Incarnation(1) };
    /// let node = Node::new(id, 1, Time(0));
    /// assert_eq!(node.status(Time(0)).revision, 0);
    /// ```
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        Status {
            ready: self.ready(now),
            fresh: self.freshness.fresh(),
            draining: self.drain_since.is_some(),
            revision: self.bundle.as_ref().map_or(0, |bundle| bundle.revision),
            config: ConfigStatus {
                store_revision: self.store_revision(),
                epoch: self.items_epoch(),
                revocation_age_ms: self.confirmation_age(now).map(|age| age.as_millis() as u64),
                ..self.config_view.status(now, self.platform_read)
            },
            digest: self
                .bundle
                .as_ref()
                .map_or_else(String::new, |bundle| bundle.digest.to_string()),
            held: self.requests.len(),
            keys: self.keys.len(),
            items: self.items_revision(),
            items_digest: self.catalogue.digest(),
            items_differ: self.item_differences.count(now),
            platform: self.catalogue.platform_reachable(),
            quarantine: self
                .poison
                .quarantine()
                .map(|fingerprint| fingerprint.to_string())
                .collect(),
            suspects: self.poison.len(),
            peers: self.peer_status(now),
            targets: self.target_status(now),
            allowances: self.allowance_status(now),
            services: self.service_status(),
            counters: self.counters,
        }
    }

    fn peer_status(&self, now: Time) -> Vec<PeerStatus> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let others = bundle.deployment.vms.iter();
        others
            .filter(|(id, _)| **id != self.id.vm)
            .map(|(id, vm)| {
                let known = self.peers.known(*id);
                PeerStatus {
                    name: vm.name.clone(),
                    region: bundle.deployment.regions[&vm.region].name.clone(),
                    alive: self.peers.alive(now, *id).is_some(),
                    ready: self.peers.ready(now, *id),
                    revision: known.map_or(0, |peer| peer.record.revision),
                    age_ms: known.map(|peer| now.since(peer.updated).as_millis() as u64),
                }
            })
            .collect()
    }

    fn target_status(&self, now: Time) -> Vec<TargetStatus> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let name = |service| bundle.services.get(&service).map(|spec| spec.name.clone());
        self.targets
            .all()
            .map(|(_, state)| TargetStatus {
                name: state.spec.name.clone(),
                service: name(state.service).unwrap_or_default(),
                phase: match state.phase {
                    Phase::Serving => "serving",
                    Phase::Ejected(_) => "ejected",
                    Phase::Probing => "probing",
                    Phase::Leaving => "leaving",
                    Phase::Drained => "drained",
                    Phase::Gone => "gone",
                }
                .to_owned(),
                running: state.running,
                cap: state.max_running(now),
                load: state.load(now),
                rate_limit: state.rate_limit.rate(),
                cold: state.cold.limiter(now).is_some(),
                slowdown: (state.moment.factor(now) * 100.0).round() as u32,
                slowness: (state.engine.slowness().factor() * 100.0).round() as u32,
                kv_tokens: state.kv_tokens(now),
                models: state
                    .report
                    .as_ref()
                    .map_or_else(Vec::new, |report| report.1.models.clone()),
            })
            .collect()
    }

    fn service_status(&self) -> Vec<ServiceStatus> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        bundle
            .services
            .iter()
            .map(|(id, service)| {
                let state = self.service_states.get(id);
                ServiceStatus {
                    name: service.name.clone(),
                    running: state.map_or(0, |state| state.queue.running()),
                    queued: state.map_or(0, |state| state.queue.queued()),
                    expected_ms: self.expected_time(*id).as_millis() as u64,
                }
            })
            .collect()
    }

    /// Returns the targets whose load to poll in a round, with their services and addresses.
    ///
    /// Targets that several nodes share are included in every round, because this node does not see
    /// the load from others. Targets that only this node uses are included in every fifth round,
    /// for their list of loaded models.
    #[must_use]
    pub fn targets_to_poll(&self, round: usize) -> Vec<(TargetId, ServiceId, SocketAddr)> {
        const UNSHARED_POLL_ROUNDS: usize = 5;
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let shared = |state: &TargetState| state.share < state.spec.slots;
        bundle
            .services
            .keys()
            .flat_map(|service| self.targets.for_service(*service))
            .filter(|(_, state)| shared(state) || round.is_multiple_of(UNSHARED_POLL_ROUNDS))
            .map(|(_, state)| (state.id, state.service, state.spec.address))
            .collect()
    }

    /// Returns the number of other regions whose summary is valid.
    #[must_use]
    pub fn live_regions(&self, now: Time) -> usize {
        let Some(bundle) = &self.bundle else {
            return 0;
        };
        let regions = bundle.deployment.regions.keys();
        regions
            .filter(|region| self.peers.region(now, **region).is_some())
            .count()
    }

    /// Returns whether this node would send new work to a target.
    #[must_use]
    pub fn target_serving(&self, target: TargetId) -> bool {
        let key = self.targets.key(target);
        key.is_some_and(|key| self.targets.get(key).phase == Phase::Serving)
    }

    /// Returns whether the lease of a node is valid.
    #[must_use]
    pub fn peer_alive(&self, now: Time, vm: VmId) -> bool {
        self.peers.alive(now, vm).is_some()
    }

    /// Returns whether the summary of a region is valid.
    #[must_use]
    pub fn region_alive(&self, now: Time, region: RegionId) -> bool {
        self.peers.region(now, region).is_some()
    }

    /// Returns whether a target belongs to this node's region.
    #[must_use]
    pub fn has_target(&self, target: TargetId) -> bool {
        self.targets.key(target).is_some()
    }

    /// Returns the usage of the recently active customers of this node.
    #[must_use]
    pub fn usage(&self) -> Vec<UsageStatus> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        self.limits
            .active()
            .filter_map(|id: CustomerId| {
                let spec = bundle.customers.get(&id)?;
                Some(UsageStatus {
                    name: spec.name.clone(),
                    running: self.limits.running(id),
                    concurrency: spec.concurrency,
                })
            })
            .collect()
    }
}
