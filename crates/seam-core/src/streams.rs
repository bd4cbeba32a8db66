//! Which version of the targets' software began each stream.
//!
//! A stream may only go on at the version that began it. The node that receives the first bytes of
//! an answer records the version and reports it to a few holders, which are chosen by rendezvous
//! hashing of the stream. A node that does not know the version of a stream asks them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_protocol::heartbeat::{StreamOrigin, StreamReport};
use seam_protocol::{StreamId, Time, VersionId, VmId};

use crate::handle::Ticket;

/// Time for which the version of a stream is known after it began or went on.
pub const ORIGIN_TTL: Duration = Duration::from_secs(120);
/// Maximum number of streams with a known version. The oldest are dropped.
const MAX_ORIGINS: usize = 20_000;
/// Time after which an unknown stream is given up: three round trips to a distant region.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which holders that have not replied are asked again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of origins or queries in one report.
const MAX_REPORTED: usize = 200;

/// Maximum number of origins that wait to be reported to a node. It asks again for the rest.
const MAX_PENDING: usize = 2 * MAX_REPORTED;

/// A query about a stream that this node does not know.
#[derive(Clone, Debug)]
struct Inquiry {
    waiting: BTreeSet<Ticket>,
    /// Holders that have not replied.
    unanswered: BTreeSet<VmId>,
    /// Holders that do not know the stream either.
    uninformed: BTreeSet<VmId>,
    repeat_at: Time,
    until: Time,
}

/// A report that waits for the next datagram to its receiver.
#[derive(Clone, Debug)]
struct PendingReport {
    due: Time,
    report: StreamReport,
}

/// Versions of streams, queries about them, and reports to other nodes.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    known: BTreeMap<StreamId, (VersionId, Time)>,
    expiries: BTreeSet<(Time, StreamId)>,
    inquiries: BTreeMap<StreamId, Inquiry>,
    pending: BTreeMap<VmId, PendingReport>,
}

impl StreamOrigins {
    /// Returns the version that began a stream, if it is known.
    #[must_use]
    pub fn version(&self, stream: StreamId) -> Option<VersionId> {
        self.known.get(&stream).map(|(version, _)| *version)
    }

    /// Records the version of a stream. Returns the requests that wait for it.
    ///
    /// ```
    /// use seam_core::streams::StreamOrigins;
    /// use seam_protocol::{StreamId, Time, VersionId};
    /// let mut origins = StreamOrigins::default();
    /// let (stream, version) = (StreamId(1), VersionId::of("v1"));
    /// origins.record(Time(0), stream, version);
    /// assert_eq!(origins.version(stream), Some(version));
    /// origins.expire(Time(121_000_000));
    /// assert_eq!(origins.version(stream), None);
    /// ```
    pub fn record(&mut self, now: Time, stream: StreamId, version: VersionId) -> BTreeSet<Ticket> {
        let until = now + ORIGIN_TTL;
        if let Some((_, before)) = self.known.insert(stream, (version, until)) {
            self.expiries.remove(&(before, stream));
        }
        self.expiries.insert((until, stream));
        if self.known.len() > MAX_ORIGINS
            && let Some((_, oldest)) = self.expiries.pop_first()
        {
            self.known.remove(&oldest);
        }
        let inquiry = self.inquiries.remove(&stream);
        inquiry.map_or_else(BTreeSet::new, |inquiry| inquiry.waiting)
    }

    /// Forgets versions that are too old to be asked for.
    pub fn expire(&mut self, now: Time) {
        while let Some((until, stream)) = self.expiries.first().copied()
            && until <= now
        {
            self.expiries.remove(&(until, stream));
            self.known.remove(&stream);
        }
    }

    /// Lets a request wait for the version of a stream, and asks the holders unless they were asked
    /// already.
    pub fn ask(&mut self, now: Time, stream: StreamId, ticket: Ticket, holders: &[VmId]) {
        if let Some(inquiry) = self.inquiries.get_mut(&stream) {
            inquiry.waiting.insert(ticket);
            return;
        }
        let inquiry = Inquiry {
            waiting: BTreeSet::from([ticket]),
            unanswered: BTreeSet::new(),
            uninformed: BTreeSet::new(),
            repeat_at: now,
            until: now + INQUIRY_TIMEOUT,
        };
        self.inquiries.insert(stream, inquiry);
        self.repeat(now, stream, holders);
    }

    /// Asks those of a stream's holders that have not replied.
    pub fn repeat(&mut self, now: Time, stream: StreamId, holders: &[VmId]) {
        let Some(inquiry) = self.inquiries.get_mut(&stream) else {
            return;
        };
        inquiry.repeat_at = now + REPEAT_INTERVAL;
        let uninformed = &inquiry.uninformed;
        let holders = holders.iter().filter(|vm| !uninformed.contains(vm));
        inquiry.unanswered = holders.copied().collect();
        for vm in inquiry.unanswered.clone() {
            let report = self.report_to(vm, now);
            if !report.queries.contains(&stream) {
                report.queries.push(stream);
            }
        }
    }

    /// Returns the streams whose holders are to be asked again.
    #[must_use]
    pub fn due_queries(&self, now: Time) -> Vec<StreamId> {
        let due = self.inquiries.iter();
        let due = due.filter(|(_, inquiry)| inquiry.repeat_at <= now && now < inquiry.until);
        due.map(|(stream, _)| *stream).collect()
    }

    /// Records that a holder does not know a stream. Returns the requests that wait for it, if no
    /// other holder may still know it.
    pub fn record_unknown(&mut self, stream: StreamId, from: VmId) -> BTreeSet<Ticket> {
        let Some(inquiry) = self.inquiries.get_mut(&stream) else {
            return BTreeSet::new();
        };
        inquiry.unanswered.remove(&from);
        inquiry.uninformed.insert(from);
        if !inquiry.unanswered.is_empty() {
            return BTreeSet::new();
        }
        let inquiry = self.inquiries.remove(&stream);
        inquiry.map_or_else(BTreeSet::new, |inquiry| inquiry.waiting)
    }

    /// Removes the queries that nobody answered in time, and returns the requests that wait.
    pub fn take_overdue(&mut self, now: Time) -> Vec<Ticket> {
        let mut overdue = Vec::new();
        self.inquiries.retain(|_, inquiry| {
            let waits = now < inquiry.until;
            if !waits {
                overdue.extend(std::mem::take(&mut inquiry.waiting));
            }
            waits
        });
        overdue
    }

    /// Removes a request that waits for the version of a stream.
    pub fn remove_waiter(&mut self, stream: StreamId, ticket: Ticket) {
        if let Some(inquiry) = self.inquiries.get_mut(&stream) {
            inquiry.waiting.remove(&ticket);
            if inquiry.waiting.is_empty() {
                self.inquiries.remove(&stream);
            }
        }
    }

    /// Adds an origin to the report to a node, which is sent at the latest when it is `due`.
    pub fn report(&mut self, to: VmId, origin: StreamOrigin, due: Time) {
        let origins = &mut self.report_to(to, due).origins;
        if origins.len() < MAX_PENDING {
            origins.push(origin);
        }
    }

    fn report_to(&mut self, to: VmId, due: Time) -> &mut StreamReport {
        let pending = self.pending.entry(to).or_insert_with(|| PendingReport {
            due,
            report: StreamReport::default(),
        });
        pending.due = pending.due.min(due);
        &mut pending.report
    }

    /// Returns the nodes whose report is due.
    #[must_use]
    pub fn due_reports(&self, now: Time) -> Vec<VmId> {
        let due = self.pending.iter();
        let due = due.filter(|(_, pending)| pending.due <= now);
        due.map(|(vm, _)| *vm).collect()
    }

    /// Takes the report to a node, up to the number of origins and queries that fit a datagram.
    pub fn take_report(&mut self, to: VmId) -> StreamReport {
        let Some(pending) = self.pending.get_mut(&to) else {
            return StreamReport::default();
        };
        let report = &mut pending.report;
        let origins = report.origins.len().min(MAX_REPORTED);
        let queries = report.queries.len().min(MAX_REPORTED);
        let taken = StreamReport {
            origins: report.origins.drain(..origins).collect(),
            queries: report.queries.drain(..queries).collect(),
        };
        if report.is_empty() {
            self.pending.remove(&to);
        }
        taken
    }
}
