//! Delays and failures of the links between nodes and regions.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::{RegionId, VmId};

/// One-way delay within a region.
pub const REGION_DELAY: Duration = Duration::from_micros(700);
/// One-way delay between a caller and a node.
pub const CALLER_DELAY: Duration = Duration::from_millis(1);
/// Maximum jitter, as a fraction of the delay.
const MAX_JITTER: f64 = 0.2;

/// State of the links.
#[derive(Clone, Debug, Default)]
pub struct Links {
    cut_regions: BTreeSet<(RegionId, RegionId)>,
    cut_nodes: BTreeSet<VmId>,
    /// Fraction of heartbeats that are lost.
    pub loss: f64,
}

fn pair(a: RegionId, b: RegionId) -> (RegionId, RegionId) {
    (a.min(b), a.max(b))
}

impl Links {
    /// Cuts or restores the link between two regions.
    pub fn set_region_link(&mut self, a: RegionId, b: RegionId, cut: bool) {
        if cut {
            self.cut_regions.insert(pair(a, b));
        } else {
            self.cut_regions.remove(&pair(a, b));
        }
    }

    /// Cuts or restores a node's links to all other nodes.
    pub fn set_node_links(&mut self, vm: VmId, cut: bool) {
        if cut {
            self.cut_nodes.insert(vm);
        } else {
            self.cut_nodes.remove(&vm);
        }
    }

    /// Restores every link; the loss of heartbeats stays.
    pub fn heal(&mut self) {
        self.cut_regions.clear();
        self.cut_nodes.clear();
    }

    /// Returns whether one node can reach another.
    #[must_use]
    pub fn connected(&self, from: (VmId, RegionId), to: (VmId, RegionId)) -> bool {
        let cut = self.cut_nodes.contains(&from.0) || self.cut_nodes.contains(&to.0);
        !cut && !self.cut_regions.contains(&pair(from.1, to.1))
    }

    /// Returns whether any link is cut.
    #[must_use]
    pub fn any_cut(&self) -> bool {
        !self.cut_regions.is_empty() || !self.cut_nodes.is_empty()
    }
}

/// Returns a delay with random jitter added.
pub fn with_jitter(rng: &mut Pcg64Mcg, delay: Duration) -> Duration {
    delay.mul_f64(1.0 + MAX_JITTER * rng.random_range(0.0..1.0))
}
