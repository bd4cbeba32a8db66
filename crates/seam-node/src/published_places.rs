//! The check of the routes in force against the document that publishes them.

use std::collections::{BTreeMap, BTreeSet};

use seam_protocol::route::host_name;
use seam_protocol::{HostRoute, RouteTable, ServiceId};

/// Routes of a host up to which places are looked up as requests are. Of a host with more, places are compared
/// with those of its routes.
const MAX_SCANNED: usize = 64;

/// A place that a document publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedPlace {
    /// Host.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Services of its route, `None` if they cannot be read.
    pub services: Option<BTreeSet<ServiceId>>,
}

/// A published place at which the routes in force do not have what is published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MisreadPlace {
    /// Host.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Name of the route that is found there instead, `None` for none.
    pub found: Option<String>,
}

/// Returns the published places that are not found in a table of routes, or lead to other services.
///
/// ```
/// use seam_node::published_places::{PublishedPlace, misread_places};
/// use seam_protocol::route::RouteTable;
/// let place = PublishedPlace {
///     host: "salon.example".into(), prefix: "/view/".into(), services: None,
/// };
/// let misread = misread_places(&RouteTable::default(), &[place]);
/// assert_eq!(misread[0].found, None);
/// ```
#[must_use]
pub fn misread_places(table: &RouteTable, places: &[PublishedPlace]) -> Vec<MisreadPlace> {
    let mut hosts: BTreeMap<&str, BTreeMap<&str, &HostRoute>> = BTreeMap::new();
    for (host, route) in table.by_host() {
        let routes = hosts.entry(host).or_default();
        routes.insert(&route.prefix, route);
    }
    let misread = places.iter().filter_map(|place| {
        let routes = hosts.get(host_name(&place.host).as_str());
        let route = match routes {
            Some(routes) if routes.len() > MAX_SCANNED => {
                routes.get(place.prefix.as_str()).copied()
            }
            _ => table.find(&place.host, &place.prefix),
        };
        let serves = |route: &HostRoute| {
            let found = route.shares.iter().map(|share| share.service);
            let found: BTreeSet<_> = found.collect();
            let services = place.services.as_ref();
            route.prefix == place.prefix && services.is_none_or(|services| *services == found)
        };
        (!route.is_some_and(serves)).then(|| MisreadPlace {
            host: place.host.clone(),
            prefix: place.prefix.clone(),
            found: route.map(|route| route.name.clone()),
        })
    });
    misread.collect()
}
