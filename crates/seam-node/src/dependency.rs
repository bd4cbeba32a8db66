//! Log lines about the calls to something that a node depends on.

use std::fmt::Display;
use std::net::SocketAddr;

use seam_protocol::Time;

/// Consecutive failed calls after which a dependency counts as lost. A single failure may be an
/// interrupted call.
pub const LOST_FAILURES: u32 = 2;

/// A call that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall<'a> {
    /// What was called.
    pub call: &'a str,
    /// The peer that it was made to, `None` for the platform.
    pub to: Option<SocketAddr>,
    /// Revision after which it asked for changes.
    pub since: u64,
    /// When it began.
    pub start: Time,
}

/// What a node depends on: logs each failed call, and in one line each that it is lost or regained.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    failures: u32,
    /// When the first of the consecutive failed calls ended.
    failed_since: Time,
}

impl Dependency {
    /// Creates one whose last call did not fail.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            failures: 0,
            failed_since: Time(0),
        }
    }

    /// Logs a failed call.
    pub fn failed(&mut self, now: Time, call: &FailedCall, error: &dyn Display) {
        if self.failures == 0 {
            self.failed_since = now;
        }
        self.failures += 1;
        let level = match self.failures {
            LOST_FAILURES => log::Level::Info,
            _ => log::Level::Debug,
        };
        let message = match self.failures {
            LOST_FAILURES => "dependency lost",
            _ => "call failed",
        };
        log::log!(
            target: "config", level,
            dependency = self.name, call = call.call,
            to = call.to.map_or_else(|| "platform".to_owned(), |to| to.to_string()).as_str(),
            since = call.since,
            took_ms = now.since(call.start).as_millis() as u64, failures = self.failures,
            error:% = error;
            "{message}"
        );
    }

    /// Logs that the dependency is regained, if it was lost.
    pub fn answered(&mut self, now: Time) {
        if self.failures >= LOST_FAILURES {
            log::info!(
                target: "config",
                dependency = self.name, failures = self.failures,
                lost_ms = now.since(self.failed_since).as_millis() as u64;
                "dependency regained"
            );
        }
        self.failures = 0;
    }
}
