//! Routes by host and path, for deployments that publish them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::bundle::{Capacity, Customer, Kind, Service};
use crate::id::{CustomerId, RegionId, ServiceId};
use crate::shared::Shared;

/// Whether and how requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// Requests have streamed responses, which another target can resume after a failure.
    Resumable,
}

crate::message! {
    /// Share of a route's requests that a service gets.
    pub struct Share {
        /// Service.
        pub service: ServiceId,
        /// Weight among the services of the route.
        pub weight: u32,
    }

    /// A route and its settings.
    pub struct HostRoute {
        /// Name, also of the customer that [`Self::customer`] returns.
        pub name: String,
        /// Path prefix, with a leading and a trailing slash.
        pub prefix: String,
        /// Services that handle its requests.
        pub shares: Vec<Share>,
        /// Whether and how its requests may be retried.
        pub retry_policy: RetryPolicy,
        /// Whether its responses are event streams.
        pub streams: bool,
        /// Deadline of a request in milliseconds, which a caller can shorten.
        pub timeout: u64,
        /// Target latency of a response in milliseconds.
        pub objective: u64,
        /// Priority among routes; 0 is the most urgent.
        pub rank: u8,
        /// Maximum number of targets that may run the same request.
        pub attempts: u8,
        /// Whether its requests need no API key.
        #[serde(default)]
        pub public: bool,
        /// Regions that may process its requests; all if `None`, none if empty.
        pub home_regions: Option<BTreeSet<RegionId>>,
    }

    /// Limits on what a caller may send.
    pub struct CallLimits {
        /// Maximum total size of the header fields in bytes.
        pub header_bytes: usize,
        /// Maximum size of a body in bytes.
        pub body_bytes: usize,
        /// Maximum time in milliseconds to send the header fields.
        pub header_timeout: u64,
        /// Maximum time in milliseconds that a connection may be idle.
        pub idle_timeout: u64,
    }
}

crate::message! {
    /// What is known of the place of a route whose host or prefix cannot be read.
    #[derive(Default)]
    pub struct UnplacedRoute {
        /// Host, `None` if it cannot be read.
        pub host: Option<String>,
        /// Path prefix, `None` if it cannot be read.
        pub prefix: Option<String>,
    }
}

/// Routes by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    hosts: Shared<BTreeMap<String, Vec<HostRoute>>>,
    unplaced: Shared<Vec<UnplacedRoute>>,
}

impl RouteTable {
    /// Adds a route for a host, whose port, case and dot of the root are ignored.
    pub fn insert(&mut self, host: &str, route: HostRoute) {
        let routes = self.hosts.entry(host_name(host)).or_default();
        // Longest prefixes first, so that `find` returns the most specific route.
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, route);
    }

    /// Adds a route whose place cannot be read.
    pub fn insert_unplaced(&mut self, place: UnplacedRoute) {
        let host = place.host.map(|host| host_name(&host));
        self.unplaced.push(UnplacedRoute { host, ..place });
    }

    /// Returns the routes whose places cannot be read.
    #[must_use]
    pub fn unplaced(&self) -> &[UnplacedRoute] {
        &self.unplaced
    }

    /// Returns whether a route whose place cannot be read may serve a path. Ignores the host's port and
    /// case.
    ///
    /// ```
    /// use seam_protocol::route::{RouteTable, UnplacedRoute};
    /// let mut table = RouteTable::default();
    /// assert!(!table.may_serve("salon.example", "/looks/7"));
    /// table.insert_unplaced(UnplacedRoute {
    ///     host: Some("salon.example".into()), prefix: None,
    /// });
    /// table.insert_unplaced(UnplacedRoute { host: None, prefix: Some("/view/".into()) });
    /// assert!(table.may_serve("Salon.example:80", "/looks/7"));
    /// assert!(table.may_serve("other.example", "/view/7"));
    /// assert!(!table.may_serve("other.example", "/looks/7"));
    /// ```
    #[must_use]
    pub fn may_serve(&self, host: &str, path: &str) -> bool {
        let name = host_name(host);
        self.unplaced.iter().any(|place| {
            let hosted = place.host.as_ref().is_none_or(|host| *host == name);
            let prefix = place.prefix.as_ref();
            hosted && prefix.is_none_or(|prefix| path.starts_with(prefix))
        })
    }

    /// Returns the number of routes that are refused for a time, as no region is known to be allowed to
    /// process their requests, or as their places cannot be read.
    #[must_use]
    pub fn refused(&self) -> usize {
        let homes = self.iter().filter_map(|route| route.home_regions.as_ref());
        homes.filter(|homes| homes.is_empty()).count() + self.unplaced.len()
    }

    /// Returns the regions that may process the requests of every route of a host, `None` if none of
    /// its routes is bound to regions. Ignores the host's port and case.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use seam_protocol::RegionId;
    /// use seam_protocol::route::{HostRoute, RetryPolicy, RouteTable};
    /// let route = |prefix: &str, homes: &[u32]| HostRoute {
    ///     name: prefix.into(), prefix: prefix.into(), shares: vec![],
    ///     retry_policy: RetryPolicy::Once, streams: false, timeout: 1, objective: 1, rank: 0,
    ///     attempts: 1, public: false,
    ///     home_regions: (!homes.is_empty()).then(|| homes.iter().copied().map(RegionId).collect()),
    /// };
    /// let mut table = RouteTable::default();
    /// table.insert("salon.example", route("/", &[]));
    /// assert_eq!(table.home_regions("salon.example"), None);
    /// table.insert("salon.example", route("/looks/", &[1, 2]));
    /// table.insert("salon.example", route("/chat/", &[2, 3]));
    /// assert_eq!(table.home_regions("Salon.example:80"), Some(BTreeSet::from([RegionId(2)])));
    /// ```
    #[must_use]
    pub fn home_regions(&self, host: &str) -> Option<BTreeSet<RegionId>> {
        let homes = self.homes(host).filter(|homes| !homes.is_empty());
        homes.cloned().reduce(|one, other| &one & &other)
    }

    /// Returns the regions to which at least one of a host's routes is bound. Ignores the host's port and
    /// case.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use seam_protocol::RegionId;
    /// use seam_protocol::route::{HostRoute, RetryPolicy, RouteTable};
    /// let route = |prefix: &str, home: u32| HostRoute {
    ///     name: prefix.into(), prefix: prefix.into(), shares: vec![],
    ///     retry_policy: RetryPolicy::Once, streams: false, timeout: 1, objective: 1, rank: 0,
    ///     attempts: 1, public: false, home_regions: Some(BTreeSet::from([RegionId(home)])),
    /// };
    /// let mut table = RouteTable::default();
    /// table.insert("salon.example", route("/looks/", 1));
    /// table.insert("salon.example", route("/chat/", 2));
    /// let regions = BTreeSet::from([RegionId(1), RegionId(2)]);
    /// assert_eq!(table.some_home_regions("Salon.example:80"), regions);
    /// ```
    #[must_use]
    pub fn some_home_regions(&self, host: &str) -> BTreeSet<RegionId> {
        self.homes(host).flatten().copied().collect()
    }

    /// Iterates over the regions of each of a host's routes that is bound to regions.
    fn homes(&self, host: &str) -> impl Iterator<Item = &BTreeSet<RegionId>> {
        let routes = self.hosts.get(&host_name(host)).into_iter().flatten();
        routes.filter_map(|route| route.home_regions.as_ref())
    }

    /// Returns whether a host has routes. Ignores the host's port and case.
    ///
    /// ```
    /// use seam_protocol::route::RouteTable;
    /// assert!(!RouteTable::default().has_host("salon.example"));
    /// ```
    #[must_use]
    pub fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(&host_name(host))
    }

    /// Iterates over the routes of all hosts, with their hosts.
    pub fn by_host(&self) -> impl Iterator<Item = (&str, &HostRoute)> + '_ {
        let hosts = self.hosts.iter();
        hosts.flat_map(|(host, routes)| routes.iter().map(|route| (host.as_str(), route)))
    }

    /// Returns the route of a host whose prefix is the longest match for a path. Ignores the host's
    /// port and case.
    ///
    /// ```
    /// use seam_protocol::route::{HostRoute, RetryPolicy, RouteTable};
    /// let route = |name: &str, prefix: &str| HostRoute {
    ///     name: name.into(), prefix: prefix.into(), shares: vec![],
    ///     retry_policy: RetryPolicy::Once, streams: false, timeout: 1, objective: 1, rank: 0,
    ///     attempts: 1, public: false, home_regions: None,
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
        let routes = self.hosts.get(&host_name(host))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Iterates over the routes of all hosts.
    pub fn iter(&self) -> impl Iterator<Item = &HostRoute> + '_ {
        self.hosts.values().flatten()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Returns a host's name in lower case, without a port and the dot of the root.
#[must_use]
pub fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    name.to_ascii_lowercase()
}

/// Initial estimate of a plain service's response time in milliseconds, used until it is measured.
const PLAIN_EXPECTED_MS: u64 = 20;
/// Initial estimate of an engine's time to first token in milliseconds, used until it is measured.
const ENGINE_EXPECTED_MS: u64 = 150;

impl HostRoute {
    /// Returns the identifier of the route's customer at a host. The route's name has no part in it, as
    /// another version of the configuration may give the name to another route.
    ///
    /// ```
    /// use seam_protocol::route::{HostRoute, RetryPolicy};
    /// let route = |name: &str, prefix: &str| HostRoute {
    ///     name: name.into(), prefix: prefix.into(), shares: vec![],
    ///     retry_policy: RetryPolicy::Once, streams: false, timeout: 1, objective: 1, rank: 0,
    ///     attempts: 1, public: false, home_regions: None,
    /// };
    /// let book = route("book", "/book/").customer_id("salon.example");
    /// assert_eq!(route("renamed", "/book/").customer_id("Salon.example"), book);
    /// assert_ne!(route("book", "/looks/").customer_id("salon.example"), book);
    /// ```
    #[must_use]
    pub fn customer_id(&self, host: &str) -> CustomerId {
        CustomerId::of(&format!("{}{}", host_name(host), self.prefix))
    }

    /// Returns the settings that decide about requests, without the name and the place.
    pub(crate) fn settings(&self) -> impl Serialize + '_ {
        (
            (&self.shares, &self.home_regions),
            (self.retry_policy, self.streams, self.attempts),
            (self.timeout, self.objective, self.rank),
        )
    }

    /// Returns the customer that the route's requests belong to. It has the route's residency and services,
    /// and no rate or concurrency limit. So a node refuses a request that was routed by another version.
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
            services: self.shares.iter().map(|share| share.service).collect(),
            credentials: Vec::new(),
        }
    }

    /// Returns the service for a request, by weight. The same number always selects the same
    /// service.
    ///
    /// ```
    /// use seam_protocol::ServiceId;
    /// use seam_protocol::route::{HostRoute, RetryPolicy, Share};
    /// let share = |service, weight| Share { service: ServiceId(service), weight };
    /// let route = HostRoute {
    ///     name: "r".into(), prefix: "/".into(), shares: vec![share(1, 90), share(2, 10)],
    ///     retry_policy: RetryPolicy::Once, streams: false, timeout: 1, objective: 1, rank: 0,
    ///     attempts: 1, public: false, home_regions: None,
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
        let mut remainder = number % sum.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remainder < weight {
                return Some(share.service);
            }
            remainder -= weight;
        }
        self.shares.first().map(|share| share.service)
    }
}

/// Returns a service that is reached by routes only, without targets.
///
/// `objective` is the lowest target latency of the service's routes in milliseconds. A connection
/// to a plain target counts as stalled after this time, one to an engine after twice this time.
#[must_use]
pub fn routed_service(name: &str, kind: Kind, capacity: Capacity, objective: u64) -> Service {
    let (silence, expected) = match kind {
        Kind::Plain => (objective, PLAIN_EXPECTED_MS),
        Kind::Engine => (2 * objective, ENGINE_EXPECTED_MS),
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
        max_body: 0,
        models: BTreeMap::new(),
        targets: BTreeMap::new(),
        capacity,
        health: None,
    }
}
