//! Which configuration is in force, and which other versions are known.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::heartbeat::ConfigMeaning;
use seam_protocol::{Bundle, Time, VmId};
use serde::Serialize;

use crate::catalogue::Source;

/// Time for which a version stays in force after the store was found to have an older one only.
const LOST_VERSION_LIFETIME: Duration = Duration::from_secs(10);

/// A configuration in force, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigVersion {
    /// Version that the configuration states, zero for none.
    pub revision: u64,
    /// Revision of the item that contains it, zero on a platform without items.
    pub item_revision: u64,
    /// When this node took it; the start of the process for none.
    pub taken: Time,
}

/// The configuration that decided a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigStamp {
    /// Version that the configuration states, zero for none.
    pub revision: u64,
    /// Revision of the item that contains it, zero on a platform without items.
    pub item_revision: u64,
    /// Milliseconds for which it had been in force.
    pub age_ms: u64,
    /// Milliseconds since the store last showed that it is the present one, if it did.
    #[serde(skip)]
    pub confirmed_ms: Option<u64>,
    /// Digest of what the node made of it, see [`ConfigMeaning`], zero if that is unknown, as is the
    /// confirmation then.
    #[serde(skip)]
    pub meaning: u64,
}

impl ConfigVersion {
    /// Returns the stamp of a decision that is made now.
    ///
    /// ```
    /// use seam_core::ConfigVersion;
    /// use seam_protocol::Time;
    /// let version = ConfigVersion { revision: 7, item_revision: 40, taken: Time(1_000_000) };
    /// assert_eq!(version.stamp(Time(3_000_000)).age_ms, 2000);
    /// ```
    #[must_use]
    pub fn stamp(&self, now: Time) -> ConfigStamp {
        ConfigStamp {
            revision: self.revision,
            item_revision: self.item_revision,
            age_ms: now.since(self.taken).as_millis() as u64,
            ..ConfigStamp::default()
        }
    }
}

/// Why a version that was read is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotTaken {
    /// A field is missing or has a value that cannot be used.
    Unusable,
    /// A later version is in force.
    Older,
    /// The same version is in force.
    Unchanged,
    /// The same version is in force, with other contents.
    Conflict,
}

impl NotTaken {
    /// Returns why a configuration did not replace the one that was taken.
    pub(crate) fn between(taken: &Bundle, read: &Bundle) -> Self {
        if read.digest == taken.digest {
            Self::Unchanged
        } else if read.revision == taken.revision {
            Self::Conflict
        } else {
            Self::Older
        }
    }

    /// Returns the name for log lines and metrics.
    ///
    /// ```
    /// assert_eq!(seam_core::config_version::NotTaken::Older.name(), "older");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Unusable => "unusable",
            Self::Older => "older",
            Self::Unchanged => "unchanged",
            Self::Conflict => "conflict",
        }
    }
}

/// Numbers of names that a version adds to those of the one before and removes from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NameChanges {
    /// Names that are new.
    pub added: usize,
    /// Names that are gone.
    pub removed: usize,
}

impl NameChanges {
    /// Compares the keys of two maps.
    ///
    /// ```
    /// use seam_core::config_version::NameChanges;
    /// let (old, new) = ([(1, ()), (2, ())].into(), [(2, ()), (3, ()), (4, ())].into());
    /// assert_eq!(NameChanges::between(&old, &new), NameChanges { added: 2, removed: 1 });
    /// ```
    #[must_use]
    pub fn between<K: Ord, V>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let lacking = |from: &BTreeMap<K, V>, other: &BTreeMap<K, V>| {
            other.keys().filter(|key| !from.contains_key(key)).count()
        };
        Self {
            added: lacking(old, new),
            removed: lacking(new, old),
        }
    }
}

/// What a node learns of a version, for its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// Another node has a later version in force than this one.
    Heard {
        /// The sender of the heartbeat.
        from: VmId,
        /// The version.
        revision: u64,
        /// The version in force here.
        in_force: u64,
    },
    /// The version is in force from now on.
    Taken {
        /// The version.
        version: ConfigVersion,
        /// The version that was in force before, zero for none.
        before: u64,
        /// What this node made of it.
        meaning: ConfigMeaning,
        /// Where it was read.
        source: Source,
        /// Time since it was read, if that is known.
        read: Option<Duration>,
        /// Time since this node heard of it from another one, if it did.
        heard: Option<Duration>,
        /// Changed routes.
        routes: NameChanges,
        /// Changed services.
        services: NameChanges,
    },
    /// Another node made something else of the item in force.
    Differs {
        /// The sender of the heartbeat.
        from: VmId,
        /// The version in force.
        version: ConfigVersion,
        /// What this node made of the item.
        own: ConfigMeaning,
        /// What the other one made of it.
        other: ConfigMeaning,
    },
    /// The version was read and is not taken.
    NotTaken {
        /// The version, zero if it is unknown.
        revision: u64,
        /// Revision of the item that contains it.
        item_revision: u64,
        /// The version in force.
        in_force: u64,
        /// The reason.
        reason: NotTaken,
        /// What exactly cannot be used, empty for other reasons.
        detail: String,
    },
}

/// What a node knows about versions of the configuration, for the administration API.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConfigStatus {
    /// The configuration in force.
    #[serde(flatten)]
    pub stamp: ConfigStamp,
    /// Digest of what this node made of it, see [`ConfigMeaning`], zero for none.
    pub meaning: u64,
    /// Routes that are refused for a time, since they cannot be read.
    pub refused_routes: usize,
    /// Published places that the routes in force do not have as published.
    pub misread_places: usize,
    /// Nodes that made something else of the same item.
    pub differing: usize,
    /// Latest version that another node had in force before this one, zero for none.
    pub heard: u64,
    /// Newest item revision that another node knows.
    pub heard_items: u64,
    /// Milliseconds since this node last read the platform, if it did.
    pub read_age_ms: Option<u64>,
    /// Milliseconds since this node last knew all that the platform, or a node that reaches it, had.
    pub current_age_ms: Option<u64>,
    /// Milliseconds since the call began by which the store last showed that the item in force is the present
    /// one, if it did.
    pub confirmed_age_ms: Option<u64>,
    /// Age of the youngest confirmation, by the store or relayed by another node, if revoked API keys must be
    /// refused within a limit.
    pub revocation_age_ms: Option<u64>,
    /// Revision that the store stated last, if it did.
    pub store_revision: Option<u64>,
    /// Epoch of the items: raised as they are replaced by those of a store that contradicts them.
    pub epoch: u32,
    /// Versions that were read and not taken, by reason.
    pub not_taken: BTreeMap<NotTaken, u64>,
}

/// What a node knows about versions of the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigView {
    pub(crate) version: ConfigVersion,
    /// What this node made of the version in force.
    meaning: ConfigMeaning,
    /// Routes of it that are refused for a time.
    refused_routes: usize,
    /// Published places that it does not have as published.
    misread_places: usize,
    /// Nodes that made something else of it.
    differing: BTreeSet<VmId>,
    /// Latest version that another node has in force, and when this node heard of it first.
    heard: Option<(u64, Time)>,
    /// Newest item revision that another node knows.
    heard_items: u64,
    /// When this node last knew every item that it heard of from the platform itself or from a node
    /// that reaches the platform.
    current: Option<Time>,
    /// When the call began by which the store last showed the item in force.
    pub(crate) confirmed: Option<Time>,
    /// Since when each node that reported its item has another one in force.
    disputed: Option<Time>,
    /// Whether a read of the store showed the item in force, and not only a change.
    acknowledged: bool,
    /// Since when the store has an older version than that in force only.
    lost: Option<Time>,
    /// Key of the item that contains the configuration, once it was read.
    key: String,
    /// Revision of the item that was read last, and when.
    read: Option<(u64, Time)>,
    /// Revision of the last item that cannot be used.
    unusable: u64,
    /// Numbers of versions that were read and not taken.
    pub(crate) not_taken: BTreeMap<NotTaken, u64>,
}

impl ConfigView {
    /// Returns a view without a configuration.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            version: ConfigVersion {
                taken: now,
                ..ConfigVersion::default()
            },
            ..Self::default()
        }
    }

    /// Returns whether a key is that of the configuration.
    pub(crate) fn is_key(&self, key: &str) -> bool {
        self.key == key
    }

    /// Records that the item of a configuration was read. Returns whether it is newer than those
    /// that were read before.
    pub(crate) fn note_read(&mut self, now: Time, key: &str, item_revision: u64) -> bool {
        let newer = self.read.is_none_or(|(last, _)| last < item_revision);
        if newer {
            key.clone_into(&mut self.key);
            self.read = Some((item_revision, now));
        }
        newer
    }

    /// Records that another node has a version in force. Returns whether it is later than the one
    /// here and those that were heard of before.
    pub(crate) fn note_heard(&mut self, now: Time, revision: u64) -> bool {
        let known = self.heard.map_or(0, |(revision, _)| revision);
        let later = revision > known.max(self.version.revision);
        if later {
            self.heard = Some((revision, now));
        }
        later
    }

    /// Returns whether there is a later version than the one in force: another node has it, or it was read and
    /// cannot be used.
    pub(crate) fn behind(&self) -> bool {
        let heard = self.heard.map_or(0, |(revision, _)| revision);
        heard > self.version.revision || self.unusable > self.version.item_revision
    }

    /// Returns whether another node has had a later version in force than this one for `span`.
    pub(crate) fn stays_behind(&self, now: Time, span: Duration) -> bool {
        let since = self.heard.map(|(_, since)| since);
        self.behind() && since.is_some_and(|since| now.since(since) >= span)
    }

    /// Records that another node knows items up to a revision, and whether it `reaches` the platform,
    /// beside the own revision.
    pub(crate) fn note_items(&mut self, now: Time, (own, other): (u64, u64), reaches: bool) {
        self.heard_items = self.heard_items.max(other);
        if reaches && own > 0 && other <= own {
            self.current = Some(now);
        }
    }

    /// Returns what this node made of the version in force.
    pub(crate) fn meaning(&self) -> ConfigMeaning {
        self.meaning
    }

    /// Compares what another node made of its item. Returns the change if it is the item in force and the
    /// node made something else of it than before and than this one.
    pub(crate) fn compare_meaning(
        &mut self,
        from: VmId,
        other: ConfigMeaning,
    ) -> Option<ConfigChange> {
        let own = self.meaning;
        if other.item_revision == 0 || other.item_revision != own.item_revision {
            return None;
        }
        if other == own {
            self.differing.remove(&from);
            return None;
        }
        self.differing
            .insert(from)
            .then_some(ConfigChange::Differs {
                from,
                version: self.version,
                own,
                other,
            })
    }

    /// Records which item another node has in force.
    pub(crate) fn note_item(&mut self, now: Time, other: ConfigMeaning) {
        if other.item_revision == self.meaning.item_revision {
            self.disputed = None;
        } else if other.item_revision != 0 {
            self.disputed.get_or_insert(now);
        }
    }

    /// Returns whether other nodes have had another item in force for `span`.
    pub(crate) fn disputed(&self, now: Time, span: Duration) -> bool {
        self.disputed.is_some_and(|since| now.since(since) >= span)
    }

    /// Records that a call to the store that began at a time showed the item in force.
    pub(crate) fn confirm(&mut self, begun: Time) {
        self.confirmed = self.confirmed.max(Some(begun));
    }

    /// Records that a read of the store that began at a time showed the item in force.
    pub(crate) fn acknowledge(&mut self, begun: Time) {
        self.confirm(begun);
        self.acknowledged = true;
    }

    /// Returns whether the store lost the version in force if it has an item of this revision, as it had that
    /// version and has an earlier one.
    pub(crate) fn lost_with(&self, item_revision: u64) -> bool {
        let earlier = self.lost.is_some() || item_revision < self.version.item_revision;
        self.acknowledged && earlier
    }

    /// Returns whether to keep the version in force, although the store has an older one.
    pub(crate) fn keeps_newer(&mut self, now: Time) -> bool {
        let since = *self.lost.get_or_insert(now);
        let keeps = now.since(since) < LOST_VERSION_LIFETIME;
        if keeps {
            // The store has no item of it any more.
            self.rebase(0);
        }
        keeps
    }

    /// Forgets what refers to revisions of items that were replaced, up to a revision.
    pub(crate) fn reset(&mut self, revision: u64) {
        let lost = self.lost;
        self.heard = None;
        self.heard_items = 0;
        self.read = None;
        self.unusable = 0;
        self.disputed = None;
        self.differing.clear();
        self.rebase(self.version.item_revision.min(revision));
        self.lost = lost;
    }

    /// Sets the revision of the item that contains the version in force.
    pub(crate) fn rebase(&mut self, item_revision: u64) {
        if item_revision > 0 {
            self.lost = None;
        }
        self.version.item_revision = item_revision;
        self.meaning.item_revision = item_revision;
    }

    /// Records that the platform was read.
    pub(crate) fn note_current(&mut self, now: Time) {
        self.current = Some(now);
    }

    /// Records how many published places of an item the routes do not have, if that item is in force.
    pub(crate) fn note_misread(&mut self, item_revision: u64, count: usize) {
        if self.version.item_revision == item_revision {
            self.misread_places = count;
        }
    }

    /// Returns the time since the store last showed that the item in force is the present one.
    pub(crate) fn confirmed(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns the stamp of a decision that is made now, with what is known of the version in force.
    pub(crate) fn stamp(&self, now: Time) -> ConfigStamp {
        let confirmed = self.confirmed(now);
        ConfigStamp {
            confirmed_ms: confirmed.map(|age| age.as_millis() as u64),
            meaning: self.meaning.digest,
            ..self.version.stamp(now)
        }
    }

    /// Returns a snapshot for the administration API; `read` is when the platform was last read.
    pub(crate) fn status(&self, now: Time, read: Option<Time>) -> ConfigStatus {
        let millis = |time: Time| now.since(time).as_millis() as u64;
        ConfigStatus {
            stamp: self.version.stamp(now),
            meaning: self.meaning.digest,
            refused_routes: self.refused_routes,
            misread_places: self.misread_places,
            differing: self.differing.len(),
            heard: self.heard.map_or(0, |(revision, _)| revision),
            heard_items: self.heard_items,
            read_age_ms: read.map(millis),
            current_age_ms: self.current.map(millis),
            confirmed_age_ms: self.confirmed.map(millis),
            revocation_age_ms: None,
            store_revision: None,
            epoch: 0,
            not_taken: self.not_taken.clone(),
        }
    }

    /// Puts a version in force.
    pub(crate) fn take(
        &mut self,
        now: Time,
        (old, new): (&Bundle, &Bundle),
        item_revision: u64,
        source: Source,
    ) -> ConfigChange {
        let before = self.version.revision;
        self.version = ConfigVersion {
            revision: new.revision,
            item_revision,
            taken: now,
        };
        (self.confirmed, self.lost) = (None, None);
        self.acknowledged = false;
        self.misread_places = 0;
        self.meaning = ConfigMeaning::of(item_revision, new);
        self.refused_routes = new.routes.refused();
        self.differing.clear();
        let read = self.read.filter(|(read, _)| *read == item_revision);
        let heard = self.heard.filter(|(heard, _)| *heard == new.revision);
        ConfigChange::Taken {
            version: self.version,
            before,
            meaning: self.meaning,
            source,
            read: read.map(|(_, read)| now.since(read)),
            heard: heard.map(|(_, heard)| now.since(heard)),
            routes: NameChanges::between(&old.customers, &new.customers),
            services: NameChanges::between(&old.services, &new.services),
        }
    }

    /// Counts a version that is not taken.
    pub(crate) fn refuse(
        &mut self,
        (revision, item_revision): (u64, u64),
        reason: NotTaken,
        detail: &str,
    ) -> ConfigChange {
        *self.not_taken.entry(reason).or_default() += 1;
        if reason == NotTaken::Unusable {
            self.unusable = self.unusable.max(item_revision);
        }
        ConfigChange::NotTaken {
            revision,
            item_revision,
            in_force: self.version.revision,
            reason,
            detail: detail.to_owned(),
        }
    }
}
