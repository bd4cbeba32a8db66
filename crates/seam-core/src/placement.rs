//! Which engine should load which model, and who orders it.
//!
//! Every node of a region works out the same wanted placement. The live node with the highest rank
//! gives the orders. Fencing numbers come from what the engines themselves report, so nothing is
//! written and a node that restarts or wakes late falls behind instead of ahead.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_protocol::id::rank;
use seam_protocol::{Bundle, ServiceId, TargetId, Time, VmId};

use crate::handle::TargetKey;
use crate::targets::{Phase, Targets};

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    Load(String),
    /// Unload a model.
    Unload(String),
}

/// Time after which an order without effect is given again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(60);
/// Bits of a fencing number that name the node, so that two nodes never give the same number.
const FENCE_NODE_BITS: u32 = 16;

/// Orders given by this node.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    ordered_at: BTreeMap<(TargetId, String), Time>,
    last_load: Option<Time>,
    leader_since: Option<Time>,
}

/// An order to be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub target: TargetKey,
    /// What it should do.
    pub order: Order,
    /// Fencing number.
    pub fence: u64,
}

/// Returns the next fencing number after the one that a target reports.
///
/// ```
/// use seam_core::placement::next_fence;
/// use seam_protocol::VmId;
/// let first = next_fence(0, VmId(1));
/// let second = next_fence(first, VmId(2));
/// assert!(second > first);
/// ```
#[must_use]
pub fn next_fence(reported: u64, me: VmId) -> u64 {
    let counter = (reported >> FENCE_NODE_BITS) + 1;
    (counter << FENCE_NODE_BITS) | u64::from(me.0 as u16)
}

/// Returns the time between two loads of one region, so that all regions together keep the rate.
#[must_use]
pub fn load_interval(bundle: &Bundle) -> Duration {
    const MINUTE: Duration = Duration::from_secs(60);
    let regions = bundle.deployment.regions.len().max(1) as u32;
    MINUTE * regions / bundle.deployment.loads.max(1)
}

impl Placement {
    /// Drops leadership, as after a pause.
    pub fn drop_leadership(&mut self) {
        self.leader_since = None;
    }

    /// Returns the next order, if this node leads and one is due.
    ///
    /// `live` holds the live nodes of the region with this one. A node that starts to lead waits
    /// for one gap first, since its predecessor may have ordered a load just before.
    pub fn next_order(
        &mut self,
        now: Time,
        bundle: &Bundle,
        me: VmId,
        live: &[VmId],
        targets: &Targets,
    ) -> Option<EngineOrder> {
        const SEED: u64 = 0x706c_6163;
        let leader = live.iter().max_by_key(|vm| rank(SEED, u64::from(vm.0)))?;
        if *leader != me {
            self.leader_since = None;
            return None;
        }
        let since = *self.leader_since.get_or_insert(now);
        let gap = load_interval(bundle);
        let last = self.last_load.unwrap_or(since).max(since);
        self.ordered_at
            .retain(|_, ordered_at| now.since(*ordered_at) < ORDER_RETRY_INTERVAL);
        if now.since(last) < gap {
            return None;
        }
        let wanted = bundle.services.iter().find_map(|(id, service)| {
            let mut copies = service.models.iter();
            copies.find_map(|(model, copies)| self.engine_for_copy(*id, model, *copies, targets))
        })?;
        let (target, model) = wanted;
        let state = targets.get(target);
        let reported = state.report.as_ref().map_or(0, |report| report.1.fence);
        self.ordered_at.insert((state.id, model.clone()), now);
        self.last_load = Some(now);
        Some(EngineOrder {
            target,
            order: Order::Load(model),
            fence: next_fence(reported, me),
        })
    }

    /// Returns the engine that should load a model of which copies are missing.
    fn engine_for_copy(
        &self,
        service: ServiceId,
        model: &str,
        copies: u32,
        targets: &Targets,
    ) -> Option<(TargetKey, String)> {
        let mut available = 0;
        let mut candidates = Vec::new();
        for (key, state) in targets.all() {
            if state.service != service || state.phase != Phase::Serving {
                continue;
            }
            // Without a report nothing is known of the engine, so nothing is ordered.
            let Some((_, report, _)) = &state.report else {
                continue;
            };
            let loaded = report.models.iter().any(|held| held == model);
            let ordered = self.ordered_at.contains_key(&(state.id, model.to_owned()));
            if loaded || ordered {
                available += 1;
            } else {
                candidates.push(key);
            }
        }
        if available >= copies {
            return None;
        }
        let seed = seam_protocol::Digest::of(model.as_bytes()).head();
        let best = candidates
            .into_iter()
            .max_by_key(|key| rank(seed, u64::from(targets.get(*key).id.0)))?;
        Some((best, model.to_owned()))
    }
}
