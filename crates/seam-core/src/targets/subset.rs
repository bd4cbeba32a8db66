//! Subsetting: which nodes of a region use which targets.

use std::collections::BTreeSet;

use seam_protocol::id::rank;
use seam_protocol::{ServiceId, TargetId, VmId};

/// Largest number of nodes that share one target.
const MAX_NODES_PER_TARGET: usize = 8;
/// Slots of a service per node that uses its targets. With smaller shares, slots would be idle at
/// one node while requests wait at another.
const SLOTS_PER_NODE: u32 = 16;

/// Parameters that decide which nodes of a region use a service's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeSubset {
    /// Service.
    pub service: ServiceId,
    /// Total slots of the service's targets in the region.
    pub slots: u32,
    /// Whether every node uses the targets, because a request's key may fix its node.
    pub every_node: bool,
}

/// Returns the nodes that use a service's targets.
///
/// Rendezvous hashing selects them, so that a node that leaves moves only its own share. Other
/// nodes of the region forward their requests to them.
#[must_use]
pub fn service_nodes(subset: NodeSubset, alive: &BTreeSet<VmId>) -> Vec<VmId> {
    let mut nodes: Vec<VmId> = alive.iter().copied().collect();
    if subset.every_node {
        return nodes;
    }
    let max_nodes = (subset.slots / SLOTS_PER_NODE).max(1) as usize;
    if nodes.len() > max_nodes {
        let key = u64::from(subset.service.0);
        nodes.sort_by_key(|vm| std::cmp::Reverse(rank(key, u64::from(vm.0))));
        nodes.truncate(max_nodes);
    }
    nodes
}

/// Returns the nodes among a service's nodes that use one of its targets.
#[must_use]
pub fn target_nodes(target: TargetId, subset: NodeSubset, alive: &BTreeSet<VmId>) -> Vec<VmId> {
    let mut nodes = service_nodes(subset, alive);
    if nodes.len() > MAX_NODES_PER_TARGET && !subset.every_node {
        nodes.sort_by_key(|vm| std::cmp::Reverse(rank(u64::from(target.0), u64::from(vm.0))));
        nodes.truncate(MAX_NODES_PER_TARGET);
    }
    nodes
}
