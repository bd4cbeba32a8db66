//! Places models on engines.
//!
//! Every node of a region computes the same desired placement, and the live node with the highest
//! rank sends the orders. Fencing tokens are derived from those that the engines report, so no
//! state is stored, and the orders of a node that restarts or resumes late carry a stale token.

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

/// Time after which an order that has had no effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(60);
/// Low bits of a fencing token that identify the node, so that two nodes never use the same one.
const FENCE_NODE_BITS: u32 = 16;

/// State of the orders that this node sends.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// Time of the last order of each model to each engine.
    ordered_at: BTreeMap<(TargetId, String), Time>,
    last_load: Option<Time>,
    leader_since: Option<Time>,
}

/// An order for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub target: TargetKey,
    /// The order.
    pub order: Order,
    /// Fencing token of the order.
    pub fence: u64,
}

/// Returns the fencing token that follows the one reported by a target.
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

/// Returns the interval between two loads in a region, so that all regions together keep to the
/// configured loads per minute.
#[must_use]
pub fn load_interval(bundle: &Bundle) -> Duration {
    const MINUTE: Duration = Duration::from_secs(60);
    let regions = bundle.deployment.regions.len().max(1) as u32;
    MINUTE * regions / bundle.deployment.loads_per_minute.max(1)
}

impl Placement {
    /// Gives up leadership, for example after this process was paused.
    pub fn drop_leadership(&mut self) {
        self.leader_since = None;
    }

    /// Returns the next order if this node is the leader and one is due.
    ///
    /// `live` holds the live nodes of the region, including this one. A new leader first waits for
    /// one load interval, since its predecessor may have ordered a load just before.
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
        let interval = load_interval(bundle);
        let last = self.last_load.unwrap_or(since).max(since);
        self.ordered_at
            .retain(|_, ordered_at| now.since(*ordered_at) < ORDER_RETRY_INTERVAL);
        if now.since(last) < interval {
            return None;
        }
        let next_load = bundle.services.iter().find_map(|(id, service)| {
            let mut copies = service.models.iter();
            copies.find_map(|(model, copies)| self.engine_for_copy(*id, model, *copies, targets))
        })?;
        let (target, model) = next_load;
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

    /// Returns the engine that should load a model, if the service has fewer than `copies` of it.
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
            // The models and fencing token of an engine without a report are unknown.
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
        let seed = seam_protocol::Digest::of(model.as_bytes()).leading_u64();
        let engine = candidates
            .into_iter()
            .max_by_key(|key| rank(seed, u64::from(targets.get(*key).id.0)))?;
        Some((engine, model.to_owned()))
    }
}
