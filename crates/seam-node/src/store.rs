//! Bytes of the newest bundle, kept to pass them to other nodes.

use seam_http::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;

use seam_config::PartSet;
use seam_protocol::{Digest, Manifest};

#[derive(Debug, Default)]
struct StoredBundle {
    revision: u64,
    manifest: Vec<u8>,
    parts: BTreeMap<Digest, Vec<u8>>,
}

/// The manifest and parts of the bundle in force.
#[derive(Debug, Default)]
pub struct BundleStore {
    held: Mutex<StoredBundle>,
}

impl BundleStore {
    /// Replaces what is held.
    pub fn replace(&self, revision: u64, set: PartSet) {
        let mut held = lock(&self.held);
        *held = StoredBundle {
            revision,
            manifest: set.manifest,
            parts: set.parts,
        };
    }

    /// Returns the manifest in force with its revision, zero for none.
    #[must_use]
    pub fn manifest(&self) -> (u64, Vec<u8>) {
        let held = lock(&self.held);
        (held.revision, held.manifest.clone())
    }

    /// Returns the manifest in force as read, with its digest.
    #[must_use]
    pub fn read(&self) -> Option<(Digest, Manifest)> {
        let held = lock(&self.held);
        let manifest = seam_config::bundle::manifest(&held.manifest).ok()?;
        Some((Digest::of(&held.manifest), manifest))
    }

    /// Returns a part.
    #[must_use]
    pub fn part(&self, digest: Digest) -> Option<Vec<u8>> {
        let held = lock(&self.held);
        held.parts.get(&digest).cloned()
    }
}
