//! A deployment's configuration: the manifest and the parts that it lists.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::id::{CentreId, CustomerId, RegionId, ServiceId, TargetId, TenantId, VersionId, VmId};
use crate::route::{CallLimits, HostRoute, RouteTable};
use crate::shared::Shared;
use crate::tenant::{Tenant, TenantBounds};

crate::message! {
    /// Index of a bundle. Nodes watch it for changes, since it is small.
    pub struct Manifest {
        /// Increases with each publication.
        pub revision: u64,
        /// Digest of the preceding manifest.
        pub parent: Option<Digest>,
        /// Digest of each part, by part name.
        pub parts: BTreeMap<String, Digest>,
    }

    /// A region and its data centres.
    pub struct Region {
        /// Name.
        pub name: String,
        /// Data centres in the region.
        pub centres: BTreeMap<CentreId, DataCentre>,
    }

    /// A data centre in a region.
    pub struct DataCentre {
        /// Name.
        pub name: String,
    }

    /// A VM that runs a gateway node.
    pub struct Vm {
        /// Name.
        pub name: String,
        /// Region.
        pub region: RegionId,
        /// Data centre.
        pub centre: CentreId,
        /// Listen address for callers.
        pub caller: SocketAddr,
        /// Listen address for other nodes, TCP and UDP.
        pub peer: SocketAddr,
        /// Capacity in thousandths of a core.
        pub weight: u32,
    }

    /// The network link between two regions.
    pub struct Link {
        /// One region.
        pub from: RegionId,
        /// The other region.
        pub to: RegionId,
        /// One-way delay in microseconds.
        pub delay: u64,
    }

    /// Settings of the whole deployment.
    pub struct Deployment {
        /// Name.
        pub name: String,
        /// Weight of tail latency against the share of requests sent to other regions, 0 to 1.
        #[serde(rename = "weight")]
        pub latency_weight: f64,
        /// Regions.
        pub regions: BTreeMap<RegionId, Region>,
        /// Links between regions, each pair once.
        pub links: Vec<Link>,
        /// VMs that run gateway nodes.
        pub vms: BTreeMap<VmId, Vm>,
        /// Model loads per minute that the weight store can serve to all nodes.
        #[serde(rename = "loads")]
        pub loads_per_minute: u32,
        /// Seconds that an idempotency key chosen by a caller is kept.
        pub repeat_window: u64,
    }

    /// A route of a service whose requests must not be retried.
    pub struct Route {
        /// HTTP method, `*` for any.
        pub method: String,
        /// Path prefix, without the name of the service.
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
        /// Maximum concurrent requests.
        pub slots: u32,
        /// Whether it rejects orders with an outdated fencing token.
        pub fenced: bool,
        /// Version of its software, empty if none is published.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub version: String,
    }

    /// A service and its settings.
    pub struct Service {
        /// Name, which is the first segment of a request's path.
        pub name: String,
        /// Type of its targets.
        pub kind: Kind,
        /// Regions that its data may enter; all if `None`.
        pub residency: Option<BTreeSet<RegionId>>,
        /// Routes whose requests must not be retried.
        pub once: Vec<Route>,
        /// Default deadline of a request in milliseconds.
        pub deadline: u64,
        /// Milliseconds without progress after which a connection counts as stalled.
        pub silence: u64,
        /// Initial estimate of the service time in milliseconds, used until it is measured.
        pub expected: u64,
        /// Status codes that its targets return only for requests that they did not run.
        pub refuses: BTreeSet<u16>,
        /// Maximum size of a request body in bytes.
        #[serde(rename = "body")]
        pub max_body: u64,
        /// Models that its engines can load, with the wanted number of copies in each region.
        pub models: BTreeMap<String, u32>,
        /// Back ends.
        pub targets: BTreeMap<TargetId, Target>,
        /// Limits of each of its back ends, if they are published.
        #[serde(default)]
        pub capacity: Capacity,
        /// Path at which its back ends say how they are, if they do.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub health: Option<String>,
    }

    /// Limits of each back end of a service. Zero means that no limit is published.
    #[derive(Copy, Default)]
    pub struct Capacity {
        /// Maximum connections from all nodes together.
        pub connections: u32,
        /// KV cache in tokens, shared by running requests and cached prompts.
        #[serde(rename = "memory")]
        pub kv_tokens: u64,
        /// Maximum requests per second from all nodes together while it is cold.
        pub cold_rate: f64,
        /// Milliseconds for which it is cold after its start.
        #[serde(default)]
        pub cold_start: u64,
        /// Whether its engines can copy cached parts of prompts from each other.
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
        /// Regions that its data may enter; all if `None`.
        #[serde(rename = "r", skip_serializing_if = "Option::is_none", default)]
        pub residency: Option<BTreeSet<RegionId>>,
        /// Priority, 0 to 3. Each step doubles its share under load.
        #[serde(rename = "p")]
        pub priority: u8,
        /// Weight among customers of the same priority.
        #[serde(rename = "w")]
        pub weight: u32,
        /// Maximum concurrent requests over all nodes.
        #[serde(rename = "c")]
        pub concurrency: u32,
        /// Maximum requests per second over all nodes.
        #[serde(rename = "q")]
        pub rate: u32,
        /// Services that it may call; all if empty.
        #[serde(rename = "s", skip_serializing_if = "BTreeSet::is_empty", default)]
        pub services: BTreeSet<ServiceId>,
        /// Digests of its bearer tokens.
        #[serde(rename = "k")]
        pub credentials: Vec<Digest>,
    }
}

impl Deployment {
    /// Returns the VMs of a region, ordered by ID.
    pub fn vms_in(&self, region: RegionId) -> impl Iterator<Item = VmId> + '_ {
        self.vms
            .iter()
            .filter(move |(_, vm)| vm.region == region)
            .map(|(id, _)| *id)
    }
}

/// Type of a service's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine that batches requests, caches prompt prefixes and streams responses.
    Engine,
    /// Any other HTTP service.
    Plain,
}

/// A complete and valid configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// Revision of the manifest.
    pub revision: u64,
    /// Digest of the manifest.
    pub digest: Digest,
    /// Digest of the preceding manifest.
    pub parent: Option<Digest>,
    /// Settings of the whole deployment.
    pub deployment: Deployment,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Customers.
    pub customers: Shared<BTreeMap<CustomerId, Customer>>,
    /// Routes by host; empty if requests name their service in the path.
    pub routes: RouteTable,
    /// Limits on requests of callers.
    pub limits: Option<CallLimits>,
    /// Maximum burst of retries to a service, over all nodes; `None` for no limit.
    pub retries: Option<u32>,
    /// Client accounts; empty if requests need no API key.
    pub tenants: Shared<BTreeMap<TenantId, Tenant>>,
    /// How precisely what is published of tenants must be applied.
    pub tenant_bounds: TenantBounds,
}

impl Vm {
    /// Weight of a VM whose capacity is not published: one core.
    pub const DEFAULT_WEIGHT: u32 = 1000;
}

impl Customer {
    /// Value of `concurrency` and `rate` for no limit.
    pub const UNLIMITED: u32 = u32::MAX;

    /// Returns whether the customer has no limit on its concurrency.
    #[must_use]
    pub fn unlimited_concurrency(&self) -> bool {
        self.concurrency == Self::UNLIMITED
    }
}

impl Service {
    /// Returns whether a request may be retried.
    ///
    /// Requests of the routes in `once` must not be retried. Of the others, requests to model
    /// engines may be retried with any method, and requests to plain services with an idempotent
    /// HTTP method.
    ///
    /// ```
    /// # use seam_protocol::{Kind, Route, Service};
    /// # let mut service = Service { name: "desk".into(), kind: Kind::Plain, residency: None,
    /// #   once: vec![], deadline: 1, silence: 1, expected: 1, max_body: 1,
    /// #   refuses: Default::default(), models: Default::default(), targets: Default::default(),
    /// #   capacity: Default::default(), health: None };
    /// service.once.push(Route { method: "POST".into(), path: "/deposits".into() });
    /// assert!(!service.repeatable("POST", "/deposits/7"));
    /// assert!(!service.repeatable("POST", "//%64eposits"));
    /// assert!(service.repeatable("GET", "/deposits/7"));
    /// ```
    #[must_use]
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        let path = normalize_path(path);
        let once = self.once.iter().any(|route| {
            (route.method == "*" || route.method.eq_ignore_ascii_case(method))
                && path.starts_with(&route.path)
        });
        let idempotent = matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE");
        !once && (idempotent || self.kind == Kind::Engine)
    }
}

impl Service {
    /// Returns the settings that a configuration can change, without the name and the targets.
    fn settings(&self) -> impl Serialize + '_ {
        (
            (self.kind, &self.residency, &self.once, &self.models),
            (self.deadline, self.silence, self.expected, self.max_body),
            (&self.refuses, self.capacity, &self.health),
        )
    }
}

impl Target {
    /// Returns the ID of the version of its software.
    #[must_use]
    pub fn version_id(&self) -> VersionId {
        VersionId::of(&self.version)
    }
}

impl Service {
    /// Returns the total slots of all targets in a region.
    #[must_use]
    pub fn slots_in(&self, region: RegionId) -> u32 {
        let targets = self.targets.values();
        targets
            .filter(|target| target.region == region)
            .map(|target| target.slots)
            .sum()
    }
}

/// Decodes percent-encoded bytes and removes empty and dot segments, so that an alternative
/// spelling of a path cannot bypass a route of `once`.
fn normalize_path(path: &str) -> String {
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
    /// Returns a bundle of revision zero that contains only a deployment.
    #[must_use]
    pub fn new(deployment: Deployment) -> Self {
        Self {
            revision: 0,
            digest: Digest::default(),
            parent: None,
            deployment,
            services: BTreeMap::new(),
            customers: Shared::default(),
            routes: RouteTable::default(),
            limits: None,
            retries: None,
            tenants: Shared::default(),
            tenant_bounds: TenantBounds::default(),
        }
    }

    /// Returns a digest of what requests can tell of the configuration: its routes, the settings of its
    /// services and its limits.
    ///
    /// Names, targets and nodes have no part in it. Nodes that read one item alike get equal digests.
    ///
    /// # Panics
    /// Never, since serialization of these types cannot fail.
    ///
    /// ```
    /// # use seam_protocol::{Bundle, CallLimits, bundle::Deployment};
    /// # let deployment = Deployment {
    /// #   name: "d".into(), latency_weight: 0.5, regions: Default::default(), links: vec![],
    /// #   vms: Default::default(), loads_per_minute: 1, repeat_window: 1,
    /// # };
    /// let mut bundle = Bundle::new(deployment);
    /// let empty = bundle.meaning();
    /// bundle.revision = 7;
    /// assert_eq!(bundle.meaning(), empty);
    /// bundle.limits = Some(CallLimits {
    ///     header_bytes: 1, body_bytes: 2, header_timeout: 3, idle_timeout: 4,
    /// });
    /// assert_ne!(bundle.meaning(), empty);
    /// ```
    #[must_use]
    pub fn meaning(&self) -> Digest {
        let routes: BTreeMap<_, _> = self
            .routes
            .by_host()
            .map(|(host, route)| ((host, route.prefix.as_str()), route.settings()))
            .collect();
        let services: BTreeMap<_, _> = self
            .services
            .iter()
            .map(|(id, service)| (id, service.settings()))
            .collect();
        let encoded =
            postcard::to_allocvec(&(routes, self.routes.unplaced(), services, &self.limits));
        let mut encoded = encoded.expect("a configuration always serializes");
        // Without tenants the digest is that of processes which do not know them.
        if !self.tenants.is_empty() {
            let public: Vec<_> = self
                .routes
                .by_host()
                .filter(|(_, route)| route.public)
                .map(|(host, route)| (host, route.prefix.as_str()))
                .collect();
            encoded = postcard::to_extend(&(&*self.tenants, public), encoded)
                .expect("tenants always serialize");
        }
        Digest::of(&encoded)
    }

    /// Returns the regions that may process a request, ordered by ID.
    ///
    /// These are the regions with a target of the service that both residencies allow.
    #[must_use]
    pub fn allowed_regions(&self, service: &Service, customer: &Customer) -> BTreeSet<RegionId> {
        service
            .targets
            .values()
            .map(|target| target.region)
            .filter(|region| self.permits_region(service, customer, *region))
            .collect()
    }

    /// Returns whether the residencies of a service and a customer permit a region, whether or not
    /// the service has a target there.
    #[must_use]
    pub fn permits_region(&self, service: &Service, customer: &Customer, region: RegionId) -> bool {
        let within = |set: Option<&BTreeSet<RegionId>>| set.is_none_or(|set| set.contains(&region));
        within(service.residency.as_ref()) && within(customer.residency.as_ref())
    }

    /// Returns whether a region may process a request and has a target of the service.
    #[must_use]
    pub fn allows_region(&self, service: &Service, customer: &Customer, region: RegionId) -> bool {
        self.permits_region(service, customer, region)
            && service
                .targets
                .values()
                .any(|target| target.region == region)
    }

    /// Returns whether a region may process requests of a tenant. For a tenant that the configuration lacks,
    /// none may; requests without one may go to any.
    ///
    /// ```
    /// # use seam_protocol::{Bundle, bundle::Deployment};
    /// # let deployment = Deployment {
    /// #   name: "d".into(), latency_weight: 0.5, regions: Default::default(), links: vec![],
    /// #   vms: Default::default(), loads_per_minute: 1, repeat_window: 1,
    /// # };
    /// use seam_protocol::{RegionId, TenantId};
    /// let bundle = Bundle::new(deployment);
    /// let region = RegionId::of("east");
    /// assert!(bundle.tenant_permits(None, region));
    /// assert!(!bundle.tenant_permits(Some(TenantId::of("huka")), region));
    /// ```
    #[must_use]
    pub fn tenant_permits(&self, tenant: Option<TenantId>, region: RegionId) -> bool {
        tenant.is_none_or(|id| {
            let tenant = self.tenants.get(&id);
            tenant.is_some_and(|tenant| tenant.permits(region))
        })
    }

    /// Returns whether requests of a route need an API key of a tenant.
    ///
    /// ```
    /// # use seam_protocol::{Bundle, HostRoute, RetryPolicy, Tenant, TenantId, bundle::Deployment};
    /// # let deployment = Deployment {
    /// #   name: "d".into(), latency_weight: 0.5, regions: Default::default(), links: vec![],
    /// #   vms: Default::default(), loads_per_minute: 1, repeat_window: 1,
    /// # };
    /// let route = HostRoute {
    ///     name: "r".into(), prefix: "/".into(), shares: vec![], retry_policy: RetryPolicy::Once,
    ///     streams: false, timeout: 1, objective: 1, rank: 0, attempts: 1, public: false,
    ///     home_regions: None,
    /// };
    /// let mut bundle = Bundle::new(deployment);
    /// assert!(!bundle.needs_key(&route));
    /// bundle.tenants.insert(TenantId::of("huka"), Tenant { name: "huka".into(), ..Tenant::unread() });
    /// assert!(bundle.needs_key(&route));
    /// assert!(!bundle.needs_key(&HostRoute { public: true, ..route }));
    /// ```
    #[must_use]
    pub fn needs_key(&self, route: &HostRoute) -> bool {
        !self.tenants.is_empty() && !route.public
    }

    /// Returns the one-way delay between two regions in microseconds, or 100 ms without a link.
    #[must_use]
    pub fn delay(&self, from: RegionId, to: RegionId) -> u64 {
        const DEFAULT_DELAY_MICROS: u64 = 100_000;
        if from == to {
            return 0;
        }
        self.deployment
            .links
            .iter()
            .find(|link| (link.from, link.to) == (from, to) || (link.to, link.from) == (from, to))
            .map_or(DEFAULT_DELAY_MICROS, |link| link.delay)
    }
}
