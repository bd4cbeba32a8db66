//! The audit trail: the last changes in memory, every change in the log.

use seam_http::lock;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use seam_core::audit::Audit;
use serde::Serialize;

/// Lines held in memory. Nodes have no disks, so the log carries the rest.
const MOST_LINES: usize = 2000;

/// A line with the wall-clock time at which it was appended.
#[derive(Clone, Debug, Serialize)]
pub struct AuditRecord {
    /// Milliseconds since 1970.
    pub unix_ms: u64,
    /// The change.
    #[serde(flatten)]
    pub audit: Audit,
}

/// The last changes.
#[derive(Debug, Default)]
pub struct AuditTrail {
    lines: Mutex<VecDeque<AuditRecord>>,
}

impl AuditTrail {
    /// Appends a change and writes it to the log.
    pub fn append(&self, audit: Audit) {
        log::info!(
            target: "audit",
            "{:?} of {} from {:?} to {:?} by {}: {}",
            audit.change, audit.subject, audit.old, audit.new, audit.actor, audit.cause
        );
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let mut lines = lock(&self.lines);
        if lines.len() >= MOST_LINES {
            lines.pop_front();
        }
        lines.push_back(AuditRecord { unix_ms, audit });
    }

    /// Returns the lines held, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<AuditRecord> {
        let lines = lock(&self.lines);
        lines.iter().cloned().collect()
    }
}
