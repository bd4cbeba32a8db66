//! Traffic of prompts to engines that crash when they begin to answer a prompt with a certain part.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::prompt::{Part, Prompt};
use seam_core::{AttemptKey, AttemptOutcome, Command, Event, Refusal, Ticket};
use seam_protocol::{Fingerprint, Reason, TargetId, Time};

use super::fleet::{ENGINE, Fleet, NORTH, SOUTH, arrival, settled_fleet};

/// Interval between two steps of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Time for which a crashed engine refuses connections.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time for which a node must have been up and connected to know what the others know.
pub const CONTACT: Duration = Duration::from_secs(6);
/// Crashes from which on the part has to be known after [`CONTACT`].
const KNOWN_CRASHES: usize = 5;
/// Requests with the part that may reach engines after that.
pub const MAX_LATE: usize = 3;
/// Different first parts of prompts.
const FIRST_PARTS: u64 = 4;
/// Different parts that follow them.
const MIDDLE_PARTS: u64 = 200;
/// The parts that stand beside the crashing one, from the start of its prompts.
const BESIDE: [u64; 2] = [1, 1001];
/// Share of sound requests that have the parts beside the crashing one.
const BESIDE_SHARE: f64 = 0.05;
/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Nodes in each of two regions.
    pub nodes: usize,
    /// Engines in the first and the second region.
    pub engines: [usize; 2],
    /// Requests a second without the part.
    pub sound_rate: f64,
}

pub const SMALL: FleetSize = FleetSize {
    nodes: 3,
    engines: [6, 4],
    sound_rate: 30.0,
};

/// A part that crashes engines.
#[derive(Clone, Copy, Debug)]
pub struct CrashingPart {
    pub id: u64,
    /// Requests a second that have it.
    pub rate: f64,
    /// Whether it stands alone after the first part, instead of after the parts beside it.
    pub second: bool,
}

#[derive(Clone, Debug)]
struct Running {
    node: usize,
    ticket: u64,
    target: TargetId,
    begins: Time,
    ends: Time,
    begun: bool,
}

#[derive(Clone, Debug)]
struct Sent {
    prompt: Arc<Prompt>,
    /// The part that crashes engines.
    crashes: Option<u64>,
    arrived: Time,
    attempts: u32,
    refusal: Option<Refusal>,
    /// Whether an engine began its answer at the first attempt.
    begun_first: bool,
}

/// What became of requests without the part.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub sent: usize,
    /// Answers that an engine began at the first attempt.
    pub begun: usize,
    pub poison: usize,
}

/// A fleet with traffic and engines.
pub struct PartCrashes {
    pub fleet: Fleet,
    size: FleetSize,
    /// Names of the engines.
    pub engines: Vec<String>,
    rng: Pcg64Mcg,
    pub parts: Vec<CrashingPart>,
    /// Whether requests have attributes instead of the parts of a prompt.
    pub plain: bool,
    /// Whether engines crash whatever they answer.
    pub faulty_engines: bool,
    requests: BTreeMap<u64, Sent>,
    running: BTreeMap<(usize, AttemptKey), Running>,
    /// When each crashed engine accepts connections again.
    down_until: BTreeMap<TargetId, Time>,
    /// Crashes by the part that caused them.
    pub crashes: BTreeMap<u64, Vec<Time>>,
    /// By part, when settled nodes sent requests with it after it had to be known.
    pub late: BTreeMap<u64, Vec<(Time, usize)>>,
    /// Since when each node is up and connected.
    settled_since: Vec<Time>,
    next_ticket: u64,
}

impl PartCrashes {
    pub fn new(seed: u64) -> Self {
        Self::with_size(seed, SMALL)
    }

    pub fn with_size(seed: u64, size: FleetSize) -> Self {
        let regions = [NORTH, SOUTH]
            .map(|region| vec![region; size.nodes])
            .concat();
        let names = [(NORTH, "e", size.engines[0]), (SOUTH, "f", size.engines[1])];
        let engines: Vec<(String, &str)> = names
            .into_iter()
            .flat_map(|(region, letter, count)| {
                (1..=count).map(move |number| (format!("{letter}{number}"), region))
            })
            .collect();
        let targets: Vec<(&str, &str, &str)> = engines
            .iter()
            .map(|(name, region)| (name.as_str(), ENGINE, *region))
            .collect();
        let fleet = settled_fleet(&regions, &targets);
        let settled_since = vec![Time(0); regions.len()];
        Self {
            fleet,
            size,
            engines: engines.into_iter().map(|(name, _)| name).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            parts: Vec::new(),
            plain: false,
            faulty_engines: false,
            requests: BTreeMap::new(),
            running: BTreeMap::new(),
            down_until: BTreeMap::new(),
            crashes: BTreeMap::new(),
            late: BTreeMap::new(),
            settled_since,
            next_ticket: 1,
        }
    }

    /// Runs traffic for a while.
    pub fn run(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.send_traffic();
            self.fleet.wait(STEP);
            self.carry_out();
            self.run_engines();
        }
    }

    /// Restarts a node. Its open requests are lost.
    pub fn restart(&mut self, node: usize) {
        self.running.retain(|(owner, _), _| *owner != node);
        self.fleet.restart(node);
        self.settled_since[node] = self.fleet.now;
    }

    /// Cuts the regions from each other, or connects them again.
    pub fn cut_regions(&mut self, cut: bool) {
        self.fleet.partitions.clear();
        if cut {
            let nodes = self.size.nodes;
            for north in 0..nodes {
                for south in nodes..2 * nodes {
                    self.fleet.partitions.insert((north, south));
                }
            }
        }
        self.settled_since.fill(self.fleet.now);
    }

    /// Crashes engines for a reason that has nothing to do with their requests.
    pub fn crash_engines(&mut self, names: &[String]) {
        for name in names {
            self.crash(TargetId::of(name));
        }
    }

    /// Counts the requests without a crashing part that arrived after a time, with these first parts.
    pub fn tally(&self, since: Time, first_parts: &[u64]) -> Tally {
        let mut tally = Tally::default();
        let recent = self.fleet.now - Duration::from_secs(4);
        for sent in self.requests.values() {
            let ids = sent.prompt.parts.iter().map(|part| part.id);
            let concerned = ids.take(first_parts.len()).eq(first_parts.iter().copied());
            if sent.crashes.is_some() || !concerned || sent.arrived < since || sent.arrived > recent
            {
                continue;
            }
            tally.sent += 1;
            tally.begun += usize::from(sent.begun_first);
            let poison = sent.refusal.is_some_and(|it| it.reason == Reason::Poison);
            tally.poison += usize::from(poison);
        }
        tally
    }

    /// Counts the sound requests with the parts beside the crashing one.
    pub fn beside(&self, since: Time) -> Tally {
        self.tally(since, &BESIDE)
    }

    /// Counts the sound requests with the same first part as the crashing ones.
    pub fn same_first(&self, since: Time) -> Tally {
        self.tally(since, &BESIDE[..1])
    }

    /// Returns when a part has crashed so many engines that it has to be known after [`CONTACT`].
    pub fn known_after(&self, part: u64) -> Option<Time> {
        let crashes = self.crashes.get(&part)?;
        crashes.get(KNOWN_CRASHES - 1).copied()
    }

    fn draw(&mut self, rate: f64) -> usize {
        let mean = rate * STEP.as_secs_f64();
        let whole = mean.floor();
        let extra = self.rng.random_bool(mean - whole);
        whole as usize + usize::from(extra)
    }

    fn send_traffic(&mut self) {
        for _ in 0..self.draw(self.size.sound_rate) {
            let first = 1 + self.rng.random_range(0..FIRST_PARTS);
            let middle = if self.rng.random_bool(BESIDE_SHARE) {
                BESIDE[1]
            } else {
                // Parts of a few requests each among parts of many.
                let skewed = self.rng.random::<f64>().powi(2);
                1001 + (skewed * MIDDLE_PARTS as f64) as u64
            };
            let first = if middle == BESIDE[1] {
                BESIDE[0]
            } else {
                first
            };
            self.send(&[first, middle]);
        }
        for part in self.parts.clone() {
            for _ in 0..self.draw(part.rate) {
                if part.second {
                    self.send(&[BESIDE[0], part.id]);
                } else {
                    self.send(&[BESIDE[0], BESIDE[1], part.id]);
                }
            }
        }
    }

    fn send(&mut self, shared: &[u64]) {
        const OWN_PARTS: u64 = 1 << 32;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let own = [OWN_PARTS + ticket];
        let parts: Vec<Part> = shared
            .iter()
            .chain(&own)
            .map(|id| Part {
                id: *id,
                tokens: 400,
            })
            .collect();
        let prompt = Arc::new(Prompt {
            input_tokens: 400 * parts.len() as u32,
            parts,
            output_limit: 50,
        });
        let mut request = arrival(ticket, "review", ENGINE, 1);
        if self.rng.random_bool(0.4) {
            request = arrival(ticket, "hint", ENGINE, 2);
        }
        if self.plain {
            // Requests are named by their tickets.
            let ids = prompt.parts.iter().map(|part| part.id | 1 << 40);
            request.attributes = ids.map(Fingerprint).collect();
        } else {
            request.prompt = Some(prompt.clone());
        }
        let sent = Sent {
            crashes: self.crashing_part(&prompt),
            prompt,
            arrived: self.fleet.now,
            attempts: 0,
            refusal: None,
            begun_first: false,
        };
        self.requests.insert(ticket, sent);
        let node = self.rng.random_range(0..2 * self.size.nodes);
        if !self.fleet.down[node] {
            self.fleet.arrive(node, request);
        }
    }

    /// Returns the part of a prompt that crashes engines.
    fn crashing_part(&self, prompt: &Prompt) -> Option<u64> {
        let shared = prompt.shared_parts().iter().map(|part| part.id);
        let mut crashing = shared.filter(|id| self.parts.iter().any(|part| part.id == *id));
        crashing.next()
    }

    /// Carries out the commands of the nodes.
    fn carry_out(&mut self) {
        while !self.fleet.commands.is_empty() {
            for (node, command) in std::mem::take(&mut self.fleet.commands) {
                self.carry_out_command(node, &command);
            }
        }
    }

    fn carry_out_command(&mut self, node: usize, command: &Command) {
        let now = self.fleet.now;
        match *command {
            Command::Send {
                ticket,
                attempt,
                target,
                ..
            } => self.start_attempt(node, ticket, attempt, target),
            Command::Forward { attempt, .. } => {
                let refusal = Refusal::not_run(Reason::Overload);
                let outcome = AttemptOutcome::Refused(refusal);
                self.fleet
                    .handle(node, Event::AttemptEnded(attempt, outcome));
            }
            Command::Cancel(attempt) => {
                let running = self.running.remove(&(node, attempt));
                let outcome =
                    running.map_or(AttemptOutcome::NotSent, |running| AttemptOutcome::Broken {
                        started: running.begun,
                    });
                self.fleet
                    .handle(node, Event::AttemptEnded(attempt, outcome));
            }
            Command::Probe { target, .. } => {
                let accepted = self.is_up(target, now);
                self.fleet.handle(node, Event::Probed { target, accepted });
            }
            Command::Refuse { ticket, refusal } => {
                if let Some(sent) = self.requests.get_mut(&ticket.0) {
                    sent.refusal = Some(refusal);
                }
            }
            _ => {}
        }
    }

    fn is_up(&self, target: TargetId, now: Time) -> bool {
        let until = self.down_until.get(&target);
        until.is_none_or(|until| *until <= now)
    }

    fn start_attempt(
        &mut self,
        node: usize,
        ticket: Ticket,
        attempt: AttemptKey,
        target: TargetId,
    ) {
        let now = self.fleet.now;
        if !self.is_up(target, now) {
            let outcome = AttemptOutcome::NotSent;
            self.fleet
                .handle(node, Event::AttemptEnded(attempt, outcome));
            return;
        }
        self.fleet.handle(node, Event::Sending(attempt));
        let Some(sent) = self.requests.get_mut(&ticket.0) else {
            return;
        };
        sent.attempts += 1;
        if let Some(part) = sent.crashes {
            let settled = now.since(self.settled_since[node]) >= CONTACT;
            let known = self.known_after(part);
            if settled && known.is_some_and(|known| now.since(known) > CONTACT) {
                self.late.entry(part).or_default().push((now, node));
            }
        }
        let begins = now + Duration::from_millis(self.rng.random_range(50..500));
        let ends = begins + Duration::from_millis(self.rng.random_range(100..2000));
        let running = Running {
            node,
            ticket: ticket.0,
            target,
            begins,
            ends,
            begun: false,
        };
        self.running.insert((node, attempt), running);
    }

    /// Begins and ends answers, and crashes engines that begin one with a crashing part.
    fn run_engines(&mut self) {
        let now = self.fleet.now;
        let keys: Vec<_> = self.running.keys().copied().collect();
        for key in keys {
            let Some(running) = self.running.get_mut(&key) else {
                continue;
            };
            if !running.begun && running.begins <= now {
                let sent = self.requests.get_mut(&running.ticket).unwrap();
                if let Some(part) = sent.crashes {
                    let target = running.target;
                    self.crashes.entry(part).or_default().push(now);
                    self.crash(target);
                    continue;
                }
                if self.faulty_engines {
                    let target = running.target;
                    self.crash(target);
                    continue;
                }
                running.begun = true;
                sent.begun_first |= sent.attempts == 1;
                self.fleet.handle(key.0, Event::FirstBytes(key.1));
            }
            let ended = self.running.get(&key).filter(|it| it.ends <= now);
            if ended.is_some() {
                self.running.remove(&key);
                let outcome = AttemptOutcome::Complete {
                    response: None,
                    success: true,
                };
                self.fleet
                    .handle(key.0, Event::AttemptEnded(key.1, outcome));
            }
        }
        self.carry_out();
    }

    fn crash(&mut self, target: TargetId) {
        self.down_until
            .insert(target, self.fleet.now + RESTART_TIME);
        let lost: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| running.target == target)
            .map(|(key, running)| (*key, running.begun))
            .collect();
        for (key, begun) in lost {
            let running = self.running.remove(&key).unwrap();
            let outcome = AttemptOutcome::Broken { started: begun };
            self.fleet
                .handle(running.node, Event::AttemptEnded(key.1, outcome));
        }
        self.carry_out();
    }
}
