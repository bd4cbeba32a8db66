//! The configuration in force: a manifest and the parts that it names.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::id::{CentreId, CustomerId, RegionId, ServiceId, TargetId, VmId};
use crate::route::{CallLimits, RouteTable};

crate::message! {
    /// The small value that nodes watch.
    pub struct Manifest {
        /// Rises with each publication.
        pub revision: u64,
        /// Digest of the manifest that this one follows.
        pub parent: Option<Digest>,
        /// Digest of each part, by part name.
        pub parts: BTreeMap<String, Digest>,
    }

    /// A region and its data centres.
    pub struct Region {
        /// Name.
        pub name: String,
        /// Data centres inside it.
        pub centres: BTreeMap<CentreId, DataCentre>,
    }

    /// A data centre inside a region.
    pub struct DataCentre {
        /// Name.
        pub name: String,
    }

    /// An entry VM of the system.
    pub struct Vm {
        /// Name.
        pub name: String,
        /// Region.
        pub region: RegionId,
        /// Data centre.
        pub centre: CentreId,
        /// Address for callers.
        pub caller: SocketAddr,
        /// Address for other nodes, TCP and UDP.
        pub peer: SocketAddr,
        /// What it can carry, in thousandths of a core.
        pub weight: u32,
    }

    /// The link between two regions.
    pub struct Link {
        /// One region.
        pub from: RegionId,
        /// The other region.
        pub to: RegionId,
        /// One-way delay in microseconds.
        pub delay: u64,
    }

    /// What holds for the whole deployment.
    pub struct Deployment {
        /// Name.
        pub name: String,
        /// Weight of tail latency against the share sent away, 0 to 1.
        pub weight: f64,
        /// Regions.
        pub regions: BTreeMap<RegionId, Region>,
        /// Links between regions, each pair once.
        pub links: Vec<Link>,
        /// Entry VMs.
        pub vms: BTreeMap<VmId, Vm>,
        /// Loads a minute that the weight store serves, over the whole fleet.
        pub loads: u32,
        /// Seconds for which a key made by a caller is remembered.
        pub repeat_window: u64,
    }

    /// A route of a service whose requests may not be repeated.
    pub struct Route {
        /// HTTP method, `*` for any.
        pub method: String,
        /// Prefix of the path below the service.
        pub path: String,
    }

    /// A back end of a service.
    pub struct Target {
        /// Name, unique in the deployment.
        pub name: String,
        /// Region.
        pub region: RegionId,
        /// Data centre.
        pub centre: CentreId,
        /// Address.
        pub address: SocketAddr,
        /// Requests that it takes at once.
        pub slots: u32,
        /// Whether it refuses an order with an old fencing number.
        pub fenced: bool,
    }

    /// A service and its rules.
    pub struct Service {
        /// Name, the first part of a request's path.
        pub name: String,
        /// Model engine or plain service.
        pub kind: Kind,
        /// Regions that its data may enter, all if absent.
        pub residency: Option<BTreeSet<RegionId>>,
        /// Routes whose requests may not be repeated.
        pub once: Vec<Route>,
        /// Deadline in milliseconds of a request that states none.
        pub deadline: u64,
        /// Milliseconds without progress after which a connection counts as silent.
        pub silence: u64,
        /// Expected service time in milliseconds, until measured.
        pub expected: u64,
        /// Status codes that its targets give only before running anything.
    pub refuses: BTreeSet<u16>,
    /// Largest request body in bytes.
        pub body: u64,
        /// Models that its engines can load, with the copies wanted in each region.
        pub models: BTreeMap<String, u32>,
        /// Back ends.
        pub targets: BTreeMap<TargetId, Target>,
        /// Limits of each of its back ends, where they are published.
        #[serde(default)]
        pub capacity: Capacity,
    }

    /// Limits of each back end of a service. Zero stands for no stated limit.
    #[derive(Copy, Default)]
    pub struct Capacity {
        /// Connections from all nodes together.
        pub connections: u32,
        /// Tokens held in memory, by running requests and cached prompts together.
        pub memory: u64,
        /// Requests a second while it is cold, from all nodes together.
        pub cold_rate: f64,
        /// Whether its engines copy cached parts of prompts from each other.
        #[serde(default)]
        pub copies: bool,
    }

    /// A customer and its limits.
    pub struct Customer {
        /// Name.
        #[serde(rename = "n")]
        pub name: String,
        /// Home region.
        #[serde(rename = "h", skip_serializing_if = "Option::is_none", default)]
        pub home: Option<RegionId>,
        /// Regions that its data may enter, all if absent.
        #[serde(rename = "r", skip_serializing_if = "Option::is_none", default)]
        pub residency: Option<BTreeSet<RegionId>>,
        /// Priority, 0 to 3; each step doubles the share.
        #[serde(rename = "p")]
        pub priority: u8,
        /// Weight among customers of one priority.
        #[serde(rename = "w")]
        pub weight: u32,
        /// Requests in flight over the whole fleet.
        #[serde(rename = "c")]
        pub concurrency: u32,
        /// Requests a second over the whole fleet.
        #[serde(rename = "q")]
        pub rate: u32,
        /// Services it may call, all if empty.
        #[serde(rename = "s", skip_serializing_if = "BTreeSet::is_empty", default)]
        pub services: BTreeSet<ServiceId>,
        /// Digests of its bearer tokens.
        #[serde(rename = "k")]
        pub credentials: Vec<Digest>,
    }
}

impl Deployment {
    /// Returns the VMs of a region, in key order.
    pub fn vms_in(&self, region: RegionId) -> impl Iterator<Item = VmId> + '_ {
        self.vms
            .iter()
            .filter(move |(_, vm)| vm.region == region)
            .map(|(id, _)| *id)
    }
}

/// What a service's targets are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine that batches, caches prefixes and streams.
    Engine,
    /// Any other HTTP service.
    Plain,
}

/// A whole configuration, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// Revision of its manifest.
    pub revision: u64,
    /// Digest of its manifest.
    pub digest: Digest,
    /// Digest of the parent's manifest.
    pub parent: Option<Digest>,
    /// What holds for the whole deployment.
    pub deployment: Deployment,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Customers.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Routes by host, empty where callers name services.
    pub routes: RouteTable,
    /// Bounds on what callers may send.
    pub limits: Option<CallLimits>,
    /// Retries that all nodes together may send a service at once, where there is a bound.
    pub retries: Option<u32>,
}

impl Vm {
    /// Weight of a VM where none is stated: a whole core.
    pub const DEFAULT_WEIGHT: u32 = 1000;
}

impl Customer {
    /// Concurrency and rate of a customer without limits.
    pub const UNLIMITED: u32 = u32::MAX;

    /// Tells whether the customer has no limits of its own.
    #[must_use]
    pub fn unlimited(&self) -> bool {
        self.concurrency == Self::UNLIMITED
    }
}

impl Service {
    /// Tells whether a request may be repeated.
    ///
    /// A route of `once` never may. Otherwise the idempotent methods of HTTP may, and with model
    /// engines every method.
    ///
    /// ```
    /// # use seam_protocol::{Kind, Route, Service};
    /// # let mut service = Service { name: "desk".into(), kind: Kind::Plain, residency: None,
    /// #   once: vec![], deadline: 1, silence: 1, expected: 1, body: 1,
    /// #   refuses: Default::default(), models: Default::default(), targets: Default::default(),
    /// #   capacity: Default::default() };
    /// service.once.push(Route { method: "POST".into(), path: "/deposits".into() });
    /// assert!(!service.repeatable("POST", "/deposits/7"));
    /// assert!(!service.repeatable("POST", "//%64eposits"));
    /// assert!(service.repeatable("GET", "/deposits/7"));
    /// ```
    #[must_use]
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        let path = plain_path(path);
        let once = self.once.iter().any(|route| {
            (route.method == "*" || route.method.eq_ignore_ascii_case(method))
                && path.starts_with(&route.path)
        });
        let idempotent = matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE");
        !once && (idempotent || self.kind == Kind::Engine)
    }
}

impl Service {
    /// Returns the slots of all targets in a region.
    #[must_use]
    pub fn slots_in(&self, region: RegionId) -> u32 {
        let targets = self.targets.values();
        targets
            .filter(|target| target.region == region)
            .map(|target| target.slots)
            .sum()
    }
}

/// Decodes percent signs and drops empty and dot segments, so that no spelling evades a route.
fn plain_path(path: &str) -> String {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let [first, tail @ ..] = rest {
        let hex = tail
            .get(..2)
            .and_then(|pair| std::str::from_utf8(pair).ok());
        let code = hex.and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut segments: Vec<&str> = Vec::new();
    for segment in text.split('/') {
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            _ => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}

impl Bundle {
    /// Returns a bundle of revision zero with a deployment alone.
    #[must_use]
    pub fn new(deployment: Deployment) -> Self {
        Self {
            revision: 0,
            digest: Digest::default(),
            parent: None,
            deployment,
            services: BTreeMap::new(),
            customers: BTreeMap::new(),
            routes: RouteTable::default(),
            limits: None,
            retries: None,
        }
    }

    /// Returns the regions that a request may be processed in, in key order.
    ///
    /// A region counts only where the service has a target.
    #[must_use]
    pub fn allowed_regions(&self, service: &Service, customer: &Customer) -> BTreeSet<RegionId> {
        fn within(set: Option<&BTreeSet<RegionId>>, region: RegionId) -> bool {
            set.is_none_or(|regions| regions.contains(&region))
        }
        service
            .targets
            .values()
            .map(|target| target.region)
            .filter(|region| within(service.residency.as_ref(), *region))
            .filter(|region| within(customer.residency.as_ref(), *region))
            .collect()
    }

    /// Tells whether a request may be processed in a region and has a target there.
    #[must_use]
    pub fn permits(&self, service: &Service, customer: &Customer, region: RegionId) -> bool {
        let within = |set: Option<&BTreeSet<RegionId>>| set.is_none_or(|set| set.contains(&region));
        within(service.residency.as_ref())
            && within(customer.residency.as_ref())
            && service
                .targets
                .values()
                .any(|target| target.region == region)
    }

    /// Returns the one-way delay between two regions in microseconds.
    #[must_use]
    pub fn delay(&self, from: RegionId, to: RegionId) -> u64 {
        const UNKNOWN_LINK_MICROS: u64 = 100_000;
        if from == to {
            return 0;
        }
        self.deployment
            .links
            .iter()
            .find(|link| (link.from, link.to) == (from, to) || (link.to, link.from) == (from, to))
            .map_or(UNKNOWN_LINK_MICROS, |link| link.delay)
    }
}
