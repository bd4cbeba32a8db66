//! Which nodes of a region use which targets.

use std::collections::BTreeSet;

use seam_protocol::id::rank;
use seam_protocol::{ServiceId, TargetId, VmId};

/// Most nodes that share one target.
const MAX_NODES_PER_TARGET: usize = 8;
/// Slots of a service for each node that uses its targets. Smaller parts would idle at one node
/// while requests wait at another.
const SLOTS_PER_NODE: u32 = 16;

/// Who uses a service's targets in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeSubset {
    /// The service.
    pub service: ServiceId,
    /// Slots of all its targets in the region.
    pub slots: u32,
    /// Whether every node uses it, since a request's node may be fixed by its key.
    pub every_node: bool,
}

/// Returns the nodes that use a service's targets, by rendezvous, so that churn moves only the
/// share of who left. Other nodes of the region hand them their requests.
#[must_use]
pub fn service_nodes(subset: NodeSubset, alive: &BTreeSet<VmId>) -> Vec<VmId> {
    let mut nodes: Vec<VmId> = alive.iter().copied().collect();
    if subset.every_node {
        return nodes;
    }
    let most = (subset.slots / SLOTS_PER_NODE).max(1) as usize;
    if nodes.len() > most {
        let key = u64::from(subset.service.0);
        nodes.sort_by_key(|vm| std::cmp::Reverse(rank(key, u64::from(vm.0))));
        nodes.truncate(most);
    }
    nodes
}

/// Returns those of a service's users that use one target.
#[must_use]
pub fn target_nodes(target: TargetId, subset: NodeSubset, alive: &BTreeSet<VmId>) -> Vec<VmId> {
    let mut nodes = service_nodes(subset, alive);
    if nodes.len() > MAX_NODES_PER_TARGET && !subset.every_node {
        nodes.sort_by_key(|vm| std::cmp::Reverse(rank(u64::from(target.0), u64::from(vm.0))));
        nodes.truncate(MAX_NODES_PER_TARGET);
    }
    nodes
}
