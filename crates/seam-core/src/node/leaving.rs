//! Targets that say in their answers that they are about to leave, before the platform lists it.
//!
//! A node that gets such an answer tells the other nodes of its region at once, and repeats it in its
//! heartbeats, since datagrams get lost and nodes start later.

use seam_protocol::{Heartbeat, TargetId, Time};

use super::Node;
use crate::command::Command;

/// Maximum number of leaving targets in a heartbeat.
const MAX_LEAVING: usize = 16;

impl Node {
    /// Handles an answer that says that its target is about to leave. The target gets nothing more from
    /// this node, whatever the platform lists.
    pub(super) fn handle_leaving(&mut self, now: Time, target: TargetId, out: &mut Vec<Command>) {
        if self.record_leaving(now, target, "its own answer", out) {
            self.tell_region(now, |heartbeat| heartbeat.leaving.push(target), out);
        }
    }

    /// Merges the leaving targets that another node of this region reports.
    pub(super) fn merge_leaving(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        for target in &heartbeat.leaving {
            let cause = format!("reported by node {}", heartbeat.from);
            self.record_leaving(now, *target, &cause, out);
        }
    }

    /// Records that a target leaves, and audits it. Returns whether this is news.
    fn record_leaving(
        &mut self,
        now: Time,
        target: TargetId,
        cause: &str,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(key) = self.targets.key(target) else {
            return false;
        };
        if self.targets.get(key).says_leaving() {
            return false;
        }
        let change = self.targets.record_leaving(now, key);
        self.record_phase_change(now, change, cause, out);
        true
    }

    /// Lists targets that said that they leave, others in each turn if there are too many.
    pub(super) fn list_leaving(&self, turn: usize, heartbeat: &mut Heartbeat) {
        let leaving = self.targets.all();
        let leaving = leaving.filter(|(_, state)| state.says_leaving());
        let mut leaving: Vec<TargetId> = leaving.map(|(_, state)| state.id).collect();
        let count = leaving.len().max(1);
        leaving.rotate_left(turn * MAX_LEAVING % count);
        leaving.truncate(MAX_LEAVING);
        heartbeat.leaving = leaving;
    }
}
