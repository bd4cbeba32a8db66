//! Which configuration is in force.

use seam_protocol::Time;
use serde::Serialize;

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigStamp {
    /// Version that the configuration states, zero for none.
    pub revision: u64,
    /// Revision of the item that contains it, zero on a platform without items.
    pub item_revision: u64,
    /// Milliseconds for which it had been in force.
    pub age_ms: u64,
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
        }
    }
}
