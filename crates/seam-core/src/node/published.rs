//! Configuration and targets that arrive item by item from the platform or from peers, and the
//! addresses of nodes that heartbeats carry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Bundle, Delta, Digest, Entry, Heartbeat, Time, Vm, VmId};

use super::Node;
use super::item_differences::{DIFFERENCE_LIMIT, ItemState};
use crate::audit::Change;
use crate::catalogue::{ItemBatch, MergeResult, Source};
use crate::command::{Command, ItemDifference};
use crate::config_version::NotTaken;
use crate::roster::Roster;

/// Nodes of a region that watch the platform for the others.
const WATCHER_COUNT: usize = 2;
/// Hash seed of the ranking that selects the watchers.
const WATCH_SEED: u64 = 0x7761_7463;
/// Time within which all nodes of a region that lag together have begun to read the platform. With the time
/// until they lag it is half of that within which a configuration must be in force.
const TURNS_SPAN: Duration = Duration::from_secs(1);
/// Longest interval between two turns, in which items from those that read first arrive.
const MAX_TURN: Duration = Duration::from_millis(250);

impl Node {
    /// Joins a deployment that publishes no complete bundle.
    ///
    /// The platform publishes configuration and targets item by item, and nodes learn each other's
    /// addresses from `seeds` and heartbeats. `base_bundle` has revision zero and contains the
    /// regions; it is in use until a configuration is received.
    pub fn join(&mut self, now: Time, own: Vm, seeds: Vec<SocketAddr>, base_bundle: Bundle) {
        self.roster = Some(Roster::new(now, own, seeds));
        self.base_config = Some(Arc::new(base_bundle));
        self.targets.enable_sharing();
        self.rebuild_bundle(now, &mut Vec::new());
    }

    /// Returns whether this node watches the platform; otherwise it learns of changes from peers.
    ///
    /// In each region, the first few nodes by rank among those that can reach the platform watch
    /// it. A node that knows too few live ones, has no configuration yet, or does not receive what
    /// others have, or the confirmations that it needs, watches it too.
    #[must_use]
    pub fn watches_platform(&self, now: Time) -> bool {
        self.higher_ranked(now) < WATCHER_COUNT
            || !self.configured()
            || self.lags(now)
            || self.lacks_confirmation(now)
    }

    /// Returns the number of nodes of the region that go before this one in reading the platform.
    pub(super) fn higher_ranked(&self, now: Time) -> usize {
        let rank_of = |vm: VmId| seam_protocol::id::rank(WATCH_SEED, u64::from(vm.0));
        let own_rank = rank_of(self.id.vm);
        let live = self.peers.live_in(now, self.id.region);
        live.filter(|(vm, peer)| peer.platform_reachable && rank_of(*vm) > own_rank)
            .count()
    }

    /// Returns whether this node is the first of its region to watch the platform.
    pub(super) fn first_watcher(&self, now: Time) -> bool {
        self.higher_ranked(now) == 0
    }

    /// Returns whether this node has heard of changed items some time ago without receiving them. If it
    /// watches the platform, its connection may have fallen silent.
    ///
    /// Of the nodes of a region that lag together, a few at a time read the platform, in the order in which
    /// they would watch it. The others may receive the items from these.
    #[must_use]
    pub fn lags(&self, now: Time) -> bool {
        let lag = self.item_fetches.lag(now);
        lag.is_some_and(|lag| lag >= self.turn_delay(now))
    }

    /// Returns the time for which nodes of the region that go before this one read the platform alone.
    fn turn_delay(&self, now: Time) -> Duration {
        let nodes = self.peers.live_in(now, self.id.region).count() + 1;
        let turns = nodes.div_ceil(WATCHER_COUNT) as u32;
        let turn = (self.higher_ranked(now) / WATCHER_COUNT) as u32;
        (TURNS_SPAN / turns).min(MAX_TURN) * turn
    }

    /// Returns the items that changed since a revision, for a peer that has that revision.
    #[must_use]
    pub fn items_since(&self, revision: u64) -> Delta {
        self.catalogue.since(revision)
    }

    /// Returns the item revision up to which this node knows every change.
    #[must_use]
    pub fn items_revision(&self) -> u64 {
        self.catalogue.revision()
    }

    /// Merges items and applies what they change. `begun` is when the call began whose answer they are.
    pub(super) fn merge_items(
        &mut self,
        now: Time,
        items: ItemBatch,
        (source, begun): (Source, Time),
        out: &mut Vec<Command>,
    ) {
        if source == Source::Platform {
            self.platform_read = Some(now);
            self.config_view.note_current(now);
        }
        let (old_revision, old_digest) = (self.catalogue.revision(), self.catalogue.digest());
        let exchanged = source == Source::Exchange;
        let listed = items.full.then(|| listed_configs(&items));
        let merged = self.catalogue.merge(now, items, source);
        let taken = merged.config.as_ref();
        // The store shows what is present in a complete list, or in a change that is newer than all before.
        let shown = listed.unwrap_or_else(|| {
            let taken = taken.map(|(revision, config)| (*revision, config.digest));
            taken.into_iter().collect()
        });
        self.item_fetches.receive(self.catalogue.revision());
        self.apply_merged(now, merged, source, out);
        if source == Source::Platform && shown.iter().any(|shown| self.in_force(*shown)) {
            self.config_view.confirm(begun);
        }
        let changed = exchanged && self.catalogue.digest() != old_digest;
        if changed {
            self.item_exchanges.hasten();
        }
        if changed || self.catalogue.revision() > old_revision {
            self.confirm_freshness();
            self.send_urgent_heartbeats(now, out);
        }
    }

    /// Applies what a merge changed.
    pub(super) fn apply_merged(
        &mut self,
        now: Time,
        merged: MergeResult,
        source: Source,
        out: &mut Vec<Command>,
    ) {
        for item in &merged.unusable {
            let cause = format!("the item cannot be used: {}", item.reason);
            out.push(self.audit(now, Change::Item, &item.key, ("", "ignored"), cause));
            if self.config_view.is_key(&item.key) {
                let unknown = (0, item.revision);
                let reason = NotTaken::Unusable;
                let change = self.config_view.refuse(unknown, reason, &item.reason);
                out.push(Command::LogConfig(change));
            }
        }
        for change in &merged.target_changes {
            let cause = format!("revision {} by {source:?}", change.revision);
            out.push(self.audit(now, Change::Item, &change.key, ("", change.state), cause));
        }
        let read = merged.config.clone();
        // Of equal versions, the revision of the item tells which is newer, also once the removal of an
        // older item is forgotten.
        let config = merged.config.filter(|(item_revision, config)| {
            let base = self.base_config.as_ref();
            let own_revision = base.map_or(0, |base| base.revision);
            *item_revision > self.config_view.version.item_revision
                && config.revision >= own_revision
                && base != Some(config)
        });
        if let Some(((item_revision, read), taken)) = read.zip(self.base_config.as_ref())
            && config.is_none()
        {
            let version = (read.revision, item_revision);
            let reason = NotTaken::between(taken, &read);
            let change = self.config_view.refuse(version, reason, "");
            out.push(Command::LogConfig(change));
        }
        for (target, lapsed) in &merged.lapsed {
            if *lapsed {
                self.presume_lapsed(now, *target, out);
            } else {
                self.targets.end_lapse(*target);
            }
        }
        let configured = config.is_some();
        if let Some((item_revision, config)) = config {
            self.enforce_config(now, (item_revision, config), source, out);
        }
        if configured || merged.inventory_changed {
            self.rebuild_bundle(now, out);
        }
    }

    /// Puts a configuration in force, whatever its revisions.
    pub(super) fn enforce_config(
        &mut self,
        now: Time,
        (item_revision, config): (u64, Arc<Bundle>),
        source: Source,
        out: &mut Vec<Command>,
    ) {
        if self.base_config.as_ref() == Some(&config) {
            self.config_view.rebase(item_revision);
            return;
        }
        self.verify_soon(now);
        let before = self.base_config.as_ref().map_or(0, |base| base.revision);
        out.push(self.audit(
            now,
            Change::Revision,
            "configuration",
            (before.to_string(), config.revision.to_string()),
            format!("published, by {source:?}"),
        ));
        let old = self.base_config.replace(config.clone());
        let old = old.unwrap_or_else(|| config.clone());
        let change = self
            .config_view
            .take(now, (&old, &config), item_revision, source);
        out.push(Command::LogConfig(change));
    }

    /// Returns whether the item of a configuration has the contents in force, and is not older.
    fn in_force(&self, (item_revision, digest): (u64, Digest)) -> bool {
        let base = self.base_config.as_ref();
        item_revision >= self.config_view.version.item_revision
            && base.is_some_and(|base| base.digest == digest)
    }

    /// Notes since when this node hears from no other one, and audits whether it is out of step.
    pub(super) fn update_step(&mut self, now: Time, out: &mut Vec<Command>) {
        let vms = self.bundle.as_ref().map(|bundle| &bundle.deployment.vms);
        let others = vms.is_some_and(|vms| vms.len() > 1);
        if self.roster.is_some() && others && self.peers.none_alive(now) {
            self.alone_since.get_or_insert(now);
        } else {
            self.alone_since = None;
        }
        let out_of_step = self.out_of_step();
        if out_of_step != self.audited_step {
            self.audited_step = out_of_step;
            let state = |out_of_step: bool| if out_of_step { "old" } else { "current" };
            let states = (state(!out_of_step), state(out_of_step));
            let cause = match self.alone_since {
                Some(since) => format!("no other node for {} ms", now.since(since).as_millis()),
                None => format!("item revision {}", self.catalogue.revision()),
            };
            let entry = self.audit(now, Change::OutOfStep, "list of targets", states, cause);
            out.push(entry);
        }
    }

    /// Returns whether targets may have started again with another version without this node hearing of
    /// it: it was paused or cut off, and has not read what the others know.
    pub(super) fn out_of_step(&self) -> bool {
        let unread = |(revision, _)| revision > self.catalogue.revision();
        let unheard = |since| self.platform_read.is_none_or(|read| read < since);
        self.unread_items.is_some_and(unread) || self.alone_since.is_some_and(unheard)
    }

    /// Confirms this node's view once it has read all items that the node which replied to it had.
    pub(super) fn confirm_freshness(&mut self) {
        if let Some((revision, echo)) = self.unread_items
            && revision <= self.catalogue.revision()
        {
            self.unread_items = None;
            self.freshness.confirm(echo);
        }
    }

    /// Records whether the platform is reachable from this node, and audits a change.
    pub(super) fn set_platform_unreachable(
        &mut self,
        now: Time,
        unreachable: bool,
        out: &mut Vec<Command>,
    ) {
        if self.catalogue.set_unreachable(now, unreachable) {
            let state = |unreachable: bool| if unreachable { "away" } else { "answers" };
            let entry = self.audit(
                now,
                Change::Platform,
                "platform",
                (state(!unreachable), state(unreachable)),
                "last call",
            );
            out.push(entry);
        }
    }

    /// Builds and installs a bundle from the configuration, the published targets and the known
    /// nodes.
    pub(super) fn rebuild_bundle(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some((base, roster)) = self.base_config.clone().zip(self.roster.as_ref()) else {
            return;
        };
        let first = !self.configured();
        let mut bundle = (*base).clone();
        bundle.deployment.vms = roster.vms();
        let inventory = self.catalogue.inventory(now);
        let mut listed = std::collections::BTreeMap::new();
        let mut cold = Vec::new();
        for target in inventory.targets.values() {
            let Some(service) = bundle.services.get_mut(&target.service) else {
                continue;
            };
            let id = target.id();
            let evacuated = inventory.evacuated.contains(&target.spec.centre);
            listed.insert(id, target.leaving || evacuated);
            if !target.cold.is_zero() && target.spec.region == self.id.region {
                cold.push((id, now + target.cold, service.capacity.cold_rate));
            }
            service.targets.insert(id, target.spec.clone());
        }
        let bundle = Arc::new(bundle);
        let mut returned = self.install(now, first, &bundle);
        self.target_leaving = listed;
        returned.extend(self.apply_vm_list(now, out));
        for id in returned {
            self.presume_cold(now, id, out);
        }
        for (id, until, rate) in cold {
            self.limit_cold_target(now, id, until, rate, "its own entry", out);
        }
        self.refuse_unserved(now, out);
        let services: Vec<_> = bundle.services.keys().copied().collect();
        for service in services {
            self.dispatch(now, service, out);
        }
    }

    /// Merges the VM addresses of a heartbeat into the roster.
    pub(super) fn merge_vms(&mut self, now: Time, heartbeat: &Heartbeat, out: &mut Vec<Command>) {
        let Some(roster) = &mut self.roster else {
            return;
        };
        let Some((own, others)) = heartbeat.vms.split_first() else {
            return;
        };
        if VmId::of(&own.name) != heartbeat.from {
            return;
        }
        let mut changed = roster.record_direct(now, own);
        for vm in others {
            changed |= roster.record_indirect(now, vm);
        }
        if changed {
            self.rebuild_bundle(now, out);
        }
    }

    /// Sends heartbeats to the seeds while no other node is alive, and to those whose address
    /// belongs to no known node. Removes expired nodes from the roster.
    pub(super) fn maintain_roster(&mut self, now: Time, out: &mut Vec<Command>) {
        let alone = self.peers.none_alive(now);
        let Some(roster) = &mut self.roster else {
            return;
        };
        let seeds = roster.due_seeds(now, alone);
        let removed = roster.expire(now);
        for address in seeds {
            if let Some(heartbeat) = self.introduction_heartbeat(now) {
                let to = VmId(0);
                out.push(Command::Heartbeat {
                    to,
                    address,
                    heartbeat,
                });
            }
        }
        if removed {
            self.rebuild_bundle(now, out);
        }
    }

    /// Fetches items from a peer that has a newer item revision.
    pub(super) fn fetch_newer_items(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        if self.roster.is_none() || heartbeat.items_revision <= self.catalogue.revision() {
            return;
        }
        self.item_fetches.note_newer(now, heartbeat.items_revision);
        self.fetch_items_from(now, heartbeat.from, out);
    }

    /// Fetches the items that a peer has and this node lacks, unless a fetch is pending or has just
    /// ended.
    pub(super) fn fetch_items_from(&mut self, now: Time, from: VmId, out: &mut Vec<Command>) {
        let urgent = !self.configured();
        if self.roster.is_some() && self.item_fetches.due(now, from, urgent) {
            let since = self.catalogue.revision();
            self.fetch_items(now, from, (since, Source::Peer), out);
        }
    }

    /// Returns up to which revision this node has every change, and the digest of its items.
    fn item_state(&self) -> ItemState {
        ItemState {
            revision: self.catalogue.revision(),
            digest: self.catalogue.digest(),
        }
    }

    /// Compares the items of the sender of a heartbeat with those of this node.
    pub(super) fn compare_items(&mut self, now: Time, heartbeat: &Heartbeat) {
        let Some(digest) = heartbeat.items_digest else {
            return;
        };
        let other = ItemState {
            revision: heartbeat.items_revision,
            digest,
        };
        let own = self.item_state();
        self.item_differences
            .compare(now, heartbeat.from, own, other);
    }

    /// Logs the peers whose items have differed from this node's for some time, once each.
    pub(super) fn review_differences(&mut self, now: Time, out: &mut Vec<Command>) {
        let own = self.item_state();
        let peers = &self.peers;
        let alive = |peer| peers.alive(now, peer).is_some();
        self.item_differences.expire(now, own, alive);
        for (peer, other) in self.item_differences.take_unlogged(now, own) {
            out.push(Command::LogDifference(ItemDifference {
                peer,
                revision: own.revision,
                own: own.digest,
                other,
            }));
        }
        self.exchange_items(now, own, out);
    }

    /// Fetches items from a peer that has others at the same revision, or a later configuration in force,
    /// though this node claims to know every change that the peer knows.
    fn exchange_items(&mut self, now: Time, own: ItemState, out: &mut Vec<Command>) {
        if !self.config_view.behind() && self.item_differences.is_empty() {
            self.item_exchanges.settle();
            return;
        }
        if !self.item_exchanges.due(now) || self.item_fetches.pending(now) {
            return;
        }
        let mut sources = Vec::new();
        if self.config_view.stays_behind(now, DIFFERENCE_LIMIT) {
            let version = self.config_view.version.revision;
            sources.extend(self.peers.later_config(now, version, own.revision));
        }
        if sources.is_empty() {
            sources.extend(self.item_differences.lasting(now, own));
        }
        sources.retain(|vm| !self.item_fetches.failed(now, *vm));
        let rank = |vm: &VmId| {
            let near = self.regions.get(vm) == Some(&self.id.region);
            (self.item_exchanges.last_asked(*vm), !near, *vm)
        };
        if let Some(source) = sources.into_iter().min_by_key(rank) {
            let since = self.item_exchanges.begin(now, source, own.revision);
            self.fetch_items(now, source, (since, Source::Exchange), out);
        }
    }

    /// Fetches items from another peer after one has sent none, unless a fetch from another is pending.
    pub(super) fn fetch_elsewhere(&mut self, now: Time, from: VmId, out: &mut Vec<Command>) {
        self.item_fetches.fail(now, from);
        if self.item_fetches.pending(now) {
            return;
        }
        let revision = self.catalogue.revision();
        let sources = self.peers.ahead(now, revision);
        let own_region = self.id.region;
        let source = sources
            .filter(|(vm, _)| !self.item_fetches.failed(now, *vm))
            .min_by_key(|(vm, peer)| (peer.region != own_region, *vm))
            .map(|(vm, _)| vm);
        if let Some(source) = source {
            self.fetch_items(now, source, (revision, Source::Peer), out);
        }
    }

    pub(super) fn fetch_items(
        &mut self,
        now: Time,
        from: VmId,
        (since, source): (u64, Source),
        out: &mut Vec<Command>,
    ) {
        let vms = self.bundle.as_ref().map(|bundle| &bundle.deployment.vms);
        let address = vms.and_then(|vms| Some(vms.get(&from)?.peer));
        if let Some(address) = address {
            self.item_fetches.begin(now, from);
            out.push(Command::FetchItems {
                from,
                address,
                since,
                source,
            });
        }
    }
}

/// Returns the revisions and digests of the configurations in a batch.
fn listed_configs(items: &ItemBatch) -> Vec<(u64, Digest)> {
    let configs = items.items.iter().filter_map(|item| match &item.entry {
        Some(Entry::Config(config)) => Some((item.item.revision, config.digest)),
        _ => None,
    });
    configs.collect()
}
