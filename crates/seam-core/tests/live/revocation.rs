//! Nodes with a store that publishes API keys, heartbeats that take time, and an oracle.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::{
    Command, Event, Hop, ItemBatch, Origin, PublishedItem, Refusal, StoreCall, StoreReading,
    StoreScope, WatchCursor,
};
use seam_protocol::tenant::{Tenant, keys};
use seam_protocol::{Delta, Digest, Entry, Heartbeat, RegionId, TenantId, Time, VmId};

use super::fleet::{ENGINE, Fleet, NORTH, address, arrival, config, item, listed};

/// Time after its acknowledged removal for which a key may be accepted.
pub const LIMIT: Duration = Duration::from_secs(5);
/// Time between two steps.
const STEP: Duration = Duration::from_millis(50);
/// Wait of a watch of a node that is confirmed by it.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time until a call that hangs is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive failures after which a node says that it does not reach the store.
const LOST_FAILURES: u32 = 3;

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// What is wrong with the store's answers to watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    None,
    /// They have one change only and state its revision.
    Parts,
    /// They lack the last of several changes, whose revision they state.
    Skips,
    /// Their last change cannot be read.
    Unreadable,
}

/// How the store treats the calls of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Answers,
    Refuses,
    Hangs,
}

/// A call to the store that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    call: StoreCall,
    scope: StoreScope,
    after: u64,
    /// When an answer without changes is given.
    end: Time,
}

/// What a node does to read the store.
#[derive(Clone, Debug, Default)]
struct Reader {
    pending: Option<Pending>,
    /// Reads that verify the configuration.
    reads: Vec<Pending>,
    cursor: WatchCursor,
    replacements: u32,
    read_all: bool,
    failures: u32,
    retry: Time,
    checked: Time,
}

/// Removals of a key: acknowledged, and the time at which a later version restored it.
type Removals = BTreeMap<String, Vec<(Time, Option<Time>)>>;

pub struct World {
    pub fleet: Fleet,
    /// Changes of the store.
    history: BTreeMap<u64, PublishedItem>,
    revision: u64,
    version: u64,
    published: BTreeSet<String>,
    removals: Removals,
    paths: Vec<Path>,
    readers: Vec<Reader>,
    /// Heartbeats under way, by arrival.
    messages: BTreeMap<(Time, u64), (usize, Box<Heartbeat>)>,
    sent: u64,
    rng: Pcg64Mcg,
    delay: Duration,
    loss: f64,
    /// Nodes that receive no heartbeats.
    deaf: BTreeSet<usize>,
    pub damage: Damage,
    /// Size of the configuration's item, by which it is read more or less often.
    pub config_bytes: usize,
    /// Whether confirmations are of another meaning of the configuration than the sender's.
    pub other_meaning: bool,
    /// Calls to the store so far.
    pub calls: usize,
    /// Whether no heartbeat had a confirmation.
    pub without_confirmations: bool,
    /// Steps in which a running node refused a key that is published.
    refused: Vec<usize>,
    /// Log lines of the nodes.
    pub log: Vec<(usize, Command)>,
    tickets: u64,
}

impl World {
    pub fn new(regions: &[&str]) -> Self {
        Self::with_limit(regions, Some(LIMIT.as_millis() as u64))
    }

    pub fn without_limit(regions: &[&str]) -> Self {
        Self::with_limit(regions, None)
    }

    fn with_limit(regions: &[&str], limit: Option<u64>) -> Self {
        let mut fleet = Fleet::new(regions);
        fleet.now = Time(1_000_000);
        fleet.revocation_limit = limit;
        fleet.heartbeats_held = true;
        // Clocks of processes have nothing in common.
        for index in 0..regions.len() {
            let lead = Duration::from_millis(7_300 * (index as u64 * 5 % 8));
            fleet.clock_leads.insert(index, lead);
        }
        let mut world = Self {
            fleet,
            history: BTreeMap::new(),
            revision: 0,
            version: 0,
            published: BTreeSet::new(),
            removals: BTreeMap::new(),
            paths: vec![Path::Answers; regions.len()],
            readers: vec![Reader::default(); regions.len()],
            messages: BTreeMap::new(),
            sent: 0,
            rng: Pcg64Mcg::seed_from_u64(1),
            delay: Duration::from_millis(40),
            loss: 0.0,
            deaf: BTreeSet::new(),
            damage: Damage::None,
            config_bytes: 1,
            other_meaning: false,
            calls: 0,
            without_confirmations: true,
            refused: vec![0; regions.len()],
            log: Vec::new(),
            tickets: 0,
        };
        for index in 0..regions.len() {
            world.restart(index);
        }
        world
    }

    /// Starts a node anew, without its state.
    pub fn restart(&mut self, index: usize) {
        self.fleet.restart(index);
        self.readers[index] = Reader {
            read_all: true,
            ..Reader::default()
        };
    }

    fn put(&mut self, key: &str, entry: Entry) {
        self.revision += 1;
        let mut published = item(key, self.revision, Some(entry));
        if key == "config" {
            published.item.value = Some(vec![1; self.config_bytes]);
        }
        self.history.insert(self.revision, published);
    }

    /// Publishes a version with these keys, each of a tenant of its own; the store acknowledges it at once.
    pub fn publish(&mut self, names: &[&str]) {
        self.version += 1;
        let Entry::Config(bundle) = config(self.version) else {
            unreachable!("a configuration is one");
        };
        let mut bundle = (*bundle).clone();
        for name in names {
            let tenant = Tenant {
                name: (*name).to_owned(),
                keys: vec![Digest::of(name.as_bytes())],
                priority: None,
                allowance: None,
                home_regions: None,
            };
            bundle.tenants.insert(TenantId::of(name), tenant);
        }
        self.put("config", Entry::Config(Arc::new(bundle)));
        let now = self.fleet.now;
        let names: BTreeSet<String> = names.iter().map(|name| (*name).to_owned()).collect();
        for gone in self.published.difference(&names) {
            self.removals
                .entry(gone.clone())
                .or_default()
                .push((now, None));
        }
        for back in names.difference(&self.published) {
            let removals = self.removals.get_mut(back);
            if let Some((_, restored)) = removals.and_then(|removals| removals.last_mut()) {
                *restored = Some(now);
            }
        }
        self.published = names;
    }

    /// Publishes a version that nodes cannot use, and that removes all keys.
    pub fn publish_unusable(&mut self) {
        self.put("config", Entry::Unusable("no version".to_owned()));
        let now = self.fleet.now;
        for gone in std::mem::take(&mut self.published) {
            self.removals.entry(gone).or_default().push((now, None));
        }
    }

    pub fn publish_target(&mut self, name: &str) {
        self.put(name, listed(name, ENGINE, NORTH, false, 0));
    }

    /// Takes the last changes from the store, as if it returned to an older copy. What the copy has counts as
    /// published, without a limit on what was removed before.
    pub fn copy_back(&mut self, changes: usize) {
        for _ in 0..changes {
            self.history.pop_last();
        }
        self.revision = self.history.keys().last().copied().unwrap_or_default();
        self.removals.clear();
    }

    pub fn cut_store(&mut self, nodes: &[usize]) {
        self.set_paths(nodes, Path::Refuses);
    }

    pub fn hang_store(&mut self, nodes: &[usize]) {
        self.set_paths(nodes, Path::Hangs);
    }

    pub fn restore_store(&mut self, nodes: &[usize]) {
        self.set_paths(nodes, Path::Answers);
    }

    fn set_paths(&mut self, nodes: &[usize], path: Path) {
        for index in nodes {
            self.paths[*index] = path;
        }
    }

    /// Cuts a node off from all others.
    pub fn isolate(&mut self, index: usize) {
        let others: Vec<usize> = (0..self.paths.len())
            .filter(|other| *other != index)
            .collect();
        self.separate(&[index], &others);
    }

    /// Connects a node with all others.
    pub fn rejoin(&mut self, index: usize) {
        self.deaf.remove(&index);
        self.fleet
            .partitions
            .retain(|(one, other)| *one != index && *other != index);
    }

    /// Lets a node receive no heartbeats; its own arrive.
    pub fn deafen(&mut self, index: usize) {
        self.deaf.insert(index);
    }

    pub fn separate(&mut self, one: &[usize], other: &[usize]) {
        for first in one {
            for second in other {
                let pair = (*first.min(second), *first.max(second));
                self.fleet.partitions.insert(pair);
            }
        }
    }

    pub fn connect(&mut self, one: &[usize], other: &[usize]) {
        for first in one {
            for second in other {
                let pair = (*first.min(second), *first.max(second));
                self.fleet.partitions.remove(&pair);
            }
        }
    }

    /// Ends every trouble.
    pub fn heal(&mut self) {
        self.fleet.partitions.clear();
        self.deaf.clear();
        self.paths = vec![Path::Answers; self.paths.len()];
        self.fleet.down = vec![false; self.paths.len()];
    }

    /// Delays each heartbeat by up to `longest`, and drops a part of them.
    pub fn delay_heartbeats(&mut self, seed: u64, longest: Duration, loss: f64) {
        self.rng = Pcg64Mcg::seed_from_u64(seed);
        (self.delay, self.loss) = (longest, loss);
    }

    /// Returns the nodes among these that watch the store.
    pub fn watchers(&self, among: &[usize]) -> Vec<usize> {
        let watches =
            |index: &usize| self.fleet.nodes[*index].watches_platform(self.fleet.clock(*index));
        among.iter().copied().filter(watches).collect()
    }

    /// Returns the nodes that a node's directory names to callers.
    pub fn directory(&self, index: usize) -> Vec<usize> {
        let now = self.fleet.clock(index);
        let region = Some(RegionId::of(NORTH));
        let named = self.fleet.nodes[index].directory(now, region, None, 0);
        let named = named.into_iter();
        let indices = named.map(|named| usize::from(named.port()) - 7100);
        let mut indices: Vec<usize> = indices.collect();
        indices.sort_unstable();
        indices
    }

    /// Returns the age of the oldest confirmation.
    pub fn oldest(&self) -> Duration {
        let nodes = self.fleet.nodes.iter().enumerate();
        let ages = nodes.map(|(index, node)| node.confirmation_age(self.fleet.clock(index)));
        ages.map(Option::unwrap_or_default)
            .max()
            .unwrap_or_default()
    }

    /// Lets a request arrive at a node. Returns the refusals.
    pub fn arrive(&mut self, index: usize, keyed: bool, forwarded: bool) -> Vec<Refusal> {
        self.tickets += 1;
        let mut arrival = arrival(self.tickets, "view", super::fleet::PLAIN, 1);
        arrival.tenant = keyed.then(|| TenantId::of("a"));
        if forwarded {
            let hop = Hop {
                vm: VmId::of("vm-1"),
                region: RegionId::of(NORTH),
            };
            arrival.origin = Origin::Peer {
                hops: vec![hop],
                revision: 1,
            };
        }
        self.fleet.commands.clear();
        self.fleet.arrive(index, arrival);
        let refusals = self.fleet.refusals();
        self.carry();
        refusals
    }

    /// Counts refusals from now on.
    pub fn begin_count(&mut self) {
        self.refused = vec![0; self.refused.len()];
    }

    /// Returns the steps in which each running node refused a key that is published.
    pub fn refused(&self) -> Vec<usize> {
        self.refused.clone()
    }

    fn admits(&mut self, index: usize, name: &str) -> bool {
        let now = self.fleet.clock(index);
        let node = &mut self.fleet.nodes[index];
        let Some(bundle) = node.bundle().cloned() else {
            return false;
        };
        // The adapter looks the key up, and has the check made at the same moment.
        let found = keys(&bundle.tenants).contains_key(&Digest::of(name.as_bytes()));
        let version = node.config_version();
        found && node.check_keyed(now, &version).is_ok()
    }

    #[track_caller]
    pub fn assert_admitted(&mut self, name: &str, nodes: impl IntoIterator<Item = usize>) {
        for index in nodes {
            assert!(
                self.admits(index, name),
                "node {index} refuses {name}: {}",
                self.state(index)
            );
        }
    }

    #[track_caller]
    pub fn assert_refused(&mut self, name: &str, nodes: impl IntoIterator<Item = usize>) {
        for index in nodes {
            assert!(
                !self.admits(index, name),
                "node {index} admits {name}: {}",
                self.state(index)
            );
        }
    }

    fn state(&self, index: usize) -> String {
        let now = self.fleet.clock(index);
        let status = self.fleet.nodes[index].status(now);
        format!(
            "at {:?}, items {}, {:?}",
            self.fleet.now, status.items, status.config
        )
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.now = self.fleet.now + STEP;
            self.deliver();
            for index in 0..self.paths.len() {
                if self.fleet.down[index] {
                    continue;
                }
                self.fleet.handle(index, Event::Tick);
                self.read_store(index);
            }
            self.carry();
            self.judge();
        }
    }

    /// Delivers the heartbeats that are due. A node that is paused receives them after it.
    fn deliver(&mut self) {
        let now = self.fleet.now;
        let later = self
            .messages
            .split_off(&(now + Duration::from_micros(1), 0));
        let due = std::mem::replace(&mut self.messages, later);
        for (key, (to, heartbeat)) in due {
            if self.fleet.down[to] {
                self.messages.insert((now + STEP, key.1), (to, heartbeat));
            } else if !self.deaf.contains(&to) {
                self.fleet.handle(to, Event::Heartbeat(heartbeat));
            }
        }
        self.carry();
    }

    /// Sends heartbeats on their way, and keeps log lines.
    fn carry(&mut self) {
        for (from, command) in std::mem::take(&mut self.fleet.commands) {
            match command {
                Command::Heartbeat {
                    address: to,
                    mut heartbeat,
                    ..
                } => {
                    self.without_confirmations &= heartbeat.confirmation.is_none();
                    if self.other_meaning {
                        heartbeat.config.digest ^= 1;
                    }
                    let to = (0..self.paths.len()).find(|other| address(*other) == to);
                    let reaches = |to: &usize| {
                        let pair = (from.min(*to), from.max(*to));
                        !self.fleet.partitions.contains(&pair)
                    };
                    let lost = self.loss > 0.0 && self.rng.random_range(0.0..1.0) < self.loss;
                    if let Some(to) = to.filter(reaches).filter(|_| !lost) {
                        // Encoded and decoded, as on the wire.
                        let decoded = Heartbeat::decode(&heartbeat.encode());
                        let heartbeat = Box::new(decoded.expect("a heartbeat can be decoded"));
                        let longest = self.delay.as_micros() as u64;
                        let delay = Duration::from_micros(self.rng.random_range(0..=longest));
                        self.sent += 1;
                        let key = (self.fleet.now + delay, self.sent);
                        self.messages.insert(key, (to, heartbeat));
                    }
                }
                Command::LogAdmission { .. } => self.log.push((from, command)),
                _ => {}
            }
        }
    }

    /// Tries every key at every node.
    fn judge(&mut self) {
        let now = self.fleet.now;
        for index in 0..self.paths.len() {
            if self.fleet.down[index] {
                continue;
            }
            for name in ["a", "b", "c"] {
                let admitted = self.admits(index, name);
                let removals = self.removals.get(name).into_iter().flatten();
                let revoked = |(removed, restored): &&(Time, Option<Time>)| {
                    now > *removed + LIMIT && restored.is_none_or(|restored| now < restored)
                };
                let late = removals.clone().find(revoked);
                assert!(
                    !admitted || late.is_none(),
                    "node {index} admits {name}, removed {late:?}: {}",
                    self.state(index)
                );
                let settled = removals.last().is_none_or(|(_, restored)| {
                    restored.is_some_and(|restored| now > restored + seconds(4))
                });
                if !admitted && settled && self.published.contains(name) {
                    self.refused[index] += 1;
                }
            }
        }
    }

    /// Lets a node read the store as the adapter does.
    fn read_store(&mut self, index: usize) {
        let (now, path) = (self.fleet.now, self.paths[index]);
        let clock = self.fleet.clock(index);
        let mut reader = std::mem::take(&mut self.readers[index]);
        if reader.checked <= now {
            reader.checked = now + Duration::from_millis(250);
            if let Some((scope, call)) = self.fleet.nodes[index].due_read(clock) {
                self.calls += 1;
                reader.reads.push(Pending {
                    call,
                    scope,
                    after: 0,
                    end: now + STEP,
                });
            }
        }
        for read in std::mem::take(&mut reader.reads) {
            let ended = read.end <= now;
            match path {
                Path::Answers if ended => self.answer_read(index, read),
                Path::Refuses => self.fleet.nodes[index].note_failed_read(clock, read.scope),
                Path::Hangs if now.since(read.end) > CALL_TIMEOUT => {
                    self.fleet.nodes[index].note_failed_read(clock, read.scope);
                }
                _ => reader.reads.push(read),
            }
        }
        let node = &mut self.fleet.nodes[index];
        if let Some(pending) = reader.pending {
            match path {
                Path::Refuses => self.fail(index, &mut reader),
                Path::Hangs if now.since(pending.end) > CALL_TIMEOUT => {
                    self.fail(index, &mut reader);
                }
                Path::Hangs => {}
                Path::Answers => self.answer(index, &mut reader, pending),
            }
        } else if reader.retry <= now && (reader.read_all || node.watches_platform(clock)) {
            let call = node.begin_store_call(clock);
            if reader.replacements != call.replacements {
                reader.replacements = call.replacements;
                reader.cursor = WatchCursor::default();
            }
            let scope = if reader.read_all {
                StoreScope::All
            } else {
                StoreScope::Changes
            };
            let wait = if reader.read_all { STEP } else { WATCH_WAIT };
            self.calls += 1;
            reader.pending = Some(Pending {
                call,
                scope,
                after: call.claim,
                end: now + wait,
            });
        }
        self.readers[index] = reader;
    }

    fn fail(&mut self, index: usize, reader: &mut Reader) {
        reader.pending = None;
        reader.failures += 1;
        reader.retry = self.fleet.now + Duration::from_millis(600);
        if reader.failures >= LOST_FAILURES {
            self.fleet.handle(index, Event::PlatformUnreachable(true));
        }
    }

    /// Returns the store's present items.
    fn list(&self) -> Vec<PublishedItem> {
        let mut items = BTreeMap::new();
        for published in self.history.values() {
            items.insert(published.item.key.clone(), published.clone());
        }
        items.into_values().collect()
    }

    fn answer_read(&mut self, index: usize, read: Pending) {
        let mut batch = ItemBatch {
            items: self.list(),
            revision: self.revision,
            full: true,
        };
        if read.scope == StoreScope::Config {
            batch
                .items
                .retain(|published| published.item.key == "config");
            (batch.revision, batch.full) = (0, false);
        }
        self.give(
            index,
            (read.scope, read.call),
            batch,
            (Some(self.revision), true),
        );
    }

    /// Answers a call that follows the store.
    fn answer(&mut self, index: usize, reader: &mut Reader, pending: Pending) {
        if pending.scope == StoreScope::All {
            if pending.end <= self.fleet.now {
                (reader.pending, reader.read_all, reader.failures) = (None, false, 0);
                self.fleet.handle(index, Event::PlatformUnreachable(false));
                self.answer_read(index, pending);
            }
            return;
        }
        let after = pending.after;
        let mut events: Vec<PublishedItem> = self
            .history
            .range(after + 1..)
            .map(|(_, published)| published.clone())
            .collect();
        if events.is_empty() && self.fleet.now < pending.end {
            return;
        }
        let (mut stated, mut complete) = (self.revision, true);
        match self.damage {
            Damage::Parts if !events.is_empty() => {
                events.truncate(1);
                stated = events[0].item.revision;
            }
            Damage::Skips if !events.is_empty() => drop(events.pop()),
            Damage::Unreadable if !events.is_empty() => {
                events.pop();
                complete = false;
            }
            _ => {}
        }
        (reader.pending, reader.failures) = (None, 0);
        self.fleet.handle(index, Event::PlatformUnreachable(false));
        let delta = Delta {
            items: events
                .iter()
                .map(|published| published.item.clone())
                .collect(),
            revision: events
                .last()
                .map_or(stated, |last| last.item.revision.max(stated)),
            full: false,
        };
        let revision = if complete {
            reader.cursor.confirm(after, delta).revision
        } else {
            reader.read_all = true;
            0
        };
        let batch = ItemBatch {
            items: events,
            revision,
            full: false,
        };
        self.give(
            index,
            (StoreScope::Changes, pending.call),
            batch,
            (Some(stated), complete),
        );
    }

    /// Answers a call that begins now without changes. Returns when it began.
    pub fn answer_empty(
        &mut self,
        index: usize,
        revision: u64,
        stated: Option<u64>,
        complete: bool,
    ) -> Time {
        let now = self.fleet.clock(index);
        let call = self.fleet.nodes[index].begin_store_call(now);
        self.answer_call(index, call, revision, (stated, complete));
        call.begun
    }

    /// Answers a call for changes without any; they are known up to a revision.
    pub fn answer_call(
        &mut self,
        index: usize,
        call: StoreCall,
        revision: u64,
        (stated, complete): (Option<u64>, bool),
    ) {
        let batch = ItemBatch {
            items: Vec::new(),
            revision,
            full: false,
        };
        self.give(
            index,
            (StoreScope::Changes, call),
            batch,
            (stated, complete),
        );
    }

    fn give(
        &mut self,
        index: usize,
        (scope, call): (StoreScope, StoreCall),
        batch: ItemBatch,
        (stated, complete): (Option<u64>, bool),
    ) {
        let reading = StoreReading {
            call,
            scope,
            batch: self.fleet.with_entries(batch),
            stated,
            complete,
        };
        self.fleet.handle(index, Event::StoreRead(reading));
    }
}
