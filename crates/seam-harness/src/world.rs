//! A discrete-event simulation of nodes, targets, links, callers and the platform.

mod adapter;
mod callers;
mod faults;
mod platform;
mod targets;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seam_core::audit::Audit;
use seam_core::node::{Policy, TICK};
use seam_core::{AttemptKey, Command, Event, Identity, Node, Ticket};
use seam_protocol::{
    Bundle, CustomerId, Fingerprint, Incarnation, IssuedKey, RegionId, ServiceId, TargetId, Time,
    VmId,
};

use crate::fault::Fault;
use crate::ids::{KeyChoice, OpId, RunId, SendingId};
use crate::link::Links;
use crate::mutation::Mutation;
use crate::oracle::{Breach, Oracle};
use crate::stats::Stats;
use crate::target::FakeTarget;
use crate::traffic::Traffic;

/// A request that a caller makes.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The customer.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceId,
    /// The node called.
    pub vm: VmId,
    /// Whether it is idempotent.
    pub repeatable: bool,
    /// Kind of idempotency key.
    pub key: KeyChoice,
    /// Digest of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Whether it crashes each target that runs it.
    pub poison: bool,
    /// Time until its deadline.
    pub budget: Duration,
}

/// The call of an operation, kept for resends and statistics.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub(crate) call: Call,
    pub(crate) issued: Option<IssuedKey>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) region: RegionId,
    pub(crate) started_at: Time,
    pub(crate) counted: bool,
}

/// Who waits for the response to a ticket of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Requester {
    Caller(SendingId),
    Peer {
        vm: VmId,
        incarnation: Incarnation,
        attempt: AttemptKey,
        request: SendingId,
    },
}

impl Requester {
    fn request(self) -> SendingId {
        match self {
            Self::Caller(request) | Self::Peer { request, .. } => request,
        }
    }
}

/// An exchange with a target or another node, for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub(crate) ticket: Ticket,
    pub(crate) to: Destination,
    pub(crate) sent: bool,
    pub(crate) run: Option<RunId>,
    pub(crate) silent: bool,
    pub(crate) silence: Duration,
    pub(crate) keep_response: bool,
    /// Regions allowed by the sender's configuration when the first byte is sent.
    pub(crate) allowed: BTreeSet<RegionId>,
}

/// Receiver of an attempt.
#[derive(Clone, Debug)]
pub(crate) enum Destination {
    Target(TargetId),
    Node {
        vm: VmId,
        hops: Vec<seam_core::Hop>,
        revision: u64,
        budget: Duration,
    },
}

/// A VM and its process, if one runs.
#[derive(Debug)]
pub(crate) struct VmProcess {
    pub(crate) name: String,
    pub(crate) region: RegionId,
    pub(crate) node: Option<Node>,
    pub(crate) incarnation: Incarnation,
    pub(crate) booted_at: Time,
    pub(crate) paused_until: Option<Time>,
    pub(crate) deferred: Vec<SimEvent>,
    pub(crate) draining: bool,
    pub(crate) tickets: BTreeMap<Ticket, Requester>,
    pub(crate) exchanges: BTreeMap<AttemptKey, Exchange>,
    pub(crate) revision: u64,
}

impl VmProcess {
    /// Returns the time on the process's clock, which starts at its boot.
    fn local_time(&self, now: Time) -> Time {
        Time(now.since(self.booted_at).as_micros() as u64)
    }
}

/// An event in the queue of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    Tick(VmId, Incarnation),
    Poll(VmId, Incarnation),
    Deliver(VmId, Incarnation, Box<Event>),
    Sending(VmId, Incarnation, AttemptKey),
    SilenceTimer(VmId, Incarnation, AttemptKey),
    PeerArrive {
        to: VmId,
        from: VmId,
        incarnation: Incarnation,
        attempt: AttemptKey,
        request: SendingId,
        hops: Vec<seam_core::Hop>,
        revision: u64,
        budget: Duration,
    },
    PeerCancel {
        to: VmId,
        from: VmId,
        incarnation: Incarnation,
        attempt: AttemptKey,
    },
    PeerResponse {
        vm: VmId,
        incarnation: Incarnation,
        attempt: AttemptKey,
        run: RunId,
    },
    CallerArrive(VmId, SendingId),
    TargetArrive(TargetId, VmId, Incarnation, AttemptKey),
    TargetDone(TargetId, RunId),
    TargetReply(VmId, Incarnation, AttemptKey, RunId),
    Crash(TargetId, Duration),
    Join(VmId, Incarnation),
    CheckRevision(u64),
    Fault(Fault),
    Traffic(usize),
    Resume(VmId),
}

/// The attempt that a run belongs to, and its progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunState {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) attempt: AttemptKey,
    pub(crate) finished: bool,
    /// Whether the target answers with a failure.
    pub(crate) failed: bool,
    pub(crate) arrived_at: Time,
    pub(crate) started_at: Time,
    pub(crate) cache_hit: bool,
}

/// State of the platform's configuration service.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) newest: Arc<Bundle>,
    pub(crate) first: Arc<Bundle>,
    pub(crate) down: bool,
    pub(crate) stale: bool,
    pub(crate) disrupted_at: Time,
    pub(crate) calls: u64,
}

/// Counters of traffic between nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Heartbeats sent.
    pub heartbeats: u64,
    /// Bytes of these heartbeats, with MAC, UDP and IP headers.
    pub heartbeat_bytes: u64,
    /// Bundles fetched from peers.
    pub fetches: u64,
}

/// The whole simulation, in virtual time.
#[derive(Debug)]
pub struct World {
    /// Current virtual time.
    pub now: Time,
    queue: BTreeMap<(Time, u64), SimEvent>,
    sequence: u64,
    pub(crate) processes: BTreeMap<VmId, VmProcess>,
    pub(crate) targets: BTreeMap<TargetId, FakeTarget>,
    pub(crate) names: BTreeMap<TargetId, String>,
    pub(crate) links: Links,
    pub(crate) platform: Platform,
    pub(crate) call_states: BTreeMap<OpId, CallState>,
    pub(crate) run_states: BTreeMap<RunId, RunState>,
    pub(crate) traffic: Vec<Traffic>,
    /// Checks of runs and outcomes.
    pub oracle: Oracle,
    /// Measurements of callers.
    pub stats: Stats,
    /// Counters of traffic between nodes.
    pub counters: Counters,
    /// Time at which each node applied each revision.
    pub applied_at: BTreeMap<(u64, VmId), Time>,
    /// Time at which each target received its last new request.
    pub last_request_at: BTreeMap<TargetId, Time>,
    /// What nodes audited of crashes and quarantines, with the time and the node.
    pub crash_audits: Vec<(Time, VmId, Audit)>,
    /// Orders sent to engines, with their fencing tokens.
    pub orders: Vec<(Time, TargetId, u64)>,
    /// Mutation applied to every node.
    pub mutation: Mutation,
    policy: Policy,
    leaving_since: BTreeMap<TargetId, Time>,
    membership_changed_at: Time,
    /// When each VM was last paused or disconnected.
    disturbed_at: BTreeMap<VmId, Time>,
    pub(crate) rng: Pcg64Mcg,
    last_id: u64,
}

/// Time within which the nodes of a fleet that boots are ready.
pub const BOOT_TIME: Duration = Duration::from_secs(5);

impl World {
    /// Creates a world in which every VM boots at time zero.
    #[must_use]
    pub fn new(bundle: Bundle, seed: u64) -> Self {
        Self::with_policy(bundle, seed, Policy::default())
    }

    /// Creates a world whose nodes follow a policy.
    #[must_use]
    pub fn with_policy(bundle: Bundle, seed: u64, policy: Policy) -> Self {
        let bundle = Arc::new(bundle);
        let mut world = Self {
            now: Time(0),
            queue: BTreeMap::new(),
            sequence: 0,
            processes: BTreeMap::new(),
            targets: BTreeMap::new(),
            names: BTreeMap::new(),
            links: Links::default(),
            platform: Platform {
                newest: bundle.clone(),
                first: bundle.clone(),
                down: false,
                stale: false,
                disrupted_at: Time(0),
                calls: 0,
            },
            call_states: BTreeMap::new(),
            run_states: BTreeMap::new(),
            traffic: Vec::new(),
            oracle: Oracle::default(),
            stats: Stats::default(),
            counters: Counters::default(),
            applied_at: BTreeMap::new(),
            last_request_at: BTreeMap::new(),
            crash_audits: Vec::new(),
            orders: Vec::new(),
            mutation: Mutation::None,
            policy,
            leaving_since: BTreeMap::new(),
            membership_changed_at: Time(0),
            disturbed_at: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            last_id: 0,
        };
        world.add_targets(&bundle);
        for (id, vm) in &bundle.deployment.vms {
            world.add_process(*id, vm.name.clone(), vm.region);
            world.boot(*id);
        }
        world
    }

    fn add_process(&mut self, id: VmId, name: String, region: RegionId) {
        let process = VmProcess {
            name,
            region,
            node: None,
            incarnation: Incarnation(0),
            booted_at: Time(0),
            paused_until: None,
            deferred: Vec::new(),
            draining: false,
            tickets: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            revision: 0,
        };
        self.processes.insert(id, process);
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(crate) fn schedule_at(&mut self, time: Time, sim_event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), sim_event);
    }

    pub(crate) fn schedule_after(&mut self, span: Duration, sim_event: SimEvent) {
        let time = self.now + span;
        self.schedule_at(time, sim_event);
    }

    /// Schedules a fault.
    pub fn schedule_fault(&mut self, time: Time, fault: Fault) {
        self.schedule_at(time, SimEvent::Fault(fault));
    }

    /// Applies a fault now.
    pub fn inject_fault(&mut self, fault: &Fault) {
        self.apply_fault(fault);
    }

    /// Runs the simulation until a time, and checks that no outcome is overdue.
    pub fn run_until(&mut self, end: Time) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
        {
            let ((time, _), sim_event) = entry.remove_entry();
            self.now = self.now.max(time);
            self.dispatch(sim_event);
        }
        self.now = self.now.max(end);
        let now = self.now;
        self.oracle.check_deadlines(now);
    }

    /// Runs the simulation for a duration.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end);
    }

    /// Returns the VMs with a running process, including draining ones.
    #[must_use]
    pub fn running_vms(&self) -> Vec<VmId> {
        self.processes
            .iter()
            .filter(|(_, process)| process.node.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the node of a VM, if its process runs.
    #[must_use]
    pub fn node(&self, vm: VmId) -> Option<&Node> {
        self.processes.get(&vm)?.node.as_ref()
    }

    /// Returns the time on the clock of a VM's process, which starts at its boot.
    #[must_use]
    pub fn local_time(&self, vm: VmId) -> Time {
        self.processes
            .get(&vm)
            .map_or(Time(0), |process| process.local_time(self.now))
    }

    /// Returns the number of exchanges on silent connections.
    #[must_use]
    pub fn silent_exchanges(&self) -> usize {
        let exchanges = self
            .processes
            .values()
            .flat_map(|process| process.exchanges.values());
        exchanges.filter(|exchange| exchange.silent).count()
    }

    /// Returns the running and queued requests of each target.
    #[must_use]
    pub fn target_occupancy(&self) -> Vec<(usize, usize)> {
        let targets = self.targets.values();
        targets
            .map(|fake| (fake.running.len(), fake.waiting.len()))
            .collect()
    }

    /// Returns the share of ordered pairs of running nodes of one region in which the first node
    /// considers the second alive.
    #[must_use]
    pub fn alive_share(&self) -> f64 {
        let (mut alive, mut pairs) = (0_usize, 0_usize);
        for (vm, process) in &self.processes {
            let Some(node) = &process.node else {
                continue;
            };
            let others = self.processes.iter().filter(|(other, peer)| {
                *other != vm && peer.region == process.region && peer.node.is_some()
            });
            for (other, _) in others {
                pairs += 1;
                alive += usize::from(node.peer_alive(process.local_time(self.now), *other));
            }
        }
        alive as f64 / pairs.max(1) as f64
    }

    /// Returns the newest published configuration.
    #[must_use]
    pub fn newest(&self) -> &Bundle {
        &self.platform.newest
    }

    /// Returns the number of calls to the platform so far.
    #[must_use]
    pub fn platform_calls(&self) -> u64 {
        self.platform.calls
    }

    /// Returns all VMs, ordered by ID.
    #[must_use]
    pub fn vms(&self) -> Vec<VmId> {
        self.processes.keys().copied().collect()
    }

    /// Returns a VM's name.
    #[must_use]
    pub fn vm_name(&self, vm: VmId) -> &str {
        self.processes.get(&vm).map_or("", |process| &process.name)
    }

    /// Returns the names of all targets, ordered by ID.
    #[must_use]
    pub fn target_names(&self) -> Vec<String> {
        self.names.values().cloned().collect()
    }

    fn boot(&mut self, vm: VmId) {
        let incarnation = Incarnation(self.next_id() << 20 | 1);
        let seed = self.next_id();
        let (now, policy) = (self.now, self.policy);
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        let id = Identity {
            vm,
            region: process.region,
            incarnation,
        };
        process.node = Some(Node::with_policy(id, seed, Time(0), policy));
        process.incarnation = incarnation;
        process.booted_at = now;
        process.paused_until = None;
        process.deferred.clear();
        process.draining = false;
        process.tickets.clear();
        process.exchanges.clear();
        process.revision = 0;
        let jitter = Duration::from_micros(self.next_id() % 97 * 1000);
        self.schedule_after(TICK + jitter, SimEvent::Tick(vm, incarnation));
        self.schedule_after(TICK + jitter, SimEvent::Poll(vm, incarnation));
        self.join(vm, incarnation);
    }

    /// Returns whether a VM still runs the process with this incarnation.
    fn is_current(&self, vm: VmId, incarnation: Incarnation) -> bool {
        self.processes
            .get(&vm)
            .is_some_and(|process| process.node.is_some() && process.incarnation == incarnation)
    }

    /// Returns the VM of an event that is deferred while that VM is paused.
    fn event_vm(sim_event: &SimEvent) -> Option<VmId> {
        match sim_event {
            SimEvent::Tick(vm, _)
            | SimEvent::Poll(vm, _)
            | SimEvent::Deliver(vm, _, _)
            | SimEvent::Sending(vm, _, _)
            | SimEvent::SilenceTimer(vm, _, _)
            | SimEvent::TargetReply(vm, _, _, _)
            | SimEvent::CallerArrive(vm, _)
            | SimEvent::Join(vm, _)
            | SimEvent::PeerResponse { vm, .. } => Some(*vm),
            SimEvent::PeerArrive { to, .. } | SimEvent::PeerCancel { to, .. } => Some(*to),
            _ => None,
        }
    }

    fn dispatch(&mut self, sim_event: SimEvent) {
        if let Some(vm) = Self::event_vm(&sim_event)
            && let Some(process) = self.processes.get_mut(&vm)
            && process.paused_until.is_some()
        {
            let waiting = match &sim_event {
                SimEvent::CallerArrive(_, request) => Some(*request),
                _ => None,
            };
            process.deferred.push(sim_event);
            // A paused process cannot respond in time.
            if let Some(request) = waiting {
                self.oracle.excuse(request);
            }
            return;
        }
        match sim_event {
            SimEvent::Tick(vm, incarnation) => self.tick(vm, incarnation),
            SimEvent::Poll(vm, incarnation) => self.poll(vm, incarnation),
            SimEvent::Deliver(vm, incarnation, event) => {
                if self.is_current(vm, incarnation) {
                    self.handle(vm, *event);
                }
            }
            SimEvent::Sending(vm, incarnation, attempt) => {
                if self.is_current(vm, incarnation) {
                    self.send_first_byte(vm, attempt);
                }
            }
            SimEvent::SilenceTimer(vm, incarnation, attempt) => {
                if self.is_current(vm, incarnation) {
                    self.silence_timer(vm, attempt);
                }
            }
            SimEvent::CallerArrive(vm, request) => self.caller_arrives(vm, request),
            SimEvent::TargetArrive(target, vm, incarnation, attempt) => {
                self.target_arrives(target, vm, incarnation, attempt);
            }
            SimEvent::TargetDone(target, run) => self.target_done(target, run),
            SimEvent::TargetReply(vm, incarnation, attempt, run) => {
                if self.is_current(vm, incarnation) {
                    self.target_replies(vm, attempt, run);
                }
            }
            SimEvent::Crash(target, span) => self.crash(target, span),
            SimEvent::Join(vm, incarnation) => {
                if self.is_current(vm, incarnation) {
                    self.join(vm, incarnation);
                }
            }
            SimEvent::CheckRevision(revision) => self.check_revision(revision),
            SimEvent::Fault(fault) => self.apply_fault(&fault),
            SimEvent::Traffic(index) => self.traffic_due(index),
            SimEvent::Resume(vm) => self.resume(vm),
            peer => self.dispatch_peer(peer),
        }
    }

    fn resume(&mut self, vm: VmId) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        if process.paused_until.is_none_or(|until| until > now) {
            return;
        }
        process.paused_until = None;
        self.disturbed_at.insert(vm, now);
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        for sim_event in std::mem::take(&mut process.deferred) {
            self.schedule_at(now, sim_event);
        }
    }

    fn tick(&mut self, vm: VmId, incarnation: Incarnation) {
        if !self.is_current(vm, incarnation) {
            return;
        }
        self.handle(vm, Event::Tick);
        self.end_if_drained(vm);
        if self.processes.keys().next() == Some(&vm) {
            self.check_limits();
        }
        self.schedule_after(TICK, SimEvent::Tick(vm, incarnation));
    }

    /// Checks that no customer has more requests in flight than its concurrency.
    fn check_limits(&mut self) {
        // Borrowed units stay with the borrower for a minute after the lender stops, and a live
        // node takes over the units of a node whose heartbeats are missing.
        const MIN_STABLE_TIME: Duration = Duration::from_secs(70);
        let disrupted = self.links.any_cut()
            || self
                .processes
                .values()
                .any(|process| process.node.is_none());
        if disrupted {
            self.membership_changed_at = self.now;
        }
        if self.now.since(self.membership_changed_at) < MIN_STABLE_TIME
            && self.membership_changed_at.0 > 0
        {
            return;
        }
        let mut sums: BTreeMap<CustomerId, u32> = BTreeMap::new();
        for process in self
            .processes
            .values()
            .filter(|process| process.paused_until.is_none())
        {
            let Some(node) = &process.node else {
                continue;
            };
            for (customer, running) in node.in_flight() {
                *sums.entry(customer).or_default() += running;
            }
        }
        for (customer, sum) in sums {
            let config = self.platform.newest.customers.get(&customer);
            let limit = config.map_or(u32::MAX, |config| config.concurrency);
            if sum > limit {
                self.oracle.record_breach(Breach::OverLimit(sum, limit));
            }
        }
    }

    /// Passes an event to a node and performs the resulting commands.
    pub(crate) fn handle(&mut self, vm: VmId, event: Event) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&vm) else {
            return;
        };
        let local = process.local_time(now);
        let Some(node) = &mut process.node else {
            return;
        };
        let mut commands = Vec::new();
        let event = self.mutation.event(event);
        if self.mutation.accepts_older(&event, process.revision) {
            let id = node.identity();
            *node = Node::new(id, 1, local);
        }
        node.handle(local, event, &mut commands);
        let revision = node.bundle().map_or(0, |bundle| bundle.revision);
        if revision != process.revision {
            let old = std::mem::replace(&mut process.revision, revision);
            if revision < old {
                self.oracle
                    .record_breach(Breach::Reverted(vm, old, revision));
            }
            self.applied_at.entry((revision, vm)).or_insert(now);
        }
        for command in commands {
            self.perform(vm, command);
        }
    }

    /// Returns the regions in which a node's configuration allows a request to run.
    fn allowed(&self, vm: VmId, customer: CustomerId, service: ServiceId) -> BTreeSet<RegionId> {
        let bundle = self
            .node(vm)
            .and_then(Node::bundle)
            .unwrap_or(&self.platform.newest);
        let configs = bundle
            .services
            .get(&service)
            .zip(bundle.customers.get(&customer));
        configs.map_or_else(BTreeSet::new, |(service, customer)| {
            bundle.allowed_regions(service, customer)
        })
    }

    fn has_cancel(commands: &[Command], key: AttemptKey) -> bool {
        commands
            .iter()
            .any(|command| matches!(command, Command::Cancel(other) if *other == key))
    }
}
