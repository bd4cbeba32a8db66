//! The audit trail: recent changes in memory, and all changes in the log.

use seam_http::lock;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use seam_core::audit::Audit;
use serde::Serialize;

/// Maximum number of records in memory. Nodes have no disks, so older records are only in the log.
const MAX_RECORDS: usize = 2000;

/// A change with the wall-clock time at which it was recorded.
#[derive(Clone, Debug, Serialize)]
pub struct AuditRecord {
    /// Milliseconds since the Unix epoch, 1970-01-01 UTC.
    pub unix_ms: u64,
    /// The change.
    #[serde(flatten)]
    pub audit: Audit,
}

/// The recent changes.
#[derive(Debug, Default)]
pub struct AuditTrail {
    records: Mutex<VecDeque<AuditRecord>>,
}

impl AuditTrail {
    /// Records a change and logs it.
    pub fn append(&self, audit: Audit) {
        log::info!(
            target: "audit",
            "{:?} of {} from {:?} to {:?} by {}: {}",
            audit.change, audit.subject, audit.old, audit.new, audit.actor, audit.cause
        );
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let mut records = lock(&self.records);
        if records.len() >= MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(AuditRecord { unix_ms, audit });
    }

    /// Returns the records in memory, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<AuditRecord> {
        let records = lock(&self.records);
        records.iter().cloned().collect()
    }
}
