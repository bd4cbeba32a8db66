//! Heartbeats: what to say, and what to make of what is heard.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use seam_protocol::heartbeat::{Grant, Shortage};
use seam_protocol::{
    CacheEvent, Heartbeat, LoadReport, ServiceLoad, TargetId, Time, VmId, VmRecord,
};

use super::Node;
use crate::command::Command;
use crate::gossip::{DIGEST_ROUNDS, DIGESTS, LOADS, RECORDS, SUSPECTS};
use crate::limits::Asking;
use crate::peers::Peers;
use crate::share::{Claim, split};
use crate::targets::sharers;

impl Node {
    /// Takes in a heartbeat whose MAC was checked.
    pub(super) fn receive_heartbeat(
        &mut self,
        now: Time,
        beat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        if beat.from == self.id.vm {
            return;
        }
        self.merge_addresses(now, beat, out);
        let me = (self.id.vm, self.id.incarnation, self.id.region);
        let news = self.peers.hear(now, me, beat, &self.regions);
        if news.late {
            return;
        }
        for region in news.returned {
            self.spill.returned(now, region);
        }
        let newest = beat.records.iter().map(|record| record.revision).max();
        let newest = newest.unwrap_or(0);
        let mine = self.bundle.as_ref().map_or(0, |bundle| bundle.revision);
        if let Some(echo) = news.echo
            && newest <= mine
        {
            self.freshness.confirm(echo);
        }
        if self.roster.is_some() {
            self.pull_newer_items(now, beat, out);
        } else {
            self.compare_revision(now, beat, newest, out);
        }
        for suspect in &beat.suspects {
            self.poison.hear(now, *suspect);
        }
        self.merge_work(now, beat);
        self.lend(now, beat, out);
        self.take_grants(now, beat, out);
        if news.members {
            self.refresh_members(now);
        }
        if self.awaits_echo(beat) {
            self.send_all_addresses(now, beat.from, out);
        }
    }

    /// Answers a node that does not know this one yet with every address.
    fn send_all_addresses(&mut self, now: Time, to: VmId, out: &mut Vec<Command>) {
        let before = out.len();
        self.send_heartbeat(now, to, out);
        if let Some(Command::Beat { beat, .. }) = out.get_mut(before) {
            self.add_addresses(now, beat, true);
        }
    }

    /// A sender that does not know this incarnation yet waits for an echo, so it gets one at once.
    fn awaits_echo(&self, beat: &Heartbeat) -> bool {
        beat.believed != self.id.incarnation && self.bundle.is_some()
    }

    fn compare_revision(
        &mut self,
        now: Time,
        beat: &Heartbeat,
        newest: u64,
        out: &mut Vec<Command>,
    ) {
        let Some(bundle) = &self.bundle else {
            return;
        };
        let mine = bundle.revision;
        let sender = beat.records.first().map_or(0, |record| record.revision);
        let rival = sender == mine && beat.manifest != bundle.digest.head();
        if newest > mine || rival {
            self.fetch_bundle(now, beat.from, newest, out);
        } else if sender < mine && sender > 0 {
            self.send_heartbeat(now, beat.from, out);
        }
    }

    fn lend(&mut self, now: Time, beat: &Heartbeat, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone().filter(|_| self.freshness.fresh()) else {
            return;
        };
        let mut grants = Vec::new();
        for shortage in &beat.shortages {
            let Some(asking) = self.asking(&bundle, shortage.customer, now) else {
                continue;
            };
            let asked = (beat.from, *shortage);
            grants.extend(self.limits.lend(now, asking, asked, beat.sent));
        }
        if !grants.is_empty() {
            let sent = self.next_timestamp(now);
            self.send_unit_heartbeat(sent, beat.from, Vec::new(), grants, out);
        }
    }

    fn take_grants(&mut self, now: Time, beat: &Heartbeat, out: &mut Vec<Command>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        if beat.believed != self.id.incarnation {
            return;
        }
        for grant in &beat.grants {
            if let Some(asking) = self.asking(&bundle, grant.customer, now) {
                self.limits.borrow(now, asking, beat.from, *grant);
                self.freed_customers.insert(grant.customer);
            }
        }
        self.unpark(now, out);
    }

    pub(super) fn ask_for_units(&mut self, now: Time, asking: Asking, out: &mut Vec<Command>) {
        let sent = self.next_timestamp(now);
        if let Some((lender, shortage)) = self.limits.ask(now, sent, asking) {
            self.send_unit_heartbeat(sent, lender, vec![shortage], Vec::new(), out);
        }
    }

    /// Recomputes who is alive, which targets this node uses and its part of each.
    pub(super) fn refresh_members(&mut self, now: Time) {
        let mut alive: BTreeSet<VmId> = self
            .peers
            .live_in(now, self.id.region)
            .map(|(vm, _)| vm)
            .collect();
        alive.insert(self.id.vm);
        self.limits.set_alive(&alive);
        self.alive = alive;
        let active = self.ready_nodes(now);
        self.targets.subset(now, self.id.vm, &active);
        self.share_slots(now);
    }

    /// Sets this node's part of the slots of each target by the demand heard in heartbeats.
    ///
    /// Nodes are served like customers: each gets what it wants up to a part in proportion to the
    /// weights of its customers. A long queue of one customer so takes no slots from the nodes at
    /// which others call.
    fn share_slots(&mut self, now: Time) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let active = self.ready_nodes(now);
        let mut parts = Vec::new();
        for service in bundle.services.keys() {
            let own = self.own_load(*service);
            let targets = self.targets.of(*service).count() as f64;
            let spread = self.targets.spread(*service);
            for (key, state) in self.targets.of(*service) {
                let mut claims = vec![Claim::of(self.id.vm, Some(own), targets)];
                for vm in sharers(state.id, spread, &active) {
                    if let Some(peer) = self.peers.alive(now, vm) {
                        let load = Peers::load(peer, service.tag());
                        claims.push(Claim::of(vm, load, targets));
                    }
                }
                let split = split(state.rule.slots, state.id, &claims);
                parts.push((key, split[0]));
            }
        }
        for (key, part) in parts {
            self.targets.set_part(key, part);
        }
    }

    /// Lets the remembered demand of each service follow the present one slowly, so that shares and
    /// the targets of heavy customers do not change with every request.
    pub(super) fn smooth_demand(&mut self) {
        const KEPT: f64 = 0.9;
        for lane in self.service_states.values_mut() {
            let demand = f64::from(lane.queue.running()) + lane.queue.queued() as f64;
            lane.peak_demand = (lane.peak_demand * KEPT).max(demand);
            lane.active_weight = (lane.active_weight * KEPT).max(lane.queue.weights() as f64);
            lane.smooth_heavy();
        }
    }

    /// Lets measured times fade, so that what was refused for a slow spell is tried again.
    pub(super) fn decay_measurements(&mut self) {
        const FADE: f64 = 0.02;
        self.targets.fade();
        let Some(bundle) = &self.bundle else {
            return;
        };
        for (service, lane) in &mut self.service_states {
            let rule = bundle.services.get(service);
            if let Some((mean, rule)) = lane.mean_secs.as_mut().zip(rule) {
                let configured = Duration::from_millis(rule.expected).as_secs_f64();
                *mean += FADE * (configured - *mean);
            }
        }
    }

    fn own_load(&self, service: seam_protocol::ServiceId) -> ServiceLoad {
        const MARGIN: f64 = 1.0;
        let tag = service.tag();
        let Some(lane) = self.service_states.get(&service) else {
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
            running: lane.queue.running(),
            queued: lane.queue.queued() as u32,
            weight: lane.active_weight.ceil() as u32,
            wanted: (lane.peak_demand + MARGIN * lane.peak_demand.sqrt()).ceil() as u32,
        }
    }

    /// Sends this round's heartbeats if they are due.
    pub(super) fn send_due_heartbeats(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.bundle.is_none() {
            return;
        }
        let lively = self.roster.is_some();
        let Some((near, far)) = self.gossip.due(now, lively) else {
            return;
        };
        for vm in near.into_iter().chain(far) {
            self.send_heartbeat(now, vm, out);
        }
    }

    /// Tells a few nodes at once; each passes the news on.
    pub(super) fn send_urgent_heartbeats(&mut self, now: Time, out: &mut Vec<Command>) {
        for vm in self.gossip.urgent(&mut self.rng) {
            self.send_heartbeat(now, vm, out);
        }
    }

    /// Returns the time for a datagram, later than that of any before, since receivers drop what is
    /// not newer.
    pub(super) fn next_timestamp(&mut self, now: Time) -> Time {
        self.last_sent = now.max(Time(self.last_sent.0 + 1));
        self.last_sent
    }

    /// Sends a whole heartbeat.
    pub(super) fn send_heartbeat(&mut self, now: Time, to: VmId, out: &mut Vec<Command>) {
        let sent = self.next_timestamp(now);
        let Some((address, mut beat)) = self.new_heartbeat(sent, to) else {
            return;
        };
        let turn = self.gossip.round();
        if self.regions.get(&to) == Some(&self.id.region) {
            let others = self.peers.freshest(now, self.id.region, to, RECORDS);
            beat.records.extend(others);
            if turn.is_multiple_of(DIGEST_ROUNDS) {
                beat.digests = self.peers.digests(now, turn, self.id.region, DIGESTS);
            }
        } else {
            let region = self.regions.get(&to).copied().unwrap_or_default();
            if self.freshness.fresh() {
                beat.digests.push(self.own_digest(now));
            }
            beat.digests
                .extend(self.peers.digests(now, turn, region, DIGESTS));
        }
        beat.suspects = self.poison.news(SUSPECTS);
        out.push(Command::Beat { to, address, beat });
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
        let Some((address, mut beat)) = self.new_heartbeat(sent, to) else {
            return;
        };
        beat.shortages = shortages;
        beat.grants = grants;
        out.push(Command::Beat { to, address, beat });
    }

    /// Returns a heartbeat for an address whose node is not known.
    pub(super) fn introduction_heartbeat(&mut self, now: Time) -> Option<Box<Heartbeat>> {
        let revision = self.bundle.as_ref()?.revision;
        let mut beat = Box::new(Heartbeat::empty(self.id.vm, self.id.region));
        beat.sent = self.next_timestamp(now).0;
        beat.records.push(self.own_record(revision));
        self.add_addresses(now, &mut beat, false);
        Some(beat)
    }

    /// Adds addresses of nodes and the revision of items, where these are not published.
    fn add_addresses(&mut self, now: Time, beat: &mut Heartbeat, welcome: bool) {
        if let Some(roster) = &mut self.roster {
            beat.cards = roster.cards(now, welcome);
            beat.head = self.catalogue.head();
        }
    }

    /// Starts a heartbeat with what each one says.
    fn new_heartbeat(&mut self, sent: Time, to: VmId) -> Option<(SocketAddr, Box<Heartbeat>)> {
        let (address, mut beat) = self.new_short_heartbeat(sent, to)?;
        self.add_addresses(sent, &mut beat, false);
        Some((address, beat))
    }

    /// Starts a heartbeat without addresses of nodes.
    pub(super) fn new_short_heartbeat(
        &mut self,
        sent: Time,
        to: VmId,
    ) -> Option<(SocketAddr, Box<Heartbeat>)> {
        let bundle = self.bundle.clone()?;
        let address = bundle.deployment.vms.get(&to)?.peer;
        let mut beat = Box::new(Heartbeat::empty(self.id.vm, self.id.region));
        beat.sent = sent.0;
        beat.manifest = bundle.digest.head();
        if let Some(peer) = self.peers.known(to) {
            beat.believed = peer.direct;
            beat.echo = peer.sent;
        }
        beat.head = self.catalogue.head();
        beat.reads = self.catalogue.answered();
        beat.records.push(self.own_record(bundle.revision));
        Some((address, beat))
    }

    fn own_record(&mut self, revision: u64) -> VmRecord {
        self.record_number += 1;
        let mut loads: Vec<ServiceLoad> = self
            .service_states
            .keys()
            .map(|service| self.own_load(*service))
            .filter(|load| load.wanted > 0)
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.running + load.queued));
        loads.truncate(LOADS);
        VmRecord {
            vm: self.id.vm,
            incarnation: self.id.incarnation,
            number: self.record_number,
            revision,
            ready: self.configured() && self.freshness.fresh() && self.drain_since.is_none(),
            loads,
        }
    }

    pub(super) fn load_report(
        &mut self,
        now: Time,
        target: TargetId,
        report: LoadReport,
        out: &mut Vec<Command>,
    ) {
        if let Some(key) = self.targets.key(target) {
            self.targets.report(now, key, report);
            let service = self.targets.get(key).service;
            self.dispatch(now, service, out);
        }
    }

    pub(super) fn cache_events(&mut self, now: Time, target: TargetId, events: &[CacheEvent]) {
        if let Some(key) = self.targets.key(target) {
            self.prefixes.correct(now, key, events);
        }
    }
}
