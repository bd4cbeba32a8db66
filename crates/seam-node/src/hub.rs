//! The tables that every worker shares, and the one way to change the decision state.
//!
//! Lock order: `core`, then `snapshot`, then `routes`, then the trail's and the store's locks. A
//! holder of a later lock never takes an earlier one. Commands are carried out under `core`, so
//! those of one request keep their order; carrying one out only hands it to a channel or task.

use seam_http::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use async_channel::Sender;
use seam_config::Settings;
use seam_config::settings::Secrets;
use seam_core::placement::Order;
use seam_core::spill::Weighed;
use seam_core::targets::Grounds;
use seam_core::{AttemptKey, Command, Event, Node, Refusal, Ticket};
use seam_protocol::{
    Bundle, CustomerId, Digest, Heartbeat, ServiceId, StoredAnswer, TargetId, Time, VmId,
};

use crate::budget::ByteBudget;
use crate::clock::Clock;
use crate::dialect::{DefaultDialect, Dialect};
use crate::item_store::ItemStore;
use crate::metrics::Metrics;
use crate::peer_connections::PeerConnections;
use crate::pool::Pool;
use crate::store::BundleStore;
use crate::trail::AuditTrail;

/// The bundle in force with the index of its credentials.
#[derive(Debug)]
pub struct Snapshot {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// Customers by the digest of a token.
    pub credentials: BTreeMap<Digest, CustomerId>,
}

impl Snapshot {
    fn new(bundle: Arc<Bundle>) -> Self {
        let credentials = bundle
            .customers
            .iter()
            .flat_map(|(id, customer)| customer.credentials.iter().map(|digest| (*digest, *id)))
            .collect();
        Self {
            bundle,
            credentials,
        }
    }
}

/// What the task of a request is told.
#[derive(Clone, Debug)]
pub enum TaskCommand {
    /// Log what the placement was decided by.
    Weighed(Weighed),
    /// Try a target.
    Send(TargetAttempt),
    /// Try a node.
    Forward(NodeAttempt),
    /// Stop an attempt.
    Cancel(AttemptKey),
    /// Answer with a refusal.
    Refuse(Refusal),
    /// Answer with a kept answer.
    Replay(Arc<StoredAnswer>),
    /// Nothing more follows.
    Done,
}

/// An attempt at a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Longest time without progress.
    pub silence: std::time::Duration,
    /// The caller's deadline.
    pub deadline: Time,
    /// Whether to keep the answer.
    pub keep: bool,
    /// A target from which it can copy the parts of the prompt that it lacks.
    pub copy_from: Option<SocketAddr>,
    /// What the target was chosen by.
    pub grounds: Grounds,
}

/// An attempt at another node.
#[derive(Clone, Debug)]
pub struct NodeAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Its address.
    pub address: SocketAddr,
    /// Path of the request.
    pub hops: Vec<seam_core::Hop>,
    /// Revision by which it was routed.
    pub revision: u64,
    /// Time until the deadline.
    pub budget: std::time::Duration,
}

/// Something to be done outside any request.
#[derive(Debug)]
pub enum Job {
    /// Send a heartbeat.
    Heartbeat(SocketAddr, Box<Heartbeat>),
    /// Try a fresh connection.
    Probe(TargetId, SocketAddr),
    /// Ask a peer for its newest revision.
    FetchBundle(VmId, SocketAddr),
    /// Ask a peer for the items that changed since a revision.
    FetchItems(SocketAddr, u64),
    /// Give an order.
    Order(SocketAddr, Order, u64),
}

/// What every part of the process shares.
#[derive(Debug)]
pub struct Hub {
    core: Mutex<Node>,
    snapshot: RwLock<Option<Arc<Snapshot>>>,
    request_channels: Mutex<BTreeMap<Ticket, Sender<TaskCommand>>>,
    attempts: Mutex<BTreeMap<AttemptKey, Ticket>>,
    jobs: Sender<Job>,
    clock: Clock,
    tickets: AtomicU64,
    /// The node's settings.
    pub settings: RwLock<Arc<Settings>>,
    /// The audit trail.
    pub audit_trail: AuditTrail,
    /// Parts of bundles.
    pub store: BundleStore,
    /// Connections to targets.
    pub pool: Pool,
    /// Connections to other nodes.
    pub peers: PeerConnections,
    /// Memory of request bodies.
    pub body_memory: ByteBudget,
    /// Counters.
    pub metrics: Metrics,
    /// How callers and targets speak.
    pub dialect: Arc<dyn Dialect>,
    /// The store of single items, where the platform has one.
    pub items: Option<Arc<dyn ItemStore>>,
}

/// What connects a node with a platform.
#[derive(Clone, Debug)]
pub struct PlatformAdapter {
    /// How callers and targets speak.
    pub dialect: Arc<dyn Dialect>,
    /// The store of single items, where the platform has one.
    pub items: Option<Arc<dyn ItemStore>>,
    /// Regions and links of a deployment whose configuration is not published as a whole.
    pub base_bundle: Option<Bundle>,
}

impl Default for PlatformAdapter {
    fn default() -> Self {
        Self {
            dialect: Arc::new(DefaultDialect),
            items: None,
            base_bundle: None,
        }
    }
}

impl Hub {
    /// Makes a hub and the receiver of its errands.
    #[must_use]
    pub fn new(
        settings: Settings,
        node: Node,
        wiring: PlatformAdapter,
    ) -> (Arc<Self>, async_channel::Receiver<Job>) {
        let (jobs, receiver) = async_channel::unbounded();
        let hub = Self {
            core: Mutex::new(node),
            snapshot: RwLock::new(None),
            request_channels: Mutex::default(),
            attempts: Mutex::default(),
            jobs,
            clock: Clock::start(),
            tickets: AtomicU64::new(0),
            peers: PeerConnections::new(&settings.secrets.fleet),
            audit_trail: AuditTrail::default(),
            store: BundleStore::default(),
            pool: Pool::default(),
            body_memory: ByteBudget::new(settings.body_memory),
            settings: RwLock::new(Arc::new(settings)),
            metrics: Metrics::new(),
            dialect: wiring.dialect,
            items: wiring.items,
        };
        (Arc::new(hub), receiver)
    }

    /// Returns the time on this process's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a new name for a request.
    #[must_use]
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        seam_http::sync::read(&self.settings).clone()
    }

    /// Returns the secrets in force.
    #[must_use]
    pub fn secrets(&self) -> Secrets {
        self.settings().secrets.clone()
    }

    /// Returns the bundle in force with its index.
    #[must_use]
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        seam_http::sync::read(&self.snapshot).clone()
    }

    /// Reads from the decision state.
    pub fn read<T>(&self, look: impl FnOnce(&Node, Time) -> T) -> T {
        let core = lock(&self.core);
        look(&core, self.now())
    }

    /// Changes the decision state otherwise than by an event.
    pub fn update<T>(&self, update: impl FnOnce(&mut Node, Time) -> T) -> T {
        let mut core = lock(&self.core);
        let now = self.now();
        update(&mut core, now)
    }

    /// Hands an event to the decisions and carries out what follows.
    pub fn handle(&self, event: Event) {
        self.decide(event, |_| true);
    }

    /// Hands an event to the decisions and carries out those commands that are wanted.
    fn decide(&self, event: Event, mut wanted: impl FnMut(&Command) -> bool) {
        let mut core = lock(&self.core);
        let now = self.now();
        let mut commands = Vec::new();
        core.handle(now, event, &mut commands);
        self.refresh_snapshot(&core);
        for command in commands {
            if wanted(&command) {
                self.execute(command);
            }
        }
    }

    /// Asks for leave to send the first byte of an attempt.
    #[must_use]
    pub fn may_send(&self, attempt: AttemptKey) -> bool {
        let mut leave = true;
        self.decide(Event::Sending(attempt), |command| {
            let stop = matches!(command, Command::Cancel(key) if *key == attempt);
            leave &= !stop;
            !stop
        });
        leave
    }

    /// Asks whether a target's answer is to be dropped since the request is tried again.
    #[must_use]
    pub fn should_discard(&self, attempt: AttemptKey) -> bool {
        let mut drop = false;
        self.decide(Event::Faulty(attempt), |command| {
            let discard = matches!(command, Command::Discard(key) if *key == attempt);
            drop |= discard;
            !discard
        });
        drop
    }

    /// Rebuilds the index of credentials when another bundle came into force.
    fn refresh_snapshot(&self, core: &Node) {
        let Some(bundle) = core.bundle() else {
            return;
        };
        let held = self.snapshot();
        let same = held.is_some_and(|held| Arc::ptr_eq(&held.bundle, bundle));
        if !same {
            let snapshot = Arc::new(Snapshot::new(bundle.clone()));
            *seam_http::sync::write(&self.snapshot) = Some(snapshot);
        }
    }

    /// Registers the task of a request.
    pub fn register(&self, ticket: Ticket, sender: Sender<TaskCommand>) {
        let mut request_channels = lock(&self.request_channels);
        request_channels.insert(ticket, sender);
    }

    fn notify(&self, ticket: Ticket, command: TaskCommand) {
        let request_channels = lock(&self.request_channels);
        if let Some(sender) = request_channels.get(&ticket) {
            let _ = sender.try_send(command);
        }
    }

    fn execute(&self, command: Command) {
        match command {
            Command::Send {
                ticket,
                attempt,
                target,
                service,
                address,
                silence,
                budget,
                keep,
                copy_from,
                grounds,
            } => {
                self.record_attempt(attempt, ticket);
                let deadline = self.now() + budget;
                let to = TargetAttempt {
                    attempt,
                    target,
                    service,
                    address,
                    silence,
                    deadline,
                    keep,
                    copy_from,
                    grounds,
                };
                self.notify(ticket, TaskCommand::Send(to));
            }
            Command::Weighed { ticket, weighed } => {
                self.notify(ticket, TaskCommand::Weighed(weighed));
            }
            Command::Forward {
                ticket,
                attempt,
                vm: _,
                address,
                hops,
                revision,
                budget,
            } => {
                self.record_attempt(attempt, ticket);
                let to = NodeAttempt {
                    attempt,
                    address,
                    hops,
                    revision,
                    budget,
                };
                self.notify(ticket, TaskCommand::Forward(to));
            }
            Command::Refuse { ticket, refusal } => {
                self.metrics.refused(refusal);
                self.notify(ticket, TaskCommand::Refuse(refusal));
            }
            Command::Replay { ticket, answer } => self.notify(ticket, TaskCommand::Replay(answer)),
            Command::Cancel(attempt) => {
                let attempts = lock(&self.attempts);
                let ticket = attempts.get(&attempt).copied();
                drop(attempts);
                if let Some(ticket) = ticket {
                    self.notify(ticket, TaskCommand::Cancel(attempt));
                }
            }
            Command::Done(ticket) => {
                self.notify(ticket, TaskCommand::Done);
                lock(&self.request_channels).remove(&ticket);
            }
            Command::Probe { target, address } => self.enqueue(Job::Probe(target, address)),
            Command::Beat { address, beat, .. } => self.enqueue(Job::Heartbeat(address, beat)),
            Command::Pull { address, since, .. } => self.enqueue(Job::FetchItems(address, since)),
            Command::Discard(_) => {}
            Command::Fetch { from, address } => self.enqueue(Job::FetchBundle(from, address)),
            Command::Order {
                address,
                order,
                fence,
                ..
            } => self.enqueue(Job::Order(address, order, fence)),
            Command::Audit(audit) => self.audit_trail.append(audit),
        }
    }

    fn enqueue(&self, job: Job) {
        let _ = self.jobs.try_send(job);
    }

    fn record_attempt(&self, attempt: AttemptKey, ticket: Ticket) {
        let mut attempts = lock(&self.attempts);
        attempts.insert(attempt, ticket);
    }

    /// Forgets an attempt that has ended.
    pub fn forget_attempt(&self, attempt: AttemptKey) {
        lock(&self.attempts).remove(&attempt);
    }
}
