//! Targets that take few requests for some time, since their caches are empty.
//!
//! The platform lists how long a target is cold. It may not hear of it: a target that starts again while it
//! is cut off from the platform keeps its entry. So a target that was lost and found again counts as cold
//! until it says in a health check how long it is, here or to another node of the region. So does one whose
//! entry lapsed, until it publishes it again. Nodes that a target refused tell the others, which verify it.

use std::time::Duration;

use seam_protocol::heartbeat::ColdReport;
use seam_protocol::{Heartbeat, TargetId, Time};

use super::Node;
use super::attempts::MAX_SILENCE;
use crate::audit::Change;
use crate::catalogue::RENEWAL_WINDOW;
use crate::command::Command;
use crate::handle::TargetKey;
use crate::roster::Roster;
use crate::targets::{Phase, RateShare, cold_share};

impl Node {
    /// Limits requests to a target that accepts work again as if it were cold, until it has
    /// published its entry again.
    ///
    /// Its earlier entry, from before it left or its data centre was evacuated, does not show
    /// whether its cache is cold now.
    pub(super) fn presume_cold(&mut self, now: Time, id: TargetId, out: &mut Vec<Command>) {
        if let Some(key) = self.targets.key(id)
            && self.targets.get(key).capacity.cold_rate > 0.0
        {
            self.targets.record_loss(now, key);
            self.limit_presumed(now, key, RENEWAL_WINDOW, "its return", out);
        }
    }

    /// Limits requests to a target whose entry lapsed, until it is published again: the entry does not show
    /// whether the target became cold since.
    pub(super) fn presume_lapsed(&mut self, now: Time, id: TargetId, out: &mut Vec<Command>) {
        let key = self.targets.key(id);
        let Some(key) = key.filter(|key| self.targets.get(*key).capacity.cold_start > 0) else {
            return;
        };
        let (share, nodes) = self.own_cold_share(id, self.targets.get(key).capacity.cold_rate);
        let until = now + RENEWAL_WINDOW;
        let source = "its entry lapsed";
        self.audit_cold(now, key, until, (share.allowed, nodes), source, out);
        self.targets.lapse(now, key, self.boot, until, share);
    }

    /// Limits requests to a target that this node does not reach, since it may start meanwhile. Returns
    /// this node's share.
    ///
    /// If other nodes send it more than a cold target takes, the links of this node are at fault.
    pub(super) fn suspect_restart(
        &mut self,
        now: Time,
        key: TargetKey,
        out: &mut Vec<Command>,
    ) -> u32 {
        let state = self.targets.get(key);
        let capacity = state.capacity;
        let busy = f64::from(state.active_elsewhere(now)) > capacity.cold_rate;
        if self.roster.is_none() || capacity.cold_start == 0 || busy {
            return 0;
        }
        let span = Duration::from_millis(capacity.cold_start);
        self.limit_presumed(now, key, span, "it was out of reach", out)
    }

    /// Limits requests to a target that this node lost and found again, and asks it how long it is cold.
    ///
    /// A node without a share does not ask, as all nodes might at the same time.
    pub(super) fn check_restart(&mut self, now: Time, key: TargetKey, out: &mut Vec<Command>) {
        let allowed = self.suspect_restart(now, key, out);
        let state = self.targets.get(key);
        let services = self.bundle.as_ref().map(|bundle| &bundle.services);
        let spec = services.and_then(|services| services.get(&state.service));
        if allowed > 0 && spec.is_some_and(|spec| spec.health.is_some()) {
            out.push(Command::CheckHealth {
                target: state.id,
                service: state.service,
                address: state.spec.address,
            });
            self.targets.begin_health_check(now, key);
        }
    }

    /// Reports to the region that no process listens at the address of a target, so that nodes without requests
    /// there learn that it may start again. Of the nodes that notice it, the first ones report it.
    pub(super) fn report_refusal(&mut self, now: Time, key: TargetKey, out: &mut Vec<Command>) {
        let state = self.targets.get(key);
        let (target, cold_start) = (state.id, state.capacity.cold_start);
        if cold_start > 0 && self.targets.note_refusal(now, key) {
            self.tell_region(now, |heartbeat| heartbeat.refused.push(target), out);
        }
    }

    /// Probes targets that refused a connection of another node of this region. One that runs requests of this
    /// node is not probed: they would have broken.
    pub(super) fn verify_refused(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        for target in &heartbeat.refused {
            let Some(key) = self.targets.key(*target) else {
                continue;
            };
            self.targets.note_refusal(now, key);
            let state = self.targets.get(key);
            if state.phase == Phase::Serving && state.running == 0 {
                self.probe(now, key, MAX_SILENCE, out);
            }
        }
    }

    /// Handles a target's own statement, asked at a time, of how long it is cold, zero if it is not.
    pub(super) fn handle_cold_report(
        &mut self,
        now: Time,
        target: TargetId,
        cold: Duration,
        asked: Time,
        out: &mut Vec<Command>,
    ) {
        self.record_cold(now, target, (cold, asked), "its health answer", out);
        let report = ColdReport {
            target,
            remaining: cold.as_millis() as u32,
            age: now.since(asked).as_millis() as u32,
        };
        self.tell_region(now, |heartbeat| heartbeat.cold.push(report), out);
    }

    /// Merges what targets said to another node of this region.
    pub(super) fn merge_cold(&mut self, now: Time, heartbeat: &Heartbeat, out: &mut Vec<Command>) {
        for report in &heartbeat.cold {
            let cold = Duration::from_millis(report.remaining.into());
            let cause = format!("reported by node {}", heartbeat.from);
            let asked = now - Duration::from_millis(report.age.into());
            self.record_cold(now, report.target, (cold, asked), &cause, out);
        }
    }

    /// Applies a target's statement of how long it is cold.
    fn record_cold(
        &mut self,
        now: Time,
        target: TargetId,
        (cold, asked): (Duration, Time),
        cause: &str,
        out: &mut Vec<Command>,
    ) {
        let Some(key) = self.targets.key(target) else {
            return;
        };
        let state = self.targets.get(key);
        let (service, rate) = (state.service, state.capacity.cold_rate);
        let before = state.cold.limiter(now).is_some();
        self.targets.end_cold_presumption(key, asked);
        if !cold.is_zero() {
            self.limit_cold_target(now, target, now + cold, rate, cause, out);
        }
        if before && self.targets.get(key).cold.limiter(now).is_none() {
            let subject = format!("target {target}");
            out.push(self.audit(now, Change::Cold, subject, ("cold", "warm"), cause));
        }
        self.dispatch(now, service, out);
    }

    /// Sets this node's share of the request rate that a cold target can handle, and audits that the
    /// target counts as cold from now on.
    pub(super) fn limit_cold_target(
        &mut self,
        now: Time,
        id: TargetId,
        until: Time,
        rate: f64,
        source: &str,
        out: &mut Vec<Command>,
    ) {
        let (share, nodes) = self.own_cold_share(id, rate);
        if let Some(key) = self.targets.key(id) {
            self.audit_cold(now, key, until, (share.allowed, nodes), source, out);
            self.targets.set_cold(key, self.boot, until, share);
        }
    }

    /// Limits requests to a target that may be cold for some time. Returns this node's share.
    fn limit_presumed(
        &mut self,
        now: Time,
        key: TargetKey,
        span: Duration,
        source: &str,
        out: &mut Vec<Command>,
    ) -> u32 {
        let state = self.targets.get(key);
        let (share, nodes) = self.own_cold_share(state.id, state.capacity.cold_rate);
        let (allowed, until) = (share.allowed, now + span);
        self.audit_cold(now, key, until, (allowed, nodes), source, out);
        self.targets.presume_cold(key, self.boot, until, share);
        allowed
    }

    /// Returns this node's share of the rate of a cold target, and the number of nodes that it rests on.
    ///
    /// A node that has heard of no other one since its start counts its seeds, since they may be cut off
    /// like it.
    fn own_cold_share(&self, target: TargetId, rate: f64) -> (RateShare, usize) {
        let (known, rank) = self.rank_for_target(target);
        let unheard = self.roster.as_ref().map_or(0, Roster::unheard_seeds);
        let nodes = known + unheard;
        (cold_share(rate, nodes, rank), nodes)
    }

    /// Audits that a target becomes cold, unless it is known to be.
    fn audit_cold(
        &self,
        now: Time,
        key: TargetKey,
        until: Time,
        (allowed, nodes): (u32, usize),
        source: &str,
        out: &mut Vec<Command>,
    ) {
        let state = self.targets.get(key);
        if state.cold.limiter(now).is_some() {
            return;
        }
        let (id, name, rate) = (state.id, &state.spec.name, state.capacity.cold_rate);
        let (millis, sent) = (until.since(now).as_millis(), state.cold.lately_sent(now));
        out.push(self.audit(
            now,
            Change::Cold,
            format!("target {id}"),
            ("warm".to_owned(), format!("cold for {millis} ms")),
            format!(
                "{source}; {allowed} of {rate} requests a second here, {nodes} nodes; {name} got {sent} of this \
                 node within the last second"
            ),
        ));
    }
}
