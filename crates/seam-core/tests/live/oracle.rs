//! A world of live nodes, its platform, and what must hold there.

use std::collections::BTreeMap;
use std::time::Duration;

use seam_core::{Command, Event};
use seam_protocol::{Entry, Heartbeat, RegionId, TargetId, Time};

use crate::fleet::{ENGINE, Fleet, NORTH, SEEDS, address, arrival, config, item, listed, prompt};

/// Requests that a cold target may get in a second, as the configuration states.
const COLD_RATE: usize = 5;
/// Span of that bound.
const COLD_SPAN: Duration = Duration::from_secs(1);
/// Time after which the directory may no longer name a node that is gone: the platform's time to
/// make contact (6 s) and 3 s.
const DEAD_NAMED: Duration = Duration::from_secs(9);
/// Quiet time after which all live nodes that reach each other must know the same: the platform's
/// time to make contact, and a wait for the last record to expire.
const SETTLED: Duration = Duration::from_secs(8);
/// Time for which a target whose item was removed while the platform turned nodes away may still get
/// requests, since its lease may only have run out: the platform's time to drain.
const DOUBTFUL: Duration = Duration::from_secs(4);
/// Time that a request runs.
const RUN: Duration = Duration::from_millis(300);
/// Time between two rounds of a world.
const ROUND: Duration = Duration::from_millis(50);

/// One step of a history.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Requests arrive at a node.
    Arrive { node: usize, count: u64 },
    /// A target starts anew, cold for some seconds.
    Start { target: usize, cold: u64 },
    /// A target says that it leaves.
    Leave { target: usize },
    /// A target's item is removed.
    Remove { target: usize },
    /// The data centre is evacuated, or taken back.
    Evacuate { on: bool },
    /// Two nodes no longer reach each other.
    Cut { one: usize, other: usize },
    /// All nodes reach each other.
    Heal,
    /// A node is gone.
    Kill { node: usize },
    /// A node starts anew.
    Restart { node: usize },
    /// The platform turns a node away, or serves it.
    Turn { node: usize, away: bool },
    /// Time passes, in tenths of a second.
    Wait { tenths: u64 },
}

/// What is made wrong on purpose, to see whether the oracle notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tamper {
    None,
    /// Items say that no target is cold.
    HideCold,
    /// Items say that no target leaves.
    HideLeaving,
    /// Heartbeats of dead nodes go on.
    KeepBeating,
    /// Node 0 hears no heartbeat of others.
    DropBeats,
    /// Nodes get no items from each other.
    DropPulls,
    /// A node forgets what it knew, without a start.
    ForgetItems,
}

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A cold target got more than it bears.
    Cold,
    /// The directory named a node that was gone for long.
    DeadNamed,
    /// The directory left out a live node for long.
    LiveMissing,
    /// A node sent to a target of which it knew that it leaves or is gone.
    Leaving,
    /// A node's items went back without a start.
    WentBack,
    /// A node that reaches others did not get their items.
    NewsMissing,
}

/// A target as the platform lists it.
#[derive(Clone, Copy, Debug)]
struct Listed {
    boot: u64,
    cold: u64,
    leaving: bool,
}

/// Nodes, their platform, and what was seen of them.
pub struct World {
    fleet: Fleet,
    tamper: Tamper,
    revision: u64,
    targets: BTreeMap<usize, Listed>,
    evacuated: bool,
    /// Revisions of the platform at which a target takes no work from then on, until a later one.
    closed: BTreeMap<TargetId, (u64, u64)>,
    /// Until when targets are cold.
    cold: BTreeMap<TargetId, Time>,
    /// Nodes that the platform turns away.
    away: Vec<bool>,
    /// When the platform last turned a node away or served one again.
    turned: Option<Time>,
    /// When items of targets were removed.
    removed: BTreeMap<TargetId, Time>,
    /// What each node has read of the platform.
    read: Vec<u64>,
    /// Items by revision.
    items: BTreeMap<u64, (String, Option<Entry>)>,
    heads: Vec<u64>,
    gone: Vec<Option<Time>>,
    /// Last beat of each node, to go on with.
    beats: BTreeMap<usize, Heartbeat>,
    quiet_since: Time,
    ends: Vec<(Time, usize, seam_core::AttemptKey)>,
    sent: BTreeMap<TargetId, Vec<Time>>,
    tickets: u64,
    breach: Option<Breach>,
}

fn name(target: usize) -> String {
    format!("e{target}")
}

fn entry(target: usize, listed_as: Listed) -> Entry {
    let millis = listed_as.cold * 1000;
    let mut entry = listed(&name(target), ENGINE, NORTH, listed_as.leaving, millis);
    if let Entry::Target(target) = &mut entry {
        target.boot = listed_as.boot;
    }
    entry
}

fn id(entry: &Entry) -> TargetId {
    match entry {
        Entry::Target(target) => target.id(),
        _ => unreachable!("only targets have an identifier"),
    }
}

impl World {
    pub fn new(regions: &[&str], tamper: Tamper) -> Self {
        let fleet = Fleet::new(regions);
        let nodes = regions.len();
        let mut world = Self {
            quiet_since: fleet.now,
            fleet,
            tamper,
            revision: 0,
            targets: BTreeMap::new(),
            evacuated: false,
            closed: BTreeMap::new(),
            cold: BTreeMap::new(),
            away: vec![false; nodes],
            turned: None,
            removed: BTreeMap::new(),
            read: vec![0; nodes],
            items: BTreeMap::new(),
            heads: vec![0; nodes],
            gone: vec![None; nodes],
            beats: BTreeMap::new(),
            ends: Vec::new(),
            sent: BTreeMap::new(),
            tickets: 0,
            breach: None,
        };
        world.write("config".to_owned(), Some(config(7)));
        world.wait(20);
        world
    }

    /// Returns the first promise that was broken.
    pub fn breach(&self) -> Option<Breach> {
        self.breach
    }

    pub fn play(&mut self, step: Step) {
        match step {
            Step::Arrive { node, count } => self.arrive(node, count),
            Step::Start { target, cold } => self.start(target, cold),
            Step::Leave { target } => self.leave(target),
            Step::Remove { target } => self.remove(target),
            Step::Evacuate { on } => self.evacuate(on),
            Step::Cut { one, other } => {
                if one != other {
                    self.fleet.cut.insert((one.min(other), one.max(other)));
                    self.stir();
                }
            }
            Step::Heal => {
                self.fleet.cut.clear();
                self.stir();
            }
            Step::Kill { node } => {
                // Where no seed lives, nodes that start anew find nobody.
                let seeds = SEEDS.iter().filter(|seed| **seed != node);
                let others = seeds.filter(|seed| self.gone.get(**seed) == Some(&None));
                if !self.fleet.down[node] && others.count() > 0 {
                    self.fleet.down[node] = true;
                    self.gone[node] = Some(self.fleet.now);
                    self.stir();
                }
            }
            Step::Restart { node } => {
                self.fleet.restart(node);
                self.ends.retain(|(_, index, _)| *index != node);
                self.gone[node] = None;
                self.heads[node] = 0;
                self.read[node] = 0;
                self.stir();
            }
            Step::Turn { node, away } => {
                self.away[node] = away;
                self.turned = Some(self.fleet.now);
                if !self.fleet.down[node] {
                    self.fleet.handle(node, Event::PlatformUnreachable(away));
                }
                self.stir();
            }
            Step::Wait { tenths } => self.wait(tenths),
        }
        self.check_heads();
    }

    /// Notes that something changed of which all nodes are to hear.
    fn stir(&mut self) {
        self.quiet_since = self.fleet.now;
    }

    fn write(&mut self, key: String, entry: Option<Entry>) {
        self.revision += 1;
        self.items.insert(self.revision, (key, entry));
        self.stir();
    }

    fn start(&mut self, target: usize, cold: u64) {
        if let Some(before) = self.targets.get(&target).copied() {
            // What ran under the name before has ended, as if its item had been removed.
            let id = id(&entry(target, before));
            self.removed.insert(id, self.fleet.now);
            self.close(id);
        }
        let started = Listed {
            boot: self.revision + 1,
            cold,
            leaving: false,
        };
        self.targets.insert(target, started);
        let entry = entry(target, started);
        let until = self.fleet.now + Duration::from_secs(cold);
        self.cold.insert(id(&entry), until);
        if self.evacuated {
            self.close(id(&entry));
        }
        self.write(name(target), Some(entry));
    }

    fn leave(&mut self, target: usize) {
        let Some(listed) = self.targets.get_mut(&target) else {
            return;
        };
        listed.leaving = true;
        let entry = entry(target, *listed);
        self.close(id(&entry));
        self.write(name(target), Some(entry));
    }

    fn remove(&mut self, target: usize) {
        if let Some(before) = self.targets.remove(&target) {
            let id = id(&entry(target, before));
            if !before.leaving && !self.evacuated {
                self.removed.insert(id, self.fleet.now);
            }
            self.close(id);
            self.write(name(target), None);
        }
    }

    fn evacuate(&mut self, on: bool) {
        if on == self.evacuated {
            return;
        }
        self.evacuated = on;
        let targets: Vec<_> = self.targets.iter().map(|(key, at)| (*key, *at)).collect();
        for (target, listed) in targets {
            let id = id(&entry(target, listed));
            if on {
                self.close(id);
            } else if !listed.leaving {
                let next = self.revision + 1;
                if let Some(closed) = self.closed.get_mut(&id) {
                    closed.1 = next;
                }
            }
        }
        let centre = seam_protocol::CentreId::of("north-a");
        self.write(
            "evacuate".to_owned(),
            on.then_some(Entry::Evacuation(centre)),
        );
    }

    /// Notes that a target takes no work from the next revision on.
    fn close(&mut self, target: TargetId) {
        let next = self.revision + 1;
        let closed = self.closed.entry(target).or_insert((next, u64::MAX));
        if closed.1 != u64::MAX {
            *closed = (next, u64::MAX);
        }
    }

    fn arrive(&mut self, node: usize, count: u64) {
        if self.fleet.down[node] {
            return;
        }
        for _ in 0..count {
            self.tickets += 1;
            let mut asked = arrival(self.tickets, "review", ENGINE, 1);
            asked.prompt = Some(prompt(self.tickets % 5, 1000 + self.tickets));
            self.fleet.arrive(node, asked);
            self.follow();
        }
    }

    /// Takes in what the nodes sent.
    fn follow(&mut self) {
        for (index, command) in std::mem::take(&mut self.fleet.done) {
            let Command::Send {
                attempt, target, ..
            } = command
            else {
                continue;
            };
            let now = self.fleet.now;
            self.ends.push((now + RUN, index, attempt));
            self.sent.entry(target).or_default().push(now);
            let head = self.fleet.nodes[index].items_revision();
            let closed = self.closed.get(&target);
            let known = closed.is_some_and(|(from, until)| (*from..*until).contains(&head));
            if known && !self.doubtful(target) {
                self.breach.get_or_insert(Breach::Leaving);
            }
            if self.cold.get(&target).is_some_and(|until| now < *until) {
                let sent = &self.sent[&target];
                let lately = sent.iter().filter(|at| now.since(**at) < COLD_SPAN);
                if lately.count() > COLD_RATE {
                    self.breach.get_or_insert(Breach::Cold);
                }
            }
        }
    }

    /// Tells whether a target's lease may only have run out.
    fn doubtful(&self, target: TargetId) -> bool {
        let now = self.fleet.now;
        let turned = self.turned.is_some_and(|at| now.since(at) < 2 * DOUBTFUL);
        let unclear = turned || self.away.contains(&true);
        let removed = self.removed.get(&target);
        unclear && removed.is_some_and(|at| now.since(*at) < DOUBTFUL)
    }

    fn wait(&mut self, tenths: u64) {
        let end = self.fleet.now + Duration::from_millis(100 * tenths);
        while self.fleet.now < end {
            self.fleet.wait(ROUND);
            self.follow();
            self.spread();
            self.finish();
            self.tamper();
            self.check_directory();
            self.check_heads();
        }
    }

    /// Lets nodes that the platform serves read what is new.
    fn spread(&mut self) {
        for index in 0..self.read.len() {
            let reads = !self.fleet.down[index]
                && !self.away[index]
                && self.fleet.nodes[index].watches_platform(self.fleet.now);
            let from = self.read[index].max(self.fleet.nodes[index].items_revision());
            if !reads || from >= self.revision {
                continue;
            }
            let news: Vec<_> = self
                .items
                .range(from + 1..)
                .map(|(revision, (key, entry))| item(key, *revision, self.shown(entry.clone())))
                .collect();
            self.read[index] = self.revision;
            self.fleet.publish(index, news, self.revision);
            self.follow();
        }
    }

    /// Returns what nodes get to see of an entry.
    fn shown(&self, mut entry: Option<Entry>) -> Option<Entry> {
        if let Some(Entry::Target(target)) = &mut entry {
            match self.tamper {
                Tamper::HideCold => target.cold = Duration::ZERO,
                Tamper::HideLeaving => target.leaving = false,
                _ => {}
            }
        }
        entry
    }

    /// Ends requests that have run.
    fn finish(&mut self) {
        let now = self.fleet.now;
        let (due, rest) = self.ends.iter().partition(|(end, _, _)| *end <= now);
        let due: Vec<_> = due;
        self.ends = rest;
        for (_, index, attempt) in due {
            if !self.fleet.down[index] {
                self.fleet.complete(index, attempt);
                self.follow();
            }
        }
    }

    fn tamper(&mut self) {
        match self.tamper {
            Tamper::KeepBeating => {
                for index in 0..self.gone.len() {
                    if self.gone[index].is_none() {
                        self.beats.extend(self.fleet.heard.remove_entry(&index));
                    } else if let Some(beat) = self.beats.get_mut(&index) {
                        beat.sent += ROUND.as_micros() as u64;
                        beat.records[0].sequence += 1;
                        let beat = beat.clone();
                        self.fleet.handle(0, Event::Heartbeat(beat));
                    }
                }
            }
            Tamper::DropBeats => self.fleet.deaf = Some(0),
            Tamper::DropPulls => self.fleet.no_pulls = true,
            Tamper::ForgetItems if self.heads[0] > 1 => self.fleet.restart(0),
            _ => {}
        }
    }

    fn check_heads(&mut self) {
        for index in 0..self.heads.len() {
            if self.fleet.down[index] {
                continue;
            }
            let head = self.fleet.nodes[index].items_revision();
            if head < self.heads[index] {
                self.breach.get_or_insert(Breach::WentBack);
            }
            self.heads[index] = head;
        }
    }

    fn check_directory(&mut self) {
        let now = self.fleet.now;
        let nodes = self.gone.len();
        let settled = now.since(self.quiet_since) >= SETTLED && self.fleet.cut.is_empty();
        let serves = (0..nodes).any(|node| self.gone[node].is_none() && !self.away[node]);
        for index in (0..nodes).filter(|index| self.gone[*index].is_none()) {
            let named = self.fleet.nodes[index].directory(now, Some(RegionId::of(NORTH)), 0);
            for other in 0..nodes {
                let is_named = named.contains(&address(other + 100));
                match self.gone[other] {
                    Some(since) if is_named && now.since(since) > DEAD_NAMED => {
                        self.breach.get_or_insert(Breach::DeadNamed);
                    }
                    None if settled && serves && !is_named => {
                        self.breach.get_or_insert(Breach::LiveMissing);
                    }
                    _ => {}
                }
            }
            if settled && serves && self.fleet.nodes[index].items_revision() < self.revision {
                self.breach.get_or_insert(Breach::NewsMissing);
            }
        }
    }
}
