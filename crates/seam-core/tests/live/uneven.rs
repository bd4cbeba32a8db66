//! Engines that prefill one prompt after the other, for a fleet of nodes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::prompt::{Part, Prompt};
use seam_core::targets::TargetEstimate;
use seam_core::{AttemptKey, AttemptOutcome, Command, Event, Refusal};
use seam_protocol::{Entry, LoadReport, Reason, TargetId, Time};

use super::fleet::{ENGINE, Fleet, NORTH, arrival, config, item, listed};

const STEP: Duration = Duration::from_millis(5);
const TICK: Duration = Duration::from_millis(20);
/// Memory of each engine in tokens, as configured.
pub const MEMORY: u64 = 500_000;

/// An engine of a known speed.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Tokens that it prefills in a millisecond.
    pub tokens: f64,
    /// Milliseconds before each prefill.
    pub base: f64,
}

/// A request at an engine.
#[derive(Clone, Debug)]
struct Job {
    node: usize,
    attempt: AttemptKey,
    prompt: Arc<Prompt>,
    arrived: Time,
    /// Milliseconds of work left, once its prefill has begun.
    left: Option<f64>,
    predicted: f64,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub speed: Speed,
    /// How long work takes at this moment, in percent, and whether the engine states it.
    pub slowdown: u32,
    pub stated: bool,
    waiting: VecDeque<Job>,
    decoding: Vec<(Time, Job)>,
    /// Cached parts, the one used last in front.
    cache: VecDeque<Part>,
    /// Requests that found no memory.
    pub preempted: usize,
    /// Prompts that it has prefilled.
    pub served: usize,
    /// Tokens that it has prefilled.
    pub prefilled: u64,
}

impl Engine {
    fn new(speed: Speed) -> Self {
        Self {
            speed,
            slowdown: 100,
            stated: true,
            waiting: VecDeque::new(),
            decoding: Vec::new(),
            cache: VecDeque::new(),
            preempted: 0,
            served: 0,
            prefilled: 0,
        }
    }

    pub fn running(&self) -> usize {
        self.waiting.len() + self.decoding.len()
    }

    /// Returns the load that it states.
    fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running() as u32,
            waiting: 0,
            slots: Some(64),
            slowdown: self.stated.then_some(self.slowdown),
            models: Vec::new(),
            fence: 0,
        }
    }

    /// Returns the memory of the running requests in tokens.
    pub fn kv_tokens(&self) -> u64 {
        let waiting = self.waiting.iter().filter(|job| job.left.is_some());
        let jobs = waiting.chain(self.decoding.iter().map(|(_, job)| job));
        jobs.map(|job| job.prompt.peak_tokens()).sum()
    }

    fn uncached(&self, prompt: &Prompt) -> u32 {
        let cached = prompt
            .parts
            .iter()
            .take_while(|part| self.cache.iter().any(|cached| cached.id == part.id));
        prompt.input_tokens - cached.map(|part| part.tokens).sum::<u32>()
    }

    fn remember(&mut self, prompt: &Prompt) {
        for part in prompt.parts.iter().rev() {
            self.cache.retain(|cached| cached.id != part.id);
            self.cache.push_front(*part);
        }
        let room = MEMORY.saturating_sub(self.kv_tokens());
        let size = |cache: &VecDeque<Part>| -> u64 {
            cache.iter().map(|part| u64::from(part.tokens)).sum()
        };
        while size(&self.cache) > room && self.cache.pop_back().is_some() {}
    }
}

/// A finished first token: when its request arrived, its engine, the predicted and the measured milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct FirstToken {
    pub arrived: Time,
    pub engine: TargetId,
    pub predicted: f64,
    pub measured: f64,
}

/// Nodes of one region with engines.
pub struct Load {
    pub fleet: Fleet,
    pub engines: BTreeMap<TargetId, Engine>,
    pub ids: Vec<TargetId>,
    pub rng: Pcg64Mcg,
    pub first_tokens: Vec<FirstToken>,
    pub refused: usize,
    /// Time from the first token of a request to its end.
    pub decode: Duration,
    /// Estimates of the last prompt that was sent to an engine.
    last_estimate: Option<TargetEstimate>,
    prompts: BTreeMap<(usize, u64), (Arc<Prompt>, Time)>,
    ticket: u64,
    ticked: Time,
}

impl Load {
    pub fn new(nodes: usize, speeds: &[Speed]) -> Self {
        let mut fleet = Fleet::new(&vec![NORTH; nodes]);
        fleet.wait(Duration::from_secs(1));
        let mut items = vec![item("config", 1, Some(config(7)))];
        let mut engines = BTreeMap::new();
        let mut ids = Vec::new();
        for (index, speed) in speeds.iter().enumerate() {
            let name = format!("e{index}");
            let entry = listed(&name, ENGINE, NORTH, false, 0);
            let Entry::Target(target) = &entry else {
                unreachable!("a listed target")
            };
            ids.push(target.id());
            engines.insert(target.id(), Engine::new(*speed));
            items.push(item(&name, index as u64 + 2, Some(entry)));
        }
        for index in 0..nodes {
            fleet.publish(index, items.clone(), 50);
        }
        // Nodes assume what an earlier process sent until they have run for some seconds.
        fleet.wait(Duration::from_secs(10));
        fleet.commands.clear();
        let ticked = fleet.now;
        Self {
            fleet,
            engines,
            ids,
            rng: Pcg64Mcg::seed_from_u64(7),
            first_tokens: Vec::new(),
            refused: 0,
            decode: Duration::from_millis(500),
            last_estimate: None,
            prompts: BTreeMap::new(),
            ticket: 0,
            ticked,
        }
    }

    pub fn engine(&mut self, index: usize) -> &mut Engine {
        self.engines.get_mut(&self.ids[index]).unwrap()
    }

    /// Publishes another engine.
    pub fn add_engine(&mut self, speed: Speed) {
        let name = format!("e{}", self.ids.len());
        let entry = listed(&name, ENGINE, NORTH, false, 0);
        let Entry::Target(target) = &entry else {
            unreachable!("a listed target")
        };
        self.ids.push(target.id());
        self.engines.insert(target.id(), Engine::new(speed));
        for node in 0..self.fleet.nodes.len() {
            let items = vec![item(&name, 60, Some(entry.clone()))];
            self.fleet.publish(node, items, 60);
        }
        self.carry_out();
    }

    /// Delivers the load that an engine states in an answer to a node.
    pub fn answer(&mut self, node: usize, target: TargetId) {
        let report = self.engines[&target].report();
        self.fleet.handle(node, Event::Load(target, report));
    }

    /// Sends a prompt to a random node.
    pub fn send(&mut self, parts: &[(u64, u32)]) {
        let node = self.rng.random_range(0..self.fleet.nodes.len());
        self.send_to(node, parts);
    }

    /// Sends a prompt to a node.
    pub fn send_to(&mut self, node: usize, parts: &[(u64, u32)]) {
        self.ticket += 1;
        let own = self.ticket + (1 << 32);
        let parts: Vec<Part> = parts
            .iter()
            .map(|(id, tokens)| Part {
                id: if *id == 0 { own } else { *id },
                tokens: *tokens,
            })
            .collect();
        let prompt = Arc::new(Prompt {
            input_tokens: parts.iter().map(|part| part.tokens).sum(),
            parts,
            output_limit: 50,
        });
        let mut request = arrival(self.ticket, "review", ENGINE, 1);
        request.prompt = Some(prompt.clone());
        self.prompts
            .insert((node, self.ticket), (prompt, self.fleet.now));
        self.fleet.arrive(node, request);
        self.carry_out();
    }

    /// Sends a prompt to a node and returns the estimates of the choice.
    pub fn estimate(&mut self, node: usize, parts: &[(u64, u32)]) -> TargetEstimate {
        self.last_estimate = None;
        self.send_to(node, parts);
        self.last_estimate.expect("an engine takes the prompt")
    }

    /// Sends prompts at a rate a second for a time. Part 0 is the request's own.
    pub fn play(
        &mut self,
        rate: f64,
        span: Duration,
        mut parts: impl FnMut(&mut Self) -> Vec<(u64, u32)>,
    ) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            if self.rng.random_bool(rate * STEP.as_secs_f64()) {
                let parts = parts(self);
                self.send(&parts);
            }
            self.step();
        }
    }

    /// Lets a time pass without further prompts.
    pub fn rest(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.fleet.now = self.fleet.now + STEP;
        self.run_engines();
        if self.fleet.now.since(self.ticked) >= TICK {
            self.ticked = self.fleet.now;
            for node in 0..self.fleet.nodes.len() {
                self.fleet.handle(node, Event::Tick);
            }
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        while !self.fleet.commands.is_empty() {
            for (node, command) in std::mem::take(&mut self.fleet.commands) {
                match command {
                    Command::Send {
                        ticket,
                        attempt,
                        target,
                        estimate,
                        ..
                    } => self.begin(node, ticket.0, (attempt, target), estimate),
                    Command::Forward { attempt, .. } => {
                        let refusal = Refusal::not_run(Reason::Overload);
                        let end = AttemptOutcome::Refused(refusal);
                        self.fleet.handle(node, Event::AttemptEnded(attempt, end));
                    }
                    Command::Refuse { .. } => self.refused += 1,
                    _ => {}
                }
            }
        }
    }

    fn begin(
        &mut self,
        node: usize,
        ticket: u64,
        (attempt, target): (AttemptKey, TargetId),
        estimate: TargetEstimate,
    ) {
        self.fleet.handle(node, Event::Sending(attempt));
        self.last_estimate = Some(estimate);
        let (prompt, _) = self.prompts[&(node, ticket)].clone();
        let engine = self.engines.get_mut(&target).unwrap();
        engine.waiting.push_back(Job {
            node,
            attempt,
            prompt,
            arrived: self.fleet.now,
            left: None,
            predicted: f64::from(estimate.predicted_ms),
        });
    }

    fn run_engines(&mut self) {
        let now = self.fleet.now;
        for target in self.ids.clone() {
            let engine = self.engines.get_mut(&target).unwrap();
            let (ended, decoding): (Vec<_>, Vec<_>) =
                engine.decoding.drain(..).partition(|(end, _)| *end <= now);
            engine.decoding = decoding;
            let mut first = Vec::new();
            let mut done = STEP.as_secs_f64() * 1000.0 * 100.0 / f64::from(engine.slowdown);
            while done > 0.0 && !engine.waiting.is_empty() {
                let begins = engine.waiting[0].left.is_none();
                if begins {
                    let uncached = engine.uncached(&engine.waiting[0].prompt);
                    let left = engine.speed.base + f64::from(uncached) / engine.speed.tokens;
                    engine.waiting[0].left = Some(left);
                    engine.prefilled += u64::from(uncached);
                    engine.preempted += usize::from(engine.kv_tokens() > MEMORY);
                }
                let left = engine.waiting[0].left.unwrap();
                engine.waiting[0].left = Some(left - done);
                if left <= done
                    && let Some(job) = engine.waiting.pop_front()
                {
                    engine.served += 1;
                    engine.decoding.push((now + self.decode, job.clone()));
                    engine.remember(&job.prompt);
                    first.push(job);
                }
                done -= left;
            }
            let report = engine.report();
            for job in first {
                self.first_tokens.push(FirstToken {
                    arrived: job.arrived,
                    engine: target,
                    predicted: job.predicted,
                    measured: now.since(job.arrived).as_secs_f64() * 1000.0,
                });
                let stated = Event::Load(target, report.clone());
                self.fleet.handle(job.node, stated);
                self.fleet.handle(job.node, Event::FirstBytes(job.attempt));
            }
            for (_, job) in ended {
                let reply = AttemptOutcome::Complete {
                    response: None,
                    success: true,
                };
                let end = Event::AttemptEnded(job.attempt, reply);
                self.fleet.handle(job.node, end);
            }
        }
        self.carry_out();
    }

    /// Returns the share of the first tokens since a time that came from an engine.
    pub fn share(&self, index: usize, since: Time) -> f64 {
        let recent = self.first_tokens.iter().filter(|it| it.arrived >= since);
        let all = recent.clone().count();
        let here = recent.filter(|it| it.engine == self.ids[index]).count();
        here as f64 / all as f64
    }

    /// Returns the mean difference between predicted and measured times since a time, as a fraction of the
    /// measured ones.
    pub fn error(&self, since: Time) -> f64 {
        let recent = self.first_tokens.iter().filter(|it| it.arrived >= since);
        let errors = recent.map(|it| (it.predicted - it.measured).abs() / it.measured);
        let (sum, count) = errors.fold((0.0, 0), |(sum, count), error| (sum + error, count + 1));
        sum / f64::from(count)
    }
}
