//! Keeps each stream to the version of the targets' software that began it.

use std::collections::BTreeSet;
use std::time::Duration;

use seam_protocol::heartbeat::StreamOrigin;
use seam_protocol::id::rank;
use seam_protocol::{Heartbeat, Reason, RegionId, ServiceId, StreamId, Time, VersionId, VmId};

use super::Node;
use super::admit::TRANSIENT_RETRY_AFTER;
use crate::command::{Command, OriginSource};
use crate::handle::{AttemptKey, Ticket};
use crate::refusal::Refusal;
use crate::request::Stage;

/// Time for which a report to a node of this region waits for a work update to go with.
const NEAR_DELAY: Duration = Duration::from_millis(250);
/// Time for which a report to a node of another region waits for others.
const FAR_DELAY: Duration = Duration::from_millis(50);

/// Numbers of holders of a stream's origin.
#[derive(Clone, Copy)]
struct HolderCounts {
    /// In this region.
    near: usize,
    /// Other regions.
    regions: usize,
    /// In each of these.
    far: usize,
}

/// Holders that a new origin is reported to.
const REPORTED: HolderCounts = HolderCounts {
    near: 2,
    regions: 1,
    far: 1,
};
/// Holders that are asked. They are more, since nodes may differ about who is alive, and since the
/// stream may have begun in any region.
const ASKED: HolderCounts = HolderCounts {
    near: 3,
    regions: 2,
    far: 2,
};

impl Node {
    /// Finds the version to which a request that takes up a stream is bound. Returns whether the
    /// request may go on; otherwise it waits for other nodes.
    pub(super) fn find_origin(
        &mut self,
        now: Time,
        ticket: Ticket,
        out: &mut Vec<Command>,
    ) -> bool {
        let request = &self.requests[&ticket];
        let Some(stream) = request.stream.filter(|stream| stream.begun) else {
            return true;
        };
        if stream.version.is_some() {
            return true;
        }
        if let Some(version) = self.streams.version(stream.id) {
            self.bind(ticket, version, OriginSource::Known, out);
            return true;
        }
        let holders = self.holders(now, stream.id, ASKED);
        if holders.is_empty() && !self.just_booted(now) {
            self.refuse_unknown(now, ticket, out);
            return false;
        }
        self.request_mut(ticket).stage = Stage::Asking;
        self.streams.ask(now, stream.id, ticket, &holders);
        false
    }

    /// Binds a request to the version that began its stream.
    fn bind(
        &mut self,
        ticket: Ticket,
        version: VersionId,
        source: OriginSource,
        out: &mut Vec<Command>,
    ) {
        if let Some(stream) = &mut self.request_mut(ticket).stream {
            stream.begun = true;
            stream.version = Some(version);
        }
        let version = Some(version);
        out.push(Command::LogOrigin {
            ticket,
            version,
            source,
        });
    }

    /// Refuses a request that takes up a stream of unknown origin.
    fn refuse_unknown(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Command>) {
        out.push(Command::LogOrigin {
            ticket,
            version: None,
            source: OriginSource::Unknown,
        });
        let refusal = Refusal::not_run(Reason::Version).with_retry_after(TRANSIENT_RETRY_AFTER);
        self.refuse(now, ticket, refusal, out);
    }

    /// Handles the beginning of an answer by a version of the targets' software. A stream is bound to
    /// it from then on. If this node may be wrong about the version, no target can take up the stream.
    pub(super) fn begin_stream(
        &mut self,
        now: Time,
        key: AttemptKey,
        version: VersionId,
        out: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let ticket = attempt.ticket;
        let known = !self.out_of_step();
        let request = self.requests.get_mut(&ticket);
        let Some(stream) = request.and_then(|request| request.stream.as_mut()) else {
            return;
        };
        stream.begun = true;
        stream.version = known.then_some(version);
        if !known {
            return;
        }
        let stream = stream.id;
        for ticket in self.streams.record(now, stream, version) {
            self.bind(ticket, version, OriginSource::Known, out);
            self.charge(now, ticket, out);
        }
        let origin = StreamOrigin {
            stream,
            version: Some(version),
        };
        for vm in self.holders(now, stream, REPORTED) {
            let near = self.regions.get(&vm) == Some(&self.id.region);
            let delay = if near { NEAR_DELAY } else { FAR_DELAY };
            self.streams.report(vm, origin, now + delay);
        }
    }

    /// Returns the nodes that hold the origin of a stream, in this region and in others.
    fn holders(&self, now: Time, stream: StreamId, counts: HolderCounts) -> Vec<VmId> {
        let first = |mut vms: Vec<VmId>, count: usize| {
            vms.sort_by_key(|vm| std::cmp::Reverse(rank(stream.0, u64::from(vm.0))));
            vms.truncate(count);
            vms
        };
        let near = self.alive.iter().copied();
        let near = near.filter(|vm| *vm != self.id.vm).collect();
        let mut holders = first(near, counts.near);
        let regions: BTreeSet<RegionId> = self.regions.values().copied().collect();
        let mut regions: Vec<RegionId> = regions
            .into_iter()
            .filter(|region| *region != self.id.region && self.peers.region(now, *region).is_some())
            .collect();
        regions.sort_by_key(|region| std::cmp::Reverse(rank(stream.0, u64::from(region.0))));
        for region in regions.into_iter().take(counts.regions) {
            let Some(summary) = self.peers.region(now, region) else {
                continue;
            };
            let known = summary.nodes.iter().copied();
            let known = known.filter(|vm| self.regions.get(vm) == Some(&region));
            holders.extend(first(known.collect(), counts.far));
        }
        holders
    }

    /// Merges the origins of streams that a heartbeat reports, and replies to its queries.
    pub(super) fn merge_origins(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        let from = heartbeat.from;
        for origin in &heartbeat.streams.origins {
            let Some(version) = origin.version else {
                for ticket in self.streams.record_unknown(origin.stream, from) {
                    self.refuse_unknown(now, ticket, out);
                }
                continue;
            };
            for ticket in self.streams.record(now, origin.stream, version) {
                self.bind(ticket, version, OriginSource::Reported, out);
                self.charge(now, ticket, out);
            }
        }
        for stream in &heartbeat.streams.queries {
            let origin = StreamOrigin {
                stream: *stream,
                version: self.streams.version(*stream),
            };
            self.streams.report(from, origin, now);
        }
    }

    /// Sends the reports that are due, and gives up the queries that nobody answered.
    pub(super) fn exchange_origins(&mut self, now: Time, out: &mut Vec<Command>) {
        for ticket in self.streams.take_overdue(now) {
            self.refuse_unknown(now, ticket, out);
        }
        for stream in self.streams.due_queries(now) {
            let holders = self.holders(now, stream, ASKED);
            self.streams.repeat(now, stream, &holders);
        }
        for to in self.streams.due_reports(now) {
            let sent = self.next_timestamp(now);
            let report = self.streams.take_report(to);
            if let Some((address, mut heartbeat)) = self.new_short_heartbeat(sent, to) {
                heartbeat.streams = report;
                out.push(Command::Heartbeat {
                    to,
                    address,
                    heartbeat,
                });
            }
        }
    }

    /// Returns whether a region has a target of a service that is not leaving and whose software has
    /// a version.
    pub(super) fn lists_version(
        &self,
        service: ServiceId,
        region: RegionId,
        version: VersionId,
    ) -> bool {
        let spec = self.bundle.as_ref().and_then(|b| b.services.get(&service));
        let leaving = |id| self.target_leaving.get(id).copied().unwrap_or(false);
        spec.is_some_and(|spec| {
            spec.targets.iter().any(|(id, target)| {
                target.region == region && !leaving(id) && target.version_id() == version
            })
        })
    }
}
