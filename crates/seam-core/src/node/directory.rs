//! Which nodes callers connect to.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use seam_protocol::id::weighted_rank;
use seam_protocol::{RegionId, Time, Vm, VmId};

use super::Node;

/// The regions of the nodes in an answer of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedRegions {
    /// The region that was asked for.
    Asked,
    /// Regions that may process all requests of the host, as the one asked for has no ready node.
    Homes,
    /// This node's region, which may process all requests of the host, as the one asked for has no ready
    /// node.
    Own,
    /// Regions that may not process all requests of the host, as the one asked for is lost.
    Outside,
    /// None.
    None,
}

impl NamedRegions {
    /// Returns the name for log lines and metrics.
    ///
    /// ```
    /// assert_eq!(seam_core::NamedRegions::Homes.name(), "homes");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Asked => "asked",
            Self::Homes => "homes",
            Self::Own => "own",
            Self::Outside => "outside",
            Self::None => "none",
        }
    }
}

/// The nodes that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryAnswer {
    /// Addresses of the nodes.
    pub addresses: Vec<SocketAddr>,
    /// Where the nodes are.
    pub regions: NamedRegions,
}

impl Node {
    /// Returns the addresses of ready nodes that a caller should use.
    #[must_use]
    pub fn directory(
        &self,
        now: Time,
        region: Option<RegionId>,
        host: Option<&str>,
        caller: u64,
    ) -> Vec<SocketAddr> {
        self.directory_answer(now, region, host, caller).addresses
    }

    /// Returns the ready nodes that a caller should use.
    ///
    /// These are nodes of `region`, or else of regions that may process all requests of the host. If no
    /// region may, none are returned until `region` counts as lost.
    ///
    /// Callers spread their connections evenly over the listed nodes. Where nodes differ in weight,
    /// each caller gets a small subset in which heavy nodes are more likely. The subset of a caller
    /// is stable, since callers close connections to nodes that are no longer listed.
    #[must_use]
    pub fn directory_answer(
        &self,
        now: Time,
        region: Option<RegionId>,
        host: Option<&str>,
        caller: u64,
    ) -> DirectoryAnswer {
        /// Enough nodes to tolerate the loss of some, few enough for weights to take effect.
        const SUBSET_SIZE: usize = 6;
        let (regions, mut nodes) = self.nodes_for_callers(now, region, host);
        self.prefer_confirmed(now, &mut nodes);
        let even = nodes
            .windows(2)
            .all(|pair| pair[0].1.weight == pair[1].1.weight);
        if !even && nodes.len() > SUBSET_SIZE {
            let order = |(id, vm): &(VmId, &Vm)| weighted_rank(caller, u64::from(id.0), vm.weight);
            nodes.sort_by(|one, other| order(other).total_cmp(&order(one)));
            nodes.truncate(SUBSET_SIZE);
        }
        DirectoryAnswer {
            regions: if nodes.is_empty() {
                NamedRegions::None
            } else {
                regions
            },
            addresses: nodes.into_iter().map(|(_, vm)| vm.caller).collect(),
        }
    }

    /// Leaves out the nodes that are known to refuse requests with API keys, if others are known to admit them.
    fn prefer_confirmed(&self, now: Time, nodes: &mut Vec<(VmId, &Vm)>) {
        let admits = |vm: VmId| self.known_to_admit(now, vm);
        if nodes.iter().any(|(vm, _)| admits(*vm) == Some(true)) {
            nodes.retain(|(vm, _)| admits(*vm) != Some(false));
            nodes.sort_by_key(|(vm, _)| admits(*vm).is_none());
        }
    }

    /// Returns the ready nodes of a region, or else those of regions that may process all requests of the
    /// host.
    ///
    /// If its routes have no region in common, or this node does not know the host, any other region
    /// receives requests that it may not process. Its nodes are returned only once `region` is silent:
    /// until then, its nodes may be starting or stopping, and callers can ask again. Regions that may
    /// process the requests of some route come first.
    fn nodes_for_callers(
        &self,
        now: Time,
        region: Option<RegionId>,
        host: Option<&str>,
    ) -> (NamedRegions, Vec<(VmId, &Vm)>) {
        let Some(bundle) = self.bundle.as_ref().filter(|_| self.configured()) else {
            return (NamedRegions::None, Vec::new());
        };
        let own_region = self.id.region;
        let region = region.unwrap_or(own_region);
        let nodes_in = |wanted: RegionId| -> Vec<(VmId, &Vm)> {
            let vms = bundle.deployment.vms.iter().map(|(id, vm)| (*id, vm));
            vms.filter(|(id, vm)| vm.region == wanted && self.known_ready(now, *id))
                .collect()
        };
        let nodes = nodes_in(region);
        if !nodes.is_empty() {
            return (NamedRegions::Asked, nodes);
        }
        let own = nodes_in(own_region);
        let routes = &bundle.routes;
        let homes = host.and_then(|host| routes.home_regions(host));
        let without_homes = host.is_none_or(|host| homes.is_none() && routes.has_host(host));
        if without_homes {
            return (NamedRegions::Own, own);
        }
        let own_is_in = |homes: &BTreeSet<RegionId>| homes.contains(&own_region) && !own.is_empty();
        let nodes_in_all = |homes: BTreeSet<RegionId>| homes.into_iter().flat_map(nodes_in);
        let shared_homes = homes.filter(|homes| !homes.is_empty());
        if let Some(homes) = shared_homes {
            return if own_is_in(&homes) {
                (NamedRegions::Own, own)
            } else {
                (NamedRegions::Homes, nodes_in_all(homes).collect())
            };
        }
        if !self.peers.region_silent(now, region) {
            return (NamedRegions::None, Vec::new());
        }
        let some_homes = host.map(|host| routes.some_home_regions(host));
        let some_homes = some_homes.filter(|homes| !own_is_in(homes));
        let nodes: Vec<_> = some_homes.into_iter().flat_map(nodes_in_all).collect();
        let nodes = if nodes.is_empty() { own } else { nodes };
        (NamedRegions::Outside, nodes)
    }
}
