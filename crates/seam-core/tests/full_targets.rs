//! Many nodes share a few small targets that queue requests by themselves, at more than these serve.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fleet::{Fleet, NORTH, PLAIN, SOUTH, address, arrival, config, item, listed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::{AttemptKey, AttemptOutcome, Command, Event, Hop, Origin, Refusal, Ticket};
use seam_protocol::{Entry, LoadReport, Reason, TargetId, Time};
use yare::parameterized;

/// Nodes of each region.
const NODES: usize = 20;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(60);
const STEP: Duration = Duration::from_millis(5);
const TICK: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(8);
/// Second arrivals at targets for each request that the platform allows.
const RETRY_RATIO: f64 = 0.2;
/// One-way delay between the regions.
const DELAY: Duration = Duration::from_millis(80);

/// A target with a queue, which turns requests away when that is full.
#[derive(Default)]
struct Server {
    running: Vec<(Time, usize, AttemptKey)>,
    queue: VecDeque<(usize, AttemptKey)>,
}

/// What happens at a later time.
enum Later {
    Arrive(usize, Box<seam_core::Arrival>),
    End(usize, AttemptKey, AttemptOutcome),
}

#[derive(Default)]
struct Counts {
    requests: usize,
    arrivals: BTreeMap<u64, usize>,
    turned_away: usize,
    served: usize,
    refused: usize,
}

struct Load {
    fleet: Fleet,
    servers: BTreeMap<TargetId, Server>,
    later: BTreeMap<(Time, u64), Later>,
    serial: u64,
    /// Request and sender of each attempt at another node, by the ticket there.
    forwarded: BTreeMap<(usize, u64), (usize, AttemptKey)>,
    /// Number of the request, by node and ticket.
    numbers: BTreeMap<(usize, u64), u64>,
    tickets: BTreeMap<(usize, AttemptKey), u64>,
    counts: Counts,
}

fn server(name: &str, region: &str) -> Entry {
    let mut entry = listed(name, PLAIN, region, false, 0);
    if let Entry::Target(target) = &mut entry {
        target.spec.slots = SLOTS as u32;
    }
    entry
}

impl Load {
    fn new() -> Self {
        let regions: Vec<&str> = (0..2 * NODES)
            .map(|index| if index < NODES { NORTH } else { SOUTH })
            .collect();
        let mut fleet = Fleet::new(&regions);
        fleet.wait(Duration::from_secs(1));
        let mut items = vec![item("config", 1, Some(config(7)))];
        let mut servers = BTreeMap::new();
        let names = [("s1", NORTH), ("s2", NORTH), ("s3", SOUTH), ("s4", SOUTH)];
        for (revision, (name, region)) in (2..).zip(names) {
            let entry = server(name, region);
            if let Entry::Target(target) = &entry {
                servers.insert(target.id(), Server::default());
            }
            items.push(item(name, revision, Some(entry)));
        }
        for index in 0..regions.len() {
            fleet.publish(index, items.clone(), 50);
        }
        fleet.wait(Duration::from_secs(3));
        fleet.commands.clear();
        Self {
            fleet,
            servers,
            later: BTreeMap::new(),
            serial: 0,
            forwarded: BTreeMap::new(),
            numbers: BTreeMap::new(),
            tickets: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    fn later(&mut self, delay: Duration, event: Later) {
        self.serial += 1;
        self.later
            .insert((self.fleet.now + delay, self.serial), event);
    }

    fn send(&mut self, node: usize, attempt: AttemptKey, target: TargetId, number: u64) {
        *self.counts.arrivals.entry(number).or_default() += 1;
        self.fleet.handle(node, Event::Sending(attempt));
        let now = self.fleet.now;
        let server = self.servers.get_mut(&target).unwrap();
        if server.running.len() < SLOTS {
            server.running.push((now + WORK, node, attempt));
        } else if server.queue.len() < QUEUE {
            server.queue.push_back((node, attempt));
        } else {
            self.counts.turned_away += 1;
            self.report(node, target);
            let refusal = Refusal::not_run(Reason::Refused);
            let end = Event::AttemptEnded(attempt, AttemptOutcome::Refused(refusal));
            self.fleet.handle(node, end);
        }
    }

    /// Delivers the load that a target names in an answer.
    fn report(&mut self, node: usize, target: TargetId) {
        let server = &self.servers[&target];
        let report = LoadReport {
            running: server.running.len() as u32,
            waiting: server.queue.len() as u32,
            slots: None,
            slowdown: None,
            models: Vec::new(),
            fence: 0,
        };
        self.fleet.handle(node, Event::Load(target, report));
    }

    /// Carries out the commands of the nodes.
    fn carry_out(&mut self) {
        while !self.fleet.commands.is_empty() {
            for (node, command) in std::mem::take(&mut self.fleet.commands) {
                match command {
                    Command::Send {
                        ticket,
                        attempt,
                        target,
                        ..
                    } => {
                        let number = self.numbers[&(node, ticket.0)];
                        self.tickets.insert((node, attempt), ticket.0);
                        self.send(node, attempt, target, number);
                    }
                    Command::Forward {
                        ticket,
                        attempt,
                        address: to,
                        hops,
                        budget,
                        ..
                    } => {
                        let to = (0..2 * NODES).find(|other| address(*other) == to).unwrap();
                        self.forward(node, to, (ticket, attempt), hops, budget);
                    }
                    Command::Refuse { ticket, refusal } => {
                        let reply = AttemptOutcome::Refused(refusal);
                        if !self.answer(node, ticket.0, reply) {
                            self.counts.refused += 1;
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn forward(
        &mut self,
        node: usize,
        to: usize,
        (ticket, attempt): (Ticket, AttemptKey),
        hops: Vec<Hop>,
        budget: Duration,
    ) {
        self.fleet.handle(node, Event::Sending(attempt));
        let number = self.numbers[&(node, ticket.0)];
        self.serial += 1;
        let there = self.serial + (1 << 40);
        self.numbers.insert((to, there), number);
        self.forwarded.insert((to, there), (node, attempt));
        let mut arrival = arrival(there, "book", PLAIN, 1);
        arrival.fingerprint = seam_protocol::Fingerprint(number);
        arrival.origin = Origin::Peer { hops, revision: 7 };
        arrival.budget = budget.saturating_sub(DELAY);
        let delay = if (node < NODES) == (to < NODES) {
            Duration::ZERO
        } else {
            DELAY
        };
        self.later(delay, Later::Arrive(to, Box::new(arrival)));
    }

    /// Passes an answer on to the node that forwarded the request. Returns whether there is one.
    fn answer(&mut self, node: usize, ticket: u64, reply: AttemptOutcome) -> bool {
        let Some((origin, attempt)) = self.forwarded.remove(&(node, ticket)) else {
            return false;
        };
        let delay = if (node < NODES) == (origin < NODES) {
            Duration::ZERO
        } else {
            DELAY
        };
        self.later(delay, Later::End(origin, attempt, reply));
        true
    }

    fn end_runs(&mut self) {
        let now = self.fleet.now;
        let targets: Vec<TargetId> = self.servers.keys().copied().collect();
        for target in targets {
            let server = self.servers.get_mut(&target).unwrap();
            let (ended, running): (Vec<_>, Vec<_>) = server
                .running
                .drain(..)
                .partition(|(end, _, _)| *end <= now);
            server.running = running;
            while server.running.len() < SLOTS
                && let Some((node, attempt)) = server.queue.pop_front()
            {
                server.running.push((now + WORK, node, attempt));
            }
            for (_, node, attempt) in ended {
                self.report(node, target);
                self.fleet.complete(node, attempt);
                let reply = AttemptOutcome::Complete {
                    response: None,
                    success: true,
                };
                let ticket = self.tickets[&(node, attempt)];
                if !self.answer(node, ticket, reply) {
                    self.counts.served += 1;
                }
            }
        }
    }

    /// Plays requests at the nodes of the north, `rate` a second.
    fn play(&mut self, rate: f64, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let end = self.fleet.now + LENGTH;
        let mut ticked = self.fleet.now;
        let mut number = 0;
        while self.fleet.now < end + Duration::from_secs(4) {
            self.fleet.now = self.fleet.now + STEP;
            if self.fleet.now < end {
                let mean = rate * STEP.as_secs_f64();
                let count = mean as usize + usize::from(rng.random_bool(mean.fract()));
                for _ in 0..count {
                    number += 1;
                    let node = rng.random_range(0..NODES);
                    self.counts.requests += 1;
                    self.numbers.insert((node, number), number);
                    self.fleet.arrive(node, arrival(number, "book", PLAIN, 1));
                    self.carry_out();
                }
            }
            self.end_runs();
            while let Some(entry) = self.later.first_entry()
                && entry.key().0 <= self.fleet.now
            {
                match entry.remove() {
                    Later::Arrive(node, arrival) => self.fleet.arrive(node, *arrival),
                    Later::End(node, attempt, reply) => {
                        let served = matches!(reply, AttemptOutcome::Complete { .. });
                        self.counts.served += usize::from(served);
                        self.fleet.handle(node, Event::AttemptEnded(attempt, reply));
                    }
                }
                self.carry_out();
            }
            if self.fleet.now.since(ticked) >= TICK {
                ticked = self.fleet.now;
                for node in 0..2 * NODES {
                    self.fleet.handle(node, Event::Tick);
                }
            }
            self.carry_out();
        }
    }
}

/// Guards against requests that one full target after another turns away, while targets of another
/// region are free, and against a budget of retries that forwarded requests do not use.
#[parameterized(
    // The north serves 200 requests a second, both regions 400.
    one_region_full = { 300.0, 0.95 },
    all_regions_full = { 600.0, 0.6 },
)]
fn sent_where_room_is(rate: f64, min_served: f64) {
    for seed in 1..=3 {
        let mut load = Load::new();
        load.play(rate, seed);
        let counts = &load.counts;
        let repeats: usize = counts.arrivals.values().map(|count| count - 1).sum();
        let share = |count: usize| count as f64 / counts.requests as f64;
        let (served, turned_away) = (share(counts.served), share(counts.turned_away));
        println!(
            "seed {seed}: served {served:.3}, refused {:.3}, turned away {turned_away:.3}, repeats {:.3}",
            share(counts.refused),
            share(repeats)
        );
        assert!(served >= min_served, "{served} served");
        assert!(turned_away <= RETRY_RATIO, "{turned_away} turned away");
        assert!(share(repeats) <= RETRY_RATIO, "{repeats} second arrivals");
    }
}
