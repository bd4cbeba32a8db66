//! The state shared by all tasks of the process, and the only way to change the state of the decision
//! core.
//!
//! Lock order: `core`, then `snapshot`, then `request_channels`, then the locks of the audit trail
//! and the bundle store. A holder of a later lock never takes an earlier one. No other lock is taken
//! while `attempts` is held. Commands are executed under the `core` lock, so the commands of one
//! request keep their order. Executing a command only passes it to a channel or task.

use seam_http::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use async_channel::Sender;
use http::StatusCode;
use seam_config::Settings;
use seam_config::settings::Secrets;
use seam_core::command::{OriginSource, Withheld};
use seam_core::config_version::ConfigChange;
use seam_core::placement::Order;
use seam_core::spill::RoutingDecision;
use seam_core::store_call::StoreChange;
use seam_core::targets::TargetEstimate;
use seam_core::{
    AttemptKey, Command, ConfigStamp, ConfigVersion, Event, Node, Refusal, Source, Ticket,
};
use seam_protocol::{
    Bundle, CustomerId, Digest, Heartbeat, Reason, ServiceId, StoredResponse, TargetId, TenantId,
    Time, VersionId, VmId, tenant,
};

use crate::allowances;
use crate::budget::ByteBudget;
use crate::clock::Clock;
use crate::config_log;
use crate::dependency::Dependency;
use crate::dialect::{DefaultDialect, Dialect};
use crate::item_store::ItemStore;
use crate::metrics::Metrics;
use crate::peer_connections::PeerConnections;
use crate::pool::Pool;
use crate::store::BundleStore;
use crate::trail::AuditTrail;
use crate::transfers::TransferPacer;
use crate::unconfirmed::{Unconfirmed, UnconfirmedAlarm};

/// The active bundle with indexes of its credentials and API keys.
#[derive(Debug)]
pub struct Snapshot {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// Customers by the digest of their tokens.
    pub credentials: BTreeMap<Digest, CustomerId>,
    /// Tenants by the digest of their API keys.
    pub api_keys: BTreeMap<Digest, TenantId>,
    /// The configuration from which the bundle was built.
    pub config: ConfigVersion,
}

impl Snapshot {
    fn new(bundle: Arc<Bundle>, config: ConfigVersion) -> Self {
        let credentials = bundle
            .customers
            .iter()
            .flat_map(|(id, customer)| customer.credentials.iter().map(|digest| (*digest, *id)))
            .collect();
        Self {
            api_keys: tenant::keys(&bundle.tenants),
            bundle,
            credentials,
            config,
        }
    }
}

/// A command to the task of a request.
#[derive(Clone, Debug)]
pub enum TaskCommand {
    /// Log the basis of the routing decision.
    LogRouting(RoutingDecision),
    /// Log which version began the stream that the request takes up.
    LogOrigin(Option<VersionId>, OriginSource),
    /// Log why an attempt is not sent.
    LogWithheld(AttemptKey, Withheld),
    /// Send the request to a target.
    Send(TargetAttempt),
    /// Forward the request to another node.
    Forward(NodeAttempt),
    /// Cancel an attempt.
    Cancel(AttemptKey),
    /// Respond with a refusal, decided while this configuration was in force.
    Refuse(Refusal, ConfigStamp),
    /// Respond with the stored response of an earlier request with the same key.
    Replay(Arc<StoredResponse>),
    /// No more commands follow.
    Done,
}

/// An attempt at a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The target.
    pub target: TargetId,
    /// The target's service.
    pub service: ServiceId,
    /// The target's address.
    pub address: SocketAddr,
    /// Time without progress after which the attempt counts as silent.
    pub silence: std::time::Duration,
    /// Deadline of the request.
    pub deadline: Time,
    /// Whether to store the response for repeats of the request.
    pub keep_response: bool,
    /// A target from which it can copy the prompt parts that it lacks.
    pub copy_from: Option<SocketAddr>,
    /// The estimate by which the target was chosen.
    pub estimate: TargetEstimate,
    /// Version of the target's software.
    pub version: VersionId,
}

/// An attempt at another node.
#[derive(Clone, Debug)]
pub struct NodeAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The node's address.
    pub address: SocketAddr,
    /// Nodes that the request has passed.
    pub hops: Vec<seam_core::Hop>,
    /// Revision of the configuration by which it was routed.
    pub revision: u64,
    /// Version of the targets' software that alone may go on with its stream.
    pub version: Option<VersionId>,
    /// Time until the deadline.
    pub budget: std::time::Duration,
}

/// A background job that belongs to no request.
#[derive(Debug)]
pub enum Job {
    /// Send a heartbeat.
    Heartbeat(SocketAddr, Box<Heartbeat>),
    /// Test whether a target accepts a new connection, again for a while if connections hang.
    Probe(TargetId, SocketAddr, std::time::Duration),
    /// Ask a target of a service for its health.
    CheckHealth(TargetId, ServiceId, SocketAddr),
    /// Fetch the newest bundle from a peer.
    FetchBundle(VmId, SocketAddr),
    /// Fetch the items that changed since a revision from a peer.
    FetchItems(VmId, SocketAddr, u64, Source),
    /// Send an order with its fencing number to an engine.
    Order(SocketAddr, Order, u64),
}

/// The state that all parts of the process share.
#[derive(Debug)]
pub struct NodeRuntime {
    core: Mutex<Node>,
    snapshot: RwLock<Option<Arc<Snapshot>>>,
    request_channels: Mutex<BTreeMap<Ticket, Sender<TaskCommand>>>,
    attempts: Mutex<BTreeMap<AttemptKey, Ticket>>,
    jobs: Sender<Job>,
    clock: Clock,
    tickets: AtomicU64,
    unconfirmed_alarm: Mutex<UnconfirmedAlarm>,
    /// The node's settings.
    pub settings: RwLock<Arc<Settings>>,
    /// The audit trail.
    pub audit_trail: AuditTrail,
    /// Manifest and parts of the active bundle.
    pub store: BundleStore,
    /// Connections to targets.
    pub pool: Pool,
    /// Connections to other nodes.
    pub peers: PeerConnections,
    /// Limit of the items that are sent to other nodes at once.
    pub transfers: Mutex<TransferPacer>,
    /// Memory for request bodies.
    pub body_memory: ByteBudget,
    /// Metrics.
    pub metrics: Metrics,
    /// The HTTP conventions with callers and targets.
    pub dialect: Arc<dyn Dialect>,
    /// The store of configuration items, if the platform has one.
    pub items: Option<Arc<dyn ItemStore>>,
    /// The peers from which items are fetched.
    pub(crate) item_peers: Mutex<Dependency>,
}

/// The parts of a node that depend on the platform.
#[derive(Clone, Debug)]
pub struct PlatformAdapter {
    /// The HTTP conventions with callers and targets.
    pub dialect: Arc<dyn Dialect>,
    /// The store of configuration items, if the platform has one.
    pub items: Option<Arc<dyn ItemStore>>,
    /// The regions and the links between them, for a platform that publishes items instead of
    /// bundles.
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

impl NodeRuntime {
    /// Creates a node runtime and the receiver of its background jobs.
    #[must_use]
    pub fn new(
        settings: Settings,
        node: Node,
        adapter: PlatformAdapter,
    ) -> (Arc<Self>, async_channel::Receiver<Job>) {
        let (jobs, receiver) = async_channel::unbounded();
        let runtime = Self {
            core: Mutex::new(node),
            snapshot: RwLock::new(None),
            request_channels: Mutex::default(),
            attempts: Mutex::default(),
            jobs,
            clock: Clock::start(),
            tickets: AtomicU64::new(0),
            unconfirmed_alarm: Mutex::default(),
            peers: PeerConnections::new(&settings.secrets.fleet),
            audit_trail: AuditTrail::default(),
            store: BundleStore::default(),
            pool: Pool::default(),
            transfers: Mutex::default(),
            body_memory: ByteBudget::new(settings.body_memory),
            settings: RwLock::new(Arc::new(settings)),
            metrics: Metrics::new(),
            dialect: adapter.dialect,
            items: adapter.items,
            item_peers: Mutex::new(Dependency::new("peers with items")),
        };
        (Arc::new(runtime), receiver)
    }

    /// Returns the time of the process's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a new ticket, which identifies a request in this process.
    #[must_use]
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns the current settings.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        seam_http::sync::read(&self.settings).clone()
    }

    /// Returns the current secrets.
    #[must_use]
    pub fn secrets(&self) -> Secrets {
        self.settings().secrets.clone()
    }

    /// Returns the active bundle with its index.
    #[must_use]
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        seam_http::sync::read(&self.snapshot).clone()
    }

    /// Reads from the state of the decision core.
    pub fn read<T>(&self, read: impl FnOnce(&Node, Time) -> T) -> T {
        let core = lock(&self.core);
        read(&core, self.now())
    }

    /// Changes the state of the decision core other than by an event.
    pub fn update<T>(&self, update: impl FnOnce(&mut Node, Time) -> T) -> T {
        let mut core = lock(&self.core);
        let now = self.now();
        update(&mut core, now)
    }

    /// Passes an event to the decision core and executes the resulting commands.
    pub fn handle(&self, event: Event) {
        self.handle_filtered(event, |_| true);
    }

    /// Passes an event to the decision core and executes the resulting commands that `filter`
    /// accepts.
    fn handle_filtered(&self, event: Event, mut filter: impl FnMut(&Command) -> bool) {
        let mut core = lock(&self.core);
        let now = self.now();
        let mut commands = Vec::new();
        core.handle(now, event, &mut commands);
        self.refresh_snapshot(&core);
        for command in commands {
            if filter(&command) {
                self.execute(command, core.config_stamp(now));
            }
        }
    }

    /// Asks the decision core whether the first byte of an attempt may be sent now.
    #[must_use]
    pub fn may_send(&self, attempt: AttemptKey) -> bool {
        let mut allowed = true;
        self.handle_filtered(Event::Sending(attempt), |command| {
            let cancelled = matches!(command, Command::Cancel(key) if *key == attempt);
            allowed &= !cancelled;
            !cancelled
        });
        allowed
    }

    /// Returns whether to discard a target's response because the request is retried.
    #[must_use]
    pub fn should_discard(&self, attempt: AttemptKey) -> bool {
        let mut discarded = false;
        self.handle_filtered(Event::ErrorResponse(attempt), |command| {
            let is_discard = matches!(command, Command::Discard(key) if *key == attempt);
            discarded |= is_discard;
            !is_discard
        });
        discarded
    }

    /// Rebuilds the indexes of credentials and API keys if another bundle has become active.
    fn refresh_snapshot(&self, core: &Node) {
        let Some(bundle) = core.bundle() else {
            return;
        };
        let current = self.snapshot();
        let unchanged = current.is_some_and(|current| Arc::ptr_eq(&current.bundle, bundle));
        if !unchanged {
            let snapshot = Arc::new(Snapshot::new(bundle.clone(), core.config_version()));
            *seam_http::sync::write(&self.snapshot) = Some(snapshot);
        }
    }

    /// Returns the stamp of a decision by a configuration. What is known of the one in force is added to its
    /// own stamp only.
    pub(crate) fn config_stamp(&self, version: ConfigVersion) -> ConfigStamp {
        self.read(|node, now| {
            if node.config_version() == version {
                node.config_stamp(now)
            } else {
                version.stamp(now)
            }
        })
    }

    /// Counts a refusal by a configuration that the store has not shown for some time, and logs it once in a
    /// while with what this node claims to know.
    pub(crate) fn note_refusal(&self, status: StatusCode, reason: Reason, config: &ConfigStamp) {
        let observed = lock(&self.unconfirmed_alarm).observe(self.now(), reason, config);
        let Some(unconfirmed) = observed else {
            return;
        };
        self.metrics.refused_unconfirmed(reason);
        if let Unconfirmed::Logged { skipped } = unconfirmed {
            let revisions = self.read(|node, _| (node.items_revision(), node.store_revision()));
            config_log::log_unconfirmed(config, (status, reason), revisions, skipped);
        }
    }

    /// Registers the command channel of a request.
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

    fn execute(&self, command: Command, config: ConfigStamp) {
        match command {
            Command::Send {
                ticket,
                attempt,
                target,
                service,
                address,
                silence,
                budget,
                keep_response,
                copy_from,
                estimate,
                version,
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
                    keep_response,
                    copy_from,
                    estimate,
                    version,
                };
                self.notify(ticket, TaskCommand::Send(to));
            }
            Command::LogRouting { ticket, decision } => {
                self.notify(ticket, TaskCommand::LogRouting(decision));
            }
            Command::LogOrigin {
                ticket,
                version,
                source,
            } => self.notify(ticket, TaskCommand::LogOrigin(version, source)),
            Command::LogWithheld {
                ticket,
                attempt,
                reason,
            } => {
                self.metrics.withheld(reason);
                self.notify(ticket, TaskCommand::LogWithheld(attempt, reason));
            }
            Command::Forward {
                ticket,
                attempt,
                vm: _,
                address,
                hops,
                revision,
                version,
                budget,
            } => {
                self.record_attempt(attempt, ticket);
                let to = NodeAttempt {
                    attempt,
                    address,
                    hops,
                    revision,
                    version,
                    budget,
                };
                self.notify(ticket, TaskCommand::Forward(to));
            }
            Command::Refuse { ticket, refusal } => {
                self.metrics.refused(refusal);
                if refusal.reason.by_configuration() {
                    self.metrics.refused_by_config(refusal.reason);
                }
                self.notify(ticket, TaskCommand::Refuse(refusal, config));
            }
            Command::Replay { ticket, response } => {
                self.notify(ticket, TaskCommand::Replay(response));
            }
            Command::Cancel(attempt) => self.cancel(attempt),
            Command::Done(ticket) => {
                self.notify(ticket, TaskCommand::Done);
                lock(&self.request_channels).remove(&ticket);
            }
            Command::Discard(_) => {}
            Command::Probe { .. }
            | Command::CheckHealth { .. }
            | Command::Heartbeat { .. }
            | Command::FetchItems { .. }
            | Command::FetchManifest { .. }
            | Command::Order { .. } => self.enqueue(command),
            Command::LogConfig(change) => self.log_change(&change),
            Command::LogDifference(difference) => config_log::log_difference(&difference),
            Command::LogAllowance(event) => allowances::log_event(&event),
            Command::LogAdmission { admits, age } => {
                config_log::log_admission(config, admits, age);
            }
            Command::LogStore(change) => self.log_store_change(&change),
            Command::Audit(audit) => self.audit_trail.append(audit),
        }
    }

    fn log_change(&self, change: &ConfigChange) {
        self.metrics.config_changed(change);
        config_log::log_change(change);
    }

    fn log_store_change(&self, change: &StoreChange) {
        self.metrics.store_changed(change);
        config_log::log_store(change);
    }

    fn cancel(&self, attempt: AttemptKey) {
        let attempts = lock(&self.attempts);
        let ticket = attempts.get(&attempt).copied();
        drop(attempts);
        if let Some(ticket) = ticket {
            self.notify(ticket, TaskCommand::Cancel(attempt));
        }
    }

    /// Queues the job of a command that belongs to no request.
    fn enqueue(&self, command: Command) {
        let job = match command {
            Command::Probe {
                target,
                address,
                patience,
            } => Job::Probe(target, address, patience),
            Command::CheckHealth {
                target,
                service,
                address,
            } => Job::CheckHealth(target, service, address),
            Command::Heartbeat {
                address, heartbeat, ..
            } => Job::Heartbeat(address, heartbeat),
            Command::FetchItems {
                from,
                address,
                since,
                source,
            } => Job::FetchItems(from, address, since, source),
            Command::FetchManifest { from, address } => Job::FetchBundle(from, address),
            Command::Order {
                address,
                order,
                fence,
                ..
            } => Job::Order(address, order, fence),
            _ => return,
        };
        let _ = self.jobs.try_send(job);
    }

    fn record_attempt(&self, attempt: AttemptKey, ticket: Ticket) {
        let mut attempts = lock(&self.attempts);
        attempts.insert(attempt, ticket);
    }

    /// Removes an attempt that has ended.
    pub fn forget_attempt(&self, attempt: AttemptKey) {
        lock(&self.attempts).remove(&attempt);
    }
}
