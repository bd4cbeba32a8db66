//! Exchange of work updates between the nodes of a region, several times a second.
//!
//! An update reports a node's running requests at shared targets, and the prompt parts that it has
//! sent there, and what it just learned of their speeds. With few targets behind many nodes, each node would
//! otherwise see only its own requests, and would send a prompt to an engine that has to prefill it again.

use std::collections::BTreeSet;
use std::time::Duration;

use seam_protocol::heartbeat::{
    PrefilledPart, SpeedReport, TargetMoment, TargetSample, TargetWork,
};
use seam_protocol::{Heartbeat, Time, VmId};

use super::Node;
use super::rate_limits::LimitSelection;
use crate::command::Command;
use crate::handle::TargetKey;
use crate::targets::PrefillSample;

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
/// Limit of slow moments in one update. Of 28 targets that are slow for 0.15 of the time, 4 are at once.
const MAX_MOMENTS: usize = 8;
/// Limit of measurements in one update. Two from each of 24 nodes tell the speeds of 28 engines in a second.
const MAX_SAMPLES: usize = 2;
/// Deviation of the factor of the moment above which a measurement is not shared.
const MAX_DOUBT: f64 = 0.1;

/// Changes that the next work update reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingUpdate {
    last_sent: Time,
    changed: bool,
    parts: Vec<PrefilledPart>,
    moments: BTreeSet<TargetKey>,
    samples: Vec<TargetSample>,
}

impl PendingUpdate {
    /// Records that this node's work at a target changed.
    pub(crate) fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Records that a target told of an unusual moment, or of the end of one.
    pub(crate) fn add_moment(&mut self, target: TargetKey) {
        if self.moments.len() < MAX_MOMENTS {
            self.moments.insert(target);
        }
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
        let speeds = self.take_speeds(now);
        let own_work = self.targets.own_work();
        let peers: Vec<VmId> = self.alive.iter().copied().collect();
        let me = self.id.vm;
        for to in peers.into_iter().filter(|vm| *vm != me) {
            let sent = self.next_timestamp(now);
            if let Some((address, mut heartbeat)) = self.new_short_heartbeat(sent, to) {
                heartbeat.target_work = Some(own_work.clone());
                heartbeat.prefilled.clone_from(&parts);
                heartbeat.speeds.clone_from(&speeds);
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

    /// Returns what the next update reports of the speeds of targets.
    fn take_speeds(&mut self, now: Time) -> SpeedReport {
        let moments = std::mem::take(&mut self.pending_update.moments);
        let moments = moments.into_iter().filter_map(|key| {
            let state = self.targets.get(key);
            let (at, percent) = state.moment.reported()?;
            Some(TargetMoment {
                target: state.id,
                percent,
                age: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
            })
        });
        SpeedReport {
            moments: moments.collect(),
            samples: std::mem::take(&mut self.pending_update.samples),
        }
    }

    /// Reports a measurement with the next update if the engine's speed is not well known. Each node sees
    /// few of the requests of a region, and would need many seconds to learn the speed by itself.
    pub(super) fn share_sample(&mut self, target: TargetKey, sample: PrefillSample) {
        let state = self.targets.get(target);
        let samples = &mut self.pending_update.samples;
        let useful = state.reports_moments
            && state.engine.slowness().uncertain()
            && sample.doubt <= MAX_DOUBT;
        if useful && samples.len() < MAX_SAMPLES {
            samples.push(TargetSample {
                target: state.id,
                tokens: u32::try_from(sample.tokens).unwrap_or(u32::MAX),
                running: sample.running,
                micros: (sample.millis * 1000.0).round() as u32,
            });
        }
    }

    /// Records what another node learned of the speeds of targets.
    pub(super) fn merge_speeds(&mut self, now: Time, heartbeat: &Heartbeat) {
        for moment in &heartbeat.speeds.moments {
            if let Some(key) = self.targets.key(moment.target) {
                let age = Duration::from_millis(moment.age.into());
                self.targets.record_moment(now - age, key, moment.percent);
            }
        }
        for sample in &heartbeat.speeds.samples {
            if let Some(key) = self.targets.key(sample.target) {
                let measured = PrefillSample {
                    tokens: sample.tokens.into(),
                    running: sample.running,
                    millis: f64::from(sample.micros) / 1000.0,
                    doubt: MAX_DOUBT,
                };
                self.targets.record_shared_sample(now, key, measured);
            }
        }
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
                && self.targets.get(key).memory_tokens().is_some()
            {
                let room = self.targets.get(key).cache_room(now);
                self.prefixes
                    .record_part(now, key, part.part, part.tokens, room);
            }
        }
    }
}
