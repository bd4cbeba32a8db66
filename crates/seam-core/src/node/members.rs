//! Heartbeats between nodes: what they carry, and what a received one changes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use seam_protocol::heartbeat::{Grant, Shortage};
use seam_protocol::{
    CacheEvent, Heartbeat, LoadReport, ServiceLoad, TargetId, Time, VmId, VmRecord,
};

use super::Node;
use super::rate_limits::LimitSelection;
use crate::command::Command;
use crate::config_version::ConfigChange;
use crate::gossip::{MAX_LOADS, MAX_RECORDS, MAX_SUMMARIES, MAX_SUSPECTS, SUMMARY_TURNS};
use crate::limits::LimitContext;
use crate::peers::Peers;
use crate::share::{SlotDemand, split};
use crate::targets::target_nodes;

/// Minimum interval between two reports of the quarantine to the same node.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of fingerprints in one report.
const MAX_QUARANTINE_REPORT: usize = 24;

impl Node {
    /// Handles a heartbeat whose message authentication code was verified.
    pub(super) fn receive_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        if heartbeat.from == self.id.vm {
            return;
        }
        self.merge_vms(now, heartbeat, out);
        // Origins never change, so a datagram that was overtaken is as good.
        self.merge_origins(now, heartbeat, out);
        let me = (self.id.vm, self.id.incarnation, self.id.region);
        let was_alive = self.peers.alive(now, heartbeat.from).is_some();
        let effect = self
            .peers
            .apply_heartbeat(now, me, heartbeat, &self.regions);
        if effect.stale {
            return;
        }
        for region in &effect.returned {
            self.spill.note_return(now, *region);
        }
        let comparable = self.compare_epochs(now, heartbeat, out);
        if !comparable {
            self.peers.forget_items_of(heartbeat.from);
        }
        let revisions = heartbeat.records.iter().map(|record| record.revision);
        // Records of others may come from nodes that were not corrected yet.
        let newest = match (comparable, self.catalogue.epoch()) {
            (true, 0) => revisions.max(),
            (true, _) => revisions.take(1).max(),
            (false, _) => None,
        };
        let newest = newest.unwrap_or(0);
        let own_revision = self.bundle.as_ref().map_or(0, |bundle| bundle.revision);
        let followed = heartbeat.items_epoch <= self.catalogue.epoch();
        let confirmed = effect.echo.filter(|_| followed && newest <= own_revision);
        if (confirmed.is_some() && !self.freshness.fresh()) || self.alone_since.is_some() {
            let items = if comparable {
                heartbeat.items_revision
            } else {
                0
            };
            let unread = (items, confirmed.unwrap_or_default());
            self.unread_items = self.unread_items.max(Some(unread));
            self.confirm_freshness();
        }
        self.merge_confirmation(now, heartbeat, effect.echo, comparable);
        self.return_confirmation(now, heartbeat, out);
        if self.roster.is_some() && !comparable {
            // Its items have other revisions than those here.
        } else if self.roster.is_some() {
            let items = (self.catalogue.revision(), heartbeat.items_revision);
            let reaches = heartbeat.platform_reachable;
            self.config_view.note_items(now, items, reaches);
            if self.config_view.note_heard(now, newest) {
                self.item_exchanges.hasten();
                out.push(Command::LogConfig(ConfigChange::Heard {
                    from: heartbeat.from,
                    revision: newest,
                    in_force: own_revision,
                }));
            }
            let differs = self
                .config_view
                .compare_meaning(heartbeat.from, heartbeat.config);
            out.extend(differs.map(Command::LogConfig));
            self.config_view.note_item(now, heartbeat.config);
            self.fetch_newer_items(now, heartbeat, out);
            self.compare_items(now, heartbeat);
        } else {
            self.compare_revision(now, heartbeat, newest, out);
        }
        let back = if heartbeat.region == self.id.region {
            !was_alive
        } else {
            effect.returned.contains(&heartbeat.region)
        };
        let uninformed = back || self.awaits_echo(heartbeat);
        self.merge_suspects(now, heartbeat, uninformed, out);
        self.merge_work(now, heartbeat);
        self.merge_speeds(now, heartbeat);
        self.merge_reached(now, heartbeat);
        self.merge_limits(now, heartbeat, out);
        self.merge_leaving(now, heartbeat, out);
        self.merge_cold(now, heartbeat, out);
        self.verify_refused(now, heartbeat, out);
        if uninformed && heartbeat.region == self.id.region {
            self.report_limits(now, heartbeat.from, out);
        }
        self.lend(now, heartbeat, out);
        self.accept_grants(now, heartbeat, out);
        self.receive_allowances(now, heartbeat, effect.echo, out);
        if effect.members_changed {
            self.refresh_members(now);
        }
        if self.awaits_echo(heartbeat) {
            self.reply_to_new_node(now, heartbeat.from, out);
        }
    }

    /// Merges the suspects that a heartbeat lists, and reports this node's quarantine to the sender
    /// if theirs differ.
    ///
    /// A sender that may be `uninformed`, as it restarted or was cut off, receives the recent
    /// suspects too: a digest of these would differ between nodes most of the time.
    fn merge_suspects(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        uninformed: bool,
        out: &mut Vec<Command>,
    ) {
        let report = &heartbeat.quarantine;
        let cause = format!("reported by node {}", heartbeat.from);
        for (index, suspect) in heartbeat.suspects.iter().enumerate() {
            let crashes = report.crashes.get(index).map(Vec::as_slice);
            let changes = self.poison.merge_suspect(now, *suspect, crashes);
            self.audit_quarantine(now, &changes, &cause, out);
        }
        for part in &heartbeat.suspect_parts {
            let changes = self.poison.merge_part(now, part);
            self.audit_quarantine(now, &changes, &cause, out);
        }
        let differs = report.digest != self.poison.digest();
        if differs || (uninformed && !self.poison.is_empty()) {
            self.report_quarantine(now, heartbeat.from, uninformed, out);
        }
    }

    /// Reports this node's quarantine to a node whose quarantine differs, at most once per
    /// [`REPORT_INTERVAL`].
    ///
    /// An empty report makes that node report its own.
    fn report_quarantine(
        &mut self,
        now: Time,
        to: VmId,
        with_suspects: bool,
        out: &mut Vec<Command>,
    ) {
        let reported = self.quarantine_reports.get(&to);
        if reported.is_some_and(|reported| now.since(*reported) < REPORT_INTERVAL) {
            return;
        }
        let sent = self.next_timestamp(now);
        let Some((address, mut heartbeat)) = self.new_short_heartbeat(sent, to) else {
            return;
        };
        self.quarantine_reports.insert(to, now);
        let reports = if with_suspects {
            self.poison.take_report(now, to, MAX_QUARANTINE_REPORT)
        } else {
            self.poison.take_candidates(now, to, MAX_QUARANTINE_REPORT)
        };
        for report in reports {
            report.list_in(&mut heartbeat);
        }
        out.push(Command::Heartbeat {
            to,
            address,
            heartbeat,
        });
    }

    /// Forgets which nodes were sent a report of the quarantine longer ago than
    /// [`REPORT_INTERVAL`].
    pub(super) fn expire_quarantine_reports(&mut self, now: Time) {
        self.quarantine_reports
            .retain(|_, reported| now.since(*reported) < REPORT_INTERVAL);
    }

    /// Replies with a heartbeat to a node that does not know this process yet.
    ///
    /// The reply echoes that node's send time, since it may wait for a confirmation. Where the
    /// member list is not published, the reply also carries the addresses of up to 100 known nodes
    /// instead of 3, so that a node that has just started learns of the others at once.
    fn reply_to_new_node(&mut self, now: Time, to: VmId, out: &mut Vec<Command>) {
        let position = out.len();
        self.send_heartbeat(now, to, out);
        if let Some(Command::Heartbeat { heartbeat, .. }) = out.get_mut(position) {
            self.add_vms(now, heartbeat, true);
        }
    }

    /// Returns whether the sender does not know this process yet and so waits for an echo of its
    /// heartbeat.
    fn awaits_echo(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.receiver_incarnation != self.id.incarnation && self.bundle.is_some()
    }

    /// Fetches a newer or conflicting bundle, or sends the sender of an older one a heartbeat.
    fn compare_revision(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        newest: u64,
        out: &mut Vec<Command>,
    ) {
        let Some(bundle) = &self.bundle else {
            return;
        };
        let own_revision = bundle.revision;
        let sender = heartbeat
            .records
            .first()
            .map_or(0, |record| record.revision);
        let conflict = sender == own_revision && heartbeat.manifest != bundle.digest.leading_u64();
        if newest > own_revision || conflict {
            self.fetch_manifest(now, heartbeat.from, newest, out);
        } else if sender < own_revision && sender > 0 {
            self.send_heartbeat(now, heartbeat.from, out);
        }
    }

    /// Lends concurrency units to a node that requests them.
    fn lend(&mut self, now: Time, heartbeat: &Heartbeat, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone().filter(|_| self.freshness.fresh()) else {
            return;
        };
        let mut grants = Vec::new();
        for shortage in &heartbeat.shortages {
            let Some(context) = self.limit_context(&bundle, shortage.customer, now) else {
                continue;
            };
            let borrower = (heartbeat.from, *shortage);
            grants.extend(self.limits.lend(now, context, borrower, heartbeat.sent));
        }
        if !grants.is_empty() {
            let sent = self.next_timestamp(now);
            self.send_unit_heartbeat(sent, heartbeat.from, Vec::new(), grants, out);
        }
    }

    /// Accepts the concurrency units that another node lends.
    fn accept_grants(&mut self, now: Time, heartbeat: &Heartbeat, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        if heartbeat.receiver_incarnation != self.id.incarnation {
            return;
        }
        for grant in &heartbeat.grants {
            if let Some(context) = self.limit_context(&bundle, grant.customer, now) {
                self.limits
                    .accept_grant(now, context, heartbeat.from, *grant);
                self.freed_customers.insert(grant.customer);
            }
        }
        self.unpark(now, out);
    }

    /// Requests concurrency units for a customer from the next lender.
    pub(super) fn request_units(
        &mut self,
        now: Time,
        context: LimitContext,
        out: &mut Vec<Command>,
    ) {
        let sent = self.next_timestamp(now);
        if let Some((lender, shortage)) = self.limits.request_loan(now, sent, context) {
            self.send_unit_heartbeat(sent, lender, vec![shortage], Vec::new(), out);
        }
    }

    /// Recomputes the live nodes, the targets that this node uses and its share of their slots.
    pub(super) fn refresh_members(&mut self, now: Time) {
        let mut alive: BTreeSet<VmId> = self
            .peers
            .live_in(now, self.id.region)
            .map(|(vm, _)| vm)
            .collect();
        alive.insert(self.id.vm);
        self.limits.set_alive(&alive);
        self.reach.retain(&alive);
        self.alive = alive;
        let ready = self.ready_nodes(now);
        self.targets.select_subset(now, self.id.vm, &ready);
        // Targets without fixed shares are used by the load that nodes report.
        if !self.targets.shared() {
            self.share_slots(now);
        }
        self.update_limit_shares();
    }

    /// Sets this node's share of each target's slots by the demand that nodes report in heartbeats.
    ///
    /// Nodes are treated like customers: each gets what it wants, up to a share in proportion to
    /// the weights of its customers. So a long queue of one customer takes no slots from nodes that
    /// serve other customers.
    fn share_slots(&mut self, now: Time) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let ready = self.ready_nodes(now);
        let mut shares = Vec::new();
        for service in bundle.services.keys() {
            let own = self.own_load(*service);
            let targets = self.targets.for_service(*service).count() as f64;
            let subset = self.targets.node_subset(*service);
            for (key, state) in self.targets.for_service(*service) {
                let mut demands = vec![SlotDemand::from_load(self.id.vm, Some(own), targets)];
                for vm in target_nodes(state.id, subset, &ready) {
                    if let Some(peer) = self.peers.alive(now, vm) {
                        let load = Peers::load(peer, service.tag());
                        demands.push(SlotDemand::from_load(vm, load, targets));
                    }
                }
                let node_shares = split(state.spec.slots, state.id, &demands);
                shares.push((key, node_shares[0]));
            }
        }
        for (key, share) in shares {
            self.targets.set_share(key, share);
        }
    }

    /// Updates the smoothed demand of each service, so that slot shares and the targets of heavy
    /// customers do not change with every request.
    pub(super) fn smooth_demand(&mut self) {
        const DECAY: f64 = 0.9;
        for state in self.service_states.values_mut() {
            let demand = f64::from(state.queue.running()) + state.queue.queued() as f64;
            state.peak_demand = (state.peak_demand * DECAY).max(demand);
            state.active_weight =
                (state.active_weight * DECAY).max(state.queue.total_weight() as f64);
            state.smooth_heavy_customers();
        }
    }

    /// Decays measured times towards the configured ones, so that requests refused during a slow
    /// period are admitted again.
    pub(super) fn decay_measurements(&mut self, now: Time) {
        const DECAY_RATE: f64 = 0.02;
        self.targets.decay_slowness(now);
        let Some(bundle) = &self.bundle else {
            return;
        };
        for (service, state) in &mut self.service_states {
            let spec = bundle.services.get(service);
            if let Some((mean, spec)) = state.mean_secs.as_mut().zip(spec) {
                let configured = Duration::from_millis(spec.expected).as_secs_f64();
                *mean += DECAY_RATE * (configured - *mean);
            }
        }
    }

    /// Returns this node's load of a service, with the slots that it wants.
    ///
    /// These are the peak demand plus a margin for arrivals before the next heartbeat, proportional
    /// to the square root of the demand.
    fn own_load(&self, service: seam_protocol::ServiceId) -> ServiceLoad {
        const MARGIN_FACTOR: f64 = 1.0;
        let tag = service.tag();
        let Some(state) = self.service_states.get(&service) else {
            return ServiceLoad {
                service: tag,
                running: 0,
                queued: 0,
                weight: 0,
                wanted: 0,
            };
        };
        ServiceLoad {
            service: tag,
            running: state.queue.running(),
            queued: state.queue.queued() as u32,
            weight: state.active_weight.ceil() as u32,
            wanted: (state.peak_demand + MARGIN_FACTOR * state.peak_demand.sqrt()).ceil() as u32,
        }
    }

    /// Sends this round's heartbeats if they are due.
    pub(super) fn send_due_heartbeats(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.bundle.is_none() {
            return;
        }
        let discovered = self.roster.is_some();
        let Some((near, far)) = self.gossip.next_receivers(now, discovered) else {
            return;
        };
        for vm in near.into_iter().chain(far) {
            self.send_heartbeat(now, vm, out);
        }
    }

    /// Sends urgent changes to a few nodes at once, which pass them on.
    pub(super) fn send_urgent_heartbeats(&mut self, now: Time, out: &mut Vec<Command>) {
        for vm in self.gossip.urgent_receivers(&mut self.rng) {
            self.send_heartbeat(now, vm, out);
        }
    }

    /// Returns a strictly increasing timestamp for a datagram, since receivers drop any that is not
    /// newer than the last.
    pub(super) fn next_timestamp(&mut self, now: Time) -> Time {
        self.last_sent = now.max(Time(self.last_sent.0 + 1));
        self.last_sent
    }

    /// Sends a full heartbeat.
    pub(super) fn send_heartbeat(&mut self, now: Time, to: VmId, out: &mut Vec<Command>) {
        let sent = self.next_timestamp(now);
        let Some((address, mut heartbeat)) = self.new_heartbeat(sent, to) else {
            return;
        };
        heartbeat.config = self.config_view.meaning();
        let turn = self.gossip.next_turn(to);
        self.list_confirmation(now, turn, &mut heartbeat, to);
        if self.regions.get(&to) == Some(&self.id.region) {
            self.list_limits(now, LimitSelection::Turn(turn), &mut heartbeat);
            self.list_leaving(turn, &mut heartbeat);
            self.list_work(now, &mut heartbeat);
            let others = self.peers.freshest(now, self.id.region, to, MAX_RECORDS);
            heartbeat.records.extend(others);
            if turn.is_multiple_of(SUMMARY_TURNS) {
                let turn = turn / SUMMARY_TURNS;
                heartbeat.summaries =
                    self.peers
                        .summaries(now, turn, self.id.region, MAX_SUMMARIES);
            }
        } else {
            let region = self.regions.get(&to).copied().unwrap_or_default();
            if self.freshness.fresh() {
                heartbeat.summaries.extend(self.own_summary(now));
            }
            heartbeat
                .summaries
                .extend(self.peers.summaries(now, turn, region, MAX_SUMMARIES));
        }
        for report in self.poison.take_updates(now, MAX_SUSPECTS) {
            report.list_in(&mut heartbeat);
        }
        out.push(Command::Heartbeat {
            to,
            address,
            heartbeat,
        });
    }

    /// Tells the live nodes of this region something at once, in short heartbeats.
    pub(super) fn tell_region(
        &mut self,
        now: Time,
        add: impl Fn(&mut Heartbeat),
        out: &mut Vec<Command>,
    ) {
        let me = self.id.vm;
        let peers: Vec<VmId> = self.alive.iter().copied().filter(|vm| *vm != me).collect();
        for to in peers {
            let sent = self.next_timestamp(now);
            if let Some((address, mut heartbeat)) = self.new_short_heartbeat(sent, to) {
                add(&mut heartbeat);
                out.push(Command::Heartbeat {
                    to,
                    address,
                    heartbeat,
                });
            }
        }
    }

    /// Sends a short heartbeat about concurrency units.
    pub(super) fn send_unit_heartbeat(
        &mut self,
        sent: Time,
        to: VmId,
        shortages: Vec<Shortage>,
        grants: Vec<Grant>,
        out: &mut Vec<Command>,
    ) {
        let Some((address, mut heartbeat)) = self.new_heartbeat(sent, to) else {
            return;
        };
        heartbeat.shortages = shortages;
        heartbeat.grants = grants;
        out.push(Command::Heartbeat {
            to,
            address,
            heartbeat,
        });
    }

    /// Returns a heartbeat that introduces this node to an address whose node is unknown.
    pub(super) fn introduction_heartbeat(&mut self, now: Time) -> Option<Box<Heartbeat>> {
        let revision = self.bundle.as_ref()?.revision;
        let mut heartbeat = Box::new(Heartbeat::empty(self.id.vm, self.id.region));
        heartbeat.sent = self.next_timestamp(now).0;
        heartbeat.quarantine.digest = self.poison.digest();
        heartbeat.records.push(self.own_record(revision));
        self.add_vms(now, &mut heartbeat, false);
        Some(heartbeat)
    }

    /// Adds addresses of known nodes and the item revision, where the member list is not published.
    ///
    /// With `new_node`, many nodes are added instead of a few.
    fn add_vms(&mut self, now: Time, heartbeat: &mut Heartbeat, new_node: bool) {
        if let Some(roster) = &mut self.roster {
            heartbeat.vms = roster.shared_vms(now, new_node);
            heartbeat.items_revision = self.catalogue.revision();
            heartbeat.items_epoch = self.catalogue.epoch();
        }
    }

    /// Builds the fields that all heartbeats have in common, with addresses of known nodes.
    fn new_heartbeat(&mut self, sent: Time, to: VmId) -> Option<(SocketAddr, Box<Heartbeat>)> {
        let (address, mut heartbeat) = self.new_short_heartbeat(sent, to)?;
        self.add_vms(sent, &mut heartbeat, false);
        Some((address, heartbeat))
    }

    /// Builds the fields that all heartbeats have in common, without addresses of known nodes.
    pub(super) fn new_short_heartbeat(
        &mut self,
        sent: Time,
        to: VmId,
    ) -> Option<(SocketAddr, Box<Heartbeat>)> {
        let bundle = self.bundle.clone()?;
        let address = bundle.deployment.vms.get(&to)?.peer;
        let mut heartbeat = Box::new(Heartbeat::empty(self.id.vm, self.id.region));
        heartbeat.sent = sent.0;
        heartbeat.manifest = bundle.digest.leading_u64();
        if let Some(peer) = self.peers.known(to) {
            heartbeat.receiver_incarnation = peer.direct_incarnation;
            heartbeat.echo = peer.sent;
        }
        heartbeat.items_revision = self.catalogue.revision();
        heartbeat.items_epoch = self.catalogue.epoch();
        heartbeat.items_digest = (heartbeat.items_revision > 0).then(|| self.catalogue.digest());
        heartbeat.platform_reachable = self.catalogue.platform_reachable();
        heartbeat.quarantine.digest = self.poison.digest();
        heartbeat.records.push(self.own_record(bundle.revision));
        if self.regions.get(&to) == Some(&self.id.region) {
            self.list_reached(sent, &mut heartbeat);
        }
        self.list_own_confirmation(sent, &mut heartbeat);
        Some((address, heartbeat))
    }

    /// Returns the next record of this node, with the loads of its busiest services.
    fn own_record(&mut self, revision: u64) -> VmRecord {
        self.record_sequence += 1;
        let mut loads: Vec<ServiceLoad> = self
            .service_states
            .keys()
            .map(|service| self.own_load(*service))
            .filter(|load| load.wanted > 0)
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.running + load.queued));
        loads.truncate(MAX_LOADS);
        VmRecord {
            vm: self.id.vm,
            incarnation: self.id.incarnation,
            sequence: self.record_sequence,
            revision,
            ready: self.configured() && self.freshness.fresh() && self.drain_since.is_none(),
            loads,
        }
    }

    /// Handles a load report of a target.
    pub(super) fn record_load_report(
        &mut self,
        now: Time,
        target: TargetId,
        report: LoadReport,
        out: &mut Vec<Command>,
    ) {
        if let Some(key) = self.targets.key(target) {
            if self.targets.record_report(now, key, report) {
                self.pending_update.add_moment(key);
            }
            let service = self.targets.get(key).service;
            self.dispatch(now, service, out);
        }
    }

    /// Corrects the recorded contents of a target's cache by the events that it reports.
    pub(super) fn record_cache_events(
        &mut self,
        now: Time,
        target: TargetId,
        events: &[CacheEvent],
    ) {
        if let Some(key) = self.targets.key(target) {
            self.prefixes.apply_events(now, key, events);
        }
    }
}
