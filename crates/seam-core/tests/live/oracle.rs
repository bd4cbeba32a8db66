//! Simulation of live nodes and their platform, with an oracle that checks invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use seam_core::{Command, Event};
use seam_protocol::{Entry, Heartbeat, RegionId, TargetId, Time};

use crate::fleet::{ENGINE, Fleet, NORTH, SEEDS, address, arrival, config, item, listed, prompt};

/// Requests that a cold target may receive within `COLD_WINDOW`, as configured.
const COLD_RATE: usize = 5;
/// Window of `COLD_RATE`.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Time after which the directory must not list a dead node: the platform's contact timeout (6 s)
/// and 3 s.
const DEAD_LISTED_LIMIT: Duration = Duration::from_secs(9);
/// Time without changes after which all connected live nodes must have the same state: the
/// platform's contact timeout, and the expiry of the last record.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time for which a target may still receive requests after its item was removed while nodes could
/// not reach the platform, since its lease may only have expired: the platform's drain time.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time after which all connected nodes must have stopped sending to a target that said to one of them
/// that it leaves.
const ANSWER_SPREAD: Duration = Duration::from_secs(2);
/// Run time of a request.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Time between two rounds of the simulation.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Step of a history.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Requests arrive at a node.
    Arrive { node: usize, count: u64 },
    /// A target starts and is cold for some seconds.
    Start { target: usize, cold: u64 },
    /// A target announces that it is leaving.
    Leave { target: usize },
    /// A target says in its answers from now on that it leaves, before it announces it.
    SayLeaving { target: usize },
    /// A target's item is removed.
    Remove { target: usize },
    /// The data centre is evacuated or restored.
    Evacuate { on: bool },
    /// Two nodes can no longer reach each other.
    Cut { one: usize, other: usize },
    /// All nodes can reach each other again.
    Heal,
    /// A node stops.
    Kill { node: usize },
    /// A node restarts without its state.
    Restart { node: usize },
    /// The platform becomes unreachable for a node, or reachable again.
    SetUnreachable { node: usize, unreachable: bool },
    /// Time passes, in tenths of a second.
    Wait { tenths: u64 },
}

/// Fault that is injected to test whether the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// Items show no target as cold.
    HideCold,
    /// Items show no target as leaving.
    HideLeaving,
    /// Nodes do not pass on what targets say in their answers.
    KeepAnswers,
    /// Heartbeats of dead nodes continue.
    KeepHeartbeats,
    /// Node 0 receives no heartbeats.
    DropHeartbeats,
    /// Nodes cannot fetch items from each other.
    FailFetches,
    /// A node loses its state without a restart.
    ForgetItems,
}

/// Violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A cold target received more than the configured rate.
    Cold,
    /// The directory listed a dead node after `DEAD_LISTED_LIMIT`.
    DeadListed,
    /// The directory omitted a live node after `SETTLE_TIME`.
    LiveMissing,
    /// A node sent to a target that it knew to be leaving or removed.
    Leaving,
    /// The items revision of a node decreased without a restart.
    RevisionRegressed,
    /// A connected node did not receive the items of its peers.
    ItemsMissing,
}

/// State of a target on the platform.
#[derive(Clone, Copy, Debug)]
struct TargetState {
    boot: u64,
    cold: u64,
    leaving: bool,
}

/// Nodes, their platform, and the oracle's observations.
pub struct Simulation {
    fleet: Fleet,
    fault: InjectedFault,
    revision: u64,
    targets: BTreeMap<usize, TargetState>,
    evacuated: bool,
    /// Range of platform revisions, the end exclusive, in which a target accepts no work.
    closed: BTreeMap<TargetId, (u64, u64)>,
    /// Ends of the targets' cold starts.
    cold: BTreeMap<TargetId, Time>,
    /// Whether the platform is unreachable for each node.
    unreachable: Vec<bool>,
    /// When the platform last became unreachable or reachable for a node.
    access_changed: Option<Time>,
    /// Times at which the items of targets were removed.
    removed: BTreeMap<TargetId, Time>,
    /// Platform revision that each node has read.
    read_revisions: Vec<u64>,
    /// Items by revision.
    items: BTreeMap<u64, (String, Option<Entry>)>,
    /// Items revision of each node when it was last checked.
    revisions: Vec<u64>,
    /// When each stopped node stopped.
    down_since: Vec<Option<Time>>,
    /// Last heartbeats, which `InjectedFault::KeepHeartbeats` continues.
    heartbeats: BTreeMap<usize, Heartbeat>,
    /// Time of the last change that all nodes must learn of.
    last_change: Time,
    /// Time of the last cut, repair, stop or start of a node.
    topology_changed: Time,
    /// Running attempts: end, node, key and target.
    running: Vec<(Time, usize, seam_core::AttemptKey, TargetId)>,
    /// Targets that say in their answers that they leave.
    saying: BTreeSet<TargetId>,
    /// Targets that said so to a node that has not restarted since, with that node and the time.
    said: BTreeMap<TargetId, (usize, Time)>,
    sent: BTreeMap<TargetId, Vec<Time>>,
    tickets: u64,
    violation: Option<Violation>,
}

fn target_name(target: usize) -> String {
    format!("e{target}")
}

fn entry(target: usize, state: TargetState) -> Entry {
    let millis = state.cold * 1000;
    let mut entry = listed(&target_name(target), ENGINE, NORTH, state.leaving, millis);
    if let Entry::Target(target) = &mut entry {
        target.boot = state.boot;
    }
    entry
}

fn target_id(entry: &Entry) -> TargetId {
    match entry {
        Entry::Target(target) => target.id(),
        _ => unreachable!("only targets have an ID"),
    }
}

impl Simulation {
    pub fn new(regions: &[&str], fault: InjectedFault) -> Self {
        let fleet = Fleet::new(regions);
        let nodes = regions.len();
        let mut simulation = Self {
            last_change: fleet.now,
            topology_changed: fleet.now,
            fleet,
            fault,
            revision: 0,
            targets: BTreeMap::new(),
            evacuated: false,
            closed: BTreeMap::new(),
            cold: BTreeMap::new(),
            unreachable: vec![false; nodes],
            access_changed: None,
            removed: BTreeMap::new(),
            read_revisions: vec![0; nodes],
            items: BTreeMap::new(),
            revisions: vec![0; nodes],
            down_since: vec![None; nodes],
            heartbeats: BTreeMap::new(),
            running: Vec::new(),
            saying: BTreeSet::new(),
            said: BTreeMap::new(),
            sent: BTreeMap::new(),
            tickets: 0,
            violation: None,
        };
        simulation.write_item("config".to_owned(), Some(config(7)));
        simulation.wait(20);
        simulation
    }

    /// Returns the first violation.
    pub fn violation(&self) -> Option<Violation> {
        self.violation
    }

    pub fn apply(&mut self, step: Step) {
        if matches!(
            step,
            Step::Cut { .. } | Step::Heal | Step::Kill { .. } | Step::Restart { .. }
        ) {
            self.topology_changed = self.fleet.now;
        }
        match step {
            Step::Arrive { node, count } => self.arrive(node, count),
            Step::Start { target, cold } => self.start(target, cold),
            Step::Leave { target } => self.leave(target),
            Step::SayLeaving { target } => {
                if let Some(state) = self.targets.get(&target) {
                    self.saying.insert(target_id(&entry(target, *state)));
                }
            }
            Step::Remove { target } => self.remove(target),
            Step::Evacuate { on } => self.evacuate(on),
            Step::Cut { one, other } => {
                if one != other {
                    self.fleet
                        .partitions
                        .insert((one.min(other), one.max(other)));
                    self.note_change();
                }
            }
            Step::Heal => {
                self.fleet.partitions.clear();
                self.note_change();
            }
            Step::Kill { node } => {
                // Restarted nodes find no others unless a seed is alive.
                let seeds = SEEDS.iter().filter(|seed| **seed != node);
                let others = seeds.filter(|seed| self.down_since.get(**seed) == Some(&None));
                if !self.fleet.down[node] && others.count() > 0 {
                    self.said.retain(|_, (told, _)| *told != node);
                    self.fleet.down[node] = true;
                    self.down_since[node] = Some(self.fleet.now);
                    self.note_change();
                }
            }
            Step::Restart { node } => {
                self.fleet.restart(node);
                self.said.retain(|_, (told, _)| *told != node);
                self.running.retain(|(_, index, ..)| *index != node);
                self.down_since[node] = None;
                self.revisions[node] = 0;
                self.read_revisions[node] = 0;
                self.note_change();
            }
            Step::SetUnreachable { node, unreachable } => {
                self.unreachable[node] = unreachable;
                self.access_changed = Some(self.fleet.now);
                if !self.fleet.down[node] {
                    self.fleet
                        .handle(node, Event::PlatformUnreachable(unreachable));
                }
                self.note_change();
            }
            Step::Wait { tenths } => self.wait(tenths),
        }
        self.check_revisions();
    }

    /// Records the time of a change that all nodes must learn of.
    fn note_change(&mut self) {
        self.last_change = self.fleet.now;
    }

    fn write_item(&mut self, key: String, entry: Option<Entry>) {
        self.revision += 1;
        self.items.insert(self.revision, (key, entry));
        self.note_change();
    }

    fn start(&mut self, target: usize, cold: u64) {
        if let Some(before) = self.targets.get(&target).copied() {
            // The previous target of this name has ended, as if its item had been removed.
            let id = target_id(&entry(target, before));
            self.removed.insert(id, self.fleet.now);
            self.close_target(id);
        }
        let started = TargetState {
            boot: self.revision + 1,
            cold,
            leaving: false,
        };
        self.targets.insert(target, started);
        let entry = entry(target, started);
        let until = self.fleet.now + Duration::from_secs(cold);
        self.cold.insert(target_id(&entry), until);
        if self.evacuated {
            self.close_target(target_id(&entry));
        }
        self.write_item(target_name(target), Some(entry));
    }

    fn leave(&mut self, target: usize) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        state.leaving = true;
        let entry = entry(target, *state);
        self.close_target(target_id(&entry));
        self.write_item(target_name(target), Some(entry));
    }

    fn remove(&mut self, target: usize) {
        if let Some(before) = self.targets.remove(&target) {
            let id = target_id(&entry(target, before));
            if !before.leaving && !self.evacuated {
                self.removed.insert(id, self.fleet.now);
            }
            self.close_target(id);
            self.write_item(target_name(target), None);
        }
    }

    fn evacuate(&mut self, on: bool) {
        if on == self.evacuated {
            return;
        }
        self.evacuated = on;
        let targets: Vec<_> = self.targets.iter().map(|(key, at)| (*key, *at)).collect();
        for (target, state) in targets {
            let id = target_id(&entry(target, state));
            if on {
                self.close_target(id);
            } else if !state.leaving {
                let next = self.revision + 1;
                if let Some(closed) = self.closed.get_mut(&id) {
                    closed.1 = next;
                }
            }
        }
        let centre = seam_protocol::CentreId::of("north-a");
        self.write_item(
            "evacuate".to_owned(),
            on.then_some(Entry::Evacuation(centre)),
        );
    }

    /// Records that a target accepts no work from the next revision on.
    fn close_target(&mut self, target: TargetId) {
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
            let mut request = arrival(self.tickets, "review", ENGINE, 1);
            request.prompt = Some(prompt(self.tickets % 5, 1000 + self.tickets));
            self.fleet.arrive(node, request);
            self.collect_sends();
        }
    }

    /// Records the attempts that nodes sent to targets, and checks them.
    fn collect_sends(&mut self) {
        for (index, command) in std::mem::take(&mut self.fleet.commands) {
            let Command::Send {
                attempt, target, ..
            } = command
            else {
                continue;
            };
            let now = self.fleet.now;
            self.running.push((now + RUN_TIME, index, attempt, target));
            self.sent.entry(target).or_default().push(now);
            let revision = self.fleet.nodes[index].items_revision();
            let closed = self.closed.get(&target);
            let known_closed =
                closed.is_some_and(|(from, until)| (*from..*until).contains(&revision));
            if known_closed && !self.lease_uncertain(target) {
                self.violation.get_or_insert(Violation::Leaving);
            }
            let told = self.said.get(&target).map(|(_, told)| *told);
            let settled = now.since(self.topology_changed) > SETTLE_TIME;
            if told.is_some_and(|told| now.since(told) > ANSWER_SPREAD)
                && settled
                && self.fleet.partitions.is_empty()
            {
                self.violation.get_or_insert(Violation::Leaving);
            }
            if self.cold.get(&target).is_some_and(|until| now < *until) {
                let sent = &self.sent[&target];
                let recent = sent.iter().filter(|at| now.since(**at) < COLD_WINDOW);
                if recent.count() > COLD_RATE {
                    self.violation.get_or_insert(Violation::Cold);
                }
            }
        }
    }

    /// Returns whether a target's lease may have expired only because the platform was unreachable.
    fn lease_uncertain(&self, target: TargetId) -> bool {
        let now = self.fleet.now;
        let recently_changed = self
            .access_changed
            .is_some_and(|at| now.since(at) < 2 * DRAIN_TIME);
        let uncertain = recently_changed || self.unreachable.contains(&true);
        let removed = self.removed.get(&target);
        uncertain && removed.is_some_and(|at| now.since(*at) < DRAIN_TIME)
    }

    fn wait(&mut self, tenths: u64) {
        let end = self.fleet.now + Duration::from_millis(100 * tenths);
        while self.fleet.now < end {
            self.fleet.wait(ROUND_INTERVAL);
            self.collect_sends();
            self.deliver_items();
            self.complete_due();
            self.inject_fault();
            self.check_directory();
            self.check_revisions();
        }
    }

    /// Delivers new items to the nodes that watch a reachable platform.
    fn deliver_items(&mut self) {
        for index in 0..self.read_revisions.len() {
            let watches = !self.fleet.down[index]
                && !self.unreachable[index]
                && self.fleet.nodes[index].watches_platform(self.fleet.now);
            let from = self.read_revisions[index].max(self.fleet.nodes[index].items_revision());
            if !watches || from >= self.revision {
                continue;
            }
            let batch: Vec<_> = self
                .items
                .range(from + 1..)
                .map(|(revision, (key, entry))| {
                    item(key, *revision, self.visible_entry(entry.clone()))
                })
                .collect();
            self.read_revisions[index] = self.revision;
            self.fleet.publish(index, batch, self.revision);
            self.collect_sends();
        }
    }

    /// Returns an entry as nodes see it under the injected fault.
    fn visible_entry(&self, mut entry: Option<Entry>) -> Option<Entry> {
        if let Some(Entry::Target(target)) = &mut entry {
            match self.fault {
                InjectedFault::HideCold => target.cold = Duration::ZERO,
                InjectedFault::HideLeaving => target.leaving = false,
                _ => {}
            }
        }
        entry
    }

    /// Completes the requests whose run time is over.
    fn complete_due(&mut self) {
        let now = self.fleet.now;
        let (due, rest) = self.running.iter().partition(|(end, ..)| *end <= now);
        let due: Vec<_> = due;
        self.running = rest;
        for (_, index, attempt, target) in due {
            if !self.fleet.down[index] {
                if self.saying.contains(&target) {
                    self.said.entry(target).or_insert((index, now));
                    self.fleet.handle(index, Event::TargetLeaves(target));
                }
                self.fleet.complete(index, attempt);
                self.collect_sends();
            }
        }
    }

    fn inject_fault(&mut self) {
        match self.fault {
            InjectedFault::KeepHeartbeats => {
                for index in 0..self.down_since.len() {
                    if self.down_since[index].is_none() {
                        self.heartbeats
                            .extend(self.fleet.last_heartbeats.remove_entry(&index));
                    } else if let Some(heartbeat) = self.heartbeats.get_mut(&index) {
                        heartbeat.sent += ROUND_INTERVAL.as_micros() as u64;
                        heartbeat.records[0].sequence += 1;
                        let heartbeat = heartbeat.clone();
                        self.fleet.handle(0, Event::Heartbeat(Box::new(heartbeat)));
                    }
                }
            }
            InjectedFault::KeepAnswers => self.fleet.answers_kept = true,
            InjectedFault::DropHeartbeats => self.fleet.blocked_receiver = Some(0),
            InjectedFault::FailFetches => self.fleet.fetches_fail = true,
            InjectedFault::ForgetItems if self.revisions[0] > 1 => self.fleet.restart(0),
            _ => {}
        }
    }

    fn check_revisions(&mut self) {
        for index in 0..self.revisions.len() {
            if self.fleet.down[index] {
                continue;
            }
            let revision = self.fleet.nodes[index].items_revision();
            if revision < self.revisions[index] {
                self.violation.get_or_insert(Violation::RevisionRegressed);
            }
            self.revisions[index] = revision;
        }
    }

    fn check_directory(&mut self) {
        let now = self.fleet.now;
        let nodes = self.down_since.len();
        let settled =
            now.since(self.last_change) >= SETTLE_TIME && self.fleet.partitions.is_empty();
        let platform_reachable =
            (0..nodes).any(|node| self.down_since[node].is_none() && !self.unreachable[node]);
        for index in (0..nodes).filter(|index| self.down_since[*index].is_none()) {
            let listed = self.fleet.nodes[index].directory(now, Some(RegionId::of(NORTH)), None, 0);
            for other in 0..nodes {
                let is_listed = listed.contains(&address(other + 100));
                match self.down_since[other] {
                    Some(since) if is_listed && now.since(since) > DEAD_LISTED_LIMIT => {
                        self.violation.get_or_insert(Violation::DeadListed);
                    }
                    None if settled && platform_reachable && !is_listed => {
                        self.violation.get_or_insert(Violation::LiveMissing);
                    }
                    _ => {}
                }
            }
            if settled
                && platform_reachable
                && self.fleet.nodes[index].items_revision() < self.revision
            {
                self.violation.get_or_insert(Violation::ItemsMissing);
            }
        }
    }
}
