//! A model of engines behind a fleet: prompts are prefilled one after the other, then each takes a slot
//! for as long as it has tokens.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use seam_core::{Arrival, AttemptKey, AttemptOutcome, Command, Event, Refusal};
use seam_protocol::{TargetId, Time};

use crate::fleet::Fleet;

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
    pub fn new(fleet: Fleet) -> Self {
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
            for node in 0..self.fleet.nodes.len() {
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
    pub fn of(&self, kind: u8, from: Time, to: Time) -> Vec<Sample> {
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
