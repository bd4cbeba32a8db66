//! Splits a target's slots among the nodes that use it.

use seam_protocol::id::rank;
use seam_protocol::{ServiceLoad, TargetId, VmId};

/// Demand of one node for a target's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotDemand {
    /// The node.
    pub vm: VmId,
    /// Number of slots that the node could use.
    pub wanted: f64,
    /// Sum of the weights of its active customers.
    pub weight: f64,
}

impl SlotDemand {
    /// Creates the demand of a node from its reported load, divided by the number of targets.
    ///
    /// A node without a report counts with one slot and a weight of one.
    #[must_use]
    pub fn from_load(vm: VmId, load: Option<ServiceLoad>, targets: f64) -> Self {
        let (wanted, weight) = load.map_or((1, 1), |load| (load.wanted, load.weight));
        Self {
            vm,
            wanted: f64::from(wanted.max(1)) / targets.max(1.0),
            weight: f64::from(weight.max(1)),
        }
    }
}

/// Returns each node's share of the slots, before rounding.
///
/// A node that wants no more than its share by weight gets all it wants, and the others divide the
/// rest by weight. Slots that no node wants are split evenly.
fn shares(slots: f64, demands: &[SlotDemand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let ratio = |index: &usize| demands[*index].wanted / demands[*index].weight;
    order.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let mut shares = vec![0.0; demands.len()];
    let mut remaining = slots;
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    for index in order {
        let demand = demands[index];
        let fair_share = (remaining / weights).max(0.0) * demand.weight;
        shares[index] = demand.wanted.min(fair_share);
        remaining -= shares[index];
        weights -= demand.weight;
    }
    let spare = remaining.max(0.0) / demands.len().max(1) as f64;
    shares.iter().map(|share| share + spare).collect()
}

/// Splits a target's slots into integer shares that sum to the total.
///
/// Nodes with the same view of the demands compute the same split. Slots left over by rounding go
/// to the largest fractions, compared in eighths. A rank of node and target breaks ties, so that no
/// node is preferred at every target.
///
/// ```
/// use seam_core::share::{SlotDemand, split};
/// use seam_protocol::{TargetId, VmId};
/// let quiet = SlotDemand { vm: VmId(1), wanted: 2.0, weight: 6.0 };
/// let busy = SlotDemand { vm: VmId(2), wanted: 90.0, weight: 13.0 };
/// assert_eq!(split(8, TargetId(1), &[quiet, busy]), [2, 6]);
/// let shares = split(8, TargetId(1), &[quiet, quiet, quiet]);
/// assert_eq!(shares.iter().sum::<u32>(), 8);
/// ```
#[must_use]
pub fn split(slots: u32, target: TargetId, demands: &[SlotDemand]) -> Vec<u32> {
    let exact = shares(f64::from(slots), demands);
    let mut rounded: Vec<u32> = exact.iter().map(|share| share.floor() as u32).collect();
    let leftover = slots.saturating_sub(rounded.iter().sum());
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| {
        let demand = demands[*index];
        let fraction = (exact[*index].fract() * 8.0) as u64;
        let tie_break = rank(u64::from(target.0), u64::from(demand.vm.0));
        std::cmp::Reverse((fraction, tie_break))
    });
    for index in order.into_iter().cycle().take(leftover as usize) {
        rounded[index] += 1;
    }
    rounded
}
