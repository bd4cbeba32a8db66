//! One node: its beliefs and the entry point that changes them.

mod admit;
mod attempts;
mod config;
mod digests;
mod dispatch;
mod finish;
mod members;
mod place;
mod published;
mod settle;
mod tick;
mod works;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seam_protocol::{
    Bundle, CustomerId, Fingerprint, Incarnation, IssuedKey, RegionId, ServiceId, TargetId, Time,
    VmId, key::KEY_LIFETIME,
};

use crate::audit::{Audit, Change};
use crate::catalogue::Catalogue;
use crate::command::Command;
use crate::event::Event;
use crate::fair::FairQueue;
use crate::gossip::Gossip;
use crate::handle::{AttemptKey, TargetKey, Ticket};
use crate::keys::KeyTable;
use crate::limits::{Asking, Limits};
use crate::peers::Peers;
use crate::placement::Placement;
use crate::poison::PoisonTable;
use crate::prefix::PrefixTable;
use crate::request::{Attempt, Request};
use crate::retry::RetryBudget;
use crate::roster::Roster;
use crate::spill::Spill;
use crate::standing::Standing;
use crate::targets::Targets;

/// Time between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(100);
/// Time for which a draining node still takes requests, while callers learn of it.
pub const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Most requests held at once.
pub const MAX_REQUESTS: usize = 20_000;

/// Who a node is.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Its VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// This boot of the process.
    pub incarnation: Incarnation,
}

/// State of one service at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceState {
    pub(crate) queue: FairQueue,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) mean_secs: Option<f64>,
    /// Seconds for which a request holds its slot, where that is longer than to the first event.
    pub(crate) slot_secs: Option<f64>,
    /// Slots wanted lately, which falls slowly.
    pub(crate) peak_demand: f64,
    /// Weights of active customers lately.
    pub(crate) active_weight: f64,
    /// Customers that dominated lately, with their parts of the load.
    pub(crate) heavy_customers: Vec<(CustomerId, f64)>,
}

impl ServiceState {
    /// Follows the parts of customers that dominate.
    fn smooth_heavy(&mut self) {
        const SAMPLE: f64 = 0.1;
        const LEAST: f64 = 0.05;
        let present = self.queue.heavy();
        for (customer, part) in &present {
            if !self
                .heavy_customers
                .iter()
                .any(|(known, _)| known == customer)
            {
                self.heavy_customers.push((*customer, *part));
            }
        }
        for (customer, part) in &mut self.heavy_customers {
            let now = present.iter().find(|(known, _)| known == customer);
            let now = now.map_or(0.0, |(_, part)| *part);
            *part += SAMPLE * (now - *part);
        }
        self.heavy_customers.retain(|(_, part)| *part > LEAST);
    }
}

/// Requests that a target's failure may have been caused by.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashWatch {
    fingerprints: BTreeSet<Fingerprint>,
    since: Time,
}

/// Counts since boot, for metrics.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counters {
    /// Requests taken in from callers.
    pub arrived: u64,
    /// Requests taken in from other nodes.
    pub relayed: u64,
    /// Requests forwarded to another region.
    pub sent_away: u64,
    /// Requests forwarded to the owner of their key.
    pub sent_owner: u64,
    /// Whole answers.
    pub complete: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Repeats answered from the key table.
    pub replayed: u64,
    /// Retries.
    pub retries: u64,
    /// Ejections of targets.
    pub ejections: u64,
    /// Pauses noticed.
    pub pauses: u64,
}

/// Which decisions are replaced by the plainest ones, to measure what they are worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Customers are served by weighted fair queues; otherwise in order of arrival.
    pub fair: bool,
    /// Targets are chosen by load and prefix within limits; otherwise at random without limits.
    pub load_aware: bool,
    /// Requests go to another region when that is sooner; otherwise only if none is allowed here.
    pub spill: bool,
    /// Requests that cannot end in time are refused early.
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

/// A node's whole decision state.
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
    /// Configuration without VMs and targets, where these are published one by one.
    pub(crate) base_config: Option<Arc<Bundle>>,
    pub(crate) catalogue: Catalogue,
    /// Who the nodes are, where no list of them is published.
    pub(crate) roster: Option<Roster>,
    pub(crate) pending_pull: Option<(u64, Time)>,
    pub(crate) pending_update: works::PendingUpdate,
    pub(crate) regions: BTreeMap<VmId, RegionId>,
    pub(crate) boot: Time,
    pub(crate) owner_since: Time,
    pub(crate) owner_changes: BTreeMap<CustomerId, Time>,
    pub(crate) freshness: Standing,
    pub(crate) peers: Peers,
    pub(crate) gossip: Gossip,
    pub(crate) record_number: u32,
    pub(crate) last_sent: Time,
    pub(crate) targets: Targets,
    pub(crate) alive: BTreeSet<VmId>,
    pub(crate) last_refresh: Time,
    pub(crate) service_states: BTreeMap<ServiceId, ServiceState>,
    pub(crate) limits: Limits,
    pub(crate) keys: KeyTable,
    pub(crate) key_serial: u64,
    pub(crate) poison: PoisonTable,
    pub(crate) crash_watches: BTreeMap<TargetKey, CrashWatch>,
    pub(crate) prefixes: PrefixTable,
    pub(crate) spill: Spill,
    pub(crate) region_sends: BTreeMap<(RegionId, ServiceId), RegionSends>,
    pub(crate) placement: Placement,
    pub(crate) requests: BTreeMap<Ticket, Request>,
    pub(crate) attempts: BTreeMap<AttemptKey, Attempt>,
    pub(crate) deadlines: BTreeSet<(Time, Ticket)>,
    pub(crate) next_attempt: u64,
    pub(crate) target_leaving: BTreeMap<TargetId, bool>,
    pub(crate) freed_customers: BTreeSet<CustomerId>,
    pub(crate) drain_since: Option<Time>,
    pub(crate) announced_ready: bool,
    pub(crate) pending_fetch: Option<(u64, Time)>,
    pub(crate) counters: Counters,
    pub(crate) rng: Pcg64Mcg,
}

/// Requests sent to a region since its last digest.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionSends {
    since: Time,
    sent: u32,
    full: bool,
}

impl Node {
    /// Returns a node that has just booted.
    #[must_use]
    pub fn new(id: Identity, seed: u64, now: Time) -> Self {
        Self::with_policy(id, seed, now, Policy::default())
    }

    /// Returns a node that has just booted and follows a policy.
    #[must_use]
    pub fn with_policy(id: Identity, seed: u64, now: Time, policy: Policy) -> Self {
        Self {
            id,
            policy,
            bundle: None,
            base_config: None,
            catalogue: Catalogue::default(),
            roster: None,
            pending_pull: None,
            pending_update: works::PendingUpdate::default(),
            regions: BTreeMap::new(),
            boot: now,
            owner_since: now,
            owner_changes: BTreeMap::new(),
            freshness: Standing::new(now),
            peers: Peers::default(),
            gossip: Gossip::default(),
            record_number: 0,
            last_sent: now,
            targets: Targets::default(),
            alive: BTreeSet::from([id.vm]),
            last_refresh: now,
            service_states: BTreeMap::new(),
            limits: Limits::default(),
            keys: KeyTable::default(),
            key_serial: 0,
            poison: PoisonTable::default(),
            crash_watches: BTreeMap::new(),
            prefixes: PrefixTable::default(),
            spill: Spill::default(),
            region_sends: BTreeMap::new(),
            placement: Placement::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_attempt: 0,
            target_leaving: BTreeMap::new(),
            freed_customers: BTreeSet::new(),
            drain_since: None,
            announced_ready: false,
            pending_fetch: None,
            counters: Counters::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes in one event and appends the commands that follow from it.
    ///
    /// `now` is the time on this node's clock and never goes back. Commands are to be carried out
    /// in order. See [`Node`] for an example.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Command>) {
        if let Some(gap) = self.freshness.observe(now) {
            self.resume_after_pause(now, gap, out);
        }
        match event {
            Event::Tick => {}
            Event::Arrive(arrival) => self.arrive(now, &arrival, out),
            Event::Sending(attempt) => self.authorize_send(now, attempt, out),
            Event::Silent(attempt) => self.handle_silence(now, attempt, out),
            Event::First(attempt) => self.handle_first_bytes(now, attempt),
            Event::Faulty(attempt) => self.handle_target_error(now, attempt, out),
            Event::Reply(attempt, reply) => self.reply(now, attempt, reply, out),
            Event::Gone(ticket) => self.caller_gone(now, ticket, out),
            Event::Probed { target, accepted } => self.probed(now, target, accepted, out),
            Event::Beat(beat) => self.receive_heartbeat(now, &beat, out),
            Event::Bundle(bundle) => self.adopt(now, &bundle, out),
            Event::Confirmed(revision) => self.confirmed(now, revision),
            Event::Published(news, source) => self.merge_items(now, news, source, out),
            Event::PlatformAway(away) => self.set_platform_away(now, away, out),
            Event::VmList(list) => self.vm_list(now, &list, out),
            Event::Load(target, report) => self.load_report(now, target, report, out),
            Event::Cache(target, events) => self.cache_events(now, target, &events),
            Event::Drain { what, on, actor } => self.drain(now, what, on, &actor, out),
        }
        self.tick(now, out);
    }

    /// Returns who this node is.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.id
    }

    /// Returns the bundle in force.
    #[must_use]
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.bundle.as_ref()
    }

    /// Returns the counts since boot.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Tells whether the node takes new requests and says so to callers and peers.
    #[must_use]
    pub fn ready(&self, _now: Time) -> bool {
        self.configured() && self.freshness.fresh() && self.drain_since.is_none()
    }

    /// Tells whether a configuration is in force.
    #[must_use]
    pub fn configured(&self) -> bool {
        let published = |bundle: &Arc<Bundle>| self.roster.is_none() || bundle.revision > 0;
        self.bundle.as_ref().is_some_and(published)
    }

    /// Tells whether the node is draining.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.drain_since.is_some()
    }

    /// Tells whether the node is draining and holds no request any more.
    #[must_use]
    pub fn drained(&self, now: Time) -> bool {
        let grace = self
            .drain_since
            .is_some_and(|since| now.since(since) >= DRAIN_GRACE);
        grace && self.requests.is_empty()
    }

    /// Returns the number of requests without a final answer.
    #[must_use]
    pub fn held_requests(&self) -> usize {
        self.requests.len()
    }

    /// Issues an idempotency key to a customer.
    ///
    /// Returns `None` while the node is not ready.
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

    /// Returns the requests in flight of each customer that hold a unit here.
    pub fn in_flight(&self) -> impl Iterator<Item = (CustomerId, u32)> + '_ {
        self.limits.active().map(|id| (id, self.limits.running(id)))
    }

    /// Returns the key of the flow that a customer's requests join.
    ///
    /// Published routes are no customers that must be kept apart, so they share one flow.
    pub(crate) fn flow(&self, customer: CustomerId) -> CustomerId {
        let routed = self.bundle.as_ref().is_some_and(|b| !b.routes.is_empty());
        if self.policy.fair && !routed {
            customer
        } else {
            CustomerId(0)
        }
    }

    fn asking<'a>(&self, bundle: &'a Bundle, id: CustomerId, deadline: Time) -> Option<Asking<'a>> {
        Some(Asking {
            bundle,
            me: self.id.vm,
            id,
            rule: bundle.customers.get(&id)?,
            deadline,
        })
    }

    /// Returns the expected service time of a service.
    pub(crate) fn expected_time(&self, service: ServiceId) -> Duration {
        let measured = self
            .service_states
            .get(&service)
            .and_then(|lane| lane.mean_secs);
        let configured = || {
            let rule = self.bundle.as_ref()?.services.get(&service)?;
            Some(Duration::from_millis(rule.expected))
        };
        measured
            .map(Duration::from_secs_f64)
            .or_else(configured)
            .unwrap_or_default()
    }

    /// Returns the time for which a request of a service holds its slot.
    pub(crate) fn slot_time(&self, service: ServiceId) -> Duration {
        let measured = self
            .service_states
            .get(&service)
            .and_then(|lane| lane.slot_secs);
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
