//! Items of the platform, merged by revision.
//!
//! An item may come from the platform or from any peer, in any order and more than once: the higher
//! revision of a key wins, so the order of merging does not matter and nothing goes back. Nothing is
//! forgotten because the platform is silent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use seam_protocol::{Bundle, Delta, Entry, Inventory, RawItem, Time};

/// Time for which a removal is remembered; several times the platform's own history.
const TOMBSTONE: Duration = Duration::from_secs(120);
/// Time within which a live target writes its entry again once the platform is back.
pub const RENEWAL_WINDOW: Duration = Duration::from_millis(2300);

/// Who an item was heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform itself.
    Platform,
    /// Another node, which had it from the platform.
    Peer,
}

/// An item with what it says.
#[derive(Clone, Debug)]
pub struct PublishedItem {
    /// The item.
    pub item: RawItem,
    /// What it says, `None` if it was removed.
    pub entry: Option<Entry>,
}

/// Items that were heard together.
#[derive(Clone, Debug, Default)]
pub struct ItemBatch {
    /// The items.
    pub items: Vec<PublishedItem>,
    /// Revision up to which every change is then known.
    pub head: u64,
    /// Whether these are all items there are.
    pub whole: bool,
}

impl ItemBatch {
    /// Reads what the items of a delta say.
    #[must_use]
    pub fn read(delta: Delta, entry: impl Fn(&RawItem) -> Option<Entry>) -> Self {
        let items = delta.items.into_iter().map(|item| PublishedItem {
            entry: entry(&item),
            item,
        });
        Self {
            items: items.collect(),
            head: delta.head,
            whole: delta.whole,
        }
    }
}

/// What a merge changed.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// A configuration that was not known before.
    pub config: Option<Arc<Bundle>>,
    /// Whether targets or evacuations changed.
    pub inventory_changed: bool,
    /// Items that cannot be used, with the reason.
    pub unusable: Vec<(String, String)>,
    /// What became of each target that was heard of.
    pub target_changes: Vec<TargetChange>,
}

/// What an item says of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// Key of the item.
    pub key: String,
    /// Its revision.
    pub revision: u64,
    /// `ready`, `leaving`, `removed`, or `lapsed` where the lease may only have run out.
    pub state: &'static str,
}

#[derive(Clone, Debug)]
struct Item {
    raw: RawItem,
    entry: Option<Entry>,
    heard: Time,
    /// Until when the entry of a lapsed item is still used.
    kept: Option<Time>,
}

impl Item {
    /// Tells whether a target wrote what is known after what an entry says. A new start counts anew.
    fn is_newer_than(&self, entry: Option<&Entry>) -> bool {
        matches!(
            (&self.entry, entry),
            (Some(Entry::Target(known)), Some(Entry::Target(heard)))
                if known.boot == heard.boot && known.sequence > heard.sequence
        )
    }
}

/// Every item known, with removals.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    items: BTreeMap<String, Item>,
    head: u64,
    /// Highest revision of a removal that was forgotten.
    floor: u64,
    /// Whether the platform does not answer this node.
    away: bool,
    /// Whether it ever answered this node.
    answered: bool,
    back: Option<Time>,
}

impl Catalogue {
    /// Takes in whether the platform answers this node.
    ///
    /// Returns whether that changed.
    pub fn set_unreachable(&mut self, now: Time, away: bool) -> bool {
        let changed = self.away != away;
        if changed && !away {
            self.back = Some(now);
        }
        self.away = away;
        self.answered |= !away;
        changed
    }

    /// Tells whether the platform answers this node.
    #[must_use]
    pub fn platform_reachable(&self) -> bool {
        self.answered && !self.away
    }

    /// Returns the revision up to which every change is known.
    #[must_use]
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Tells whether leases may have run out only because targets could not renew them.
    fn doubtful(&self, now: Time) -> bool {
        self.away
            || self
                .back
                .is_some_and(|back| now.since(back) < RENEWAL_WINDOW)
    }

    /// Merges items.
    ///
    /// ```
    /// use seam_core::catalogue::{Catalogue, ItemBatch, PublishedItem, Source};
    /// use seam_protocol::{RawItem, Time};
    /// let removal = |revision| PublishedItem {
    ///     item: RawItem { key: "a".into(), revision, value: None, lapsed: false },
    ///     entry: None,
    /// };
    /// let mut catalogue = Catalogue::default();
    /// let news = ItemBatch { items: vec![removal(7)], head: 7, whole: false };
    /// catalogue.merge(Time(0), news, Source::Platform);
    /// assert_eq!(catalogue.head(), 7);
    /// assert_eq!(catalogue.since(6).items.len(), 1);
    /// ```
    pub fn merge(&mut self, now: Time, news: ItemBatch, source: Source) -> Merged {
        let mut merged = Merged::default();
        let doubtful = source == Source::Platform && self.doubtful(now);
        let mut news = news;
        if news.whole {
            self.add_removals(&mut news);
        }
        for published in news.items {
            self.merge_item(now, published, doubtful, &mut merged);
        }
        self.head = self.head.max(news.head);
        merged
    }

    /// Adds removals of the items that a whole list no longer names.
    fn add_removals(&self, news: &mut ItemBatch) {
        let named: std::collections::BTreeSet<&str> = news
            .items
            .iter()
            .map(|published| published.item.key.as_str())
            .collect();
        let gone: Vec<PublishedItem> = self
            .items
            .values()
            .filter(|item| item.raw.value.is_some() && item.raw.revision <= news.head)
            .filter(|item| !named.contains(item.raw.key.as_str()))
            .map(|item| PublishedItem {
                item: RawItem {
                    key: item.raw.key.clone(),
                    revision: news.head.max(item.raw.revision + 1),
                    value: None,
                    lapsed: false,
                },
                entry: None,
            })
            .collect();
        news.items.extend(gone);
    }

    fn merge_item(
        &mut self,
        now: Time,
        published: PublishedItem,
        doubtful: bool,
        merged: &mut Merged,
    ) {
        let PublishedItem { mut item, entry } = published;
        if let Some(held) = self.items.get_mut(&item.key) {
            if held.raw.revision >= item.revision {
                return;
            }
            if held.is_newer_than(entry.as_ref()) {
                // What holds stays, and others are to hear that.
                held.raw.revision = item.revision;
                let reason = "it was written before what is known".to_owned();
                merged.unusable.push((item.key, reason));
                return;
            }
        }
        let held = self.items.get(&item.key);
        let target = held.is_some_and(|held| matches!(held.entry, Some(Entry::Target(_))));
        let removed = item.value.is_none();
        item.lapsed = removed && target && (item.lapsed || doubtful);
        let (entry, kept) = if item.lapsed {
            let entry = held.and_then(|held| held.entry.clone());
            (entry, Some(now + RENEWAL_WINDOW))
        } else {
            (entry, None)
        };
        match &entry {
            Some(Entry::Config(bundle)) => merged.config = Some(bundle.clone()),
            Some(Entry::Unusable(reason)) => {
                merged.unusable.push((item.key.clone(), reason.clone()));
                merged.inventory_changed |= target;
            }
            _ => merged.inventory_changed |= kept.is_none(),
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
            heard: now,
            kept,
        };
        self.items.insert(key, item);
    }

    /// Drops what was kept long enough. Returns whether targets changed.
    pub fn expire(&mut self, now: Time) -> bool {
        let mut changed = false;
        for item in self.items.values_mut() {
            if item.kept.is_some_and(|until| until <= now) {
                item.kept = None;
                item.entry = None;
                changed = true;
            }
        }
        let floor = &mut self.floor;
        self.items.retain(|_, item| {
            let old = item.raw.value.is_none()
                && item.kept.is_none()
                && now.since(item.heard) >= TOMBSTONE;
            if old {
                *floor = (*floor).max(item.raw.revision);
            }
            !old
        });
        changed
    }

    /// Returns the items that bring another node up to this one's head.
    #[must_use]
    pub fn since(&self, revision: u64) -> Delta {
        let whole = revision < self.floor || revision == 0;
        let items = self
            .items
            .values()
            .filter(|item| item.raw.revision > revision || whole)
            .filter(|item| !whole || item.raw.value.is_some() || item.kept.is_some())
            .map(|item| item.raw.clone())
            .collect();
        Delta {
            items,
            head: self.head,
            whole,
        }
    }

    /// Returns the targets and evacuations that hold now.
    #[must_use]
    pub fn inventory(&self) -> Inventory {
        let mut inventory = Inventory::default();
        for (key, item) in &self.items {
            match &item.entry {
                Some(Entry::Target(target)) => {
                    inventory.targets.insert(key.clone(), (**target).clone());
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
