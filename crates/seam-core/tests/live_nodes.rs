//! A few nodes that know each other by seeds alone, and targets that come and go.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use seam_core::prompt::Part;
use seam_core::{
    Arrival, Class, Command, Event, Identity, News, Node, Origin, Prompt, Published, Refusal,
    Reply, Source, Ticket,
};
use seam_protocol::bundle::{Capacity, Deployment, Region};
use seam_protocol::route::{Share, routed_service};
use seam_protocol::{
    Bundle, CentreId, CustomerId, DataCentre, Digest, Entry, Fingerprint, HostRoute, Incarnation,
    Kind, ListedTarget, Outcome, RawItem, Reason, RegionId, Repeat, RouteTable, ServiceId, Target,
    Time, Vm, VmId,
};

const NORTH: &str = "north";
const SOUTH: &str = "south";
const ENGINE: &str = "writer";
const DESK: &str = "desk";
/// A target that is cold after its start.
const COLD: &str = "e-cold";

fn skeleton() -> Bundle {
    let regions = [NORTH, SOUTH].map(|name| {
        let centre = DataCentre {
            name: format!("{name}-a"),
        };
        let centres = BTreeMap::from([(CentreId::of(&centre.name), centre)]);
        (
            RegionId::of(name),
            Region {
                name: name.to_owned(),
                centres,
            },
        )
    });
    Bundle {
        revision: 0,
        digest: Digest::default(),
        parent: None,
        deployment: Deployment {
            name: String::new(),
            weight: 0.7,
            regions: BTreeMap::from(regions),
            links: Vec::new(),
            vms: BTreeMap::new(),
            loads: 1,
            repeat_window: 1,
        },
        services: BTreeMap::new(),
        customers: BTreeMap::new(),
        routes: RouteTable::default(),
        limits: None,
        retries: Some(50),
    }
}

fn route(name: &str, service: &str, repeat: Repeat, attempts: u8) -> HostRoute {
    HostRoute {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        shares: vec![Share {
            service: ServiceId::of(service),
            weight: 1,
        }],
        repeat,
        streams: service == ENGINE,
        timeout: 4000,
        objective: 800,
        rank: 0,
        attempts,
        homes: None,
    }
}

fn config(version: u64) -> Entry {
    let mut bundle = skeleton();
    bundle.revision = version;
    bundle.digest = Digest::of(&version.to_be_bytes());
    let capacity = Capacity {
        connections: 100,
        memory: 500_000,
        cold_rate: 5.25,
        copies: true,
    };
    for (name, kind) in [(ENGINE, Kind::Engine), (DESK, Kind::Plain)] {
        let service = routed_service(name, kind, capacity, 400);
        bundle.services.insert(ServiceId::of(name), service);
    }
    let routes = [
        route("review", ENGINE, Repeat::Once, 1),
        route("hint", ENGINE, Repeat::Resumable, 2),
        route("view", DESK, Repeat::Idempotent, 2),
        route("single", DESK, Repeat::Idempotent, 1),
        route("book", DESK, Repeat::Once, 1),
    ];
    for route in routes {
        bundle
            .customers
            .insert(CustomerId::of(&route.name), route.customer());
        bundle.routes.insert("salon.example", route);
    }
    Entry::Config(Arc::new(bundle))
}

fn listed(name: &str, service: &str, region: &str, leaving: bool, cold: u64) -> Entry {
    Entry::Target(Box::new(ListedTarget {
        rule: Target {
            name: name.to_owned(),
            region: RegionId::of(region),
            centre: CentreId::of(&format!("{region}-a")),
            address: "127.0.0.1:9".parse().unwrap(),
            slots: 64,
            fenced: false,
        },
        boot: 1,
        service: ServiceId::of(service),
        leaving,
        cold: Duration::from_millis(cold),
    }))
}

fn item(key: &str, revision: u64, entry: Option<Entry>) -> Published {
    let value = entry.as_ref().map(|_| vec![1]);
    let item = RawItem {
        key: key.to_owned(),
        revision,
        value,
        lapsed: false,
    };
    Published { item, entry }
}

fn address(index: usize) -> std::net::SocketAddr {
    format!("127.0.0.1:{}", 7000 + index).parse().unwrap()
}

/// Nodes that hear each other at once.
struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    done: Vec<(usize, Command)>,
    down: Vec<bool>,
}

impl Fleet {
    fn new(regions: &[&str]) -> Self {
        let now = Time(1);
        let mut nodes = Vec::new();
        for (index, region) in regions.iter().enumerate() {
            let name = format!("vm-{index}");
            let id = Identity {
                vm: VmId::of(&name),
                region: RegionId::of(region),
                incarnation: Incarnation(index as u64 + 1),
            };
            let own = Vm {
                name,
                region: id.region,
                centre: CentreId::of(&format!("{region}-a")),
                caller: address(index + 100),
                peer: address(index),
            };
            let mut node = Node::new(id, index as u64, now);
            // The second seed never existed.
            node.join(now, own, vec![address(0), address(99)], skeleton());
            nodes.push(node);
        }
        let down = vec![false; nodes.len()];
        Self {
            now,
            nodes,
            done: Vec::new(),
            down,
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let mut commands = Vec::new();
        self.nodes[index].handle(self.now, event, &mut commands);
        for command in commands {
            match command {
                Command::Beat {
                    address: to, beat, ..
                } => {
                    let to = (0..self.nodes.len()).find(|other| address(*other) == to);
                    if let Some(to) = to.filter(|to| !self.down[*to] && !self.down[index]) {
                        self.handle(to, Event::Beat(*beat));
                    }
                }
                Command::Pull {
                    address: from,
                    since,
                    ..
                } => {
                    let from = (0..self.nodes.len()).find(|other| address(*other) == from);
                    let Some(from) = from.filter(|from| !self.down[*from]) else {
                        continue;
                    };
                    let delta = self.nodes[from].items_since(since);
                    let items = delta.items.into_iter().map(|raw| {
                        let entry = raw.value.as_ref().map(|_| entry_of(&raw.key));
                        Published { item: raw, entry }
                    });
                    let news = News {
                        items: items.collect(),
                        head: delta.head,
                        whole: delta.whole,
                    };
                    self.handle(index, Event::Published(news, Source::Peer));
                }
                command => self.done.push((index, command)),
            }
        }
    }

    fn wait(&mut self, span: Duration) {
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

    fn publish(&mut self, index: usize, items: Vec<Published>, head: u64) {
        let news = News {
            items,
            head,
            whole: false,
        };
        self.handle(index, Event::Published(news, Source::Platform));
    }

    fn arrive(&mut self, index: usize, arrival: Arrival) {
        self.handle(index, Event::Arrive(arrival));
    }

    fn sends(&self) -> Vec<(usize, seam_core::AttemptKey, seam_protocol::TargetId)> {
        let sends = self
            .done
            .iter()
            .filter_map(|(index, command)| match command {
                Command::Send {
                    attempt, target, ..
                } => Some((*index, *attempt, *target)),
                _ => None,
            });
        sends.collect()
    }

    fn refusals(&self) -> Vec<Refusal> {
        let refusals = self.done.iter().filter_map(|(_, command)| match command {
            Command::Refuse { refusal, .. } => Some(*refusal),
            _ => None,
        });
        refusals.collect()
    }
}

/// What the items of these tests say, by their keys.
fn entry_of(key: &str) -> Entry {
    match key {
        "config" => config(7),
        COLD => listed(COLD, ENGINE, NORTH, false, 4000),
        _ => listed(
            key,
            if key.starts_with('e') { ENGINE } else { DESK },
            NORTH,
            false,
            0,
        ),
    }
}

fn arrival(ticket: u64, route: &str, service: &str, attempts: u32) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        origin: Origin::Caller,
        customer: CustomerId::of(route),
        service: ServiceId::of(service),
        repeatable: matches!(route, "view" | "single" | "hint"),
        replayable: true,
        key: None,
        fingerprint: Fingerprint(ticket),
        prefix: None,
        budget: Duration::from_secs(4),
        class: Some(Class {
            objective: Duration::from_millis(800),
            attempts,
            rank: 0,
            streams: service == ENGINE,
            resumable: route == "hint",
        }),
        prompt: None,
    }
}

fn prompt(middle: u64, own: u64) -> Arc<Prompt> {
    let part = |id, tokens| Part { id, tokens };
    Arc::new(Prompt {
        parts: vec![part(1, 2500), part(middle, 3800), part(own, 500)],
        input: 6800,
        output: 50,
    })
}

fn settled(regions: &[&str], targets: &[(&str, &str, &str)]) -> Fleet {
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
    fleet.done.clear();
    fleet
}

#[test]
fn seeds_suffice() {
    let fleet = settled(&[NORTH, NORTH, SOUTH], &[("e1", ENGINE, NORTH)]);
    for node in &fleet.nodes {
        assert!(node.ready(fleet.now));
        assert_eq!(
            node.directory(fleet.now, Some(RegionId::of(NORTH))).len(),
            2
        );
    }
}

#[test]
fn items_by_peer_alone() {
    let mut fleet = Fleet::new(&[NORTH, NORTH, NORTH]);
    fleet.wait(Duration::from_secs(1));
    assert!(!fleet.nodes[2].ready(fleet.now));
    let items = vec![
        item("config", 1, Some(config(7))),
        item("e1", 2, Some(entry_of("e1"))),
    ];
    fleet.publish(0, items, 2);
    fleet.wait(Duration::from_millis(500));
    for node in &fleet.nodes {
        assert!(node.ready(fleet.now));
        assert_eq!(node.items_head(), 2);
    }
}

#[test]
fn older_version_stays_out() {
    let mut fleet = settled(&[NORTH], &[]);
    fleet.publish(0, vec![item("config", 60, Some(config(3)))], 60);
    assert_eq!(fleet.nodes[0].bundle().unwrap().revision, 7);
}

#[test]
fn gone_node_leaves_directory() {
    let mut fleet = settled(&[NORTH, NORTH], &[]);
    fleet.down[1] = true;
    fleet.wait(Duration::from_secs(6));
    let told = fleet.nodes[0].directory(fleet.now, Some(RegionId::of(NORTH)));
    assert_eq!(told, [address(100)]);
}

#[test]
fn draining_target() {
    let mut fleet = settled(&[NORTH], &[("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)]);
    let leaving = listed("e1", ENGINE, NORTH, true, 0);
    fleet.publish(0, vec![item("e1", 60, Some(leaving.clone()))], 60);
    for ticket in 0..20 {
        fleet.arrive(0, arrival(ticket, "review", ENGINE, 1));
    }
    let Entry::Target(leaving) = leaving else {
        unreachable!()
    };
    assert_eq!(fleet.sends().len(), 20);
    assert!(
        fleet
            .sends()
            .iter()
            .all(|(_, _, target)| *target != leaving.id())
    );
}

#[test]
fn evacuated_centre() {
    let mut fleet = settled(&[NORTH], &[("e1", ENGINE, NORTH)]);
    let evacuation = Entry::Evacuation(CentreId::of("north-a"));
    fleet.publish(0, vec![item("evacuate", 60, Some(evacuation))], 60);
    fleet.arrive(0, arrival(1, "review", ENGINE, 1));
    assert!(fleet.sends().is_empty());
    assert_eq!(fleet.refusals()[0].outcome, Outcome::NotRun);
    fleet.publish(0, vec![item("evacuate", 61, None)], 61);
    fleet.arrive(0, arrival(2, "review", ENGINE, 1));
    assert_eq!(fleet.sends().len(), 1);
}

#[test]
fn cold_target_over_reboots() {
    // Three nodes share 5.25 requests a second; one of them boots within that second.
    let mut fleet = settled(&[NORTH, NORTH, NORTH], &[]);
    let cold = |revision| item(COLD, revision, Some(entry_of(COLD)));
    for index in 0..3 {
        fleet.publish(index, vec![cold(60)], 60);
        for ticket in 0..5 {
            fleet.arrive(index, arrival(ticket, "review", ENGINE, 1));
        }
    }
    let sent = fleet.sends().len();
    assert!((1..=5).contains(&sent), "{sent}");
    let mut booted = Fleet::new(&[NORTH]);
    booted.wait(Duration::from_secs(1));
    booted.publish(0, vec![item("config", 1, Some(config(7))), cold(2)], 2);
    for ticket in 0..5 {
        booted.arrive(0, arrival(ticket, "review", ENGINE, 1));
    }
    assert!(
        booted.sends().is_empty(),
        "what ran before the boot is not known"
    );
    booted.wait(Duration::from_secs(3));
    booted.publish(0, vec![cold(3)], 3);
    booted.done.clear();
    for ticket in 10..15 {
        booted.arrive(0, arrival(ticket, "review", ENGINE, 1));
    }
    let sent = booted.sends().len();
    assert!((1..=2).contains(&sent), "{sent}");
}

#[test]
fn one_home_for_a_part() {
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let mut fleet = settled(&[NORTH, NORTH], &engines);
    for ticket in 0..6 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(77, 1000 + ticket));
        fleet.arrive((ticket % 2) as usize, asked);
        // About what the model predicts; a slower engine would rightly lose prompts to others.
        fleet.wait(Duration::from_millis(150));
        let (index, attempt, _) = *fleet.sends().last().unwrap();
        fleet.handle(index, Event::First(attempt));
        fleet.handle(
            index,
            Event::Reply(attempt, Reply::Complete { answer: None }),
        );
    }
    let targets: std::collections::BTreeSet<_> =
        fleet.sends().iter().map(|(_, _, target)| *target).collect();
    assert_eq!(
        targets.len(),
        1,
        "every node sends a part to the engine that holds it"
    );
}

#[test]
fn routes_spread_over_engines() {
    // One route has nearly all requests. It must not be confined to a part of the engines.
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let mut fleet = settled(&[NORTH], &engines);
    let mut reading = std::collections::VecDeque::new();
    for ticket in 0..60 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(100 + ticket, 1000 + ticket));
        fleet.arrive(0, asked);
        reading.push_back(fleet.sends().last().unwrap().1);
        fleet.wait(Duration::from_millis(50));
        if reading.len() > 6 {
            fleet.handle(0, Event::First(reading.pop_front().unwrap()));
        }
    }
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for (_, _, target) in fleet.sends() {
        *counts.entry(target).or_default() += 1;
    }
    assert_eq!(counts.len(), 3, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 12), "{counts:?}");
}

#[test]
fn work_of_others_counts() {
    let engines = [("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)];
    let mut fleet = settled(&[NORTH, NORTH], &engines);
    // The first node fills the part's home; the second one must see that.
    for ticket in 0..30 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        let mut large = prompt(77, 1000 + ticket);
        Arc::make_mut(&mut large).input = 20_000;
        asked.prompt = Some(large);
        fleet.arrive(0, asked);
    }
    fleet.wait(Duration::from_millis(200));
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for (_, _, target) in fleet.sends() {
        *counts.entry(target).or_default() += 1;
    }
    assert_eq!(
        counts.len(),
        2,
        "a home that is full passes prompts on: {counts:?}"
    );
}

#[test]
fn forward_counts_as_run() {
    // The only target stands in the south. A route with one attempt never runs twice.
    let mut fleet = settled(
        &[NORTH, SOUTH, SOUTH],
        &[("d1", DESK, SOUTH), ("d2", DESK, SOUTH)],
    );
    fleet.arrive(0, arrival(1, "single", DESK, 1));
    let forward = fleet
        .done
        .iter()
        .find_map(|(index, command)| match command {
            Command::Forward { attempt, .. } => Some((*index, *attempt)),
            _ => None,
        });
    let (index, attempt) = forward.expect("it is forwarded");
    fleet.handle(index, Event::Sending(attempt));
    let unsure = Reply::Unsure(Refusal::unknown(Reason::Silent));
    fleet.done.clear();
    fleet.handle(index, Event::Reply(attempt, unsure));
    let again = fleet
        .done
        .iter()
        .any(|(_, command)| matches!(command, Command::Forward { .. } | Command::Send { .. }));
    assert!(!again);
    assert_eq!(fleet.refusals()[0].outcome, Outcome::Unknown);
}

#[test]
fn silent_single_attempt_waits() {
    let mut fleet = settled(&[NORTH], &[("d1", DESK, NORTH), ("d2", DESK, NORTH)]);
    fleet.arrive(0, arrival(1, "single", DESK, 1));
    let (_, attempt, target) = fleet.sends()[0];
    fleet.handle(0, Event::Sending(attempt));
    fleet.handle(0, Event::Silent(attempt));
    fleet.handle(
        0,
        Event::Probed {
            target,
            accepted: true,
        },
    );
    let cancelled = |fleet: &Fleet| {
        fleet
            .done
            .iter()
            .any(|(_, command)| matches!(command, Command::Cancel(_)))
    };
    assert!(!cancelled(&fleet), "there is no second attempt to make");
    fleet.arrive(0, arrival(2, "view", DESK, 2));
    let (_, attempt, target) = fleet.sends()[1];
    fleet.handle(0, Event::Sending(attempt));
    fleet.handle(0, Event::Silent(attempt));
    fleet.handle(
        0,
        Event::Probed {
            target,
            accepted: true,
        },
    );
    assert!(cancelled(&fleet));
}

#[test]
fn error_is_tried_elsewhere() {
    let mut fleet = settled(&[NORTH], &[("d1", DESK, NORTH), ("d2", DESK, NORTH)]);
    fleet.arrive(0, arrival(1, "view", DESK, 2));
    let (_, attempt, first) = fleet.sends()[0];
    fleet.handle(0, Event::Sending(attempt));
    fleet.handle(0, Event::Faulty(attempt));
    let discards = |fleet: &Fleet| {
        fleet
            .done
            .iter()
            .filter(|(_, command)| matches!(command, Command::Discard(_)))
            .count()
    };
    assert_eq!(discards(&fleet), 1);
    let unsure = Reply::Unsure(Refusal::unknown(Reason::Broken));
    fleet.handle(0, Event::Reply(attempt, unsure));
    let (_, attempt, second) = fleet.sends()[1];
    assert_ne!(first, second);
    fleet.handle(0, Event::Sending(attempt));
    fleet.handle(0, Event::Faulty(attempt));
    assert_eq!(discards(&fleet), 1, "the second answer is passed on");
}

#[test]
fn retries_have_a_bound() {
    let mut fleet = settled(&[NORTH], &[("d1", DESK, NORTH), ("d2", DESK, NORTH)]);
    for ticket in 0..100 {
        fleet.arrive(0, arrival(ticket, "view", DESK, 2));
        let (_, attempt, _) = *fleet.sends().last().unwrap();
        fleet.handle(0, Event::Sending(attempt));
        fleet.handle(0, Event::Faulty(attempt));
        let discarded = matches!(fleet.done.last(), Some((_, Command::Discard(_))));
        let reply = if discarded {
            Reply::Unsure(Refusal::unknown(Reason::Broken))
        } else {
            Reply::Complete { answer: None }
        };
        fleet.handle(0, Event::Reply(attempt, reply));
        if discarded {
            let (_, attempt, _) = *fleet.sends().last().unwrap();
            let reply = Reply::Complete { answer: None };
            fleet.handle(0, Event::Reply(attempt, reply));
        }
    }
    let retries = fleet.sends().len() as u64 - 100;
    assert!(retries > 0);
    // A fifth of the requests and the slack that all nodes share.
    assert!(retries <= 100 / 5 + 50, "{retries}");
}

#[test]
fn refusals_end_by_themselves() {
    // An engine took seconds for some prompts. Refusals must not last once nothing runs there.
    let mut fleet = settled(&[NORTH], &[("e1", ENGINE, NORTH)]);
    let ask = |fleet: &mut Fleet, ticket: u64| {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(ticket, 1000 + ticket));
        fleet.arrive(0, asked);
    };
    for ticket in 0..40 {
        let before = fleet.sends().len();
        ask(&mut fleet, ticket);
        if fleet.sends().len() == before {
            continue;
        }
        let (_, attempt, _) = *fleet.sends().last().unwrap();
        fleet.wait(Duration::from_secs(3));
        fleet.handle(0, Event::First(attempt));
        fleet.handle(0, Event::Reply(attempt, Reply::Complete { answer: None }));
    }
    fleet.wait(Duration::from_secs(60));
    let before = fleet.sends().len();
    ask(&mut fleet, 99);
    assert_eq!(fleet.sends().len(), before + 1);
}

#[test]
fn taken_slots_send_work_away() {
    // The north's engine has most of its slots taken, the south's none.
    let targets = [("e1", ENGINE, NORTH), ("e2", ENGINE, SOUTH)];
    let mut fleet = settled(&[NORTH, SOUTH], &targets);
    for ticket in 0..64 {
        let mut asked = arrival(ticket, "review", ENGINE, 1);
        asked.prompt = Some(prompt(77, 1000 + ticket));
        let before = fleet.sends().len();
        fleet.arrive(0, asked);
        fleet.wait(Duration::from_millis(50));
        if fleet.sends().len() > before {
            let (index, attempt, _) = *fleet.sends().last().unwrap();
            fleet.handle(index, Event::First(attempt));
        }
    }
    let away = fleet
        .done
        .iter()
        .filter(|(index, command)| *index == 0 && matches!(command, Command::Forward { .. }));
    assert!(away.count() > 0, "work leaves before the slots run out");
    assert!(fleet.refusals().is_empty());
}

#[test]
fn cut_stream_goes_on() {
    let mut fleet = settled(&[NORTH], &[("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)]);
    for (ticket, route, attempts, sends) in [(1, "hint", 2, 2), (2, "review", 1, 1)] {
        let before = fleet.sends().len();
        fleet.arrive(0, arrival(ticket, route, ENGINE, attempts));
        let (_, attempt, first) = *fleet.sends().last().unwrap();
        fleet.handle(0, Event::Sending(attempt));
        fleet.handle(0, Event::First(attempt));
        fleet.handle(0, Event::Reply(attempt, Reply::Broken { started: true }));
        assert_eq!(fleet.sends().len() - before, sends, "{route}");
        let (_, attempt, second) = *fleet.sends().last().unwrap();
        assert_eq!(first == second, sends == 1);
        // The second run is the last one that the route allows.
        fleet.handle(0, Event::Reply(attempt, Reply::Broken { started: true }));
        assert_eq!(fleet.sends().len() - before, sends, "{route}");
    }
}

#[test]
fn outliers_refuse_nothing() {
    // Nearly half of the calls last to their timeout. The others are still served.
    let mut fleet = settled(&[NORTH], &[("d1", DESK, NORTH)]);
    for ticket in 0..300 {
        fleet.arrive(0, arrival(ticket, "book", DESK, 1));
        let (_, attempt, _) = *fleet.sends().last().unwrap();
        let took = if ticket % 20 < 9 { 1200 } else { 50 };
        fleet.wait(Duration::from_millis(took));
        fleet.handle(0, Event::Reply(attempt, Reply::Complete { answer: None }));
    }
    assert_eq!(fleet.sends().len(), 300);
    assert!(fleet.refusals().is_empty());
}

#[test]
fn prompts_keep_their_homes_over_a_boot() {
    // A node that has just booted sends a part where the process before it did.
    let engines = [
        ("e1", ENGINE, NORTH),
        ("e2", ENGINE, NORTH),
        ("e3", ENGINE, NORTH),
    ];
    let home = |part: u64, settle: u64| {
        let mut fleet = Fleet::new(&[NORTH]);
        fleet.wait(Duration::from_secs(4 + settle));
        let mut items = vec![item("config", 1, Some(config(7)))];
        for (index, (name, service, region)) in engines.iter().enumerate() {
            let entry = listed(name, service, region, false, 0);
            items.push(item(name, index as u64 + 2, Some(entry)));
        }
        fleet.publish(0, items, 9);
        fleet.done.clear();
        let mut asked = arrival(1, "review", ENGINE, 1);
        asked.prompt = Some(prompt(part, 1000));
        fleet.arrive(0, asked);
        let unread = fleet.done.iter().find_map(|(_, command)| match command {
            Command::Send { grounds, .. } => Some(grounds.unread),
            _ => None,
        });
        (fleet.sends()[0].2, unread.unwrap())
    };
    for part in 70..80 {
        let (booted, presumed) = home(part, 0);
        let (settled, unread) = home(part, 20);
        assert_eq!(booted, settled);
        assert_eq!((presumed, unread), (500, 6800));
    }
}

#[test]
fn another_node_of_the_region() {
    // Only the south serves. One of its two nodes cannot be reached.
    let mut fleet = settled(&[NORTH, SOUTH, SOUTH], &[("d1", DESK, SOUTH)]);
    let forwards = |fleet: &Fleet| -> Vec<(seam_core::AttemptKey, std::net::SocketAddr)> {
        let forwards = fleet.done.iter().filter_map(|(_, command)| match command {
            Command::Forward {
                attempt, address, ..
            } => Some((*attempt, *address)),
            _ => None,
        });
        forwards.collect()
    };
    fleet.arrive(0, arrival(1, "book", DESK, 1));
    let (attempt, first) = forwards(&fleet)[0];
    fleet.handle(0, Event::Reply(attempt, Reply::NotSent));
    let (_, second) = forwards(&fleet)[1];
    assert_ne!(first, second);
    assert!(fleet.refusals().is_empty());
}

#[test]
fn target_is_back_and_cold() {
    // A target comes back with an entry that it wrote before it became cold.
    for evacuated in [true, false] {
        let mut fleet = settled(&[NORTH], &[("e1", ENGINE, NORTH)]);
        let (gone, back) = if evacuated {
            let centre = CentreId::of("north-a");
            let evacuation = item("evacuate", 60, Some(Entry::Evacuation(centre)));
            (evacuation, item("evacuate", 61, None))
        } else {
            (item("e1", 60, None), item("e1", 61, Some(entry_of("e1"))))
        };
        fleet.publish(0, vec![gone], 60);
        fleet.wait(Duration::from_secs(5));
        fleet.publish(0, vec![back], 61);
        for ticket in 0..10 {
            fleet.arrive(0, arrival(ticket, "review", ENGINE, 1));
        }
        let sent = fleet.sends().len();
        assert!((1..=5).contains(&sent), "{sent}");
        fleet.wait(Duration::from_secs(4));
        let before = fleet.sends().len();
        for ticket in 20..40 {
            fleet.arrive(0, arrival(ticket, "review", ENGINE, 1));
        }
        assert!(fleet.sends().len() >= before + 20);
    }
}
