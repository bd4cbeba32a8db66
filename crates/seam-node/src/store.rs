//! The bytes of the active bundle, kept for other nodes that fetch it.

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

/// The manifest and parts of the active bundle.
#[derive(Debug, Default)]
pub struct BundleStore {
    stored: Mutex<StoredBundle>,
}

impl BundleStore {
    /// Replaces the stored bundle.
    pub fn replace(&self, revision: u64, set: PartSet) {
        let mut stored = lock(&self.stored);
        *stored = StoredBundle {
            revision,
            manifest: set.manifest,
            parts: set.parts,
        };
    }

    /// Returns the revision and the bytes of the manifest, revision zero for none.
    #[must_use]
    pub fn manifest(&self) -> (u64, Vec<u8>) {
        let stored = lock(&self.stored);
        (stored.revision, stored.manifest.clone())
    }

    /// Returns the digest of the manifest and the parsed manifest.
    #[must_use]
    pub fn parsed_manifest(&self) -> Option<(Digest, Manifest)> {
        let stored = lock(&self.stored);
        let manifest = seam_config::bundle::parse_manifest(&stored.manifest).ok()?;
        Some((Digest::of(&stored.manifest), manifest))
    }

    /// Returns the bytes of a part.
    #[must_use]
    pub fn part(&self, digest: Digest) -> Option<Vec<u8>> {
        let stored = lock(&self.stored);
        stored.parts.get(&digest).cloned()
    }
}
