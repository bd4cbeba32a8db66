//! The platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_core::PublishedItem;
use seam_protocol::Entry;

use crate::fleet::item;

/// Key of the configuration. Some targets have keys before it.
pub const CONFIG_KEY: &str = "config";
/// Items of a page.
const PAGE_ITEMS: usize = 3;
/// Largest response that a watch of a node reads, as a sum of weights.
const WATCH_LIMIT: usize = 120;

/// Returns the size of an item, in proportion to others.
fn weight(key: &str) -> usize {
    if key == CONFIG_KEY { 10 } else { 1 }
}

/// The response to a watch.
pub enum Watched {
    /// The history after the revision is not kept any more.
    Compacted,
    /// The response is larger than what a node reads.
    TooLarge,
    /// Every item that was written since.
    Changes(Vec<PublishedItem>),
}

/// One page of all items.
pub struct Page {
    pub items: Vec<PublishedItem>,
    /// Whether there are more.
    pub truncated: bool,
}

/// Items with their history, and how the store serves nodes.
#[derive(Default)]
pub struct Store {
    history: BTreeMap<u64, (String, Option<Entry>)>,
    revision: u64,
    compacted: u64,
    /// Whether it serves nobody.
    pub stopped: bool,
    /// Time by which its responses are late.
    pub slowness: Duration,
    /// Nodes that it refuses.
    pub refused: BTreeSet<usize>,
    /// Whether nodes see no change any more.
    pub frozen: Option<u64>,
    /// Keys that nodes do not see.
    pub hidden: BTreeSet<String>,
}

impl Store {
    /// Writes or removes an item.
    pub fn write(&mut self, key: &str, entry: Option<Entry>) {
        self.revision += 1;
        self.history.insert(self.revision, (key.to_owned(), entry));
    }

    /// Drops the history, though not the items.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
    }

    /// Returns the newest revision that nodes see.
    pub fn revision(&self) -> u64 {
        self.frozen.unwrap_or(self.revision)
    }

    /// Returns whether nodes see an item.
    fn shown(&self, key: &str, entry: Option<&Entry>) -> bool {
        entry.is_none() || !self.hidden.contains(key)
    }

    /// Returns what was written after a revision.
    pub fn watch(&self, after: u64) -> Watched {
        if after < self.compacted {
            return Watched::Compacted;
        }
        if after >= self.revision() {
            return Watched::Changes(Vec::new());
        }
        let written = || self.history.range(after + 1..=self.revision());
        if written().map(|(_, (key, _))| weight(key)).sum::<usize>() > WATCH_LIMIT {
            return Watched::TooLarge;
        }
        let shown = written().filter(|(_, (key, entry))| self.shown(key, entry.as_ref()));
        let items = shown.map(|(revision, (key, entry))| item(key, *revision, entry.clone()));
        Watched::Changes(items.collect())
    }

    /// Returns the items whose keys follow one, as far as they fit a page.
    pub fn page(&self, after: Option<&str>) -> Page {
        let mut newest = BTreeMap::new();
        for (revision, (key, entry)) in self.history.range(..=self.revision()) {
            newest.insert(key.as_str(), (*revision, entry.as_ref()));
        }
        let mut items: Vec<PublishedItem> = newest
            .into_iter()
            .filter(|(key, _)| after.is_none_or(|after| *key > after))
            .filter(|(key, (_, entry))| entry.is_some() && self.shown(key, *entry))
            .map(|(key, (revision, entry))| item(key, revision, entry.cloned()))
            .collect();
        let truncated = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        Page { items, truncated }
    }

    /// Returns the items as they would be with the configuration that was written first.
    pub fn with_first_config(&self) -> Vec<PublishedItem> {
        let is_config = |key: &str| key == CONFIG_KEY;
        let first = self.history.iter().find(|(_, (key, _))| is_config(key));
        let first = first.map(|(revision, _)| *revision);
        self.history
            .iter()
            .filter(|(revision, (key, _))| !is_config(key) || Some(**revision) == first)
            .map(|(revision, (key, entry))| item(key, *revision, entry.clone()))
            .collect()
    }
}
