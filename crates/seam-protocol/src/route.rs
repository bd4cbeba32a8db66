//! Routes by host and path, for deployments that publish them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::bundle::{Capacity, Customer, Kind, Service};
use crate::id::{RegionId, ServiceId};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A request streams its answer, and another target can go on where one broke off.
    Resumable,
}

crate::message! {
    /// One of the services that share a route's requests.
    pub struct Share {
        /// The service.
        pub service: ServiceId,
        /// Its weight among the others.
        pub weight: u32,
    }

    /// A route and its rules.
    pub struct HostRoute {
        /// Name. The customer of the same name carries its residency and priority.
        pub name: String,
        /// Prefix of the paths that it serves, with a slash at each end.
        pub prefix: String,
        /// Services that serve it.
        pub shares: Vec<Share>,
        /// What may be repeated.
        pub retry_policy: RetryPolicy,
        /// Whether its answers are event streams.
        pub streams: bool,
        /// Longest time in milliseconds for which a request is kept waiting.
        pub timeout: u64,
        /// Milliseconds within which an answer is of full use.
        pub objective: u64,
        /// Rank among routes, 0 being the most urgent.
        pub rank: u8,
        /// Most targets that may run one request.
        pub attempts: u8,
        /// Regions that its requests may be processed in, all if absent.
        pub home_regions: Option<BTreeSet<RegionId>>,
    }

    /// Bounds on what a caller may send.
    pub struct CallLimits {
        /// Largest block of header fields in bytes.
        pub header_bytes: usize,
        /// Largest body in bytes.
        pub body_bytes: usize,
        /// Milliseconds to send the header fields.
        pub header_timeout: u64,
        /// Milliseconds that a connection may stay idle.
        pub idle_timeout: u64,
    }
}

/// Routes by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    hosts: BTreeMap<String, Vec<HostRoute>>,
}

impl RouteTable {
    /// Adds a route of a host. The longest prefixes come first.
    pub fn insert(&mut self, host: &str, route: HostRoute) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, route);
    }

    /// Returns the route of a host with the longest prefix of a path.
    ///
    /// ```
    /// use seam_protocol::route::{HostRoute, RetryPolicy, RouteTable};
    /// let route = |name: &str, prefix: &str| HostRoute {
    ///     name: name.into(), prefix: prefix.into(), shares: vec![], retry_policy: RetryPolicy::Once,
    ///     streams: false, timeout: 1, objective: 1, rank: 0, attempts: 1, home_regions: None,
    /// };
    /// let mut table = RouteTable::default();
    /// table.insert("salon.example", route("all", "/"));
    /// table.insert("salon.example", route("looks", "/looks/"));
    /// let found = |path: &str| Some(table.find("Salon.example:80", path)?.name.clone());
    /// assert_eq!(found("/looks/7").as_deref(), Some("looks"));
    /// assert_eq!(found("/looks").as_deref(), Some("all"));
    /// assert!(table.find("other.example", "/looks/7").is_none());
    /// ```
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&HostRoute> {
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => host,
        };
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns every route.
    pub fn iter(&self) -> impl Iterator<Item = &HostRoute> + '_ {
        self.hosts.values().flatten()
    }

    /// Tells whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Milliseconds that a plain target is expected to take, until measured.
const PLAIN_MS: u64 = 20;
/// Milliseconds to an engine's first token, until measured.
const ENGINE_MS: u64 = 150;

impl HostRoute {
    /// Returns the customer that carries the route's residency. It has no limits of its own.
    #[must_use]
    pub fn customer(&self) -> Customer {
        Customer {
            name: self.name.clone(),
            home: None,
            residency: self.home_regions.clone(),
            priority: 0,
            weight: 1,
            concurrency: Customer::UNLIMITED,
            rate: Customer::UNLIMITED,
            services: BTreeSet::new(),
            credentials: Vec::new(),
        }
    }

    /// Chooses one of the services that share the route by a request's own number.
    ///
    /// ```
    /// use seam_protocol::ServiceId;
    /// use seam_protocol::route::{HostRoute, RetryPolicy, Share};
    /// let share = |service, weight| Share { service: ServiceId(service), weight };
    /// let route = HostRoute {
    ///     name: "r".into(), prefix: "/".into(), shares: vec![share(1, 90), share(2, 10)],
    ///     retry_policy: RetryPolicy::Once, streams: false, timeout: 1, objective: 1, rank: 0,
    ///     attempts: 1, home_regions: None,
    /// };
    /// let second = (0..100).filter(|n| route.service(*n) == Some(ServiceId(2))).count();
    /// assert_eq!(second, 10);
    /// ```
    #[must_use]
    pub fn service(&self, number: u64) -> Option<ServiceId> {
        let sum: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut left = number % sum.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(share.service);
            }
            left -= weight;
        }
        self.shares.first().map(|share| share.service)
    }
}

/// Returns a service that only routes lead to, without targets yet.
///
/// A target that makes no progress within the objective of the service's fastest route is looked at
/// again, an engine within twice that.
#[must_use]
pub fn routed_service(name: &str, kind: Kind, capacity: Capacity, objective: u64) -> Service {
    let (silence, expected) = match kind {
        Kind::Plain => (objective, PLAIN_MS),
        Kind::Engine => (2 * objective, ENGINE_MS),
    };
    Service {
        name: name.to_owned(),
        kind,
        residency: None,
        once: Vec::new(),
        deadline: 0,
        silence,
        expected,
        refuses: BTreeSet::new(),
        body: 0,
        models: BTreeMap::new(),
        targets: BTreeMap::new(),
        capacity,
    }
}
