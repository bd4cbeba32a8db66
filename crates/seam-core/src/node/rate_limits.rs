//! Rate limits that targets name in their answers, for all nodes of their region together.

use std::time::Duration;

use seam_protocol::heartbeat::TargetLimit;
use seam_protocol::{Heartbeat, ServiceId, TargetId, Time, VersionId, VmId};

use super::Node;
use crate::audit::Change;
use crate::command::Command;
use crate::handle::{AttemptKey, TargetKey};
use crate::request::Destination;
use crate::targets::{AdvertisedLimit, limit_share};

/// Maximum number of limits in a heartbeat.
const MAX_LIMITS: usize = 4;
/// The same maximum in a heartbeat to a node that may know none.
const MAX_LIMITS_TO_NEW: usize = 64;
/// Time for which the end of a limit is reported to other nodes.
const ENDED_TTL: Duration = Duration::from_secs(30);

/// Which limits to report in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LimitSelection {
    /// Those that changed since the last work update.
    Changed,
    /// A few of all, by the receiver's turn.
    Turn(usize),
    /// All, for a node that may know none.
    All,
}

impl Node {
    /// Handles the limit that an answer to an attempt names, in requests per second, or `None` for an
    /// answer without one.
    pub(super) fn handle_advertised_limit(
        &mut self,
        now: Time,
        key: AttemptKey,
        rate: Option<f64>,
        out: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let Destination::Target(target) = attempt.destination else {
            return;
        };
        if rate.is_none() {
            // A target that named a limit while this request was already there may still name it.
            let advertised = self.targets.get(target).rate_limit.advertised();
            let is_end = advertised.is_some_and(|advertised| {
                advertised.rate.is_some() && advertised.received < attempt.started
            });
            if !is_end {
                return;
            }
        }
        // An answer that waited while this process was paused may be as old as its request.
        let paused = self.freshness.paused_since(attempt.started);
        let received = if paused { attempt.started } else { now };
        let advertised = AdvertisedLimit { rate, received };
        if self.record_limit(now, target, advertised, "an answer", out) {
            self.changed_limits.insert(target);
            self.pending_update.mark_changed();
        }
        let service = self.targets.get(target).service;
        self.dispatch(now, service, out);
    }

    /// Returns whether a target names a limit.
    #[must_use]
    pub fn is_rate_limited(&self, target: TargetId) -> bool {
        self.rate_limit(target).is_some()
    }

    /// Returns the limit that a target names, in requests per second from all nodes together.
    #[must_use]
    pub fn rate_limit(&self, target: TargetId) -> Option<f64> {
        let key = self.targets.key(target)?;
        self.targets.get(key).rate_limit.rate()
    }

    /// Merges the limits that another node reports.
    pub(super) fn merge_limits(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        let cause = format!("reported by node {}", heartbeat.from);
        for limit in &heartbeat.limits {
            let valid = limit.rate.is_none_or(|rate| rate >= 0.0);
            if let Some(target) = self.targets.key(limit.target).filter(|_| valid) {
                let advertised = AdvertisedLimit {
                    rate: limit.rate.map(f64::from),
                    received: now - Duration::from_millis(limit.age.into()),
                };
                self.record_limit(now, target, advertised, &cause, out);
            }
        }
    }

    /// Records what a target advertises of its limit, and audits a change. Returns whether there is one.
    fn record_limit(
        &mut self,
        now: Time,
        target: TargetKey,
        advertised: AdvertisedLimit,
        cause: &str,
        out: &mut Vec<Command>,
    ) -> bool {
        let old = self.targets.record_advertised_limit(target, advertised);
        let id = self.targets.get(target).id;
        self.update_limit_share(target);
        let Some(old) = old else {
            return false;
        };
        // Other nodes report rates with less precision.
        let text =
            |rate: Option<f64>| rate.map_or("none".to_owned(), |rate| format!("{rate:.2}/s"));
        out.push(self.audit(
            now,
            Change::RateLimit,
            format!("target {id}"),
            (text(old), text(advertised.rate)),
            cause,
        ));
        true
    }

    /// Sets this node's share of each limit that a target names.
    pub(super) fn update_limit_shares(&mut self) {
        let limited = self.targets.all();
        let limited = limited.filter(|(_, state)| state.rate_limit.rate().is_some());
        let keys: Vec<TargetKey> = limited.map(|(key, _)| key).collect();
        for key in keys {
            self.update_limit_share(key);
        }
    }

    fn update_limit_share(&mut self, target: TargetKey) {
        let state = self.targets.get(target);
        let Some(rate) = state.rate_limit.rate() else {
            return;
        };
        let (nodes, rank) = self.rank_for_target(state.id);
        let share = limit_share(rate, nodes, rank);
        self.targets.set_limit_share(target, self.boot, share);
    }

    /// Returns the number of nodes of this region and this node's position among them for a target.
    ///
    /// Nodes that are not known to be alive count too, since they may still reach the target.
    pub(super) fn rank_for_target(&self, target: TargetId) -> (usize, usize) {
        let Some(bundle) = &self.bundle else {
            return (1, 0);
        };
        let nodes: Vec<VmId> = bundle.deployment.vms_in(self.id.region).collect();
        let rank_of = |vm: VmId| seam_protocol::id::rank(u64::from(target.0), u64::from(vm.0));
        let own = rank_of(self.id.vm);
        let rank = nodes.iter().filter(|vm| rank_of(**vm) > own).count();
        (nodes.len(), rank)
    }

    /// Predicts how long a request waits until this node may send one to a target of a service, if
    /// all of them take only a granted rate.
    pub(super) fn granted_wait(
        &self,
        now: Time,
        service: ServiceId,
        version: Option<VersionId>,
    ) -> Duration {
        let queued = self.service_states.get(&service);
        let queued = queued.map_or(0, |state| state.queue.queued());
        self.targets.granted_wait(now, service, version, queued)
    }

    /// Adds limits to a heartbeat for a node of this region.
    pub(super) fn list_limits(
        &self,
        now: Time,
        selection: LimitSelection,
        heartbeat: &mut Heartbeat,
    ) {
        let is_reported = |advertised: &AdvertisedLimit| {
            advertised.rate.is_some() || now.since(advertised.received) < ENDED_TTL
        };
        let is_changed = |key: &TargetKey| self.changed_limits.contains(key);
        let mut limits: Vec<TargetLimit> = self
            .targets
            .all()
            .filter(|(key, _)| selection != LimitSelection::Changed || is_changed(key))
            .filter_map(|(_, state)| {
                let advertised = state.rate_limit.advertised().filter(is_reported)?;
                Some(TargetLimit {
                    target: state.id,
                    rate: advertised.rate.map(|rate| rate as f32),
                    age: now.since(advertised.received).as_millis() as u32,
                })
            })
            .collect();
        match selection {
            LimitSelection::Changed => {}
            LimitSelection::Turn(turn) => {
                let count = limits.len().max(1);
                limits.rotate_left(turn * MAX_LIMITS % count);
                limits.truncate(MAX_LIMITS);
            }
            LimitSelection::All => limits.truncate(MAX_LIMITS_TO_NEW),
        }
        heartbeat.limits = limits;
    }

    /// Reports the limits to a node of this region that may know none.
    pub(super) fn report_limits(&mut self, now: Time, to: VmId, out: &mut Vec<Command>) {
        let sent = self.next_timestamp(now);
        let Some((address, mut heartbeat)) = self.new_short_heartbeat(sent, to) else {
            return;
        };
        self.list_limits(now, LimitSelection::All, &mut heartbeat);
        if !heartbeat.limits.is_empty() {
            out.push(Command::Heartbeat {
                to,
                address,
                heartbeat,
            });
        }
    }

    /// Forgets the changes, once they were reported.
    pub(super) fn clear_changed_limits(&mut self) {
        self.changed_limits.clear();
    }
}
