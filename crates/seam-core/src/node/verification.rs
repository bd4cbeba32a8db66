//! What the store says now outranks what this node remembers: reads that verify it, and what follows from a
//! contradiction.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use seam_protocol::{Bundle, Heartbeat, RawItem, Time, VmId};

use super::Node;
use super::revocation::Shown;
use crate::catalogue::{ItemBatch, MergeResult, RENEWAL_WINDOW, Source};
use crate::command::Command;
use crate::store_call::{
    Contradiction, StoreCall, StoreChange, StoreReading, StoreScope, key_interval,
};

/// Largest region in which every node verifies its configuration.
const SMALL_REGION: usize = 8;
/// Nodes of a larger region that verify it all the time.
const VERIFIER_COUNT: usize = 4;
/// Hash seed of their ranking.
const VERIFY_SEED: u64 = 0x7665_7269;
/// Time after which a node verifies that did not do so all the time.
const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(30);
/// Time for which other nodes have another item in force before this one doubts its own.
const DISPUTE_LIMIT: Duration = Duration::from_secs(1);
/// Longest time until a read that failed is tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of all items by the first watcher of a region, before jitter.
const LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Shortest time between two reads of all items because of a contradiction. It doubles with each that failed or
/// did not confirm one.
const DOUBT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without any answer after which the store does not count as reachable.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Time from the store's return to a read of all items, as it may be back from an older copy. Live targets have
/// renewed their entries by then.
const RETURN_DELAY: Duration = Duration::from_millis(RENEWAL_WINDOW.as_millis() as u64 + 200);

/// A contradiction that a read of all items is to confirm.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    since: Time,
    /// The epoch of a peer, which replaced its items.
    epoch: u32,
}

/// State of the reads that verify what this node knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verification {
    /// When the next read of the configuration's item begins.
    next_key: Time,
    /// When the next read of all items begins.
    next_list: Option<Time>,
    /// When all items are read after the store's return.
    return_list: Option<Time>,
    doubt: Option<Doubt>,
    /// When a read of all items last began because of a doubt.
    listed: Option<Time>,
    /// Whether it is not answered yet. A second one beside it would transfer the same items again.
    listing: bool,
    /// Consecutive contradictions that were not confirmed.
    unconfirmed: u32,
    /// Size of the configuration's item.
    bytes: usize,
    /// The store's revision, and when the call began that states it.
    stated: Option<(u64, Time)>,
    /// Whether the store was seen to have no configuration.
    absent: bool,
    /// When the first call since the last answer began.
    asked: Option<Time>,
    silent: bool,
}

impl Node {
    /// Notes that a call to the store begins.
    pub fn begin_store_call(&mut self, now: Time) -> StoreCall {
        self.verification.asked.get_or_insert(now);
        StoreCall {
            begun: now,
            claim: self.catalogue.revision(),
            replacements: self.catalogue.replacements(),
        }
    }

    /// Returns the store's revision, as it stated it last.
    #[must_use]
    pub fn store_revision(&self) -> Option<u64> {
        self.verification.stated.map(|(revision, _)| revision)
    }

    /// Returns the number of confirmed contradictions that the view of this node follows from.
    #[must_use]
    pub fn items_epoch(&self) -> u32 {
        self.catalogue.epoch()
    }

    /// Returns how often the items were replaced by the store's or by those of a corrected peer.
    #[must_use]
    pub fn items_replacements(&self) -> u32 {
        self.catalogue.replacements()
    }

    /// Returns whether this node verifies the configuration in force by the store: in small regions every node
    /// does so, in others a few, and those that have reason to doubt.
    #[must_use]
    pub fn verifies_config(&self, now: Time) -> bool {
        let rank_of = |vm: VmId| seam_protocol::id::rank(VERIFY_SEED, u64::from(vm.0));
        let own_rank = rank_of(self.id.vm);
        let live: Vec<_> = self.peers.live_in(now, self.id.region).collect();
        let before = live
            .iter()
            .filter(|(vm, peer)| peer.platform_reachable && rank_of(*vm) > own_rank);
        live.len() < SMALL_REGION
            || self.verification.silent
            || before.count() < VERIFIER_COUNT
            || self.config_view.behind()
            || self.config_view.disputed(now, DISPUTE_LIMIT)
            || self.lags(now)
            || self.unconfirmed_for(now) >= CONFIRMATION_LIFETIME
    }

    /// Returns the time since the configuration in force was confirmed by the store, or else taken.
    fn unconfirmed_for(&self, now: Time) -> Duration {
        let taken = self.config_view.version.taken;
        now.since(self.config_view.confirmed.unwrap_or(taken))
    }

    /// Returns the read of the store that is due, which begins now.
    ///
    /// Reads do not wait for earlier ones.
    pub fn due_read(&mut self, now: Time) -> Option<(StoreScope, StoreCall)> {
        if !self.catalogue.ever_reached() {
            return None;
        }
        if self.list_due(now) {
            let fraction = self.rng.random_range(0.75..1.25);
            let verification = &mut self.verification;
            verification.next_list = Some(now + LIST_INTERVAL.mul_f64(fraction));
            if verification.doubt.is_some() {
                (verification.listed, verification.listing) = (Some(now), true);
            }
            return Some((StoreScope::All, self.begin_store_call(now)));
        }
        if !self.configured() {
            return None;
        }
        let verifies = self.verification.next_key <= now && self.verifies_config(now);
        if !verifies && !self.confirming_read_due(now) {
            return None;
        }
        let fraction = self.rng.random_range(0.0..1.0);
        let small_region = self.in_small_region(now);
        let interval = key_interval(self.verification.bytes, small_region, fraction);
        self.verification.next_key = now + interval;
        Some((StoreScope::Config, self.begin_store_call(now)))
    }

    /// Returns whether to read all items: because of a doubt, or as the first watcher of the region now and
    /// then.
    fn list_due(&mut self, now: Time) -> bool {
        if self.verification.doubt.is_some() {
            let factor = 2_u32.pow(self.verification.unconfirmed.min(3));
            let interval = DOUBT_INTERVAL * factor;
            let interval = if self.verification.listing {
                interval.max(SILENCE_LIMIT)
            } else {
                interval
            };
            let listed = self.verification.listed;
            return listed.is_none_or(|listed| now.since(listed) >= interval);
        }
        if let Some(due) = self.verification.return_list {
            if !self.watches_platform(now) {
                self.verification.return_list = None;
            } else if due <= now {
                self.verification.return_list = None;
                return true;
            }
        }
        if !self.first_watcher(now) || !self.catalogue.platform_reachable() {
            self.verification.next_list = None;
            return false;
        }
        *self
            .verification
            .next_list
            .get_or_insert(now + LIST_INTERVAL)
            <= now
    }

    /// Notes that a read which verifies what this node knows failed.
    pub fn note_failed_read(&mut self, now: Time, scope: StoreScope) {
        if scope == StoreScope::All {
            let verification = &mut self.verification;
            verification.unconfirmed = verification.unconfirmed.saturating_add(1);
            verification.listing = false;
            return;
        }
        let next = self.verification.next_key;
        self.verification.next_key = next.min(now + RETRY_INTERVAL);
    }

    /// Notes that the store has not answered any call for some time, so that others read it.
    pub(super) fn review_silence(&mut self, now: Time, out: &mut Vec<Command>) {
        let Some(asked) = self.verification.asked else {
            return;
        };
        let silence = now.since(asked);
        if silence >= SILENCE_LIMIT && self.catalogue.platform_reachable() {
            self.verification.silent = true;
            self.set_platform_unreachable(now, true, out);
            out.push(Command::LogStore(StoreChange::Silent(silence)));
        }
    }

    fn in_small_region(&self, now: Time) -> bool {
        self.peers.live_in(now, self.id.region).count() < SMALL_REGION
    }

    /// Has the key of a version read that was just put in force, unless many nodes would do so at once.
    pub(super) fn verify_soon(&mut self, now: Time) {
        if self.in_small_region(now) {
            self.verification.next_key = now;
        }
    }

    /// Plans a read of all items, as the store answers again after calls that failed.
    pub fn note_store_return(&mut self, now: Time) {
        let due = now + RETURN_DELAY;
        self.verification.return_list.get_or_insert(due);
    }

    /// Begins to wait for answers again, after a pause of the process.
    pub(super) fn restart_silence(&mut self, now: Time) {
        self.verification.asked = self.verification.asked.map(|_| now);
    }

    /// Returns whether this node knows an item as it is, so that it need not be parsed again.
    #[must_use]
    pub fn knows_item(&self, item: &RawItem) -> bool {
        self.catalogue.knows(item)
    }

    /// Limits the revisions of listed items to the one that the store states. A store whose counter went back
    /// keeps items of revisions above it, and gives later changes lower ones.
    pub fn limit_revisions(&self, items: &mut [RawItem], stated: u64) {
        for item in items.iter_mut().filter(|item| item.revision > stated) {
            let known = self.catalogue.revision_of(item);
            item.revision = known.map_or(stated, |known| known.min(stated));
        }
    }

    /// Handles the answer to a call to the store.
    pub(super) fn read_store(&mut self, now: Time, reading: StoreReading, out: &mut Vec<Command>) {
        let StoreReading { call, scope, .. } = reading;
        self.verification.asked = None;
        if std::mem::take(&mut self.verification.silent) {
            self.set_platform_unreachable(now, false, out);
        }
        // The answer follows from what this node remembered before it was corrected.
        if call.replacements != self.catalogue.replacements() {
            return;
        }
        let later = |(_, begun): &(u64, Time)| *begun > call.begun;
        if let Some(stated) = reading.stated
            && !self.verification.stated.as_ref().is_some_and(later)
        {
            self.verification.stated = Some((stated, call.begun));
        }
        let contradiction = self.catalogue.contradiction(&reading);
        let answered = |doubt: &Doubt| scope == StoreScope::All && call.begun >= doubt.since;
        if let Some(doubt) = self.verification.doubt.take_if(|doubt| answered(doubt)) {
            if contradiction.is_some() || doubt.epoch > self.catalogue.epoch() {
                self.verification.unconfirmed = 0;
                let follows = (doubt.epoch, None);
                self.replace_items(now, call, reading.batch, follows, out);
                return;
            }
            self.verification.unconfirmed += 1;
            self.verification.listing = false;
        } else if let Some(contradiction) = contradiction {
            self.doubt(now, contradiction, out);
            if scope == StoreScope::All {
                // Merged, it would hide what the next list is to confirm.
                return;
            }
        }
        let config = self.find_config(&reading.batch);
        let certain = contradiction.is_none() && self.verification.doubt.is_none();
        let shown = Shown {
            call,
            scope,
            complete: reading.complete,
            empty: reading.batch.items.is_empty(),
            stated: reading.stated,
            config: config.as_ref().map(|(_, revision, _)| *revision),
        };
        let absent = scope == StoreScope::Config && reading.batch.items.is_empty();
        if absent && !std::mem::replace(&mut self.verification.absent, absent) {
            out.push(Command::LogStore(StoreChange::NoConfig));
        }
        let source = (Source::Platform, call.begun);
        let stated = reading.stated.unwrap_or(0);
        self.merge_items(now, reading.batch, source, out);
        if certain {
            self.confirm_shown(now, shown, out);
        }
        let Some((key, revision, bytes)) = config else {
            return;
        };
        self.verification.bytes = bytes;
        self.verification.absent = false;
        let shown = self.catalogue.config(&key);
        let Some((_, config)) = shown.filter(|(known, _)| *known == revision) else {
            return;
        };
        // The store shows the item now, so what is in force instead is not what it has.
        let earlier = self.config_view.version.taken < call.begun;
        if scope == StoreScope::Config && earlier && self.base_config.as_ref() != Some(&config) {
            let may_be_kept = self.config_view.lost_with(revision);
            if self.follow_store(now, (revision, config), may_be_kept, out) {
                self.confirm_revocation(now, call.begun, out);
                self.rebuild_bundle(now, out);
                self.send_urgent_heartbeats(now, out);
            }
            return;
        }
        let plausible = scope != StoreScope::Changes || revision <= stated;
        if plausible && self.base_config.as_ref() == Some(&config) {
            self.config_view.acknowledge(call.begun);
        }
    }

    /// Returns the key, revision and size of the configuration's item in a batch.
    fn find_config(&self, batch: &ItemBatch) -> Option<(String, u64, usize)> {
        // The changes that a watch returns are in the order of their revisions.
        let mut items = batch.items.iter().rev();
        items.find_map(|published| {
            let item = &published.item;
            let config = matches!(published.entry, Some(seam_protocol::Entry::Config(_)))
                || self.config_view.is_key(&item.key);
            let bytes = item.value.as_ref().filter(|_| config)?.len();
            Some((item.key.clone(), item.revision, bytes))
        })
    }

    /// Has all items read, since an answer contradicts what this node knows.
    fn doubt(&mut self, now: Time, contradiction: Contradiction, out: &mut Vec<Command>) {
        if self.verification.doubt.is_some() {
            return;
        }
        self.verification.doubt = Some(Doubt {
            since: now,
            epoch: 0,
        });
        out.push(Command::LogStore(StoreChange::Contradicted(contradiction)));
    }

    /// Puts the configuration that the store has in force. Returns whether it is.
    ///
    /// The operator writes again what the store lost with an older copy. Until then an older version does not
    /// replace the one in force, if that `may_be_kept`.
    fn follow_store(
        &mut self,
        now: Time,
        (item_revision, config): (u64, Arc<Bundle>),
        may_be_kept: bool,
        out: &mut Vec<Command>,
    ) -> bool {
        let base = self.base_config.as_ref();
        let older = base.is_some_and(|base| config.revision < base.revision);
        if older && may_be_kept && self.config_view.keeps_newer(now) {
            return false;
        }
        if base.is_none_or(|base| base.digest != config.digest) {
            self.revocation.clear();
        }
        self.enforce_config(now, (item_revision, config), Source::Platform, out);
        true
    }

    /// Returns whether a peer has a version in force that is no older than that of this node.
    fn keeps_version(&self, now: Time, peer: VmId) -> bool {
        let peer = self.peers.alive(now, peer);
        peer.is_some_and(|peer| peer.record.revision >= self.config_view.version.revision)
    }

    /// Replaces all items by those of the store, or of a peer, and resets what refers to the earlier ones.
    fn replace_items(
        &mut self,
        now: Time,
        call: StoreCall,
        batch: ItemBatch,
        (epoch, peer): (u32, Option<VmId>),
        out: &mut Vec<Command>,
    ) {
        let before = self.catalogue.revision();
        let config = self.find_config(&batch);
        let may_be_kept = match (peer, &config) {
            (Some(peer), _) => self.keeps_version(now, peer),
            (None, Some((_, revision, _))) => self.config_view.lost_with(*revision),
            (None, None) => false,
        };
        let merged = self.catalogue.replace(now, batch, call.begun, epoch);
        self.revocation.clear();
        let (revision, epoch) = (self.catalogue.revision(), self.catalogue.epoch());
        out.push(Command::LogStore(StoreChange::Replaced {
            before,
            revision,
            epoch,
        }));
        self.item_fetches = super::ItemFetches::default();
        self.item_differences = super::ItemDifferences::default();
        self.item_exchanges = super::ItemExchanges::default();
        self.verification.doubt = None;
        self.verification.listing = false;
        self.unread_items = None;
        self.peers.forget_items();
        self.config_view.reset(revision);
        let merged = MergeResult {
            config: None,
            ..merged
        };
        self.apply_merged(now, merged, Source::Platform, out);
        let listed = config.and_then(|(key, ..)| self.catalogue.config(&key));
        if let Some(config) = listed
            && self.follow_store(now, config, may_be_kept, out)
            && peer.is_none()
        {
            self.config_view.acknowledge(call.begun);
            self.confirm_revocation(now, call.begun, out);
        }
        self.rebuild_bundle(now, out);
        self.send_urgent_heartbeats(now, out);
    }

    /// Handles the epoch of a peer's items. Returns whether its items count at this node.
    pub(super) fn compare_epochs(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) -> bool {
        let own = self.catalogue.epoch();
        if heartbeat.items_epoch > own && self.roster.is_some() {
            if self.catalogue.revision() == 0 {
                self.catalogue.adopt_epoch(heartbeat.items_epoch);
                return true;
            }
            if self.reads_itself(now) {
                self.follow_epoch(now, heartbeat.items_epoch);
            } else if heartbeat.items_revision > 0
                && self.item_fetches.due(now, heartbeat.from, false)
            {
                self.fetch_items(now, heartbeat.from, (0, Source::Peer), out);
            }
        }
        heartbeat.items_epoch == own
    }

    /// Returns whether this node reads the store itself to correct its items, and does not fetch them.
    fn reads_itself(&self, now: Time) -> bool {
        self.catalogue.platform_reachable() && self.verifies_config(now)
    }

    /// Has a node that verifies its configuration read all items, since a peer replaced its own.
    fn follow_epoch(&mut self, now: Time, epoch: u32) {
        let doubt = self
            .verification
            .doubt
            .get_or_insert(Doubt { since: now, epoch });
        doubt.epoch = doubt.epoch.max(epoch);
    }

    /// Handles items that were fetched from a peer in an epoch.
    pub(super) fn read_peer(
        &mut self,
        now: Time,
        (from, epoch): (VmId, u32),
        (items, source): (ItemBatch, Source),
        out: &mut Vec<Command>,
    ) {
        let own = self.catalogue.epoch();
        if epoch == own {
            self.merge_items(now, items, (source, now), out);
            return;
        }
        if epoch > own && self.catalogue.revision() == 0 {
            self.catalogue.adopt_epoch(epoch);
            self.merge_items(now, items, (source, now), out);
            return;
        }
        let begun = self.item_fetches.begun_with(from);
        if epoch > own && items.full && !self.reads_itself(now) {
            let call = StoreCall {
                begun: begun.unwrap_or(now),
                ..StoreCall::default()
            };
            self.replace_items(now, call, items, (epoch, Some(from)), out);
        } else {
            self.item_fetches.fail(now, from);
        }
    }
}
