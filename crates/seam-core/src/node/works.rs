//! What the nodes of a region tell each other of their work at shared targets, several times a second.
//!
//! Answers to the pattern of few targets behind many nodes: each node would otherwise see only its
//! own requests there, and prompts would be read again at a second engine.

use std::time::Duration;

use seam_protocol::heartbeat::{PartRead, TargetWork};
use seam_protocol::{Heartbeat, Time, VmId};

use super::Node;
use crate::command::Command;
use crate::handle::TargetKey;

/// Shortest time between two words, in a region of few nodes.
const PERIOD: Duration = Duration::from_millis(50);
/// Nodes of a region for which the shortest time holds. With more, words are rarer, so that their
/// number at each node does not grow faster than the region.
const FEW: u32 = 6;
/// Most parts of prompts in one word.
const MOST_PARTS: usize = 256;

/// What is still to be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingUpdate {
    told: Time,
    changed: bool,
    parts: Vec<PartRead>,
}

impl PendingUpdate {
    /// Notes that this node's work at a target changed.
    pub(crate) fn change(&mut self) {
        self.changed = true;
    }

    /// Notes a part of a prompt that a target reads.
    pub(crate) fn read(&mut self, part: PartRead) {
        if self.parts.len() < MOST_PARTS {
            self.parts.push(part);
        }
    }
}

impl Node {
    /// Tells the nodes of the region of this node's work if it changed.
    pub(super) fn send_work_update(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.roster.is_none() || !self.pending_update.changed {
            return;
        }
        let nodes = self.alive.len() as u32;
        let period = PERIOD * nodes.div_ceil(FEW).max(1);
        if now.since(self.pending_update.told) < period {
            return;
        }
        self.pending_update.told = now;
        self.pending_update.changed = false;
        let parts = std::mem::take(&mut self.pending_update.parts);
        let works = self.targets.works();
        let peers: Vec<VmId> = self.alive.iter().copied().collect();
        let me = self.id.vm;
        for to in peers.into_iter().filter(|vm| *vm != me) {
            let sent = self.next_timestamp(now);
            if let Some((address, mut beat)) = self.new_short_heartbeat(sent, to) {
                beat.works = Some(works.clone());
                beat.parts.clone_from(&parts);
                out.push(Command::Beat { to, address, beat });
            }
        }
    }

    /// Takes in another node's work.
    pub(super) fn merge_work(&mut self, now: Time, beat: &Heartbeat) {
        let Some(works) = &beat.works else {
            return;
        };
        let works: Vec<(TargetKey, TargetWork)> = works
            .iter()
            .filter_map(|work| Some((self.targets.key(work.target)?, *work)))
            .collect();
        self.targets.hear_work(now, beat.from, &works);
        for part in &beat.parts {
            if let Some(key) = self.targets.key(part.target)
                && let Some(memory) = self.targets.get(key).memory()
            {
                self.prefixes
                    .note_part(now, key, part.part, part.tokens, memory);
            }
        }
    }
}
