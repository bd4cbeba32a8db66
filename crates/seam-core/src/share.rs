//! Splits a target's slots over the nodes that use it.

use seam_protocol::id::rank;
use seam_protocol::{ServiceLoad, TargetId, VmId};

/// What one node asks of a target's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotDemand {
    /// The node.
    pub vm: VmId,
    /// Slots that it could use.
    pub wanted: f64,
    /// Sum of the weights of its active customers.
    pub weight: f64,
}

impl SlotDemand {
    /// Reads a node's word on its load, spread over a number of targets.
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

/// Returns each claim's part of some slots, before rounding.
///
/// A node that wants no more than its part by weight gets all it wants; the others share the rest
/// by weight. What nobody wants is split evenly.
fn shares(slots: f64, claims: &[SlotDemand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let ratio = |index: &usize| claims[*index].wanted / claims[*index].weight;
    order.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let mut shares = vec![0.0; claims.len()];
    let mut left = slots;
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    for index in order {
        let claim = claims[index];
        let fair_share = (left / weights).max(0.0) * claim.weight;
        shares[index] = claim.wanted.min(fair_share);
        left -= shares[index];
        weights -= claim.weight;
    }
    let spare = left.max(0.0) / claims.len().max(1) as f64;
    shares.iter().map(|part| part + spare).collect()
}

/// Splits a target's slots into whole parts that sum to all of them.
///
/// Nodes with the same beliefs get parts that fit together: what rounding leaves over goes by
/// a rank of node and target, so that no node is favoured at every target.
///
/// ```
/// use seam_core::share::{SlotDemand, split};
/// use seam_protocol::{TargetId, VmId};
/// let quiet = SlotDemand { vm: VmId(1), wanted: 2.0, weight: 6.0 };
/// let busy = SlotDemand { vm: VmId(2), wanted: 90.0, weight: 13.0 };
/// assert_eq!(split(8, TargetId(1), &[quiet, busy]), [2, 6]);
/// let parts = split(8, TargetId(1), &[quiet, quiet, quiet]);
/// assert_eq!(parts.iter().sum::<u32>(), 8);
/// ```
#[must_use]
pub fn split(slots: u32, target: TargetId, claims: &[SlotDemand]) -> Vec<u32> {
    let exact = shares(f64::from(slots), claims);
    let mut whole: Vec<u32> = exact.iter().map(|part| part.floor() as u32).collect();
    let over = slots.saturating_sub(whole.iter().sum());
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|index| {
        let claim = claims[*index];
        let fraction = (exact[*index].fract() * 8.0) as u64;
        let tie_break = rank(u64::from(target.0), u64::from(claim.vm.0));
        std::cmp::Reverse((fraction, tie_break))
    });
    for index in order.into_iter().cycle().take(over as usize) {
        whole[index] += 1;
    }
    whole
}
