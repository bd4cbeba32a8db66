//! The decision state of one node, and the entry point through which events change it.

mod admit;
pub(crate) mod allowances;
mod attempts;
mod brittle;
mod cold;
mod competition;
mod config;
pub(crate) mod directory;
mod dispatch;
mod drain;
mod finish;
mod item_differences;
mod item_exchanges;
mod item_fetches;
mod leaving;
mod members;
mod outcome;
mod published;
mod rate_limits;
mod reach;
mod revocation;
mod routing;
mod streams;
mod summaries;
mod tick;
mod verification;
mod work_update;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seam_protocol::{
    Bundle, CustomerId, Incarnation, IssuedKey, RegionId, ServiceId, TargetId, Time, VmId,
    key::KEY_LIFETIME,
};

use crate::admission::Demand;
use crate::audit::{Audit, Change};
use crate::catalogue::Catalogue;
use crate::command::Command;
use crate::config_version::{ConfigStamp, ConfigVersion, ConfigView};
use crate::event::Event;
use crate::fair::{FairQueue, FlowKey};
use crate::freshness::Freshness;
use crate::gossip::Gossip;
use crate::handle::{AttemptKey, TargetKey, Ticket};
use crate::keys::KeyTable;
use crate::limits::{LimitContext, Limits};
use crate::peers::Peers;
use crate::placement::Placement;
use crate::poison::{CrashRuns, PoisonTable};
use crate::prefix::PrefixTable;
use crate::request::{Attempt, Request};
use crate::retry::RetryBudget;
use crate::roster::Roster;
use crate::spill::Spill;
use crate::streams::StreamOrigins;
use crate::targets::{KindLoad, Targets};
use attempts::ProbeResult;
use item_differences::ItemDifferences;
use item_exchanges::ItemExchanges;
use item_fetches::ItemFetches;

/// Interval between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(100);
/// Maximum number of requests without a final response at one node.
pub const MAX_REQUESTS: usize = 20_000;

/// Identity of a node process.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// VM that the node runs on.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Distinguishes this process from earlier ones on the same VM.
    pub incarnation: Incarnation,
}

/// State of one service at this node: its queue, retry budget and measurements.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceState {
    pub(crate) queue: FairQueue,
    /// Recent requests by the rank of their routes.
    pub(crate) demand: Demand,
    /// Work that was lately sent to its engines, by kind.
    pub(crate) kinds: KindLoad,
    /// When queued requests become late, so that they are refused then.
    pub(crate) late: BTreeSet<(Time, Ticket)>,
    pub(crate) retry_budget: RetryBudget,
    /// When queued requests may be sent to a target that takes only a granted rate.
    pub(crate) next_grant: Option<Time>,
    /// When a target last began or ended an answer to this node.
    pub(crate) last_contact: Option<Time>,
    /// When a target last answered a request to its end.
    pub(crate) last_answer: Option<Time>,
    /// Since when this node reaches few or no targets of its region, although there are more.
    pub(crate) stranded_since: Option<Time>,
    /// When a target last crashed.
    pub(crate) last_crash: Option<Time>,
    /// Mean service time in seconds; for streams, the time to the first event.
    pub(crate) mean_secs: Option<f64>,
    /// Mean seconds for which a streaming request occupies its slot, from start to end.
    pub(crate) slot_secs: Option<f64>,
    /// Decaying maximum of running plus queued requests.
    pub(crate) peak_demand: f64,
    /// Decaying maximum of the total weight of the customers with queued or running requests.
    pub(crate) active_weight: f64,
    /// Heavy customers ([`FairQueue::heavy`]), with their smoothed fractions of the running
    /// requests.
    pub(crate) heavy_customers: Vec<(CustomerId, f64)>,
}

impl ServiceState {
    /// Updates the heavy customers, with an exponential moving average of their fractions.
    fn smooth_heavy_customers(&mut self) {
        const SMOOTHING: f64 = 0.1;
        const MIN_SHARE: f64 = 0.05;
        let current = self.queue.heavy();
        for (customer, share) in &current {
            if !self
                .heavy_customers
                .iter()
                .any(|(known, _)| known == customer)
            {
                self.heavy_customers.push((*customer, *share));
            }
        }
        for (customer, share) in &mut self.heavy_customers {
            let sample = current.iter().find(|(known, _)| known == customer);
            let sample = sample.map_or(0.0, |(_, share)| *share);
            *share += SMOOTHING * (sample - *share);
        }
        self.heavy_customers.retain(|(_, share)| *share > MIN_SHARE);
    }
}

/// Requests that may have crashed a target, kept until a probe shows whether it crashed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashWatch {
    runs: CrashRuns,
    since: Time,
}

/// Counters of requests whose routes have one rank, since boot.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct KindCounters {
    /// Requests received, from callers and other nodes.
    pub arrived: u64,
    /// Requests queued because they are held back in favour of more urgent ones.
    pub held: u64,
    /// Requests sent to targets.
    pub started: u64,
    /// Requests refused for lack of room.
    pub no_room: u64,
}

impl KindCounters {
    /// Number of ranks that are counted apart. The last one includes all above it.
    pub const RANKS: usize = 4;

    /// Returns the position of a rank in [`Counters::kinds`].
    ///
    /// ```
    /// use seam_core::node::KindCounters;
    /// assert_eq!([0, 3, 9].map(KindCounters::index), [0, 3, 3]);
    /// ```
    #[must_use]
    pub fn index(rank: u8) -> usize {
        usize::from(rank).min(Self::RANKS - 1)
    }
}

/// Counters since boot, for metrics.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counters {
    /// Requests received from callers.
    pub arrived: u64,
    /// Requests received from other nodes.
    pub relayed: u64,
    /// Requests sent to another region.
    pub sent_away: u64,
    /// Requests forwarded to the node that owns their idempotency key.
    pub sent_owner: u64,
    /// Requests with a complete response.
    pub complete: u64,
    /// Requests refused without having run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Repeated requests that received a stored response.
    pub replayed: u64,
    /// Retries of requests.
    pub retries: u64,
    /// Ejections of targets.
    pub ejections: u64,
    /// Crashes of targets while requests of this node ran there.
    pub crashes: u64,
    /// Process pauses detected.
    pub pauses: u64,
    /// Counters by the rank of the route.
    pub kinds: [KindCounters; KindCounters::RANKS],
    /// Requests with API keys that were refused, as the configuration was not confirmed in time.
    pub unconfirmed: u64,
}

/// Switches that each replace a decision by a simple baseline, to measure what the decision gains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether customers are served by weighted fair queueing; otherwise in order of arrival.
    pub fair: bool,
    /// Whether targets are chosen by load and prefix within their limits; otherwise at random
    /// without limits.
    pub load_aware: bool,
    /// Whether requests are sent to another region when that is faster; otherwise only when this
    /// region cannot serve them.
    pub spill: bool,
    /// Whether requests that cannot meet their deadline are refused early.
    pub shed: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            fair: true,
            load_aware: true,
            spill: true,
            shed: true,
        }
    }
}

/// The whole decision state of a node.
///
/// ```
/// use seam_core::{Event, Identity, Node};
/// use seam_protocol::{Incarnation, RegionId, Time, VmId};
/// let id = Identity {
///     vm: VmId::of("vm-1"),
///     region: RegionId::of("khomas"),
///     incarnation: Incarnation(1),
/// };
/// let mut node = Node::new(id, 7, Time(0));
/// let mut commands = Vec::new();
/// node.handle(Time(100_000), Event::Tick, &mut commands);
/// assert!(commands.is_empty());
/// assert!(!node.ready(Time(100_000)));
/// ```
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) id: Identity,
    pub(crate) policy: Policy,
    pub(crate) bundle: Option<Arc<Bundle>>,
    /// Configuration without VMs and targets, where the platform publishes targets item by item and
    /// nodes discover each other.
    pub(crate) base_config: Option<Arc<Bundle>>,
    pub(crate) config_view: ConfigView,
    pub(crate) catalogue: Catalogue,
    /// Known nodes, where the member list is not published; `None` where the bundle contains it.
    pub(crate) roster: Option<Roster>,
    pub(crate) item_fetches: ItemFetches,
    pub(crate) item_differences: ItemDifferences,
    pub(crate) item_exchanges: ItemExchanges,
    pub(crate) verification: verification::Verification,
    pub(crate) revocation: revocation::Revocation,
    pub(crate) pending_update: work_update::PendingUpdate,
    /// Targets whose rate limit began, ended or changed since the last work update.
    pub(crate) changed_limits: BTreeSet<TargetKey>,
    pub(crate) regions: BTreeMap<VmId, RegionId>,
    pub(crate) boot: Time,
    /// Since when this node may own keys chosen by callers, under the current set of nodes and
    /// services.
    pub(crate) owner_since: Time,
    /// When the region that owns a customer's keys last changed.
    pub(crate) owner_changes: BTreeMap<CustomerId, Time>,
    pub(crate) freshness: Freshness,
    /// Highest item revision of the nodes that this node heard from after a pause, or after it was cut off,
    /// as long as it has not read that revision; and when it sent the message that they replied to.
    pub(crate) unread_items: Option<(u64, Time)>,
    /// When items, or that none changed, were last read from the platform.
    pub(crate) platform_read: Option<Time>,
    /// Since when this node hears from no other one, although it knows some.
    pub(crate) alone_since: Option<Time>,
    /// Whether the audit trail says that this node is out of step.
    pub(crate) audited_step: bool,
    pub(crate) peers: Peers,
    pub(crate) gossip: Gossip,
    /// Sequence number of the last record of this node in a heartbeat.
    pub(crate) record_sequence: u32,
    /// Timestamp of the last heartbeat sent.
    pub(crate) last_sent: Time,
    pub(crate) targets: Targets,
    pub(crate) alive: BTreeSet<VmId>,
    pub(crate) last_refresh: Time,
    pub(crate) service_states: BTreeMap<ServiceId, ServiceState>,
    pub(crate) limits: Limits,
    pub(crate) allowances: allowances::Allowances,
    pub(crate) keys: KeyTable,
    /// Serial number of the last issued idempotency key.
    pub(crate) key_serial: u64,
    pub(crate) poison: PoisonTable,
    /// When each node was last sent a report of the quarantine.
    pub(crate) quarantine_reports: BTreeMap<VmId, Time>,
    pub(crate) crash_watches: BTreeMap<TargetKey, CrashWatch>,
    pub(crate) prefixes: PrefixTable,
    pub(crate) spill: Spill,
    pub(crate) streams: StreamOrigins,
    /// Which services' targets the other nodes of this region reach.
    pub(crate) reach: reach::PeerReach,
    pub(crate) region_sends: BTreeMap<(RegionId, ServiceId), RegionSends>,
    pub(crate) placement: Placement,
    pub(crate) requests: BTreeMap<Ticket, Request>,
    pub(crate) attempts: BTreeMap<AttemptKey, Attempt>,
    pub(crate) deadlines: BTreeSet<(Time, Ticket)>,
    pub(crate) next_attempt: u64,
    /// Targets in the platform's VM list, and whether each is leaving.
    pub(crate) target_leaving: BTreeMap<TargetId, bool>,
    /// Customers for which concurrency units became free, to resume their parked requests.
    pub(crate) freed_customers: BTreeSet<CustomerId>,
    /// When draining began.
    pub(crate) drain_since: Option<Time>,
    /// When this process ends, if a planned stop has begun.
    pub(crate) ends_at: Option<Time>,
    /// Readiness last announced to peers.
    pub(crate) announced_ready: bool,
    /// Bundle revision that is being fetched from a peer, and since when.
    pub(crate) pending_manifest: Option<(u64, Time)>,
    pub(crate) counters: Counters,
    pub(crate) rng: Pcg64Mcg,
}

/// Requests sent to a region for one service since the region's last summary.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionSends {
    since: Time,
    sent: u32,
    /// Whether the region refused or failed a request, so that a wait is expected there.
    full: bool,
}

impl Node {
    /// Returns a node that has just booted.
    #[must_use]
    pub fn new(id: Identity, seed: u64, now: Time) -> Self {
        Self::with_policy(id, seed, now, Policy::default())
    }

    /// Returns a node that has just booted, with a policy.
    #[must_use]
    pub fn with_policy(id: Identity, seed: u64, now: Time, policy: Policy) -> Self {
        Self {
            id,
            policy,
            bundle: None,
            base_config: None,
            config_view: ConfigView::new(now),
            catalogue: Catalogue::default(),
            roster: None,
            item_fetches: ItemFetches::default(),
            item_differences: ItemDifferences::default(),
            item_exchanges: ItemExchanges::default(),
            verification: verification::Verification::default(),
            revocation: revocation::Revocation::new(now),
            pending_update: work_update::PendingUpdate::default(),
            changed_limits: BTreeSet::new(),
            regions: BTreeMap::new(),
            boot: now,
            owner_since: now,
            owner_changes: BTreeMap::new(),
            freshness: Freshness::new(now),
            unread_items: None,
            platform_read: None,
            alone_since: None,
            audited_step: false,
            peers: Peers::new(now),
            gossip: Gossip::default(),
            record_sequence: 0,
            last_sent: now,
            targets: Targets::default(),
            alive: BTreeSet::from([id.vm]),
            last_refresh: now,
            service_states: BTreeMap::new(),
            limits: Limits::default(),
            allowances: allowances::Allowances::new(now),
            keys: KeyTable::default(),
            key_serial: 0,
            poison: PoisonTable::default(),
            quarantine_reports: BTreeMap::new(),
            crash_watches: BTreeMap::new(),
            prefixes: PrefixTable::default(),
            spill: Spill::default(),
            streams: StreamOrigins::default(),
            reach: reach::PeerReach::default(),
            region_sends: BTreeMap::new(),
            placement: Placement::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_attempt: 0,
            target_leaving: BTreeMap::new(),
            freed_customers: BTreeSet::new(),
            drain_since: None,
            ends_at: None,
            announced_ready: false,
            pending_manifest: None,
            counters: Counters::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Handles one event and appends the resulting commands.
    ///
    /// `now` is the time on this node's clock and must not decrease. The caller executes the
    /// commands in order. See [`Node`] for an example.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Command>) {
        if let Some(gap) = self.freshness.observe(now) {
            self.resume_after_pause(now, gap, out);
        }
        match event {
            Event::Tick => {}
            Event::Arrive(arrival) => self.arrive(now, &arrival, out),
            Event::Sending(attempt) => self.authorize_send(now, attempt, out),
            Event::Silent(attempt) => self.handle_silence(now, attempt, out),
            Event::Progress(attempt) => self.end_silence(now, attempt),
            Event::FirstBytes(attempt) => self.handle_first_bytes(now, attempt, out),
            Event::StreamBegan(attempt, version) => {
                self.begin_stream(now, attempt, version, out);
            }
            Event::ErrorResponse(attempt) => self.handle_target_error(now, attempt, out),
            Event::AttemptEnded(attempt, outcome) => self.end_attempt(now, attempt, outcome, out),
            Event::CallerGone(ticket) => self.handle_disconnect(now, ticket, out),
            Event::Probed { target, accepted } => {
                let result = if accepted {
                    ProbeResult::Accepted
                } else {
                    ProbeResult::Refused
                };
                self.handle_probe(now, target, result, out);
            }
            Event::ProbeHung(target) => self.handle_probe(now, target, ProbeResult::Hung, out),
            Event::Heartbeat(heartbeat) => self.receive_heartbeat(now, &heartbeat, out),
            Event::Bundle(bundle) => self.apply_bundle(now, &bundle, out),
            Event::RevisionConfirmed(revision) => self.confirm_revision(now, revision),
            Event::ItemsRead(items, source) => self.merge_items(now, items, (source, now), out),
            Event::StoreRead(reading) => self.read_store(now, reading, out),
            Event::ItemsFetched {
                from,
                epoch,
                items,
                source,
            } => self.read_peer(now, (from, epoch), (items, source), out),
            Event::ItemsNotRead(from) => self.fetch_elsewhere(now, from, out),
            Event::PlatformUnreachable(unreachable) => {
                self.set_platform_unreachable(now, unreachable, out);
            }
            Event::VmList(list) => self.handle_vm_list(now, &list, out),
            Event::Load(target, report) => self.record_load_report(now, target, report, out),
            Event::LimitAdvertised(attempt, rate) => {
                self.handle_advertised_limit(now, attempt, rate, out);
            }
            Event::TargetLeaves(target) => self.handle_leaving(now, target, out),
            Event::TargetMoved(target) => self.handle_moved(now, target, out),
            Event::ColdReported {
                target,
                cold,
                asked,
            } => self.handle_cold_report(now, target, cold, asked, out),
            Event::TargetClosed(attempt, time) => self.handle_closed(now, attempt, time, out),
            Event::Brittle(attempt, brittle) => self.handle_brittle(now, attempt, brittle, out),
            Event::Cache(target, events) => self.record_cache_events(now, target, &events),
            Event::Drain { what, on, actor } => self.drain(now, what, on, &actor, out),
            Event::EndsIn(time) => self.ends_at = Some(now + time),
            Event::DrainOver => self.end_drain(now, out),
        }
        self.tick(now, out);
    }

    /// Returns this node's identity.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.id
    }

    /// Returns the bundle in force.
    #[must_use]
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.bundle.as_ref()
    }

    /// Returns whether the configuration in force may be outdated, as another node has a later one, a later
    /// one cannot be used, or this node was paused or cut off. Then what it lacks may exist.
    #[must_use]
    pub fn config_outdated(&self) -> bool {
        self.config_view.behind() || !self.freshness.fresh() || self.out_of_step()
    }

    /// Returns which configuration is in force.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.config_view.version
    }

    /// Returns the time since the call began by which the store last showed this node that the configuration in
    /// force is the present one, `None` if it never did. What another node relays does not count.
    ///
    /// ```
    /// use seam_core::{Identity, Node};
    /// use seam_protocol::{Incarnation, RegionId, Time, VmId};
    /// let id = Identity { vm: VmId(1), region: RegionId(1), incarnation: Incarnation(1) };
    /// assert_eq!(Node::new(id, 1, Time(0)).config_confirmed(Time(5)), None);
    /// ```
    #[must_use]
    pub fn config_confirmed(&self, now: Time) -> Option<Duration> {
        self.config_view.confirmed(now)
    }

    /// Records how many published places the routes of an item do not have, if it is in force.
    pub fn note_misread_places(&mut self, item_revision: u64, count: usize) {
        self.config_view.note_misread(item_revision, count);
    }

    /// Returns the stamp of a decision by the configuration in force.
    #[must_use]
    pub fn config_stamp(&self, now: Time) -> ConfigStamp {
        self.config_view.stamp(now)
    }

    /// Records that the item of a configuration was read, before it is merged. Returns whether it is
    /// newer than those that were read before.
    pub fn note_config_read(&mut self, now: Time, key: &str, item_revision: u64) -> bool {
        self.config_view.note_read(now, key, item_revision)
    }

    /// Returns the counts since boot.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether the node accepts new requests and announces that to callers and peers.
    #[must_use]
    pub fn ready(&self, _now: Time) -> bool {
        self.configured() && self.freshness.fresh() && self.drain_since.is_none()
    }

    /// Returns whether a configuration is in force.
    #[must_use]
    pub fn configured(&self) -> bool {
        let published = |bundle: &Arc<Bundle>| self.roster.is_none() || bundle.revision > 0;
        self.bundle.as_ref().is_some_and(published)
    }

    /// Returns the number of requests that have no final response yet.
    #[must_use]
    pub fn held_requests(&self) -> usize {
        self.requests.len()
    }

    /// Issues an idempotency key to a customer, or returns `None` while the node is not ready.
    pub fn issue_key(&mut self, now: Time, customer: CustomerId) -> Option<IssuedKey> {
        if !self.ready(now) {
            return None;
        }
        self.key_serial += 1;
        Some(IssuedKey {
            vm: self.id.vm,
            incarnation: self.id.incarnation,
            region: self.id.region,
            customer,
            serial: self.key_serial,
            expiry: now + KEY_LIFETIME,
        })
    }

    /// Returns each customer's number of requests in flight that hold a concurrency unit here.
    pub fn in_flight(&self) -> impl Iterator<Item = (CustomerId, u32)> + '_ {
        self.limits.active().map(|id| (id, self.limits.running(id)))
    }

    /// Returns whether routes are published.
    pub(crate) fn routed(&self) -> bool {
        let bundle = self.bundle.as_ref();
        bundle.is_some_and(|bundle| !bundle.routes.is_empty())
    }

    /// Returns the flow in which a request would be queued.
    ///
    /// With published routes, customers are not separate tenants, so the flow is that of the tenant,
    /// or one flow for all requests without a tenant.
    pub(crate) fn flow_key(&self, now: Time, request: &Request) -> FlowKey {
        let rank = self.effective_rank(now, request);
        let owner = match request.tenant {
            _ if !self.policy.fair => CustomerId(0),
            _ if !self.routed() => request.customer,
            Some(tenant) => CustomerId(tenant.0),
            None => CustomerId(0),
        };
        FlowKey { rank, owner }
    }

    /// Returns the context in which a customer's limits are checked.
    fn limit_context<'a>(
        &self,
        bundle: &'a Bundle,
        id: CustomerId,
        deadline: Time,
    ) -> Option<LimitContext<'a>> {
        Some(LimitContext {
            bundle,
            me: self.id.vm,
            id,
            customer: bundle.customers.get(&id)?,
            deadline,
        })
    }

    /// Returns the mean service time of a service: measured, or else the configured one.
    pub(crate) fn expected_time(&self, service: ServiceId) -> Duration {
        let measured = self
            .service_states
            .get(&service)
            .and_then(|state| state.mean_secs);
        let configured = || {
            let spec = self.bundle.as_ref()?.services.get(&service)?;
            Some(Duration::from_millis(spec.expected))
        };
        measured
            .map(Duration::from_secs_f64)
            .or_else(configured)
            .unwrap_or_default()
    }

    /// Returns the mean time for which a request of a service occupies its slot.
    pub(crate) fn slot_time(&self, service: ServiceId) -> Duration {
        let measured = self
            .service_states
            .get(&service)
            .and_then(|state| state.slot_secs);
        measured.map_or_else(|| self.expected_time(service), Duration::from_secs_f64)
    }

    fn audit(
        &self,
        now: Time,
        change: Change,
        subject: impl Into<String>,
        (old, new): (impl Into<String>, impl Into<String>),
        cause: impl Into<String>,
    ) -> Command {
        Command::Audit(Audit {
            time: now,
            change,
            actor: format!("node {}", self.id.vm),
            subject: subject.into(),
            old: old.into(),
            new: new.into(),
            cause: cause.into(),
        })
    }
}
