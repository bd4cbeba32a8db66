//! A model of engines behind a fleet: prompts are prefilled one after the other, then each takes a slot
//! for as long as it has tokens.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use seam_core::{Arrival, AttemptKey, AttemptOutcome, Command, Event, Refusal};
use seam_protocol::{TargetId, Time};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::prompt::Part;
use seam_protocol::{Entry, Tenant, TenantId};

use crate::fleet::{ENGINE, Fleet, NORTH, arrival, config, item, prompt, settled_fleet};

/// Objectives of the kinds of requests.
pub const OBJECTIVES: [Duration; 3] = [
    Duration::from_millis(800),
    Duration::from_millis(1500),
    Duration::from_secs(3),
];

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL: f64 = 74.8;
/// Time of a decoding step of a full engine.
const STEP: Duration = Duration::from_micros(9480);
const SLOTS: usize = 64;
/// Resolution of the model.
const TICK: Duration = Duration::from_millis(5);

/// A request as the engines see it, and what became of it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub kind: u8,
    pub tenant: u64,
    pub arrived: Time,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Time to the refusal.
    pub refused: Option<Duration>,
}

struct Work {
    node: usize,
    attempt: AttemptKey,
    ticket: u64,
    /// Prompt tokens to prefill, and tokens of the answer.
    tokens: (u32, u32),
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<Work>,
    running: usize,
    prefilled: Time,
}

enum Later {
    First,
    End(TargetId),
}

/// Returns a configuration with tenants without limits.
pub fn with_tenants() -> Entry {
    const COUNT: u64 = 6;
    let Entry::Config(bundle) = config(8) else {
        unreachable!("a configuration");
    };
    let mut bundle = Arc::unwrap_or_clone(bundle);
    for number in 1..=COUNT {
        let tenant = Tenant {
            name: number.to_string(),
            home_regions: None,
            ..Tenant::unread()
        };
        bundle.tenants.insert(TenantId(number), tenant);
    }
    Entry::Config(Arc::new(bundle))
}

/// Engines behind the nodes of a fleet.
pub struct Engines {
    pub fleet: Fleet,
    pub samples: BTreeMap<u64, Sample>,
    engines: BTreeMap<TargetId, Engine>,
    later: BTreeMap<(Time, u64), (usize, AttemptKey, u64, Later)>,
    tokens: BTreeMap<u64, (u32, u32)>,
    serial: u64,
}

impl Engines {
    /// Starts a fleet with a number of engines in the north.
    pub fn of(regions: &[&str], count: usize) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("e{number}")).collect();
        let targets: Vec<_> = names
            .iter()
            .map(|name| (name.as_str(), ENGINE, NORTH))
            .collect();
        let mut fleet = settled_fleet(regions, &targets);
        for index in 0..regions.len() {
            fleet.publish(index, vec![item("config", 100, Some(with_tenants()))], 100);
        }
        fleet.wait(Duration::from_secs(1));
        fleet.commands.clear();
        Self {
            fleet,
            samples: BTreeMap::new(),
            engines: BTreeMap::new(),
            later: BTreeMap::new(),
            tokens: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Lets a request arrive, `uncached` of whose prompt tokens have to be prefilled.
    pub fn arrive(&mut self, node: usize, arrival: Arrival, uncached: u32) {
        let route = arrival.route.unwrap();
        let output = arrival
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.output_limit);
        let sample = Sample {
            kind: route.kind,
            tenant: arrival.tenant.map_or(0, |tenant| tenant.0),
            arrived: self.fleet.now,
            first: None,
            refused: None,
        };
        self.samples.insert(arrival.ticket.0, sample);
        self.tokens.insert(arrival.ticket.0, (uncached, output));
        self.fleet.arrive(node, arrival);
    }

    /// Advances the time, with a call of `arrivals` at each step.
    pub fn run(&mut self, span: Duration, mut arrivals: impl FnMut(&mut Self)) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.now = self.fleet.now + TICK;
            arrivals(self);
            while let Some(((due, _), (node, attempt, ticket, later))) = self.later.pop_first() {
                if due > self.fleet.now {
                    self.serial += 1;
                    self.later
                        .insert((due, self.serial), (node, attempt, ticket, later));
                    break;
                }
                match later {
                    Later::First => {
                        let sample = self.samples.get_mut(&ticket).unwrap();
                        sample.first = Some(self.fleet.now.since(sample.arrived));
                        self.fleet.handle(node, Event::FirstBytes(attempt));
                    }
                    Later::End(engine) => {
                        self.engines.get_mut(&engine).unwrap().running -= 1;
                        let response = None;
                        let success = true;
                        let end = AttemptOutcome::Complete { response, success };
                        self.fleet.handle(node, Event::AttemptEnded(attempt, end));
                        self.start(engine);
                    }
                }
                self.carry_out();
            }
            // No node is always the first one to learn of room.
            self.serial += 1;
            let nodes = self.fleet.nodes.len();
            for node in 0..nodes {
                let node = (node + self.serial as usize) % nodes;
                self.fleet.handle(node, Event::Tick);
            }
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        for (node, command) in std::mem::take(&mut self.fleet.commands) {
            match command {
                Command::Send {
                    ticket,
                    attempt,
                    target,
                    ..
                } => {
                    self.fleet.handle(node, Event::Sending(attempt));
                    let ticket = ticket.0;
                    let work = Work {
                        node,
                        attempt,
                        ticket,
                        tokens: self.tokens[&ticket],
                    };
                    self.engines
                        .entry(target)
                        .or_default()
                        .waiting
                        .push_back(work);
                    self.start(target);
                }
                Command::Refuse { ticket, refusal } => self.record_refusal(ticket.0, refusal),
                _ => {}
            }
        }
    }

    fn record_refusal(&mut self, ticket: u64, _refusal: Refusal) {
        let sample = self.samples.get_mut(&ticket).unwrap();
        sample.refused = Some(self.fleet.now.since(sample.arrived));
    }

    /// Starts waiting work at an engine that has free slots.
    fn start(&mut self, target: TargetId) {
        let engine = self.engines.get_mut(&target).unwrap();
        while engine.running < SLOTS
            && let Some(work) = engine.waiting.pop_front()
        {
            engine.running += 1;
            let prefill = Duration::from_secs_f64(f64::from(work.tokens.0) / PREFILL / 1000.0);
            engine.prefilled = engine.prefilled.max(self.fleet.now) + prefill;
            let first = engine.prefilled + STEP;
            let end = first + STEP * work.tokens.1;
            for (due, later) in [(first, Later::First), (end, Later::End(target))] {
                self.serial += 1;
                let entry = (work.node, work.attempt, work.ticket, later);
                self.later.insert((due, self.serial), entry);
            }
        }
    }

    /// Returns the samples of a kind that arrived within a span.
    pub fn samples_of(&self, kind: u8, from: Time, to: Time) -> Vec<Sample> {
        let samples = self.samples.values().copied();
        let samples = samples.filter(|sample| sample.kind == kind);
        samples
            .filter(|sample| (from..to).contains(&sample.arrived))
            .collect()
    }
}

/// Returns the fraction of samples whose first token came within an objective.
pub fn in_time(samples: &[Sample], objective: Duration) -> f64 {
    let in_time = |sample: &&Sample| sample.first.is_some_and(|first| first <= objective);
    samples.iter().filter(in_time).count() as f64 / samples.len().max(1) as f64
}

/// Returns a request of a kind, and the number of its prompt tokens that no engine has cached.
pub fn request(ticket: u64, kind: u8, tenant: Option<TenantId>) -> (Arrival, u32) {
    let mut request = arrival(ticket, "review", ENGINE, 1);
    let (input, output, uncached) = if kind == 0 {
        (9200, 54, 2900)
    } else {
        (830, 294, 830)
    };
    let mut own = prompt(70 + ticket % 8, 1000 + ticket);
    let changed = std::sync::Arc::make_mut(&mut own);
    changed.output_limit = output;
    changed.input_tokens = input;
    if kind == 0 {
        changed.parts[2].tokens = uncached;
    } else {
        changed.parts = vec![Part {
            id: 1000 + ticket,
            tokens: input,
        }];
    }
    request.prompt = Some(own);
    request.tenant = tenant;
    request.budget = Duration::from_secs(12);
    let rules = request.route.as_mut().unwrap();
    rules.kind = kind;
    rules.objective = OBJECTIVES[usize::from(kind)];
    (request, uncached)
}

/// Requests that arrive at random nodes.
pub struct Load {
    /// Requests a second of each kind.
    pub rates: [f64; 3],
    /// Parts of the load that tenants send.
    tenants: Vec<f64>,
    rng: Pcg64Mcg,
    ticket: u64,
}

impl Load {
    pub fn new(kind: u8, rate: f64, tenants: &[f64]) -> Self {
        let mut rates = [0.0; 3];
        rates[usize::from(kind)] = rate;
        Self {
            rates,
            tenants: tenants.to_vec(),
            rng: Pcg64Mcg::seed_from_u64(5),
            ticket: 0,
        }
    }

    /// Lets a tenant send a multiple of its usual load.
    pub fn surge(&mut self, tenant: usize, factor: f64) {
        self.tenants[tenant] *= factor;
    }

    /// Chooses the senders of the requests of one step, if there are any.
    fn senders(&mut self, rate: f64) -> Vec<Option<TenantId>> {
        let step = TICK.as_secs_f64();
        if self.tenants.is_empty() {
            return vec![None; usize::from(self.rng.random_bool(rate * step))];
        }
        let mut senders = Vec::new();
        for (tenant, part) in (1..).zip(&self.tenants) {
            if self.rng.random_bool(rate * part * step) {
                senders.push(Some(TenantId(tenant)));
            }
        }
        senders
    }

    pub fn arrive(&mut self, engines: &mut Engines) {
        for kind in 0..3 {
            for tenant in self.senders(self.rates[usize::from(kind)]) {
                self.ticket += 1;
                let (request, uncached) = request(self.ticket, kind, tenant);
                let node = self.rng.random_range(0..engines.fleet.nodes.len());
                engines.arrive(node, request, uncached);
            }
        }
    }
}
