//! One seed: nodes, targets, a store and callers, and the faults that strike them.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use http::{Request, StatusCode};
use rustix::process::Signal;
use seam_http::{empty, fetch, lock, spawn};

use super::callers::{Journal, run, try_all};
use super::checks::{Leaving, check};
use super::node::Node;
use super::proxy::Mode;
use super::script::{Entry, Fault, script};
use super::target::{Runs, Target};
use crate::store::Store;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Looks after the last fault until every node must be ready.
const MOST_LOOKS: usize = 400;
/// Time for a target that leaves to be out of use, and for its item to go.
const LEAVES: Duration = Duration::from_millis(4500);
/// Time that nodes have to settle before the first fault, and to serve everything after the last.
const CALM: Duration = Duration::from_secs(6);
/// Time after SIGTERM within which a process must have ended: the settings' limit and a margin.
const DRAIN_LIMIT: Duration = Duration::from_secs(9);

/// How much is played.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub nodes: usize,
    pub callers: usize,
    pub length: Duration,
}

/// Something to be done when a fault ends.
enum End {
    Start(usize),
    Resume(usize),
    Store(usize),
    StoreUp,
    Target(usize),
    /// The item of a target that has left goes, and another one comes.
    Replace(usize),
}

struct World {
    store: Store,
    nodes: Vec<Node>,
    targets: Vec<Target>,
    journal: Arc<Journal>,
    runs: Runs,
    leaving: Vec<Leaving>,
    ends: Vec<(Instant, End)>,
    /// Nodes that were told to end, and since when.
    ending: Vec<(usize, Instant)>,
    broken: Vec<String>,
    version: u64,
    made: usize,
    folder: PathBuf,
}

/// Plays a seed. Returns what was broken; then the nodes' logs are kept.
pub async fn play(seed: u64, size: Size) -> Vec<String> {
    let mut world = World::start(seed, size).await;
    let callers: Vec<Task<()>> = (0..size.callers as u64)
        .map(|index| {
            let name = format!("s{seed}-{index}");
            spawn(run(world.journal.clone(), name, seed ^ (index << 32)))
        })
        .collect();
    let entries = script(seed, size.nodes, world.targets.len(), size.length);
    world.strike(&entries).await;
    world.recover(seed).await;
    world.journal.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    world.finish(&entries)
}

impl World {
    async fn start(seed: u64, size: Size) -> Self {
        let name = format!("seam-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        let store = Store::start();
        let regions = ["north", "south"];
        let nodes = (0..size.nodes)
            .map(|index| Node::new(index, regions[index % 2], &folder, store.address()))
            .collect();
        let mut world = Self {
            store,
            nodes,
            targets: Vec::new(),
            journal: Arc::default(),
            runs: Runs::default(),
            leaving: Vec::new(),
            ends: Vec::new(),
            ending: Vec::new(),
            broken: Vec::new(),
            version: 1,
            made: 0,
            folder,
        };
        world.store.configure(1);
        for service in ["desk", "writer"] {
            for region in regions {
                for _ in 0..2 {
                    let target = world.make(region, service);
                    world.targets.push(target);
                }
            }
        }
        for index in 0..world.nodes.len() {
            world.start_first(index).await;
        }
        let callers = world.nodes.iter().map(|node| node.ports.caller);
        *lock(&world.journal.nodes) = callers.collect();
        world.until_ready().await;
        world
    }

    /// Starts a target and lists it.
    fn make(&mut self, region: &str, service: &str) -> Target {
        self.made += 1;
        let target = Target::start(&format!("t{}", self.made), region, service, &self.runs);
        self.store.put_entry(&target.id, &target.entry(false));
        target
    }

    /// Starts a node for the first time. A port that was free a moment ago may be taken, which ends
    /// the process at once, so others are tried.
    async fn start_first(&mut self, index: usize) {
        loop {
            self.start_node(index);
            let address = self.nodes[index].ports.caller;
            while self.nodes[index].runs() {
                if std::net::TcpStream::connect(address).is_ok() {
                    return;
                }
                Timer::after(LOOK).await;
            }
            self.nodes[index].move_ports();
        }
    }

    fn start_node(&mut self, index: usize) {
        let seeds: Vec<_> = self.nodes.iter().map(|node| node.ports.peer).collect();
        let seeds: Vec<_> = seeds.into_iter().take(3).collect();
        if !self.nodes[index].runs() {
            // Whoever noticed that it ended, the fresh process was not told to.
            self.ending.retain(|(ending, _)| *ending != index);
            self.nodes[index].start(&seeds);
        }
    }

    async fn strike(&mut self, entries: &[Entry]) {
        let start = Instant::now();
        let mut due = entries.iter().peekable();
        let last = entries.last().map_or(Duration::ZERO, |entry| entry.at);
        while start.elapsed() < last || !self.ends.is_empty() {
            while let Some(entry) = due.next_if(|entry| entry.at <= start.elapsed()) {
                self.begin(entry);
            }
            self.end_due(Instant::now());
            self.watch_ends();
            Timer::after(LOOK).await;
        }
    }

    fn later(&mut self, entry: &Entry, end: End) {
        self.ends.push((Instant::now() + entry.lasts, end));
    }

    /// Notes that targets which leave just now may be heard of later.
    fn stir(&mut self) {
        let now = Instant::now();
        for leaving in &mut self.leaving {
            leaving.calm &= now > leaving.at + LEAVES;
        }
    }

    fn begin(&mut self, entry: &Entry) {
        let calm = matches!(
            entry.fault,
            Fault::Turns { .. } | Fault::Leave(_) | Fault::Configure | Fault::Reload(_)
        );
        if !calm {
            self.stir();
        }
        match entry.fault {
            Fault::KillNode(node) => {
                self.nodes[node].kill();
                self.later(entry, End::Start(node));
            }
            Fault::KillAll => {
                for node in 0..self.nodes.len() {
                    self.nodes[node].kill();
                    self.later(entry, End::Start(node));
                }
            }
            Fault::Roll(node) => {
                let ending = self.ending.iter().any(|(ending, _)| *ending == node);
                if self.nodes[node].runs() && !self.nodes[node].paused && !ending {
                    self.nodes[node].signal(Signal::TERM);
                    self.ending.push((node, Instant::now()));
                }
            }
            Fault::Pause(node) => {
                self.nodes[node].signal(Signal::STOP);
                self.later(entry, End::Resume(node));
            }
            Fault::Store { node, mode } => {
                self.nodes[node].store.set(mode);
                self.later(entry, End::Store(node));
            }
            Fault::StoreDown => {
                self.store.set_down(true);
                self.later(entry, End::StoreUp);
            }
            Fault::Target { target, mode } => {
                self.targets[target].proxy.set(mode);
                self.later(entry, End::Target(target));
            }
            Fault::Turns {
                target,
                turn,
                count,
            } => {
                for _ in 0..count {
                    self.targets[target].next(turn);
                }
            }
            Fault::Leave(target) => self.leave(target),
            Fault::Configure => {
                self.version += 3;
                self.store.configure(self.version);
            }
            Fault::Compact => self.store.compact(),
            Fault::ResetCallers => {
                self.journal.resets.fetch_add(1, Ordering::Relaxed);
            }
            Fault::Reload(node) => self.nodes[node].signal(Signal::HUP),
        }
    }

    fn leave(&mut self, target: usize) {
        let leaves = &self.targets[target];
        if self
            .leaving
            .iter()
            .any(|leaving| leaving.target == leaves.id)
        {
            return;
        }
        self.store.put_entry(&leaves.id, &leaves.entry(true));
        self.leaving.push(Leaving {
            target: leaves.id.clone(),
            at: Instant::now(),
            calm: self.ends.is_empty() && self.ending.is_empty(),
        });
        let gone = Instant::now() + LEAVES;
        self.ends.push((gone, End::Replace(target)));
    }

    fn end_due(&mut self, now: Instant) {
        let ends = std::mem::take(&mut self.ends);
        let (due, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
        self.ends = rest;
        for (_, end) in due {
            match end {
                End::Start(node) => self.start_node(node),
                End::Resume(node) => self.nodes[node].signal(Signal::CONT),
                End::Store(node) => self.nodes[node].store.set(Mode::Pass),
                End::StoreUp => self.store.set_down(false),
                End::Target(target) => self.targets[target].proxy.set(Mode::Pass),
                End::Replace(target) => self.replace(target),
            }
        }
    }

    fn replace(&mut self, target: usize) {
        let region = self.targets[target].region.clone();
        let service = self.targets[target].service.clone();
        self.store.remove_entry(&self.targets[target].id);
        let fresh = self.make(&region, &service);
        self.targets[target] = fresh;
    }

    /// Starts nodes again that were told to end, and notes those that did not.
    fn watch_ends(&mut self) {
        let ending = std::mem::take(&mut self.ending);
        for (node, since) in ending {
            if !self.nodes[node].runs() {
                self.start_node(node);
            } else if since.elapsed() > DRAIN_LIMIT && !self.nodes[node].paused {
                let late = since.elapsed().as_millis();
                self.broken
                    .push(format!("node {node} still runs {late} ms after SIGTERM"));
                self.nodes[node].kill();
                self.start_node(node);
            } else {
                self.ending.push((node, since));
            }
        }
    }

    async fn until_ready(&mut self) {
        for _ in 0..MOST_LOOKS {
            self.watch_ends();
            let mut ready = self.ending.is_empty();
            for node in 0..self.nodes.len() {
                let asked = Request::get("/readiness")
                    .body(empty())
                    .expect("it is a request");
                let address = self.nodes[node].ports.readiness;
                let told = fetch(address, asked, Duration::from_secs(1), 1000).await;
                ready &= told.is_ok_and(|answer| answer.status() == StatusCode::OK);
                // A port that was free may have been taken meanwhile, which ends the process.
                self.start_node(node);
            }
            if ready {
                return;
            }
            Timer::after(LOOK).await;
        }
        self.broken
            .push("READY: not every node was ready in the end".to_owned());
    }

    /// Expects that every node serves every kind of request some time after the last fault.
    async fn recover(&mut self, seed: u64) {
        self.until_ready().await;
        Timer::after(CALM).await;
        for node in &self.nodes {
            let failed = try_all(
                node.ports.caller,
                &format!("end-{seed}-{}", node.ports.caller),
            )
            .await;
            if !failed.is_empty() {
                let address = node.ports.caller;
                self.broken
                    .push(format!("RECOVER: {failed:?} not served at {address}"));
            }
        }
    }

    fn finish(mut self, entries: &[Entry]) -> Vec<String> {
        let runs = lock(&self.runs).clone();
        let told = lock(&self.journal.told).clone();
        let served = told
            .iter()
            .filter(|told| told.status == Some(StatusCode::OK));
        if served.count() * 4 < told.len() {
            self.broken.push(format!(
                "fewer than a quarter of {} requests were served",
                told.len()
            ));
        }
        self.broken.extend(check(&runs, &told, &self.leaving));
        if self.broken.is_empty() {
            if let Err(error) = std::fs::remove_dir_all(&self.folder) {
                println!("{} not removed: {error}", self.folder.display());
            }
        } else {
            println!("logs in {}, faults {entries:#?}", self.folder.display());
        }
        self.broken
    }
}
