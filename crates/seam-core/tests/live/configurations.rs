//! Nodes whose configurations are published item by item, and an oracle of how they handle requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use seam_core::{Command, Event, ItemBatch, PublishedItem, Ticket};
use seam_protocol::{
    Bundle, CustomerId, Digest, Entry, Kind, Outcome, Reason, RetryPolicy, ServiceId, Time,
};

use super::fleet::{Fleet, NORTH, PLAIN, SOUTH, arrival, config, item, listed, route};
use seam_protocol::route::routed_service;

/// Regions of the nodes.
const REGIONS: [&str; 6] = [NORTH, NORTH, NORTH, SOUTH, SOUTH, SOUTH];
/// Services to which routes move.
const SERVICES: [&str; 3] = [PLAIN, "counter", "till"];
/// Service that only invalid configurations name.
const INVALID_SERVICE: &str = "ghost";
/// Routes that a history uses.
pub const ROUTES: usize = 6;
/// Routes of the first configuration.
const FIRST_ROUTES: usize = 2;
/// Host of the routes.
const HOST: &str = "shop.example";
/// Time within which a confirmed configuration is in force.
const APPLY_TIME: Duration = Duration::from_secs(4);
/// Time for which a node must have been undisturbed to count as in touch.
const CONTACT_TIME: Duration = Duration::from_secs(6);
/// Time after which a node that showed the effect of a version shows none of an older one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Time between two rounds of the nodes.
const ROUND: Duration = Duration::from_millis(50);
/// Changes of a storm, and the time between them.
const STORM: (u64, Duration) = (25, Duration::from_millis(60));

/// How a configuration routes each route: its service and its name.
type Routing = BTreeMap<usize, (usize, u64)>;

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A confirmed change is not in force in time.
    Late,
    /// An older version is in force again after a newer one.
    Regressed,
    /// An invalid configuration is in force.
    InvalidTaken,
    /// A route that was added is refused.
    AddedRefused,
    /// A request of a route that was dropped is run.
    DroppedRun,
    /// A proper request is refused as wrong.
    Denied,
}

/// A fault that the oracle has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// Nodes learn of no change after the first configuration.
    DropChanges,
    /// A node returns to the first configuration in the same boot.
    ReturnToFirst,
    /// Invalid configurations are decoded as valid ones.
    ReadInvalid,
    /// Routes that were added are not read.
    SkipAdded,
    /// Routes that were dropped are kept.
    KeepDropped,
    /// A temporary refusal is returned as that of an unknown route.
    RefuseForGood,
}

/// A step of a history.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Moves a route to another service, or adds it.
    Move { route: usize, service: usize },
    /// Drops a route.
    Drop { route: usize },
    /// Gives a route another name.
    Rename { route: usize },
    /// Publishes what cannot be read.
    Invalid,
    /// Moves a route many times in short succession.
    Storm { route: usize },
    /// Drops the platform's history of changes.
    Compact,
    /// Makes the platform refuse a node, or end this.
    Refuse { node: usize, refused: bool },
    /// Stops the platform, or starts it.
    Stop { stopped: bool },
    /// Cuts two nodes off from each other.
    Cut { one: usize, other: usize },
    /// Repairs all cuts.
    Heal,
    /// Pauses a node for a time.
    Pause { node: usize, tenths: u64 },
    /// Restarts a node.
    Restart { node: usize },
    /// Sends a request of each route to a node, which reads their bodies for a time.
    Send { node: usize, tenths: u64 },
    /// Lets time pass.
    Wait { tenths: u64 },
}

/// A published version.
struct Version {
    confirmed: Time,
    /// Whether an item that cannot be read took its place, so that nodes cannot learn of it any more.
    replaced: bool,
    routing: Routing,
}

/// A request whose body is read.
struct OpenRequest {
    node: usize,
    route: usize,
    sent: Time,
    boot: u64,
    in_touch: bool,
    /// When the body is complete, and what the node routed it to.
    arrives: Option<(Time, CustomerId, ServiceId)>,
}

/// How a request was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handling {
    Run(ServiceId),
    Wrong,
}

/// What the oracle knows of a node.
#[derive(Clone, Copy)]
struct NodeState {
    boot: u64,
    disturbed: Time,
    paused_until: Option<Time>,
    refused: bool,
    /// Platform revision that it has read.
    read: u64,
    /// Newest version whose effect was seen, and when.
    seen: (usize, Time),
}

/// Nodes, their platform, and the oracle.
pub struct Simulation {
    fleet: Fleet,
    fault: InjectedFault,
    nodes: Vec<NodeState>,
    versions: Vec<Version>,
    items: BTreeMap<u64, (String, Entry)>,
    revision: u64,
    compacted: u64,
    names: u64,
    stopped: bool,
    core_disturbed: Time,
    open: BTreeMap<u64, OpenRequest>,
    tickets: u64,
    /// Requests run so far.
    pub runs: u64,
    violation: Option<(Violation, String)>,
}

/// Returns the name of a route.
fn route_name(route: usize, name: u64) -> String {
    format!("route-{route}-{name}")
}

/// Returns the path prefix of a route.
fn prefix(route: usize) -> String {
    format!("/part-{route}/")
}

/// Returns a configuration with these routes. Services without a route are left out.
fn bundle(version: u64, routing: &Routing) -> Bundle {
    let Entry::Config(base) = config(version) else {
        unreachable!("the entry is a configuration");
    };
    let mut bundle = (*base).clone();
    let plain = bundle.services[&ServiceId::of(PLAIN)].capacity;
    bundle.services.clear();
    for (number, (service, name)) in routing {
        let service = SERVICES.get(*service).copied().unwrap_or(INVALID_SERVICE);
        let id = ServiceId::of(service);
        let spec = routed_service(service, Kind::Plain, plain, 400);
        bundle.services.insert(id, spec);
        let name = route_name(*number, *name);
        let mut route = route(&name, service, RetryPolicy::Once, 1);
        route.prefix = prefix(*number);
        let customer = route.customer();
        bundle.customers.insert(CustomerId::of(&name), customer);
        bundle.routes.insert(HOST, route);
    }
    bundle
}

impl Simulation {
    pub fn new(fault: InjectedFault) -> Self {
        let fleet = Fleet::new(&REGIONS);
        let now = fleet.now;
        let node = |index: usize| NodeState {
            boot: index as u64,
            disturbed: now,
            paused_until: None,
            refused: false,
            read: 0,
            seen: (0, now),
        };
        let mut simulation = Self {
            fleet,
            fault,
            nodes: (0..REGIONS.len()).map(node).collect(),
            versions: Vec::new(),
            items: BTreeMap::new(),
            revision: 0,
            compacted: 0,
            names: 0,
            stopped: false,
            core_disturbed: now,
            open: BTreeMap::new(),
            tickets: 0,
            runs: 0,
            violation: None,
        };
        for (index, service) in SERVICES.iter().chain([&INVALID_SERVICE]).enumerate() {
            for region in [NORTH, SOUTH] {
                let name = format!("d{index}-{region}");
                let entry = listed(&name, service, region, false, 0);
                simulation.write(name, entry);
            }
        }
        let first = (0..FIRST_ROUTES).map(|route| (route, (0, 0))).collect();
        simulation.publish(first);
        simulation.wait(Duration::from_secs(8));
        simulation
    }

    /// Returns the first violation and what was seen.
    pub fn violation(&self) -> Option<&(Violation, String)> {
        self.violation.as_ref()
    }

    fn write(&mut self, key: String, entry: Entry) {
        self.revision += 1;
        self.items.insert(self.revision, (key, entry));
    }

    fn publish(&mut self, routing: Routing) {
        let seen = self.visible(&routing);
        let entry = Entry::Config(Arc::new(bundle(self.versions.len() as u64 + 1, &seen)));
        self.write("config".to_owned(), entry);
        self.versions.push(Version {
            confirmed: self.fleet.now,
            replaced: false,
            routing,
        });
    }

    /// Returns routes as nodes read them under the injected fault.
    fn visible(&self, routing: &Routing) -> Routing {
        let mut seen = routing.clone();
        match (self.fault, self.versions.first()) {
            (InjectedFault::SkipAdded, Some(_)) => seen.retain(|route, _| *route < FIRST_ROUTES),
            (InjectedFault::KeepDropped, Some(first)) => {
                for (route, service) in &first.routing {
                    seen.entry(*route).or_insert(*service);
                }
            }
            _ => {}
        }
        seen
    }

    fn newest(&self) -> Routing {
        self.versions
            .last()
            .expect("one is published")
            .routing
            .clone()
    }

    fn disturb(&mut self, node: usize) {
        self.nodes[node].disturbed = self.fleet.now;
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Move { route, service } => self.change(route, Some(service)),
            Step::Drop { route } => self.change(route, None),
            Step::Rename { route } => {
                let mut routing = self.newest();
                self.names += 1;
                if let Some((_, name)) = routing.get_mut(&route) {
                    *name = self.names;
                    self.publish(routing);
                }
            }
            Step::Invalid => {
                for version in &mut self.versions {
                    version.replaced = true;
                }
                let entry = if self.fault == InjectedFault::ReadInvalid {
                    let mut routing = self.newest();
                    for (service, _) in routing.values_mut() {
                        *service = SERVICES.len();
                    }
                    Entry::Config(Arc::new(bundle(self.versions.len() as u64 + 1, &routing)))
                } else {
                    Entry::Unusable("no list of routes".to_owned())
                };
                self.write("config".to_owned(), entry);
            }
            Step::Storm { route } => {
                for change in 0..STORM.0 {
                    self.change(route, Some(change as usize % SERVICES.len()));
                    self.wait(STORM.1);
                }
            }
            Step::Compact => self.compacted = self.revision,
            Step::Refuse { node, refused } => {
                self.disturb(node);
                self.nodes[node].refused = refused;
                self.report_platform(node);
            }
            Step::Stop { stopped } => {
                self.core_disturbed = self.fleet.now;
                self.stopped = stopped;
                (0..self.nodes.len()).for_each(|node| self.report_platform(node));
            }
            Step::Cut { one, other } if one != other => {
                let pair = (one.min(other), one.max(other));
                self.fleet.partitions.insert(pair);
                self.disturb(one);
                self.disturb(other);
            }
            Step::Cut { .. } => {}
            Step::Heal => {
                for (one, other) in std::mem::take(&mut self.fleet.partitions) {
                    self.disturb(one);
                    self.disturb(other);
                }
            }
            Step::Pause { node, tenths } => {
                let until = self.fleet.now + Duration::from_millis(100 * tenths);
                self.fleet.down[node] = true;
                self.nodes[node].paused_until = Some(until);
            }
            Step::Restart { node } => {
                self.restart(node);
                self.disturb(node);
                self.nodes[node].boot = self.tickets << 8 | node as u64;
                self.nodes[node].seen = (0, self.fleet.now);
                self.nodes[node].paused_until = None;
                self.open.retain(|_, request| request.node != node);
            }
            Step::Send { node, tenths } => {
                for route in 0..ROUTES {
                    self.send(node, route, Duration::from_millis(100 * tenths));
                }
            }
            Step::Wait { tenths } => self.wait(Duration::from_millis(100 * tenths)),
        }
    }

    fn change(&mut self, route: usize, service: Option<usize>) {
        let mut routing = self.newest();
        match service {
            Some(service) => {
                routing.entry(route).or_insert((service, 0)).0 = service;
            }
            None if routing.len() > 1 => {
                routing.remove(&route);
            }
            None => {}
        }
        self.publish(routing);
    }

    fn restart(&mut self, node: usize) {
        self.fleet.restart(node);
        self.nodes[node].read = 0;
        self.report_platform(node);
    }

    fn unreachable(&self, node: usize) -> bool {
        self.stopped || self.nodes[node].refused
    }

    fn report_platform(&mut self, node: usize) {
        let event = Event::PlatformUnreachable(self.unreachable(node));
        if !self.fleet.down[node] {
            self.fleet.handle(node, event);
        }
    }

    fn wait(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.wait(ROUND.min(end.since(self.fleet.now)));
            for node in 0..self.nodes.len() {
                if self.nodes[node].paused_until.is_some() {
                    self.disturb(node);
                }
                if self.nodes[node]
                    .paused_until
                    .is_some_and(|until| until <= self.fleet.now)
                {
                    self.nodes[node].paused_until = None;
                    self.fleet.down[node] = false;
                    self.report_platform(node);
                }
                if self.unreachable(node) {
                    self.disturb(node);
                }
                self.read_items(node);
            }
            if self.stopped {
                self.core_disturbed = self.fleet.now;
            }
            for (one, other) in self.fleet.partitions.clone() {
                self.disturb(one);
                self.disturb(other);
            }
            self.arrive();
            self.collect();
        }
    }

    /// Delivers new items to a node that watches a reachable platform.
    fn read_items(&mut self, node: usize) {
        let watches = !self.fleet.down[node]
            && !self.unreachable(node)
            && self.fleet.nodes[node].watches_platform(self.fleet.now);
        if !watches {
            return;
        }
        let from = self.nodes[node]
            .read
            .max(self.fleet.nodes[node].items_revision());
        let late = self.fault == InjectedFault::DropChanges && from > 0;
        if late || from >= self.revision {
            return;
        }
        let full = from < self.compacted;
        let mut newest = BTreeMap::new();
        let first = if full { 0 } else { from + 1 };
        for (revision, (key, entry)) in self.items.range(first..) {
            newest.insert(key.clone(), (*revision, entry.clone()));
        }
        let items: Vec<PublishedItem> = newest
            .into_iter()
            .map(|(key, (revision, entry))| item(&key, revision, Some(entry)))
            .collect();
        self.nodes[node].read = self.revision;
        let batch = ItemBatch {
            items,
            revision: self.revision,
            full,
        };
        self.fleet.publish_batch(node, batch);
        if self.fault == InjectedFault::ReturnToFirst && self.versions.len() == 3 && node == 0 {
            self.return_to_first();
        }
    }

    /// Gives the first node the first configuration, without a start that the oracle knows of.
    fn return_to_first(&mut self) {
        self.fleet.restart(0);
        let old = self.items.clone();
        let config = |(_, (key, _)): &(&u64, &(String, Entry))| key == "config";
        let first = old.iter().find(config).map(|(revision, _)| *revision);
        let items = old
            .iter()
            .filter(|(revision, (key, _))| key != "config" || Some(**revision) == first);
        let items = items.map(|(revision, (key, entry))| item(key, *revision, Some(entry.clone())));
        let batch = ItemBatch {
            items: items.collect(),
            revision: self.revision,
            full: false,
        };
        self.fleet.publish_batch(0, batch);
        // The others would tell it the newer one.
        for other in 1..self.nodes.len() {
            self.fleet.partitions.insert((0, other));
        }
    }

    fn in_touch(&self, node: usize) -> bool {
        let calm = |since: Time| self.fleet.now.since(since) >= CONTACT_TIME;
        calm(self.nodes[node].disturbed) && calm(self.core_disturbed)
    }

    fn send(&mut self, node: usize, route: usize, reading: Duration) {
        if self.fleet.down[node] || !self.fleet.nodes[node].configured() {
            return;
        }
        self.tickets += 1;
        let path = format!("{}x", prefix(route));
        let bundle = self.fleet.nodes[node].bundle().cloned();
        let found = bundle.as_ref().and_then(|bundle| {
            let route = bundle.routes.find(HOST, &path)?;
            let service = route.service(Digest::of(&[]).leading_u64())?;
            Some((CustomerId::of(&route.name), service))
        });
        let now = self.fleet.now;
        let request = OpenRequest {
            node,
            route,
            sent: now,
            boot: self.nodes[node].boot,
            in_touch: self.in_touch(node),
            arrives: found.map(|(customer, service)| (now + reading, customer, service)),
        };
        if found.is_none() {
            self.judge(&request, Handling::Wrong);
            return;
        }
        self.open.insert(self.tickets, request);
        self.arrive();
        self.collect();
    }

    /// Passes on the requests whose bodies are read.
    fn arrive(&mut self) {
        let now = self.fleet.now;
        let mut arrivals = Vec::new();
        for (ticket, request) in &mut self.open {
            let down = self.fleet.down[request.node];
            let due = request.arrives.filter(|(at, ..)| *at <= now && !down);
            if let Some((_, customer, service)) = due {
                request.arrives = None;
                arrivals.push((*ticket, request.node, customer, service));
            }
        }
        for (ticket, node, customer, service) in arrivals {
            let mut arrival = arrival(ticket, "", PLAIN, 1);
            arrival.customer = customer;
            arrival.service = service;
            self.fleet.arrive(node, arrival);
        }
    }

    /// Completes runs, and judges how requests were handled.
    fn collect(&mut self) {
        while let Some((node, command)) = self.fleet.commands.pop() {
            match command {
                Command::Send {
                    ticket,
                    attempt,
                    service,
                    ..
                } => {
                    self.close(ticket, Some(Handling::Run(service)));
                    self.runs += 1;
                    self.fleet.complete(node, attempt);
                }
                Command::Refuse { ticket, refusal } => {
                    let mut reason = refusal.reason;
                    if self.fault == InjectedFault::RefuseForGood && reason == Reason::Revision {
                        reason = Reason::Service;
                    }
                    let wrong = refusal.outcome == Outcome::NotRun
                        && matches!(
                            reason,
                            Reason::Service | Reason::Credential | Reason::Residency
                        );
                    self.close(ticket, wrong.then_some(Handling::Wrong));
                }
                _ => {}
            }
        }
    }

    fn close(&mut self, ticket: Ticket, handling: Option<Handling>) {
        if let Some(request) = self.open.remove(&ticket.0)
            && let Some(handling) = handling
        {
            self.judge(&request, handling);
        }
    }

    /// Returns whether a version allows this handling of a route.
    fn allows(version: &Version, route: usize, handling: Handling) -> bool {
        let service = version.routing.get(&route);
        match handling {
            Handling::Wrong => service.is_none(),
            Handling::Run(run) => {
                service.is_some_and(|(service, _)| ServiceId::of(SERVICES[*service]) == run)
            }
        }
    }

    fn judge(&mut self, request: &OpenRequest, handling: Handling) {
        let (route, sent) = (request.route, request.sent);
        let allowing: Vec<usize> = (0..self.versions.len())
            .filter(|index| Self::allows(&self.versions[*index], route, handling))
            .collect();
        if handling == Handling::Run(ServiceId::of(INVALID_SERVICE)) {
            self.record(Violation::InvalidTaken, request, handling);
            return;
        }
        // The oldest version that may be in force for a node in touch.
        let due = |version: &Version| version.confirmed + APPLY_TIME < sent && !version.replaced;
        let oldest = self.versions.iter().rposition(due).unwrap_or(0);
        let ever = |routing: &Version| routing.routing.contains_key(&route);
        if allowing.is_empty() {
            // Every version has the route.
            self.record(Violation::Denied, request, handling);
            return;
        }
        let in_force = &self.versions[oldest..];
        if request.in_touch && allowing.iter().all(|index| *index < oldest) {
            let added = !ever(&self.versions[0]) || handling != Handling::Wrong;
            let violation = match handling {
                Handling::Run(_) if !in_force.iter().any(ever) => Violation::DroppedRun,
                Handling::Run(_) => Violation::Late,
                Handling::Wrong if added => Violation::AddedRefused,
                Handling::Wrong => Violation::Denied,
            };
            self.record(violation, request, handling);
        }
        let state = &mut self.nodes[request.node];
        if state.boot != request.boot {
            return;
        }
        let (seen, since) = state.seen;
        let newest = *allowing.last().expect("some version allows it");
        if newest < seen && sent.since(since) > ROLLBACK_SLACK {
            self.record(Violation::Regressed, request, handling);
        } else if allowing[0] > seen {
            state.seen = (allowing[0], self.fleet.now);
        }
    }

    fn record(&mut self, violation: Violation, request: &OpenRequest, handling: Handling) {
        let confirmed: BTreeSet<_> = self.versions.iter().map(|v| v.confirmed).collect();
        let detail = format!(
            "node {} route {} sent {:?} {handling:?} at {:?}, confirmed {confirmed:?}",
            request.node, request.route, request.sent, self.fleet.now
        );
        self.violation.get_or_insert((violation, detail));
    }
}
