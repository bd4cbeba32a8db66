//! Room at targets that fall over if they have to turn away many requests.

use std::time::Duration;

use seam_protocol::Time;

/// Time for which a node sends nothing more to a brittle target that turned a request away.
const PAUSE: Duration = Duration::from_secs(1);

/// This node's room at a target that is brittle.
#[derive(Clone, Copy, Debug, Default)]
pub struct BrittleRoom {
    /// Requests that this node may run there, whatever other nodes do.
    pub share: u32,
    /// When the target last turned away a request of this node.
    pub rejected: Option<Time>,
}

impl BrittleRoom {
    /// Returns whether the target has room for one more request of this node, beside those that run.
    ///
    /// With more nodes than slots, a node without a share goes by the load that others report.
    #[must_use]
    pub fn is_sure(&self, now: Time, running: u32, load: u32, slots: u32) -> bool {
        let paused = self.rejected.is_some_and(|at| now.since(at) < PAUSE);
        let within = if self.share > 0 {
            running < self.share
        } else {
            load < slots / 2
        };
        !paused && within
    }
}

/// Returns a node's share of a target's slots. There is a share more than nodes, since a new one may
/// not be known yet.
///
/// ```
/// use seam_core::targets::slot_share;
/// assert_eq!((0..3).map(|rank| slot_share(8, 3, rank)).sum::<u32>(), 6);
/// assert_eq!(slot_share(6, 30, 5), 1);
/// assert_eq!(slot_share(6, 30, 6), 0);
/// ```
#[must_use]
pub fn slot_share(slots: u32, nodes: usize, rank: usize) -> u32 {
    let holders = u32::try_from(nodes + 1).unwrap_or(u32::MAX);
    let rest = slots % holders;
    slots / holders + u32::from(slots < holders && (rank as u32) < rest)
}
