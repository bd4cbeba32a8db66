//! Items published by the platform, merged by revision.
//!
//! An item is a key with a revision and an encoded entry: the configuration, a target, or the
//! evacuation of a data centre.
//!
//! An item may arrive from the platform or from any peer, in any order and more than once. Within an
//! epoch the highest revision of a key wins, so the merge order does not matter and no key returns to
//! an older revision. A list of the platform that contradicts the items replaces them and begins
//! another epoch. An unreachable platform does not make any item expire.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::store_call::{Contradiction, StoreReading, StoreScope};
use seam_protocol::id::rank;
use seam_protocol::{Bundle, Delta, Digest, Entry, Inventory, RawItem, TargetId, Time};

/// Time for which a removal is kept, several times the length of the platform's own history.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(120);
/// Time within which a live target renews its entry after the platform becomes reachable again.
pub const RENEWAL_WINDOW: Duration = Duration::from_millis(2300);

/// Shortest time between two epochs that this node begins.
const MIN_EPOCH: Duration = Duration::from_secs(2);

/// Where an item was received from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform itself.
    Platform,
    /// Another node, which relays items of the platform.
    Peer,
    /// Another node whose items differ from those here, although neither claims to lack a change. Such items
    /// tell neither of other ones nor up to which revision all are known.
    Exchange,
}

/// An item together with its decoded entry.
#[derive(Clone, Debug)]
pub struct PublishedItem {
    /// The item.
    pub item: RawItem,
    /// The decoded entry, `None` if the item was removed.
    pub entry: Option<Entry>,
}

/// Items that were received together.
#[derive(Clone, Debug, Default)]
pub struct ItemBatch {
    /// The items.
    pub items: Vec<PublishedItem>,
    /// Revision up to which every change is known after merging the batch.
    pub revision: u64,
    /// Whether the batch contains every existing item.
    pub full: bool,
}

impl ItemBatch {
    /// Decodes the items of a delta with `entry`.
    #[must_use]
    pub fn read(delta: Delta, mut entry: impl FnMut(&RawItem) -> Option<Entry>) -> Self {
        let items = delta.items.into_iter().map(|item| PublishedItem {
            entry: entry(&item),
            item,
        });
        Self {
            items: items.collect(),
            revision: delta.revision,
            full: delta.full,
        }
    }
}

/// The result of a merge.
#[derive(Clone, Debug, Default)]
pub struct MergeResult {
    /// A newly received configuration, with the revision of its item.
    pub config: Option<(u64, Arc<Bundle>)>,
    /// Whether targets or evacuated data centres changed.
    pub inventory_changed: bool,
    /// Items that cannot be used, each with the reason.
    pub unusable: Vec<UnusableItem>,
    /// New state of each target in the batch.
    pub target_changes: Vec<TargetChange>,
    /// Targets in the batch, with whether their entries lapsed and stay in use.
    pub lapsed: BTreeMap<TargetId, bool>,
}

/// An item that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableItem {
    /// Its key.
    pub key: String,
    /// Its revision.
    pub revision: u64,
    /// Why it cannot be used.
    pub reason: String,
}

/// The state of a target according to an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// Key of the item.
    pub key: String,
    /// Its revision.
    pub revision: u64,
    /// `ready`, `leaving`, `removed`, or `lapsed` if the lease may only have expired.
    pub state: &'static str,
}

#[derive(Clone, Debug)]
struct Item {
    raw: RawItem,
    entry: Option<Entry>,
    received: Time,
    /// When its revision was received.
    seen: Time,
    /// Until when the entry of a lapsed item (one whose lease may have expired) stays in use.
    keep_until: Option<Time>,
    /// Whether the entry is kept under the revision of an older one, written late.
    kept: bool,
    /// Boot and sequence number of the last entry of an earlier boot that was not used.
    outdated: Option<(u64, u64)>,
}

impl Item {
    /// Returns whether an entry of a target is older than this one, written late.
    ///
    /// Sequence numbers restart with every boot of the target. A second entry of an earlier boot is
    /// not late: the boot is in use, and the clock that numbered it was set back. Nor is one ignored
    /// that says that the target leaves.
    fn outdates(&mut self, entry: Option<&Entry>) -> bool {
        let (Some(Entry::Target(known)), Some(Entry::Target(received))) = (&self.entry, entry)
        else {
            return false;
        };
        if known.boot <= received.boot {
            return known.boot == received.boot && known.sequence > received.sequence;
        }
        if received.leaving {
            return false;
        }
        let last = self.outdated.replace((received.boot, received.sequence));
        last.is_none_or(|(boot, sequence)| boot != received.boot || sequence >= received.sequence)
    }
}

/// Returns the part of an item in the digest of a catalogue. Removals have none, since nodes forget them at
/// different times.
fn part(item: &RawItem) -> u32 {
    if item.value.is_none() {
        return 0;
    }
    rank(Digest::of(item.key.as_bytes()).leading_u64(), item.revision) as u32
}

/// Every known item, including recent removals.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Key of the last configuration that was received.
    config_key: Option<String>,
    /// Sum of the parts of all items.
    digest: u32,
    /// Revision up to which removals may be missing: they were dropped, or came before a complete list.
    dropped_revision: u64,
    /// Whether the platform is unreachable from this node at present.
    unreachable: bool,
    /// Whether the platform has ever been reachable from this node.
    ever_reached: bool,
    reachable_since: Option<Time>,
    /// Raised with each replacement; revisions of different epochs cannot be compared.
    epoch: u32,
    /// When this node last raised the epoch.
    raised: Option<Time>,
    /// How often the items were replaced.
    replacements: u32,
}

impl Catalogue {
    /// Records whether the platform is unreachable from this node.
    ///
    /// Returns whether this changed.
    pub fn set_unreachable(&mut self, now: Time, unreachable: bool) -> bool {
        let changed = self.unreachable != unreachable;
        if changed && !unreachable {
            self.reachable_since = Some(now);
        }
        self.unreachable = unreachable;
        self.ever_reached |= !unreachable;
        changed
    }

    /// Returns whether the platform is reachable from this node.
    #[must_use]
    pub fn platform_reachable(&self) -> bool {
        self.ever_reached && !self.unreachable
    }

    /// Returns whether the platform has ever been reachable from this node.
    pub(crate) fn ever_reached(&self) -> bool {
        self.ever_reached
    }

    /// Returns the revision up to which every change is known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a digest of the keys and revisions of all items that were not removed. It does not depend on
    /// the order in which they were received.
    ///
    /// ```
    /// use seam_core::catalogue::{Catalogue, ItemBatch, PublishedItem, Source};
    /// use seam_protocol::{RawItem, Time};
    /// let digest = |revisions: &[u64]| {
    ///     let mut catalogue = Catalogue::default();
    ///     for revision in revisions {
    ///         let item = RawItem {
    ///             key: format!("key/{revision}"), revision: *revision, value: Some(vec![1]), lapsed: false,
    ///         };
    ///         let items = vec![PublishedItem { item, entry: None }];
    ///         let batch = ItemBatch { items, revision: 9, full: false };
    ///         catalogue.merge(Time(0), batch, Source::Platform);
    ///     }
    ///     catalogue.digest()
    /// };
    /// assert_eq!(digest(&[5, 7, 8]), digest(&[8, 5, 7]));
    /// assert_ne!(digest(&[5, 7, 8]), digest(&[5, 8]));
    /// ```
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns whether leases may have expired only because targets could not renew them.
    fn leases_uncertain(&self, now: Time) -> bool {
        self.unreachable
            || self
                .reachable_since
                .is_some_and(|since| now.since(since) < RENEWAL_WINDOW)
    }

    /// Merges a batch of items.
    ///
    /// ```
    /// use seam_core::catalogue::{Catalogue, ItemBatch, PublishedItem, Source};
    /// use seam_protocol::{RawItem, Time};
    /// let removal = |revision| PublishedItem {
    ///     item: RawItem { key: "a".into(), revision, value: None, lapsed: false },
    ///     entry: None,
    /// };
    /// let mut catalogue = Catalogue::default();
    /// let batch = ItemBatch { items: vec![removal(7)], revision: 7, full: false };
    /// catalogue.merge(Time(0), batch, Source::Platform);
    /// assert_eq!(catalogue.revision(), 7);
    /// assert_eq!(catalogue.since(6).items.len(), 1);
    /// ```
    pub fn merge(&mut self, now: Time, batch: ItemBatch, source: Source) -> MergeResult {
        let mut merged = MergeResult::default();
        let leases_uncertain = source == Source::Platform && self.leases_uncertain(now);
        let mut batch = batch;
        if source == Source::Exchange {
            self.limit_exchange(&mut batch);
        }
        if batch.full {
            self.add_removals(&mut batch, source);
            if batch.revision < self.revision {
                // An item that is not known any more was removed since, maybe before this node knew it.
                let known = &self.items;
                batch
                    .items
                    .retain(|published| known.contains_key(&published.item.key));
            } else if batch.revision > self.revision {
                self.dropped_revision = self.dropped_revision.max(batch.revision);
            }
        }
        for published in batch.items {
            self.merge_item(now, published, leases_uncertain, &mut merged);
        }
        self.revision = self.revision.max(batch.revision);
        merged
    }

    /// Leaves of a batch of another node's items those that cannot have been removed here before, and none of
    /// its claims. A configuration stays in force after its removal, so that it may come back.
    fn limit_exchange(&self, batch: &mut ItemBatch) {
        (batch.full, batch.revision) = (false, 0);
        batch.items.retain(|PublishedItem { item, entry }| {
            self.items.contains_key(&item.key)
                || item.revision > self.dropped_revision
                || matches!(entry, Some(Entry::Config(_)))
        });
    }

    /// Adds removals of known items that a complete batch no longer contains.
    ///
    /// A peer may not know whether an item was removed or its lease expired during an outage.
    fn add_removals(&self, batch: &mut ItemBatch, source: Source) {
        let listed: std::collections::BTreeSet<&str> = batch
            .items
            .iter()
            .map(|published| published.item.key.as_str())
            .collect();
        let removals: Vec<PublishedItem> = self
            .items
            .values()
            .filter(|item| item.raw.value.is_some() && item.raw.revision <= batch.revision)
            .filter(|item| !listed.contains(item.raw.key.as_str()))
            .map(|item| PublishedItem {
                item: RawItem {
                    key: item.raw.key.clone(),
                    revision: batch.revision,
                    value: None,
                    lapsed: source == Source::Peer,
                },
                entry: None,
            })
            .collect();
        batch.items.extend(removals);
    }

    fn merge_item(
        &mut self,
        now: Time,
        published: PublishedItem,
        leases_uncertain: bool,
        merged: &mut MergeResult,
    ) {
        let PublishedItem { mut item, entry } = published;
        if let Some(current) = self.items.get_mut(&item.key) {
            // A list may lack an item whose revision it states.
            let removal = item.value.is_none() && current.raw.value.is_some();
            if current.raw.revision > item.revision
                || (current.raw.revision == item.revision && !removal)
            {
                return;
            }
            if current.outdates(entry.as_ref()) {
                // Keeps the newer entry under the new revision, so that peers receive it as a
                // change.
                let before = part(&current.raw);
                current.raw.revision = item.revision;
                current.seen = now;
                current.kept = true;
                let after = part(&current.raw);
                self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
                let reason = "a newer entry of the same target is known".to_owned();
                merged.unusable.push(UnusableItem {
                    key: item.key,
                    revision: item.revision,
                    reason,
                });
                return;
            }
        }
        let current = self.items.get(&item.key);
        let target = current.is_some_and(|current| matches!(current.entry, Some(Entry::Target(_))));
        let removed = item.value.is_none();
        item.lapsed = removed && target && (item.lapsed || leases_uncertain);
        let (entry, keep_until) = if item.lapsed {
            let entry = current.and_then(|current| current.entry.clone());
            (entry, Some(now + RENEWAL_WINDOW))
        } else {
            (entry, None)
        };
        match &entry {
            Some(Entry::Config(bundle)) => {
                merged.config = Some((item.revision, bundle.clone()));
                self.config_key = Some(item.key.clone());
            }
            Some(Entry::Unusable(reason)) => {
                merged.unusable.push(UnusableItem {
                    key: item.key.clone(),
                    revision: item.revision,
                    reason: reason.clone(),
                });
                merged.inventory_changed |= target;
            }
            _ => merged.inventory_changed |= keep_until.is_none(),
        }
        if let Some(Entry::Target(target)) = &entry {
            merged.lapsed.insert(target.id(), item.lapsed);
        }
        let key = item.key.clone();
        let state = match &entry {
            _ if item.lapsed => Some("lapsed"),
            Some(Entry::Target(target)) if target.leaving => Some("leaving"),
            Some(Entry::Target(_)) => Some("ready"),
            None if target => Some("removed"),
            _ => None,
        };
        if let Some(state) = state {
            let (key, revision) = (key.clone(), item.revision);
            merged.target_changes.push(TargetChange {
                key,
                revision,
                state,
            });
        }
        let item = Item {
            raw: item,
            entry,
            received: now,
            seen: now,
            keep_until,
            kept: false,
            outdated: None,
        };
        self.digest = self.digest.wrapping_add(part(&item.raw));
        if let Some(replaced) = self.items.insert(key, item) {
            self.digest = self.digest.wrapping_sub(part(&replaced.raw));
        }
    }

    /// Returns the epoch of the items. Revisions of different epochs cannot be compared.
    #[must_use]
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Adopts the epoch of a peer, for a node that has no items yet.
    pub(crate) fn adopt_epoch(&mut self, epoch: u32) {
        self.epoch = epoch;
    }

    /// Returns how often the items were replaced.
    pub(crate) fn replacements(&self) -> u32 {
        self.replacements
    }

    /// Returns whether an item is known, with its revision and value.
    pub(crate) fn knows(&self, item: &RawItem) -> bool {
        let known = self.items.get(&item.key);
        known.is_some_and(|known| {
            known.raw.revision == item.revision && known.raw.value == item.value
        })
    }

    /// Returns the revision of an item that is known with the same value.
    pub(crate) fn revision_of(&self, item: &RawItem) -> Option<u64> {
        let known = self.items.get(&item.key)?;
        (known.raw.value == item.value).then_some(known.raw.revision)
    }

    /// Returns the usable configuration of a key, with the revision of its item.
    pub(crate) fn config(&self, key: &str) -> Option<(u64, Arc<Bundle>)> {
        let item = self.items.get(key)?;
        match &item.entry {
            Some(Entry::Config(config)) => Some((item.raw.revision, config.clone())),
            _ => None,
        }
    }

    /// Returns the configuration that was received last, with the revision of its item, unless a later item cannot
    /// be used or removes it.
    pub(crate) fn last_config(&self) -> Option<(u64, &Arc<Bundle>)> {
        let item = self.items.get(self.config_key.as_ref()?)?;
        match &item.entry {
            Some(Entry::Config(config)) => Some((item.raw.revision, config)),
            _ => None,
        }
    }

    /// Returns how an answer of the store contradicts what was known when the call began.
    pub(crate) fn contradiction(&self, reading: &StoreReading) -> Option<Contradiction> {
        let StoreReading { call, scope, .. } = reading;
        let against = |known, stated| Some(Contradiction { known, stated });
        if let Some(stated) = reading.stated.filter(|stated| *stated < call.claim) {
            return against(call.claim, stated);
        }
        if *scope == StoreScope::Changes {
            return None;
        }
        for PublishedItem { item, .. } in &reading.batch.items {
            let Some(known) = self.items.get(&item.key) else {
                if *scope == StoreScope::All && item.revision <= call.claim {
                    return against(call.claim, item.revision);
                }
                continue;
            };
            if known.seen >= call.begun {
                continue;
            }
            let differs =
                known.raw.revision == item.revision && known.raw.value != item.value && !known.kept;
            if known.raw.revision > item.revision || differs {
                return against(known.raw.revision, item.revision);
            }
        }
        let stated = reading.stated.filter(|_| *scope == StoreScope::All)?;
        let beyond = |item: &&Item| item.seen < call.begun && item.raw.revision > stated;
        let beyond = self.items.values().find(beyond)?;
        against(beyond.raw.revision, stated)
    }

    /// Replaces all items by a complete list, except those received after the read `begun`, and adopts
    /// `epoch` or, if that is no higher, raises its own.
    pub(crate) fn replace(
        &mut self,
        now: Time,
        batch: ItemBatch,
        begun: Time,
        epoch: u32,
    ) -> MergeResult {
        let leases_uncertain = self.leases_uncertain(now);
        let mut merged = MergeResult::default();
        let mut batch = batch;
        let listed: BTreeMap<&str, &RawItem> = batch
            .items
            .iter()
            .map(|published| (published.item.key.as_str(), &published.item))
            .collect();
        let mut removals = Vec::new();
        for (key, item) in &mut self.items {
            if item.seen >= begun {
                continue;
            }
            let same = listed.get(key.as_str()).is_some_and(|listed| {
                listed.revision == item.raw.revision && listed.value == item.raw.value
            });
            if !same {
                item.raw.revision = 0;
            }
            if !listed.contains_key(key.as_str()) && item.raw.value.is_some() && batch.full {
                removals.push(key.clone());
            }
        }
        self.items.retain(|_, item| {
            item.raw.value.is_some() || item.keep_until.is_some() || item.raw.revision > 0
        });
        let removals = removals.into_iter().map(|key| PublishedItem {
            item: RawItem {
                key,
                revision: batch.revision,
                value: None,
                lapsed: false,
            },
            entry: None,
        });
        batch.items.extend(removals);
        for published in batch.items {
            self.merge_item(now, published, leases_uncertain, &mut merged);
        }
        self.revision = batch.revision;
        self.dropped_revision = batch.revision;
        let digests = self.items.values().map(|item| part(&item.raw));
        self.digest = digests.fold(0, u32::wrapping_add);
        self.replacements += 1;
        let raised = self
            .raised
            .is_some_and(|raised| now.since(raised) < MIN_EPOCH);
        if epoch > self.epoch {
            self.epoch = epoch;
        } else if !raised {
            self.epoch = self.epoch.saturating_add(1);
            self.raised = Some(now);
        }
        merged
    }

    /// Drops lapsed entries and old removals. Returns whether targets changed.
    pub fn expire(&mut self, now: Time) -> bool {
        let mut changed = false;
        for item in self.items.values_mut() {
            if item.keep_until.is_some_and(|until| until <= now) {
                item.keep_until = None;
                item.entry = None;
                changed = true;
            }
        }
        let dropped_revision = &mut self.dropped_revision;
        self.items.retain(|_, item| {
            let expired = item.raw.value.is_none()
                && item.keep_until.is_none()
                && now.since(item.received) >= TOMBSTONE_LIFETIME;
            if expired {
                *dropped_revision = (*dropped_revision).max(item.raw.revision);
            }
            !expired
        });
        changed
    }

    /// Returns the items that a node at `revision` lacks.
    ///
    /// The delta is complete if `revision` is zero or older than a removal that may be missing. Known
    /// removals are listed in it, unless the node has no items.
    #[must_use]
    pub fn since(&self, revision: u64) -> Delta {
        let full = revision < self.dropped_revision || revision == 0;
        let items = self
            .items
            .values()
            .filter(|item| item.raw.revision > revision || full)
            .filter(|item| revision > 0 || item.raw.value.is_some() || item.keep_until.is_some())
            .map(|item| item.raw.clone())
            .collect();
        Delta {
            items,
            revision: self.revision,
            full,
        }
    }

    /// Returns the current targets and evacuated data centres. The remaining times of cold targets
    /// count from when their entries were received.
    #[must_use]
    pub fn inventory(&self, now: Time) -> Inventory {
        let mut inventory = Inventory::default();
        for (key, item) in &self.items {
            match &item.entry {
                Some(Entry::Target(target)) => {
                    let mut target = (**target).clone();
                    target.cold = target.cold.saturating_sub(now.since(item.received));
                    inventory.targets.insert(key.clone(), target);
                }
                Some(Entry::Evacuation(centre)) => {
                    inventory.evacuated.insert(*centre);
                }
                _ => {}
            }
        }
        inventory
    }
}
