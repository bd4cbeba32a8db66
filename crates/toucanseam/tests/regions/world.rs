//! Node processes of three regions with delays between them, targets, load, and callers that ask each node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use http::{Request, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{Pid, Signal, kill_process};
use seam_http::{empty, fetch, full, lock, spawn};

use super::checks::{APPLY_TIME, Answer, Call, Disturbance, Records, Version};
use super::operator::{HOSTS, KEPT, Operator, REGIONS, REPLACED, TRAP};
use super::relay::Relays;
use super::script::Phase;
use crate::soak::node::Node;
use crate::soak::proxy::Mode;
use crate::soak::script::Script as TargetScript;
use crate::soak::target::{Runs, Target};
use crate::store::Store;

const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const READY_TIME: Duration = Duration::from_secs(40);
/// Time after SIGTERM within which a process must end.
const DRAIN_LIMIT: Duration = Duration::from_secs(9);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Paths that a caller asks a node for at a time.
const ASKED: usize = 2;
/// Time after a phase.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// Part of the time for which throttled processes run.
const THROTTLE: (Duration, Duration) = (Duration::from_millis(75), Duration::from_millis(25));

/// Size of a day.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub nodes: usize,
    /// One-way delay between regions.
    pub delay: Duration,
    /// Calls of load each second.
    pub load: u32,
    /// Interval at which each region's caller asks each node.
    pub interval: Duration,
    /// Whether versions are published beside the phases too.
    pub busy: bool,
    /// Whether all nodes run a quarter of the time only.
    pub throttled: bool,
}

struct Shared {
    records: Mutex<Records>,
    stop: AtomicBool,
    /// Whether the process of the store is away, so that nothing can be published.
    store_away: AtomicBool,
    /// Address of each node and the number of its starts; none while it does not run.
    nodes: Mutex<Vec<Option<(SocketAddr, usize)>>>,
    /// Requests that show which version is in force.
    asked: Mutex<Vec<(&'static str, String)>>,
    /// Running processes that are throttled.
    throttled: Mutex<Vec<Pid>>,
}

/// The operator with the store.
struct Publisher {
    store: Arc<Store>,
    operator: Operator,
    shared: Arc<Shared>,
}

impl Publisher {
    /// Publishes the current version.
    fn publish(&mut self) {
        let contents = self.operator.contents();
        let config = contents.configuration();
        let asked = {
            let mut asked: Vec<_> = TRAP
                .iter()
                .map(|(host, path)| (*host, (*path).to_owned()))
                .collect();
            asked.extend(self.operator.added().cloned());
            asked.extend(self.operator.removed.iter().rev().take(REPLACED).cloned());
            asked.push((0, "/never/".to_owned()));
            asked
        };
        let asked = asked
            .into_iter()
            .map(|(host, path)| (HOSTS[host], format!("{path}7")));
        let published = Instant::now();
        let version = Version {
            contents,
            published,
            confirmed: published,
        };
        lock(&self.shared.records).versions.push(version);
        self.store.put_config(&config);
        let mut records = lock(&self.shared.records);
        let version = records.versions.last_mut().expect("it was added");
        version.confirmed = Instant::now();
        *lock(&self.shared.asked) = asked.collect();
    }

    fn change(&mut self) {
        self.operator.change();
        self.publish();
    }
}

pub struct World {
    seed: u64,
    size: Size,
    store: Arc<Store>,
    nodes: Vec<Node>,
    relays: Relays,
    publisher: Arc<Mutex<Publisher>>,
    shared: Arc<Shared>,
    folder: PathBuf,
    violations: Vec<String>,
    throttle: Option<std::thread::JoinHandle<()>>,
    targets: Vec<Target>,
}

fn region_of(index: usize) -> usize {
    index % REGIONS.len()
}

/// Plays the phases of a day and returns the violations. The nodes' logs are kept if there are any.
pub async fn run_day(seed: u64, size: Size, phases: &[Phase]) -> Vec<String> {
    let mut world = World::start(seed, size);
    let shared = world.shared.clone();
    world.wait_until_ready().await;
    let mut tasks: Vec<Task<()>> = Vec::new();
    for region in 0..REGIONS.len() as u64 {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ ((region + 1) << 32));
        tasks.push(spawn(ask(shared.clone(), size, region, rng.clone())));
        tasks.push(spawn(load(shared.clone(), size, region, rng)));
    }
    if size.busy {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ u64::MAX);
        let publisher = world.publisher.clone();
        tasks.push(spawn(publish(shared.clone(), publisher, rng)));
    }
    Timer::after(SETTLE_TIME).await;
    for phase in phases {
        println!("seed {seed}: {phase:?}");
        world.begin(&format!("{phase:?}"));
        world.play(phase).await;
        Timer::after(SETTLE_TIME).await;
    }
    shared.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await;
    }
    world.finish()
}

impl World {
    fn start(seed: u64, size: Size) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = format!("seam-regions-{seed}-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let store = Arc::new(Store::start());
        let runs = Runs::default();
        let mut targets = Vec::new();
        for region in REGIONS {
            for service in ["desk", "writer"] {
                let id = format!("{service}-{region}");
                let target = Target::start(&id, region, service, TargetScript::Planned, &runs);
                store.put_item(&id, &target.item(false));
                targets.push(target);
            }
        }
        let mut nodes: Vec<Node> = Vec::new();
        for index in 0..size.nodes {
            let region = REGIONS[region_of(index)];
            let mut node = Node::new(index, region, &folder, store.address());
            node.regions = REGIONS.map(str::to_owned).to_vec();
            if let Some(program) = std::env::var_os("OTHER_PROGRAM").filter(|_| index % 2 == 1) {
                node.program = program;
            }
            nodes.push(node);
        }
        let peers: Vec<_> = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (region_of(index), node.ports.peer))
            .collect();
        let relays = Relays::start(&peers, size.delay);
        let shared = Shared {
            records: Mutex::default(),
            stop: AtomicBool::default(),
            store_away: AtomicBool::default(),
            nodes: Mutex::new(vec![None; size.nodes]),
            asked: Mutex::default(),
            throttled: Mutex::default(),
        };
        let shared = Arc::new(shared);
        let throttle = size.throttled.then(|| {
            let shared = shared.clone();
            std::thread::spawn(move || throttle(&shared))
        });
        let publisher = Publisher {
            store: store.clone(),
            operator: Operator::new(seed),
            shared: shared.clone(),
        };
        let mut world = Self {
            seed,
            size,
            store,
            nodes,
            relays,
            publisher: Arc::new(Mutex::new(publisher)),
            shared,
            folder,
            violations: Vec::new(),
            throttle,
            targets,
        };
        world.begin("start");
        lock(&world.publisher).publish();
        for index in 0..size.nodes {
            world.pass_store(index);
            world.start_node(index);
        }
        world.disturb(None, Instant::now());
        world
    }

    fn begin(&self, phase: &str) {
        let mut records = lock(&self.shared.records);
        records.phases.push((Instant::now(), phase.to_owned()));
    }

    /// Makes a node's connections to the store, which is in the first region, pass again.
    fn pass_store(&self, index: usize) {
        let mode = if region_of(index) == 0 || self.size.delay.is_zero() {
            Mode::Pass
        } else {
            Mode::Delay(self.size.delay)
        };
        self.nodes[index].store.set(mode);
    }

    fn change(&self) {
        lock(&self.publisher).change();
    }

    /// Lets all targets write their items again.
    fn put_targets(&self) {
        for target in &self.targets {
            self.store.put_item(&target.id, &target.item(false));
        }
    }

    /// Ends the process of the store as the nodes see it.
    fn close_store(&self) {
        self.shared.store_away.store(true, Ordering::Relaxed);
        for node in &self.nodes {
            node.store.close();
        }
    }

    fn open_store(&self) {
        self.shared.store_away.store(false, Ordering::Relaxed);
        for index in 0..self.nodes.len() {
            self.nodes[index].store.open();
            self.pass_store(index);
        }
    }

    fn disturb(&self, node: Option<usize>, start: Instant) {
        let end = Instant::now();
        let disturbance = Disturbance { node, start, end };
        lock(&self.shared.records).disturbances.push(disturbance);
    }

    fn start_node(&mut self, index: usize) {
        if self.nodes[index].is_running() {
            return;
        }
        let region = region_of(index);
        let seeds = 0..REGIONS.len().min(self.size.nodes);
        let seeds: Vec<_> = seeds
            .map(|seed| self.relays.routes.address(region, seed))
            .collect();
        let node = &mut self.nodes[index];
        node.start(&seeds);
        lock(&self.shared.nodes)[index] = Some((node.ports.caller, node.starts));
        if self.size.throttled {
            lock(&self.shared.throttled).extend(node.id());
        }
    }

    /// Notes that a process is about to end.
    fn release(&mut self, index: usize) {
        let id = self.nodes[index].id();
        lock(&self.shared.throttled).retain(|other| Some(*other) != id);
        if let Some(id) = id.filter(|_| self.size.throttled) {
            // The process may have ended by itself.
            let _ = kill_process(id, Signal::CONT);
        }
    }

    fn kill(&mut self, index: usize) {
        self.release(index);
        lock(&self.shared.nodes)[index] = None;
        self.nodes[index].kill();
    }

    async fn wait_until_ready(&mut self) {
        let start = Instant::now();
        while start.elapsed() < READY_TIME {
            let mut ready = true;
            for index in 0..self.nodes.len() {
                self.start_node(index);
                let address = self.nodes[index].ports.readiness;
                let request = Request::get("/readiness").body(empty());
                let request = request.expect("the request is valid");
                let response = fetch(address, request, Duration::from_secs(1), 4096).await;
                ready &= response.is_ok_and(|response| response.status() == StatusCode::OK);
            }
            if ready {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        self.violations
            .push("not every node became ready".to_owned());
    }

    /// Kills all processes and starts them again.
    fn kill_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        for index in 0..self.nodes.len() {
            self.start_node(index);
        }
    }

    fn stop(&mut self, index: usize) {
        self.release(index);
        self.nodes[index].signal(Signal::TERM);
    }

    /// Waits until a stopped process has ended, and starts it again.
    async fn replace(&mut self, index: usize) {
        let start = Instant::now();
        while self.nodes[index].is_running() {
            if start.elapsed() > DRAIN_LIMIT {
                let text = format!("node {index} still runs {DRAIN_LIMIT:?} after SIGTERM");
                self.violations.push(text);
                break;
            }
            Timer::after(POLL_INTERVAL / 5).await;
        }
        self.kill(index);
        self.start_node(index);
    }

    async fn play(&mut self, phase: &Phase) {
        let start = Instant::now();
        match phase {
            Phase::Change => self.change(),
            Phase::Storm { versions, pause } => self.storm(*versions, *pause).await,
            Phase::Kill { versions, pause } => {
                self.storm(*versions, *pause).await;
                self.kill_all();
                self.disturb(None, start);
            }
            Phase::Stop { pause } => {
                self.change();
                Timer::after(*pause).await;
                for index in 0..self.nodes.len() {
                    self.stop(index);
                }
                for index in 0..self.nodes.len() {
                    self.replace(index).await;
                }
                self.disturb(None, start);
            }
            Phase::Roll => {
                for index in 0..self.nodes.len() {
                    self.change();
                    let start = Instant::now();
                    self.stop(index);
                    self.replace(index).await;
                    self.disturb(Some(index), start);
                    self.wait_until_ready().await;
                }
            }
            Phase::Pause { nodes, time } => {
                for index in nodes {
                    self.release(*index);
                    self.nodes[*index].signal(Signal::STOP);
                }
                Timer::after(*time / 2).await;
                self.change();
                Timer::after(*time / 2).await;
                for index in nodes {
                    self.nodes[*index].signal(Signal::CONT);
                    if self.size.throttled {
                        lock(&self.shared.throttled).extend(self.nodes[*index].id());
                    }
                    self.disturb(Some(*index), start);
                }
                self.change();
            }
            _ => self.play_links(phase, start).await,
        }
    }

    /// Plays a phase that disturbs the store or links.
    async fn play_links(&mut self, phase: &Phase, start: Instant) {
        match phase {
            Phase::Away {
                silent,
                compact,
                time,
            } => {
                self.change();
                if *silent {
                    self.store.set_silent(true);
                } else {
                    self.store.set_down(true);
                }
                Timer::after(*time).await;
                if *compact {
                    self.store.compact();
                }
                self.store.set_silent(false);
                self.store.set_down(false);
                self.disturb(None, start);
                self.change();
                Timer::after(Duration::from_secs(1)).await;
                self.change();
            }
            Phase::Compact => {
                self.change();
                self.store.compact();
                Timer::after(Duration::from_millis(100)).await;
                self.change();
                self.store.compact();
            }
            Phase::Cut { nodes, mode, time } => {
                for index in nodes {
                    self.nodes[*index].store.set(*mode);
                }
                Timer::after(*time / 2).await;
                self.change();
                Timer::after(*time / 2).await;
                for index in nodes {
                    self.pass_store(*index);
                    self.disturb(Some(*index), start);
                }
                self.change();
            }
            Phase::Abandon => {
                self.store.silence_open().await;
                self.disturb(None, start);
                self.change();
            }
            Phase::Lack { versions, pause } => {
                self.store.set_lacking(true);
                self.storm(*versions, *pause).await;
                self.store.set_lacking(false);
            }
            Phase::Sever { store, links, calm } => {
                if *store {
                    for node in &self.nodes {
                        node.store.cut();
                    }
                }
                if *links {
                    self.relays.cut();
                }
                self.disturb(None, start);
                if !*calm {
                    self.change();
                }
                // What is silent may be found only once it is used.
                Timer::after(SETTLE_TIME).await;
                for _ in 0..2 {
                    self.change();
                    Timer::after(APPLY_TIME).await;
                }
            }
            Phase::Limit {
                calls,
                versions,
                pause,
            } => {
                self.store.set_limit(Some(*calls));
                self.storm(*versions, *pause).await;
                Timer::after(SETTLE_TIME).await;
                let start = Instant::now();
                self.change();
                self.kill_all();
                self.disturb(None, start);
                Timer::after(SETTLE_TIME).await;
                self.store.set_limit(None);
            }
            Phase::Split { mode, time } => {
                self.relays.set(*mode);
                Timer::after(*time / 2).await;
                self.change();
                Timer::after(*time / 2).await;
                self.relays.set(Mode::Pass);
                self.disturb(None, start);
                self.change();
            }
            phase => self.play_process(phase, start).await,
        }
    }

    /// Plays a phase in which the process of the store is away.
    async fn play_process(&mut self, phase: &Phase, start: Instant) {
        match phase {
            Phase::Restart { compact, time } => {
                self.change();
                self.close_store();
                Timer::after(*time).await;
                if *compact {
                    self.store.compact();
                }
                self.open_store();
                self.disturb(None, start);
                self.change();
                Timer::after(Duration::from_secs(1)).await;
                self.change();
            }
            Phase::Rollback {
                items,
                versions,
                pause,
                time,
            } => {
                let (copy, revision) = (self.store.copy(), self.store.revision());
                for _ in 0..*versions {
                    self.change();
                    self.put_targets();
                    Timer::after(*pause).await;
                }
                self.close_store();
                Timer::after(*time).await;
                if *items {
                    self.store.set_counter(revision);
                } else {
                    self.store.restore(&copy);
                }
                // The first that the store serves is the operator.
                self.change();
                self.open_store();
                self.disturb(None, start);
                self.put_targets();
                Timer::after(Duration::from_secs(1)).await;
                self.change();
                Timer::after(SETTLE_TIME).await;
                self.change();
            }
            phase => unreachable!("{phase:?} ends no process of the store"),
        }
    }

    async fn storm(&mut self, versions: usize, pause: Duration) {
        for _ in 0..versions {
            self.change();
            Timer::after(pause).await;
        }
    }

    fn finish(mut self) -> Vec<String> {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_running() {
                self.violations
                    .push(format!("node {index} ended by itself"));
            }
            self.kill(index);
        }
        if let Some(throttle) = self.throttle.take() {
            throttle.join().expect("the thread did not panic");
        }
        let records = std::mem::take(&mut *lock(&self.shared.records));
        let mut answers = std::collections::BTreeMap::<String, usize>::new();
        for call in &records.calls {
            *answers.entry(call.answer.name()).or_default() += 1;
        }
        println!(
            "seed {}: {} versions, {} calls: {answers:?}",
            self.seed,
            records.versions.len(),
            records.calls.len()
        );
        for ((form, phase), (number, examples)) in records.check() {
            let examples = examples.join("\n  ");
            self.violations
                .push(format!("{form}, {phase}: {number}, as\n  {examples}"));
        }
        let keep = std::env::var_os("DAY_KEEP").is_some();
        if self.violations.is_empty() && !keep {
            if let Err(error) = std::fs::remove_dir_all(&self.folder) {
                println!("{} not removed: {error}", self.folder.display());
            }
        } else {
            println!("logs in {}", self.folder.display());
        }
        self.violations
    }
}

/// Lets processes run for a part of each interval.
fn throttle(shared: &Shared) {
    let signal = |signal| {
        for id in lock(&shared.throttled).iter() {
            // The process may have ended by itself.
            let _ = kill_process(*id, signal);
        }
    };
    while !shared.stop.load(Ordering::Relaxed) {
        signal(Signal::STOP);
        std::thread::sleep(THROTTLE.0);
        signal(Signal::CONT);
        std::thread::sleep(THROTTLE.1);
    }
}

/// Publishes versions after one another, some of them in a row, until the end.
async fn publish(shared: Arc<Shared>, publisher: Arc<Mutex<Publisher>>, mut rng: Pcg64Mcg) {
    while !shared.stop.load(Ordering::Relaxed) {
        Timer::after(Duration::from_millis(rng.random_range(1000..9000))).await;
        let pause = Duration::from_millis(rng.random_range(60..330));
        for _ in 0..if rng.random_bool(0.5) {
            1
        } else {
            rng.random_range(4..=12)
        } {
            if !shared.store_away.load(Ordering::Relaxed) {
                lock(&publisher).change();
            }
            Timer::after(pause).await;
        }
    }
}

/// Asks each node for some of the paths that differ between versions, until the end.
async fn ask(shared: Arc<Shared>, size: Size, region: u64, mut rng: Pcg64Mcg) {
    let mut number = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        let asked = lock(&shared.asked).clone();
        for index in 0..size.nodes {
            let Some((address, boot)) = lock(&shared.nodes)[index] else {
                continue;
            };
            for _ in 0..ASKED {
                number += 1;
                let (host, path) = asked[rng.random_range(0..asked.len())].clone();
                let attempt = format!("a{region}-{number}");
                let shared = shared.clone();
                let call = async move {
                    let (start, answer) = call(address, &attempt, host, &path).await;
                    let call = Call {
                        attempt,
                        node: index,
                        boot,
                        host,
                        path,
                        start,
                        end: Instant::now(),
                        answer,
                    };
                    lock(&shared.records).calls.push(call);
                };
                spawn(call).detach();
            }
        }
        Timer::after(size.interval).await;
    }
    Timer::after(CALL_TIMEOUT).await;
}

async fn call(
    address: SocketAddr,
    attempt: &str,
    host: &'static str,
    path: &str,
) -> (Instant, Answer) {
    let request = Request::get(path)
        .header("host", host)
        .header("attempt-id", attempt)
        .header("deadline-ms", "3000")
        .body(empty())
        .expect("the request is valid");
    let start = Instant::now();
    let answer = match fetch(address, request, CALL_TIMEOUT, 1 << 16).await {
        Ok(response) if response.status() == StatusCode::OK => {
            let seal = response.headers().get("response-seal");
            let seal = seal.and_then(|seal| seal.to_str().ok()).unwrap_or_default();
            let (service, region) = seal.split_once('-').unwrap_or_default();
            Answer::Served {
                service: service.to_owned(),
                region: region.to_owned(),
            }
        }
        Ok(response) => Answer::Refused(response.status().as_u16()),
        Err(error) => Answer::Nothing(error.to_string()),
    };
    (start, answer)
}

/// Sends streams and other requests to the nodes of a region until the end.
async fn load(shared: Arc<Shared>, size: Size, region: u64, mut rng: Pcg64Mcg) {
    let mut number = 0;
    let pause = Duration::from_secs(REGIONS.len() as u64) / size.load.max(1);
    while !shared.stop.load(Ordering::Relaxed) && size.load > 0 {
        Timer::after(pause).await;
        let nodes: Vec<_> = lock(&shared.nodes)
            .iter()
            .enumerate()
            .filter(|(index, _)| region_of(*index) as u64 == region)
            .filter_map(|(_, node)| node.map(|(address, _)| address))
            .collect();
        if nodes.is_empty() {
            continue;
        }
        number += 1;
        let address = nodes[rng.random_range(0..nodes.len())];
        let path = KEPT[rng.random_range(0..KEPT.len())];
        let request = Request::post(format!("{path}7"))
            .header("host", HOSTS[0])
            .header("attempt-id", format!("l{region}-{number}"))
            .header("deadline-ms", "5000")
            .body(full("a fitting"))
            .expect("the request is valid");
        spawn(async move {
            // Load may fail while nodes are disturbed.
            let _ = fetch(address, request, CALL_TIMEOUT, 1 << 16).await;
        })
        .detach();
    }
}
