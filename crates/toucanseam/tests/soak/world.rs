//! The run of one seed: nodes, targets, a store and callers, and the faults injected into them.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use http::{Request, StatusCode};
use rustix::process::Signal;
use seam_http::{empty, fetch, lock, spawn};

use super::callers::{CallerState, call_each_kind, run_caller};
use super::checks::{Leaving, check, check_lost};
use super::node::Node;
use super::proxy::Mode;
use super::script::{Entry, Fault, PLANNED_TIMEOUT, Script, generate_faults, generate_planned};
use super::target::{Runs, Target};
use crate::store::{Store, configuration};

/// Interval at which faults and processes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of polls until every node is ready, at the start and after the last fault.
const MAX_READY_POLLS: usize = 400;
/// Time from the announcement that a target leaves to the removal of its item.
const LEAVE_TIME: Duration = Duration::from_millis(4500);
/// Time that ready nodes have after the last fault before they must serve every kind of request.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time after SIGTERM within which a process must end: `drain_limit_s` of the settings and a
/// margin.
const DRAIN_LIMIT: Duration = Duration::from_secs(9);

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub nodes: usize,
    pub callers: usize,
    pub length: Duration,
}

/// Action at the end of a fault.
enum Recovery {
    Start(usize),
    Resume(usize),
    Store(usize),
    StoreUp,
    Target(usize),
    Speak(usize),
    /// Removes the item of a target that has left, and starts another target.
    Replace(usize),
}

struct World {
    store: Store,
    nodes: Vec<Node>,
    targets: Vec<Target>,
    callers: Arc<CallerState>,
    runs: Runs,
    leaving: Vec<Leaving>,
    recoveries: Vec<(Instant, Recovery)>,
    /// Nodes that have received SIGTERM, and when.
    ending: Vec<(usize, Instant)>,
    violations: Vec<String>,
    version: u64,
    started_targets: usize,
    folder: PathBuf,
    script: Script,
}

/// Runs a seed and returns the violations. The nodes' logs are kept if there are any.
pub async fn run_seed(seed: u64, size: Size, script: Script) -> Vec<String> {
    let mut world = World::start(seed, size, script).await;
    let callers: Vec<Task<()>> = (0..size.callers as u64)
        .map(|index| {
            let name = format!("s{seed}-{index}");
            spawn(run_caller(
                world.callers.clone(),
                name,
                seed ^ (index << 32),
            ))
        })
        .collect();
    let generate = match script {
        Script::Trouble => generate_faults,
        Script::Planned => generate_planned,
    };
    let entries = generate(seed, size.nodes, world.targets.len(), size.length);
    world.apply_faults(&entries).await;
    world.check_recovery(seed).await;
    world.callers.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    world.finish(&entries)
}

impl World {
    async fn start(seed: u64, size: Size, script: Script) -> Self {
        let name = format!("seam-soak-{}-{script:?}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let store = Store::start();
        let regions = ["north", "south"];
        let nodes = (0..size.nodes)
            .map(|index| Node::new(index, regions[index % 2], &folder, store.address()))
            .collect();
        let mut world = Self {
            store,
            nodes,
            targets: Vec::new(),
            callers: Arc::new(CallerState::new(script)),
            runs: Runs::default(),
            leaving: Vec::new(),
            recoveries: Vec::new(),
            ending: Vec::new(),
            violations: Vec::new(),
            version: 1,
            started_targets: 0,
            folder,
            script,
        };
        world.configure();
        for service in ["desk", "writer"] {
            for region in regions {
                for _ in 0..2 {
                    let target = world.start_target(region, service);
                    world.targets.push(target);
                }
            }
        }
        for index in 0..world.nodes.len() {
            world.start_first(index).await;
        }
        let callers = world.nodes.iter().map(|node| node.ports.caller);
        *lock(&world.callers.nodes) = callers.collect();
        world.wait_until_ready().await;
        world
    }

    /// Publishes the current version. Around planned work, versions differ in what is in force.
    fn configure(&self) {
        if self.script == Script::Trouble {
            self.store.configure(self.version);
            return;
        }
        let mut config = configuration(self.version, PLANNED_TIMEOUT);
        if self.version.is_multiple_of(2) {
            config["routes"][0]["name"] = "view-renamed".into();
            config["routes"][1]["maxAttempts"] = 2.into();
            config["limits"]["maxBodyBytes"] = 1_000_000.into();
        }
        self.store.put_config(&config);
    }

    /// Starts a target and publishes its item.
    fn start_target(&mut self, region: &str, service: &str) -> Target {
        self.started_targets += 1;
        let target = Target::start(
            &format!("t{}", self.started_targets),
            region,
            service,
            self.script,
            &self.runs,
        );
        self.store.put_item(&target.id, &target.item(false));
        target
    }

    /// Starts a node for the first time. The process exits at once if another process has taken one
    /// of its ports, so this tries again with other ports.
    async fn start_first(&mut self, index: usize) {
        loop {
            self.start_node(index);
            let address = self.nodes[index].ports.caller;
            while self.nodes[index].is_running() {
                if std::net::TcpStream::connect(address).is_ok() {
                    return;
                }
                Timer::after(POLL_INTERVAL).await;
            }
            self.nodes[index].change_ports();
        }
    }

    fn start_node(&mut self, index: usize) {
        let seeds: Vec<_> = self.nodes.iter().map(|node| node.ports.peer).collect();
        let seeds: Vec<_> = seeds.into_iter().take(3).collect();
        if !self.nodes[index].is_running() {
            // The new process has not received SIGTERM, whether or not the end of the old one has
            // been noticed.
            self.ending.retain(|(ending, _)| *ending != index);
            self.nodes[index].start(&seeds);
        }
    }

    async fn apply_faults(&mut self, entries: &[Entry]) {
        let start = Instant::now();
        let mut due = entries.iter().peekable();
        let last = entries.last().map_or(Duration::ZERO, |entry| entry.at);
        while start.elapsed() < last || !self.recoveries.is_empty() {
            while let Some(entry) = due.next_if(|entry| entry.at <= start.elapsed()) {
                self.start_fault(entry);
            }
            self.run_due_recoveries(Instant::now());
            self.check_ending();
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn schedule(&mut self, entry: &Entry, recovery: Recovery) {
        self.recoveries
            .push((Instant::now() + entry.lasts, recovery));
    }

    /// Marks targets whose drain time is not over as disturbed: nodes may receive their items late.
    fn disturb_leaving(&mut self) {
        let now = Instant::now();
        for leaving in &mut self.leaving {
            leaving.undisturbed &= now > leaving.at + LEAVE_TIME;
        }
    }

    fn start_fault(&mut self, entry: &Entry) {
        let harmless = matches!(
            entry.fault,
            Fault::Turns { .. }
                | Fault::Leave(_)
                | Fault::Configure
                | Fault::Reload(_)
                | Fault::Silence(_)
        );
        if !harmless {
            self.disturb_leaving();
        }
        match entry.fault {
            Fault::KillNode(node) => {
                self.nodes[node].kill();
                self.schedule(entry, Recovery::Start(node));
            }
            Fault::KillAll => {
                for node in 0..self.nodes.len() {
                    self.nodes[node].kill();
                    self.schedule(entry, Recovery::Start(node));
                }
            }
            Fault::Roll(node) => {
                let ending = self.ending.iter().any(|(ending, _)| *ending == node);
                if self.nodes[node].is_running() && !self.nodes[node].paused && !ending {
                    self.nodes[node].signal(Signal::TERM);
                    self.ending.push((node, Instant::now()));
                }
            }
            Fault::Pause(node) => {
                self.nodes[node].signal(Signal::STOP);
                self.schedule(entry, Recovery::Resume(node));
            }
            Fault::Store { node, mode } => {
                self.nodes[node].store.set(mode);
                self.schedule(entry, Recovery::Store(node));
            }
            Fault::StoreDown => {
                self.store.set_down(true);
                self.schedule(entry, Recovery::StoreUp);
            }
            Fault::Target { target, mode } => {
                self.targets[target].proxy.set(mode);
                self.schedule(entry, Recovery::Target(target));
            }
            Fault::Silence(target) => {
                self.targets[target].proxy.set(Mode::Silent);
                self.schedule(entry, Recovery::Speak(target));
            }
            Fault::Turns {
                target,
                turn,
                count,
            } => {
                for _ in 0..count {
                    self.targets[target].inject_fault(turn);
                }
            }
            Fault::Leave(target) => self.leave(target),
            Fault::Configure => {
                self.version += 3;
                self.configure();
            }
            Fault::Compact => self.store.compact(),
            Fault::ResetCallers => {
                self.callers.resets.fetch_add(1, Ordering::Relaxed);
            }
            Fault::Reload(node) => self.nodes[node].signal(Signal::HUP),
        }
    }

    fn leave(&mut self, target: usize) {
        let leaving_target = &self.targets[target];
        if self
            .leaving
            .iter()
            .any(|leaving| leaving.target == leaving_target.id)
        {
            return;
        }
        self.store
            .put_item(&leaving_target.id, &leaving_target.item(true));
        let mut recoveries = self.recoveries.iter();
        let undisturbed = recoveries.all(|(_, recovery)| matches!(recovery, Recovery::Speak(_)));
        self.leaving.push(Leaving {
            target: leaving_target.id.clone(),
            at: Instant::now(),
            undisturbed: undisturbed && self.ending.is_empty(),
        });
        let removal = Instant::now() + LEAVE_TIME;
        self.recoveries.push((removal, Recovery::Replace(target)));
    }

    fn run_due_recoveries(&mut self, now: Instant) {
        let recoveries = std::mem::take(&mut self.recoveries);
        let (due, rest): (Vec<_>, Vec<_>) = recoveries.into_iter().partition(|(at, _)| *at <= now);
        self.recoveries = rest;
        for (_, recovery) in due {
            match recovery {
                Recovery::Start(node) => self.start_node(node),
                Recovery::Resume(node) => self.nodes[node].signal(Signal::CONT),
                Recovery::Store(node) => self.nodes[node].store.set(Mode::Pass),
                Recovery::StoreUp => self.store.set_down(false),
                Recovery::Target(target) | Recovery::Speak(target) => {
                    self.targets[target].proxy.set(Mode::Pass);
                }
                Recovery::Replace(target) => self.replace(target),
            }
        }
    }

    fn replace(&mut self, target: usize) {
        let region = self.targets[target].region.clone();
        let service = self.targets[target].service.clone();
        self.store.remove_item(&self.targets[target].id);
        // What the old target holds back goes on.
        self.targets[target].proxy.set(Mode::Pass);
        let replacement = self.start_target(&region, &service);
        self.targets[target] = replacement;
    }

    /// Restarts nodes that have ended after SIGTERM, and records those that are late.
    fn check_ending(&mut self) {
        let ending = std::mem::take(&mut self.ending);
        for (node, since) in ending {
            if !self.nodes[node].is_running() {
                self.start_node(node);
            } else if since.elapsed() > DRAIN_LIMIT && !self.nodes[node].paused {
                let late = since.elapsed().as_millis();
                self.violations.push(format!(
                    "node {node} is still running {late} ms after SIGTERM"
                ));
                self.nodes[node].kill();
                self.start_node(node);
            } else {
                self.ending.push((node, since));
            }
        }
    }

    async fn wait_until_ready(&mut self) {
        for _ in 0..MAX_READY_POLLS {
            self.check_ending();
            let mut ready = self.ending.is_empty();
            for node in 0..self.nodes.len() {
                let request = Request::get("/readiness")
                    .body(empty())
                    .expect("the request is valid");
                let address = self.nodes[node].ports.readiness;
                let response = fetch(address, request, Duration::from_secs(1), 1000).await;
                ready &= response.is_ok_and(|response| response.status() == StatusCode::OK);
                // Restarts the process if it has exited because another one took one of its ports.
                self.start_node(node);
            }
            if ready {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        self.violations
            .push("READY: not every node became ready".to_owned());
    }

    /// Checks that every node serves every kind of request after the recovery time.
    async fn check_recovery(&mut self, seed: u64) {
        self.wait_until_ready().await;
        Timer::after(RECOVERY_TIME).await;
        for node in &self.nodes {
            let failed = call_each_kind(
                node.ports.caller,
                &format!("end-{seed}-{}", node.ports.caller),
                self.script,
            )
            .await;
            if !failed.is_empty() {
                let address = node.ports.caller;
                self.violations
                    .push(format!("RECOVER: {failed:?} not served at {address}"));
            }
        }
    }

    fn finish(mut self, entries: &[Entry]) -> Vec<String> {
        let runs = lock(&self.runs).clone();
        let calls = lock(&self.callers.calls).clone();
        let served = calls
            .iter()
            .filter(|call| call.status == Some(StatusCode::OK));
        if served.count() * 4 < calls.len() {
            self.violations.push(format!(
                "fewer than a quarter of {} requests were served",
                calls.len()
            ));
        }
        self.violations.extend(check(&runs, &calls, &self.leaving));
        if self.script == Script::Planned {
            self.violations.extend(check_lost(&runs, &calls));
        }
        if self.violations.is_empty() {
            if let Err(error) = std::fs::remove_dir_all(&self.folder) {
                println!("{} not removed: {error}", self.folder.display());
            }
        } else {
            println!("logs in {}, faults {entries:#?}", self.folder.display());
        }
        self.violations
    }
}
