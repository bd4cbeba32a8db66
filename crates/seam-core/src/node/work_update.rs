//! Exchange of work updates between the nodes of a region, several times a second.
//!
//! An update reports a node's running requests at shared targets, and the prompt parts that it has
//! sent there. With few targets behind many nodes, each node would otherwise see only its own
//! requests, and would send a prompt to an engine that has to prefill it again.

use std::time::Duration;

use seam_protocol::heartbeat::{PrefilledPart, TargetWork};
use seam_protocol::{Heartbeat, Time, VmId};

use super::Node;
use super::rate_limits::LimitSelection;
use crate::command::Command;
use crate::handle::TargetKey;

/// Shortest interval between two updates, used in a region of few nodes.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of nodes in a region for which [`MIN_INTERVAL`] holds. With more nodes the
/// interval grows in proportion, so that the rate of updates that each node receives stays bounded.
const MIN_INTERVAL_NODES: u32 = 6;
/// Time after an update from which heartbeats report the work too, a third of the time for which it is
/// known elsewhere.
const REPEAT_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of targets whose work heartbeats report, so that these stay small.
const MAX_REPEATED: usize = 64;
/// Limit of prompt parts in one update.
const MAX_PARTS: usize = 256;

/// Changes that the next work update reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingUpdate {
    last_sent: Time,
    changed: bool,
    parts: Vec<PrefilledPart>,
}

impl PendingUpdate {
    /// Records that this node's work at a target changed.
    pub(crate) fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Records a prompt part that a target prefills.
    pub(crate) fn add_part(&mut self, part: PrefilledPart) {
        if self.parts.len() < MAX_PARTS {
            self.parts.push(part);
        }
    }
}

impl Node {
    /// Sends this node's work to the live nodes of its region, if it changed and an update is due.
    pub(super) fn send_work_update(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.roster.is_none() || !self.pending_update.changed {
            return;
        }
        if now.since(self.pending_update.last_sent) < self.update_interval() {
            return;
        }
        self.pending_update.last_sent = now;
        self.pending_update.changed = false;
        let parts = std::mem::take(&mut self.pending_update.parts);
        let own_work = self.targets.own_work();
        let peers: Vec<VmId> = self.alive.iter().copied().collect();
        let me = self.id.vm;
        for to in peers.into_iter().filter(|vm| *vm != me) {
            let sent = self.next_timestamp(now);
            if let Some((address, mut heartbeat)) = self.new_short_heartbeat(sent, to) {
                heartbeat.target_work = Some(own_work.clone());
                heartbeat.prefilled.clone_from(&parts);
                heartbeat.streams = self.streams.take_report(to);
                self.list_limits(now, LimitSelection::Changed, &mut heartbeat);
                out.push(Command::Heartbeat {
                    to,
                    address,
                    heartbeat,
                });
            }
        }
        self.clear_changed_limits();
    }

    /// Returns the time between two updates.
    fn update_interval(&self) -> Duration {
        let nodes = self.alive.len() as u32;
        MIN_INTERVAL * nodes.div_ceil(MIN_INTERVAL_NODES).max(1)
    }

    /// Adds this node's work to a heartbeat for a node of its region, unless an update has just reported
    /// it. Otherwise work that does not change would count as ended, and a node that has just started
    /// would not know it.
    pub(super) fn list_work(&self, now: Time, heartbeat: &mut Heartbeat) {
        let delay = REPEAT_DELAY.max(2 * self.update_interval());
        let updated = now.since(self.pending_update.last_sent) < delay;
        if self.roster.is_none() || updated {
            return;
        }
        let own_work = self.targets.own_work();
        let repeated = (1..=MAX_REPEATED).contains(&own_work.len());
        heartbeat.target_work = repeated.then_some(own_work);
    }

    /// Merges a work update of another node.
    pub(super) fn merge_work(&mut self, now: Time, heartbeat: &Heartbeat) {
        let Some(target_work) = &heartbeat.target_work else {
            return;
        };
        let target_work: Vec<(TargetKey, TargetWork)> = target_work
            .iter()
            .filter_map(|work| Some((self.targets.key(work.target)?, *work)))
            .collect();
        self.targets.merge_work(now, heartbeat.from, &target_work);
        for part in &heartbeat.prefilled {
            if let Some(key) = self.targets.key(part.target)
                && let Some(memory) = self.targets.get(key).memory_tokens()
            {
                if !self.prefixes.holds(key, part.part) {
                    self.targets.record_tokens(now, key, part.tokens);
                }
                self.prefixes
                    .record_part(now, key, part.part, part.tokens, memory);
            }
        }
    }
}
