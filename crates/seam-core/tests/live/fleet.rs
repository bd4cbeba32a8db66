//! A fleet of nodes without I/O. Heartbeats and items are delivered immediately; tests publish the
//! platform's items.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use seam_core::prompt::Part;
use seam_core::{
    Arrival, AttemptKey, AttemptOutcome, Command, Event, Identity, ItemBatch, Node, Origin, Prompt,
    PublishedItem, Refusal, RouteRules, Source, StoreCall, StoreReading, StoreScope, Ticket,
};
use seam_protocol::bundle::{Capacity, Deployment, Region};
use seam_protocol::route::{Share, routed_service};
use seam_protocol::{
    Bundle, CentreId, CustomerId, DataCentre, Digest, Entry, Fingerprint, Heartbeat, HostRoute,
    Incarnation, Kind, ListedTarget, RawItem, RegionId, RetryPolicy, ServiceId, Target, TargetId,
    Time, Vm, VmId,
};

pub const NORTH: &str = "north";
pub const SOUTH: &str = "south";
/// Service of inference engines.
pub const ENGINE: &str = "writer";
/// Plain HTTP service.
pub const PLAIN: &str = "desk";
/// Indices of the seed nodes that every node is given at its start. The last one does not exist.
pub const SEEDS: [usize; 3] = [0, 1, 99];
/// Host whose only route is bound to the north.
pub const HOME_HOST: &str = "home.example";
/// Host whose routes are bound to different regions.
pub const SPLIT_HOST: &str = "split.example";
/// Name of a target that is cold after its start.
pub const COLD_TARGET: &str = "e-cold";

fn region(name: &str) -> (RegionId, Region) {
    let centre = DataCentre {
        name: format!("{name}-a"),
    };
    let centres = BTreeMap::from([(CentreId::of(&centre.name), centre)]);
    let name = name.to_owned();
    (RegionId::of(&name), Region { name, centres })
}

pub fn base_bundle() -> Bundle {
    let regions = [NORTH, SOUTH].map(region);
    let deployment = Deployment {
        name: String::new(),
        latency_weight: 0.7,
        regions: BTreeMap::from(regions),
        links: Vec::new(),
        vms: BTreeMap::new(),
        loads_per_minute: 1,
        repeat_window: 1,
    };
    Bundle {
        retries: Some(50),
        ..Bundle::new(deployment)
    }
}

pub fn route(name: &str, service: &str, retry_policy: RetryPolicy, attempts: u8) -> HostRoute {
    HostRoute {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        shares: vec![Share {
            service: ServiceId::of(service),
            weight: 1,
        }],
        retry_policy,
        streams: service == ENGINE,
        timeout: 4000,
        objective: 800,
        rank: 0,
        attempts,
        public: false,
        home_regions: None,
    }
}

pub fn config(version: u64) -> Entry {
    let mut bundle = base_bundle();
    bundle.revision = version;
    bundle.digest = Digest::of(&version.to_be_bytes());
    let capacity = Capacity {
        connections: 100,
        kv_tokens: 500_000,
        cold_rate: 5.25,
        cold_start: 3000,
        copies: true,
    };
    let plain = Capacity {
        kv_tokens: 0,
        cold_start: 0,
        ..capacity
    };
    for (name, kind, capacity) in [
        (ENGINE, Kind::Engine, capacity),
        (PLAIN, Kind::Plain, plain),
    ] {
        let mut service = routed_service(name, kind, capacity, 400);
        service.health = Some("/health".to_owned());
        bundle.services.insert(ServiceId::of(name), service);
    }
    let routes = [
        route("review", ENGINE, RetryPolicy::Once, 1),
        route("hint", ENGINE, RetryPolicy::Resumable, 2),
        route("view", PLAIN, RetryPolicy::Idempotent, 2),
        route("single", PLAIN, RetryPolicy::Idempotent, 1),
        route("book", PLAIN, RetryPolicy::Once, 1),
    ];
    for route in routes {
        bundle
            .customers
            .insert(CustomerId::of(&route.name), route.customer());
        bundle.routes.insert("salon.example", route);
    }
    for (host, name, region) in [
        (HOME_HOST, "ledger", NORTH),
        (SPLIT_HOST, "north-ledger", NORTH),
        (SPLIT_HOST, "south-ledger", SOUTH),
    ] {
        let mut home = route(name, PLAIN, RetryPolicy::Once, 1);
        home.home_regions = Some(BTreeSet::from([RegionId::of(region)]));
        let customer = home.customer();
        bundle.customers.insert(CustomerId::of(name), customer);
        bundle.routes.insert(host, home);
    }
    Entry::Config(Arc::new(bundle))
}

pub fn listed(name: &str, service: &str, region: &str, leaving: bool, cold: u64) -> Entry {
    Entry::Target(Box::new(ListedTarget {
        spec: Target {
            name: name.to_owned(),
            region: RegionId::of(region),
            centre: CentreId::of(&format!("{region}-a")),
            address: "127.0.0.1:9".parse().unwrap(),
            slots: 64,
            fenced: false,
            version: String::new(),
        },
        boot: 1,
        sequence: 0,
        service: ServiceId::of(service),
        leaving,
        cold: Duration::from_millis(cold),
    }))
}

pub fn item(key: &str, revision: u64, entry: Option<Entry>) -> PublishedItem {
    let value = entry.as_ref().map(|_| vec![1]);
    let item = RawItem {
        key: key.to_owned(),
        revision,
        value,
        lapsed: false,
    };
    PublishedItem { item, entry }
}

pub fn address(index: usize) -> std::net::SocketAddr {
    format!("127.0.0.1:{}", 7000 + index).parse().unwrap()
}

/// Nodes whose heartbeats and item fetches are delivered immediately.
pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    /// Commands that the fleet does not carry out itself, with the node that issued them.
    pub commands: Vec<(usize, Command)>,
    pub down: Vec<bool>,
    /// Pairs of nodes that cannot reach each other, the smaller index first.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Node that receives no heartbeats.
    pub blocked_receiver: Option<usize>,
    /// Whether heartbeats lack what targets said in their answers.
    pub answers_kept: bool,
    /// Whether fetches of items from other nodes never end.
    pub fetches_fail: bool,
    /// Whether fetches of items are left to the test, as commands.
    pub fetches_held: bool,
    /// Whether heartbeats are left to the test, as commands.
    pub heartbeats_held: bool,
    /// Nodes that send no items to others, and say so at once.
    pub refusing_sources: BTreeSet<usize>,
    /// Fetches of items begun so far, by node.
    pub fetches: BTreeMap<usize, usize>,
    /// Last heartbeat that each node sent to a reachable node.
    pub last_heartbeats: BTreeMap<usize, Heartbeat>,
    regions: Vec<String>,
    /// Capacity weights of the nodes, where they differ from the default.
    weights: Vec<u32>,
    /// Nodes started so far, which numbers their incarnations.
    boots: u64,
    /// Limit in milliseconds on the time for which a revoked API key is accepted.
    pub revocation_limit: Option<u64>,
    /// What each node's clock is ahead of [`Self::now`], where it is.
    pub clock_leads: BTreeMap<usize, Duration>,
    /// Published entries by key and revision.
    published: BTreeMap<(String, u64), Entry>,
}

impl Fleet {
    pub fn new(regions: &[&str]) -> Self {
        Self::with_weights(regions, &[])
    }

    /// Starts nodes with different weights.
    pub fn with_weights(regions: &[&str], weights: &[u32]) -> Self {
        let mut fleet = Self {
            now: Time(1),
            nodes: Vec::new(),
            commands: Vec::new(),
            down: vec![false; regions.len()],
            partitions: BTreeSet::new(),
            blocked_receiver: None,
            answers_kept: false,
            fetches_fail: false,
            fetches_held: false,
            heartbeats_held: false,
            refusing_sources: BTreeSet::new(),
            fetches: BTreeMap::new(),
            last_heartbeats: BTreeMap::new(),
            regions: regions.iter().map(|region| (*region).to_owned()).collect(),
            weights: weights.to_vec(),
            boots: 0,
            revocation_limit: None,
            clock_leads: BTreeMap::new(),
            published: BTreeMap::new(),
        };
        for index in 0..regions.len() {
            let node = fleet.start_node(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Starts a node.
    fn start_node(&mut self, index: usize) -> Node {
        self.boots += 1;
        let region = &self.regions[index];
        let name = format!("vm-{index}");
        let id = Identity {
            vm: VmId::of(&name),
            region: RegionId::of(region),
            incarnation: Incarnation(self.boots),
        };
        let own = Vm {
            name,
            region: id.region,
            centre: CentreId::of(&format!("{region}-a")),
            caller: address(index + 100),
            peer: address(index),
            weight: self
                .weights
                .get(index)
                .copied()
                .unwrap_or(Vm::DEFAULT_WEIGHT),
        };
        let now = self.clock(index);
        let mut node = Node::new(id, self.boots, now);
        let seeds = SEEDS.map(address).to_vec();
        node.join(now, own, seeds, self.with_regions(&base_bundle()));
        node
    }

    /// Adds the regions of this fleet to a bundle.
    fn with_regions(&self, bundle: &Bundle) -> Bundle {
        let mut bundle = bundle.clone();
        bundle.tenant_bounds.revocation_limit = self.revocation_limit;
        for name in &self.regions {
            let (id, region) = region(name);
            bundle.deployment.regions.entry(id).or_insert(region);
        }
        bundle
    }

    /// Returns the time on a node's clock.
    pub fn clock(&self, index: usize) -> Time {
        self.now + self.clock_leads.get(&index).copied().unwrap_or_default()
    }

    /// Restarts a node without its state.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.start_node(index);
        self.down[index] = false;
    }

    /// Starts a node that no other one knows, and returns its index.
    pub fn add(&mut self, region: &str, weight: u32) -> usize {
        self.regions.push(region.to_owned());
        self.weights.push(weight);
        self.down.push(false);
        let node = self.start_node(self.nodes.len());
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Returns whether two nodes can reach each other.
    pub fn connected(&self, one: usize, other: usize) -> bool {
        let pair = (one.min(other), one.max(other));
        !self.down[one] && !self.down[other] && !self.partitions.contains(&pair)
    }

    pub fn handle(&mut self, index: usize, event: Event) {
        let mut commands = Vec::new();
        let now = self.clock(index);
        self.nodes[index].handle(now, event, &mut commands);
        for command in commands {
            match command {
                Command::Heartbeat {
                    address: to,
                    mut heartbeat,
                    ..
                } if !self.heartbeats_held => {
                    if self.answers_kept {
                        heartbeat.leaving.clear();
                    }
                    let to = (0..self.nodes.len()).find(|other| address(*other) == to);
                    if let Some(to) = to.filter(|to| self.connected(index, *to)) {
                        self.last_heartbeats.insert(index, (*heartbeat).clone());
                        if self.blocked_receiver != Some(to) {
                            self.handle(to, Event::Heartbeat(heartbeat));
                        }
                    }
                }
                Command::FetchItems {
                    address: from,
                    since,
                    source,
                    ..
                } if !self.fetches_held => {
                    *self.fetches.entry(index).or_default() += 1;
                    let from = (0..self.nodes.len()).find(|other| address(*other) == from);
                    let reached = |from: &usize| !self.fetches_fail && self.connected(index, *from);
                    let Some(from) = from.filter(reached) else {
                        continue;
                    };
                    if self.refusing_sources.contains(&from) {
                        let peer = VmId::of(&format!("vm-{from}"));
                        self.handle(index, Event::ItemsNotRead(peer));
                        continue;
                    }
                    let epoch = self.nodes[from].items_epoch();
                    let comparable = epoch == self.nodes[index].items_epoch();
                    let items = self.items_since(from, if comparable { since } else { 0 });
                    let from = VmId::of(&format!("vm-{from}"));
                    let fetched = Event::ItemsFetched {
                        from,
                        epoch,
                        items,
                        source,
                    };
                    self.handle(index, fetched);
                }
                command => self.commands.push((index, command)),
            }
        }
    }

    /// Advances the time, with a tick of every running node each 50 ms.
    pub fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            for index in 0..self.nodes.len() {
                if !self.down[index] {
                    self.handle(index, Event::Tick);
                }
            }
        }
    }

    /// Lets a node stand still for a time, in which the others go on and something happens.
    pub fn pause(&mut self, index: usize, span: Duration, meanwhile: impl FnOnce(&mut Self)) {
        let down = std::mem::replace(&mut self.down[index], true);
        self.wait(span / 2);
        meanwhile(self);
        self.wait(span / 2);
        self.down[index] = down;
    }

    /// Returns the items that a node sends to one that has a revision.
    pub fn items_since(&self, index: usize, revision: u64) -> ItemBatch {
        let delta = self.nodes[index].items_since(revision);
        ItemBatch::read(delta, |item| self.entry(item))
    }

    /// Returns the published entry of an item.
    fn entry(&self, item: &RawItem) -> Option<Entry> {
        item.value.as_ref()?;
        let known = self.published.get(&(item.key.clone(), item.revision));
        Some(known.expect("peers only forward published items").clone())
    }

    /// Delivers items of the platform to a node, up to the platform's `revision`.
    pub fn publish(&mut self, index: usize, items: Vec<PublishedItem>, revision: u64) {
        let batch = ItemBatch {
            items,
            revision,
            full: false,
        };
        self.publish_batch(index, batch);
    }

    /// Delivers a batch of the platform's items to a node.
    pub fn publish_batch(&mut self, index: usize, batch: ItemBatch) {
        let batch = self.with_entries(batch);
        self.handle(index, Event::ItemsRead(batch, Source::Platform));
    }

    /// Delivers the answer to a call to the store to a node.
    pub fn answer(
        &mut self,
        index: usize,
        (scope, call): (StoreScope, StoreCall),
        batch: ItemBatch,
        stated: Option<u64>,
    ) {
        let batch = self.with_entries(batch);
        let reading = StoreReading {
            call,
            scope,
            batch,
            stated,
            complete: true,
        };
        self.handle(index, Event::StoreRead(reading));
    }

    /// Adds the regions of this fleet to the configurations of a batch, and notes its entries.
    pub fn with_entries(&mut self, mut batch: ItemBatch) -> ItemBatch {
        for PublishedItem { item, entry } in &mut batch.items {
            if let Some(Entry::Config(bundle)) = entry {
                *bundle = Arc::new(self.with_regions(bundle));
            }
            if let Some(entry) = entry {
                let key = (item.key.clone(), item.revision);
                self.published.insert(key, entry.clone());
            }
        }
        batch
    }

    pub fn arrive(&mut self, index: usize, arrival: Arrival) {
        self.handle(index, Event::Arrive(arrival));
    }

    /// Completes an attempt with a full response.
    pub fn complete(&mut self, index: usize, attempt: AttemptKey) {
        self.handle(index, Event::FirstBytes(attempt));
        let reply = AttemptOutcome::Complete {
            response: None,
            success: true,
        };
        self.handle(index, Event::AttemptEnded(attempt, reply));
    }

    /// Reports that a target is silent on an attempt but accepts a new connection.
    pub fn report_silence(&mut self, index: usize, attempt: AttemptKey, target: TargetId) {
        self.handle(index, Event::Sending(attempt));
        self.handle(index, Event::Silent(attempt));
        let accepted = true;
        self.handle(index, Event::Probed { target, accepted });
    }

    pub fn sends(&self) -> Vec<(usize, AttemptKey, TargetId)> {
        let sends = self
            .commands
            .iter()
            .filter_map(|(index, command)| match command {
                Command::Send {
                    attempt, target, ..
                } => Some((*index, *attempt, *target)),
                _ => None,
            });
        sends.collect()
    }

    /// Counts the attempts sent to each target.
    pub fn counts(&self) -> BTreeMap<TargetId, usize> {
        let mut counts = BTreeMap::new();
        for (_, _, target) in self.sends() {
            *counts.entry(target).or_default() += 1;
        }
        counts
    }

    /// Returns the forwarded attempts and the addresses of the nodes that they go to.
    pub fn forwards(&self) -> Vec<(AttemptKey, std::net::SocketAddr)> {
        let forwards = self
            .commands
            .iter()
            .filter_map(|(_, command)| match command {
                Command::Forward {
                    attempt, address, ..
                } => Some((*attempt, *address)),
                _ => None,
            });
        forwards.collect()
    }

    pub fn refusals(&self) -> Vec<Refusal> {
        let refusals = self
            .commands
            .iter()
            .filter_map(|(_, command)| match command {
                Command::Refuse { refusal, .. } => Some(*refusal),
                _ => None,
            });
        refusals.collect()
    }
}

/// Returns the entry that these tests publish under a key.
pub fn entry_of(key: &str) -> Entry {
    match key {
        "config" => config(7),
        COLD_TARGET => listed(COLD_TARGET, ENGINE, NORTH, false, 4000),
        _ => listed(
            key,
            if key.starts_with('e') { ENGINE } else { PLAIN },
            NORTH,
            false,
            0,
        ),
    }
}

pub fn arrival(ticket: u64, route: &str, service: &str, attempts: u32) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        origin: Origin::Caller,
        customer: CustomerId::of(route),
        service: ServiceId::of(service),
        repeatable: matches!(route, "view" | "single" | "hint"),
        replayable: true,
        key: None,
        fingerprint: Fingerprint(ticket),
        attributes: Vec::new(),
        prefix: None,
        budget: Duration::from_secs(4),
        tenant: None,
        route: Some(RouteRules {
            objective: Duration::from_millis(800),
            max_attempts: attempts,
            rank: 0,
            kind: 0,
            streams: service == ENGINE,
            resumable: route == "hint",
        }),
        prompt: None,
        stream: None,
    }
}

/// Returns a prompt of three parts; the last one is unique to the request.
pub fn prompt(middle: u64, own: u64) -> Arc<Prompt> {
    let part = |id, tokens| Part { id, tokens };
    Arc::new(Prompt {
        parts: vec![part(1, 2500), part(middle, 3800), part(own, 500)],
        input_tokens: 6800,
        output_limit: 50,
    })
}

/// Returns a fleet after the configuration and targets have reached every node.
pub fn settled_fleet(regions: &[&str], targets: &[(&str, &str, &str)]) -> Fleet {
    let mut fleet = Fleet::new(regions);
    fleet.wait(Duration::from_secs(1));
    let mut items = vec![item("config", 1, Some(config(7)))];
    for (index, (name, service, region)) in targets.iter().enumerate() {
        let entry = listed(name, service, region, false, 0);
        items.push(item(name, index as u64 + 2, Some(entry)));
    }
    for index in 0..regions.len() {
        fleet.publish(index, items.clone(), 50);
    }
    fleet.wait(Duration::from_secs(2));
    fleet.commands.clear();
    fleet
}
