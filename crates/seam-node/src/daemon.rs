//! The lifecycle of the process: starting, serving and draining.

use std::marker::PhantomData;
use std::path::Path;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use seam_config::Settings;
use seam_config::settings::{Items, Listen, Source};
use seam_core::event::Drainable;
use seam_core::node::TICK;
use seam_core::{Event, Identity, Node};
use seam_http::{Listener, Stop, spawn};
use seam_protocol::{CentreId, Incarnation, RegionId, Vm, VmId};
use snafu::{ResultExt, Snafu};

use crate::health;
use crate::heartbeats::HeartbeatSocket;
use crate::items;
use crate::pool;
use crate::runtime::{Job, NodeRuntime, PlatformAdapter};
use crate::verification;
use crate::watch::HttpPlatform;
use crate::{admin, front, link, peer_server, polls, watch};

/// Interval at which a drain checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the drain limit at which requests in flight get their final response.
const DRAIN_MARGIN: Duration = Duration::from_millis(600);
/// Time from then on in which the last bytes of responses leave.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// An error that prevents a node from starting.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// What the address is used for.
        purpose: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
}

/// Phase before the addresses are bound.
#[derive(Debug)]
pub struct Starting;
/// Phase in which requests are served.
#[derive(Debug)]
pub struct Serving;
/// Phase in which new requests are refused and requests in flight are finished.
#[derive(Debug)]
pub struct Draining;

/// The process of a node in one phase of its lifecycle.
#[derive(Debug)]
pub struct Daemon<Phase> {
    runtime: Arc<NodeRuntime>,
    jobs: Receiver<Job>,
    stop: Stop,
    tasks: Vec<Task<()>>,
    /// The addresses. They are the bound ones once the node serves.
    pub listen: Listen,
    phase: PhantomData<Phase>,
}

impl Daemon<Starting> {
    /// Creates a node with the default platform adapter.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self::with_platform(settings, PlatformAdapter::default())
    }

    /// Creates a node with a platform adapter.
    #[must_use]
    pub fn with_platform(settings: Settings, platform_adapter: PlatformAdapter) -> Self {
        let incarnation = new_incarnation();
        let id = Identity {
            vm: VmId::of(&settings.name),
            region: RegionId::of(&settings.region),
            incarnation,
        };
        let listen = settings.listen;
        let start = seam_protocol::Time(0);
        let mut node = Node::new(id, incarnation.0, start);
        if let Some(base_bundle) = platform_adapter.base_bundle.clone() {
            let this_vm = Vm {
                name: settings.name.clone(),
                region: id.region,
                centre: CentreId::of(&settings.centre),
                caller: listen.caller,
                peer: listen.peer,
                weight: match &settings.source {
                    Source::Items(items) => Items::weight(items.cores, items.link_mbps),
                    Source::Bundles(_) => Vm::DEFAULT_WEIGHT,
                },
            };
            node.join(start, this_vm, settings.seeds.clone(), base_bundle);
        }
        let (runtime, jobs) = NodeRuntime::new(settings, node, platform_adapter);
        Self {
            runtime,
            jobs,
            stop: Stop::default(),
            tasks: Vec::new(),
            listen,
            phase: PhantomData,
        }
    }

    /// Binds the addresses and starts to serve requests.
    ///
    /// # Errors
    /// [`DaemonError::Bind`] for an address that cannot be bound.
    pub fn serve(mut self) -> Result<Daemon<Serving>, DaemonError> {
        let caller = bind(self.listen.caller, "callers")?;
        let admin = bind(self.listen.admin, "the administration API")?;
        let peer = bind(self.listen.peer, "other nodes")?;
        self.listen = Listen {
            caller: caller.address,
            peer: peer.address,
            admin: admin.address,
        };
        let address = peer.address;
        let purpose = "heartbeats";
        let heartbeats = HeartbeatSocket::bind(address).context(BindSnafu { address, purpose })?;
        self.start(caller, peer, admin, Arc::new(heartbeats));
        self.start_source()?;
        Ok(Daemon {
            runtime: self.runtime,
            jobs: self.jobs,
            stop: self.stop,
            tasks: self.tasks,
            listen: self.listen,
            phase: PhantomData,
        })
    }

    fn start(
        &mut self,
        caller: Listener,
        peer: Listener,
        admin: Listener,
        heartbeats: Arc<HeartbeatSocket>,
    ) {
        let runtime = &self.runtime;
        let stop = || self.stop.clone();
        let receiver = heartbeats.clone();
        let receiver_runtime = runtime.clone();
        let tasks = vec![
            spawn(front::serve_callers(runtime.clone(), caller, stop())),
            spawn(peer_server::serve_peers(runtime.clone(), peer, stop())),
            spawn(admin::serve_admin(runtime.clone(), admin, stop())),
            spawn(async move { receiver.receive(&receiver_runtime).await }),
            spawn(run_jobs(runtime.clone(), self.jobs.clone(), heartbeats)),
            spawn(tick(runtime.clone())),
        ];
        self.tasks = tasks;
    }

    /// Starts the tasks that follow the platform's configuration.
    fn start_source(&mut self) -> Result<(), DaemonError> {
        let runtime = &self.runtime;
        let seed = runtime.read(|node, _| node.identity().incarnation.0);
        match &runtime.settings().source {
            Source::Bundles(source) => {
                let platform = HttpPlatform {
                    config: source.config,
                    vms: source.vms,
                    directory: source.directory,
                };
                self.tasks.extend([
                    spawn(watch::watch_config(runtime.clone(), platform, seed)),
                    spawn(watch::watch_vms(runtime.clone(), platform, seed)),
                    spawn(watch::watch_directory(runtime.clone(), platform)),
                    spawn(polls::poll_targets(runtime.clone())),
                    spawn(join(runtime.clone())),
                ]);
            }
            Source::Items(source) => {
                let readiness = bind(source.readiness, "the readiness check")?;
                let stop = self.stop.clone();
                let server = front::serve_readiness(runtime.clone(), readiness, stop);
                self.tasks.push(spawn(server));
                if let Some(address) = source.directory {
                    let directory = bind(address, "the directory")?;
                    let stop = self.stop.clone();
                    let server = front::serve_directory(runtime.clone(), directory, stop);
                    self.tasks.push(spawn(server));
                }
                if let Some(store) = &runtime.items {
                    let follow = items::follow(runtime.clone(), store.clone(), seed);
                    self.tasks.push(spawn(follow));
                    let verify = verification::verify(runtime.clone(), store.clone());
                    self.tasks.push(spawn(verify));
                }
            }
        }
        Ok(())
    }
}

impl<Phase> Daemon<Phase> {
    /// Returns the shared state.
    #[must_use]
    pub fn runtime(&self) -> &Arc<NodeRuntime> {
        &self.runtime
    }

    /// Returns the time from the start of a drain to the final responses of what it still holds.
    fn drain_time(&self) -> Duration {
        let limit = self.runtime.settings().drain_limit;
        limit.saturating_sub(DRAIN_MARGIN)
    }

    /// Cancels all tasks at once, as a crash would.
    pub fn abort(self) {
        drop(self.tasks);
    }
}

impl Daemon<Serving> {
    /// Starts a drain: new requests are refused from now on.
    #[must_use]
    pub fn drain(self, actor: &str) -> Daemon<Draining> {
        self.runtime.handle(Event::Drain {
            what: Drainable::Node,
            on: true,
            actor: actor.to_owned(),
        });
        self.runtime.handle(Event::EndsIn(self.drain_time()));
        Daemon {
            runtime: self.runtime,
            jobs: self.jobs,
            stop: self.stop,
            tasks: self.tasks,
            listen: self.listen,
            phase: PhantomData,
        }
    }

    /// Reloads the settings that can change at run time: the tokens of the administration API, the
    /// drain limit and the logs.
    pub fn reload(&self, path: &Path) {
        match seam_config::settings::load(path) {
            Ok(reloaded) => {
                let mut settings = (*self.runtime.settings()).clone();
                settings.secrets.operate = reloaded.secrets.operate;
                settings.secrets.read = reloaded.secrets.read;
                settings.drain_limit = reloaded.drain_limit;
                settings.log = reloaded.log;
                crate::logs::set_level(&settings.log);
                *seam_http::sync::write(&self.runtime.settings) = Arc::new(settings);
                log::info!("settings reloaded from {}", path.display());
            }
            Err(error) => {
                log::error!("cannot reload the settings; keeping the current ones: {error}");
            }
        }
    }
}

impl Daemon<Draining> {
    /// Waits until no request is in flight and every response has left, the drain limit passes, or
    /// `abort` completes. Returns the number of requests that are aborted.
    pub async fn finish(self, abort: impl Future<Output = ()>) -> usize {
        let end = Instant::now() + self.drain_time();
        let runtime = self.runtime.clone();
        let drained = async {
            while !runtime.read(seam_core::Node::drained) {
                Timer::after(DRAIN_POLL_INTERVAL).await;
            }
        };
        let timeout = async {
            Timer::at(end).await;
        };
        let mut abort = pin!(abort);
        let aborted = async {
            abort.as_mut().await;
            true
        };
        let ended = async {
            drained.or(timeout).await;
            false
        };
        let aborted = ended.or(aborted).await;
        let unfinished = self.runtime.read(|node, _| node.held_requests());
        if unfinished > 0 {
            log::warn!("{unfinished} requests in flight were aborted at the end of the drain");
        }
        self.runtime.handle(Event::DrainOver);
        let flush_end = Instant::now() + FLUSH_TIME;
        let cut = aborted || unfinished > 0;
        let flush_end = if cut { flush_end } else { flush_end.max(end) };
        self.stop.stop_by(flush_end);
        let timeout = async {
            Timer::at(flush_end).await;
        };
        let flushed = self.stop.closed().or(timeout);
        if aborted {
            flushed.await;
        } else {
            flushed.or(abort).await;
        }
        unfinished
    }
}

fn bind(address: std::net::SocketAddr, purpose: &'static str) -> Result<Listener, DaemonError> {
    Listener::bind(address).context(BindSnafu { address, purpose })
}

/// Returns a number for this boot. It mixes the clock with the process ID and a memory address, so
/// boots of one VM differ even if its clock is set back.
fn new_incarnation() -> Incarnation {
    let clock = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64);
    let process = u64::from(std::process::id());
    let allocation = Box::new(0u8);
    let address = std::ptr::from_ref(&*allocation) as u64;
    Incarnation(seam_protocol::id::rank(clock, process ^ address.rotate_left(32)) | 1)
}

async fn tick(runtime: Arc<NodeRuntime>) {
    loop {
        Timer::after(TICK).await;
        runtime.handle(Event::Tick);
    }
}

async fn run_jobs(
    runtime: Arc<NodeRuntime>,
    jobs: Receiver<Job>,
    heartbeats: Arc<HeartbeatSocket>,
) {
    while let Ok(job) = jobs.recv().await {
        match job {
            Job::Heartbeat(to, heartbeat) => heartbeats.send(&runtime, to, &heartbeat).await,
            Job::Probe(target, address, patience) => {
                let runtime = runtime.clone();
                spawn(async move {
                    runtime.handle(pool::probe(target, address, patience).await);
                })
                .detach();
            }
            Job::CheckHealth(target, service, address) => {
                let runtime = runtime.clone();
                spawn(async move { health::check(&runtime, target, service, address).await })
                    .detach();
            }
            Job::FetchItems(from, address, since, source) => {
                let runtime = runtime.clone();
                spawn(async move { items::fetch(&runtime, from, address, since, source).await })
                    .detach();
            }
            Job::FetchBundle(_, address) => {
                let runtime = runtime.clone();
                spawn(async move { fetch(&runtime, address).await }).detach();
            }
            Job::Order(address, order, fence) => {
                spawn(async move {
                    if let Err(error) = polls::send_order(address, &order, fence).await {
                        log::warn!("cannot send an order to the engine at {address}: {error}");
                    }
                })
                .detach();
            }
        }
    }
}

/// Fetches the configuration from the seed nodes until there is one, since the configuration
/// service may be down or out of date.
async fn join(runtime: Arc<NodeRuntime>) {
    const RETRY_INTERVAL: Duration = Duration::from_millis(500);
    let seeds = runtime.settings().seeds.clone();
    while runtime.snapshot().is_none() && !seeds.is_empty() {
        for seed in &seeds {
            fetch(&runtime, *seed).await;
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

async fn fetch(runtime: &NodeRuntime, address: std::net::SocketAddr) {
    match link::fetch_bundle(runtime, address).await {
        Ok(set) => {
            if let Err(error) = watch::apply_bundle(runtime, set) {
                log::warn!("cannot apply the bundle from {address}: {error}");
            }
        }
        Err(error) => log::debug!("cannot fetch a bundle from {address}: {error}"),
    }
}
