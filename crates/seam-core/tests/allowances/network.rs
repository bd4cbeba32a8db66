//! Fleets with delayed and lost datagrams, callers of limited tenants, and the sum of what ran.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::{AllowanceStatus, AttemptOutcome, Command, Event, Node, Prompt, Refusal, Ticket};
use seam_protocol::tenant::{Allowance, CostUnit, Tenant, TenantBounds};
use seam_protocol::{Bundle, Digest, Entry, Heartbeat, Reason, Shared, TenantId, Time, VmId};

use crate::fleet::{Fleet, PLAIN, address, arrival, config, item, listed};

pub const TENANTS: u64 = 16;
const STEP: Duration = Duration::from_millis(10);
/// Steps between two ticks of a node.
const TICK_STEPS: u64 = 10;
const REGIONS: [&str; 3] = ["north", "south", "west"];
pub const BOUNDS: TenantBounds = TenantBounds {
    revocation_limit: None,
    window: 8000,
    overage: 0.25,
    slack: 110_000.0,
};

/// A tenant with its limit, and the cost of each of its requests.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    pub tenant: u64,
    pub rate: f64,
    pub cost: u32,
}

pub fn large(tenant: u64) -> Limit {
    Limit {
        tenant,
        rate: 2_869_637.0,
        cost: 9300,
    }
}

pub fn small(tenant: u64) -> Limit {
    Limit {
        tenant,
        rate: 29_000.0,
        cost: 2900,
    }
}

impl Limit {
    fn allowance(self) -> Allowance {
        Allowance {
            rate: self.rate,
            burst: self.rate,
            unit: CostUnit::Tokens { plain: self.cost },
        }
    }
}

fn id(tenant: u64) -> TenantId {
    TenantId::of(&tenant.to_string())
}

/// A request that ran.
struct Run {
    node: usize,
    time: Time,
    tenant: u64,
    tokens: f64,
}

type Datagrams = BTreeMap<(Time, u64), (usize, usize, Box<Heartbeat>)>;

pub struct Network {
    pub fleet: Fleet,
    pub rng: Pcg64Mcg,
    /// Datagrams of 100 that are lost.
    pub loss: u32,
    /// Whether targets refuse all requests without running them.
    pub targets_refuse: bool,
    /// Whether callers leave before their requests are sent.
    pub leave_unsent: bool,
    pub last_refusal: Option<Refusal>,
    /// Prompt of each request.
    pub prompt: Option<Arc<Prompt>>,
    in_flight: Datagrams,
    sent: u64,
    steps: u64,
    paused: BTreeMap<usize, Time>,
    /// Earlier processes that go on beside the later ones.
    twins: Vec<(usize, Node)>,
    runs: Vec<Run>,
    refused: BTreeMap<u64, usize>,
    requests: BTreeMap<(usize, Ticket), (u64, f64, Time)>,
    arrivals: u64,
    credit: BTreeMap<u64, (Time, f64)>,
    longest_wait: Duration,
    /// Callers of 100 that return once at the time that their refusal named.
    pub returning: u32,
    /// Requests that arrive again: node, limit and time.
    returns: BTreeMap<(Time, u64), (usize, Limit)>,
    /// Requests that arrived again, and those of them that ran.
    returned: BTreeMap<(usize, Ticket), bool>,
    /// Time from arrival to refusal, and the time after which to retry, of the requests that arrived first.
    pub refusals: Vec<(Duration, Duration)>,
    /// Datagrams about allowances and their bytes, by sender.
    pub traffic: BTreeMap<usize, (usize, usize)>,
    /// The same by sender and whether they are reports, extra questions or answers.
    pub kinds: BTreeMap<(usize, &'static str), (usize, usize)>,
    /// Bytes of the largest of them.
    pub largest: usize,
    /// Number of tenants in the configurations.
    pub tenants: u64,
    version: u64,
    sizes: Vec<usize>,
}

impl Network {
    pub fn new(sizes: &[usize], limits: &[Limit]) -> Self {
        Self::with_seed(sizes, limits, 7)
    }

    /// Starts nodes in up to three regions and publishes limits to them.
    pub fn with_seed(sizes: &[usize], limits: &[Limit], seed: u64) -> Self {
        let regions = sizes.iter().zip(REGIONS);
        let names: Vec<&str> = regions.flat_map(|(size, name)| vec![name; *size]).collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let weight = |_| if rng.random_bool(0.2) { 4000 } else { 1000 };
        let weights: Vec<u32> = (0..names.len()).map(weight).collect();
        let mut fleet = Fleet::with_weights(&names, &weights);
        fleet.heartbeats_held = true;
        let mut network = Self {
            fleet,
            rng,
            loss: 0,
            targets_refuse: false,
            leave_unsent: false,
            last_refusal: None,
            prompt: None,
            in_flight: Datagrams::new(),
            sent: 0,
            steps: 0,
            paused: BTreeMap::new(),
            twins: Vec::new(),
            runs: Vec::new(),
            refused: BTreeMap::new(),
            requests: BTreeMap::new(),
            arrivals: 0,
            credit: BTreeMap::new(),
            longest_wait: Duration::ZERO,
            returning: 0,
            returns: BTreeMap::new(),
            returned: BTreeMap::new(),
            refusals: Vec::new(),
            traffic: BTreeMap::new(),
            kinds: BTreeMap::new(),
            largest: 0,
            tenants: TENANTS,
            version: 0,
            sizes: sizes.to_vec(),
        };
        network.run(Duration::from_secs(1), |_, _| Vec::new());
        let all: Vec<usize> = (0..names.len()).collect();
        network.publish(limits, &all);
        network
    }

    pub fn now(&self) -> Time {
        self.fleet.now
    }

    /// Publishes limits to some nodes, of which the others learn.
    pub fn publish(&mut self, limits: &[Limit], nodes: &[usize]) {
        self.version += 1;
        let revision = 100 * self.version;
        let Entry::Config(bundle) = config(self.version + 6) else {
            unreachable!()
        };
        let mut bundle: Bundle = (*bundle).clone();
        let limits: BTreeMap<u64, Limit> =
            limits.iter().map(|limit| (limit.tenant, *limit)).collect();
        let tenants = (0..self.tenants).map(|tenant| {
            let limit = limits.get(&tenant);
            let tenant = Tenant {
                name: tenant.to_string(),
                keys: Vec::new(),
                priority: None,
                allowance: limit.map(|limit| limit.allowance()),
                home_regions: None,
            };
            (TenantId::of(&tenant.name), tenant)
        });
        bundle.tenants = Shared::from(tenants.collect::<BTreeMap<_, _>>());
        bundle.tenant_bounds = BOUNDS;
        bundle.digest = Digest::of(&revision.to_be_bytes());
        let mut items = vec![item(
            "config",
            revision,
            Some(Entry::Config(Arc::new(bundle))),
        )];
        for (index, region) in REGIONS.iter().take(self.sizes.len()).enumerate() {
            for target in 0..4_u64 {
                let name = format!("{region}-{target}");
                let entry = listed(&name, PLAIN, region, false, 0);
                let order = revision + 1 + 4 * index as u64 + target;
                items.push(item(&name, order, Some(entry)));
            }
        }
        for node in nodes {
            self.fleet.publish(*node, items.clone(), revision + 50);
        }
        self.collect();
    }

    /// Advances the time. `send` returns the requests that arrive at each step and their nodes.
    pub fn run(
        &mut self,
        span: Duration,
        mut send: impl FnMut(&mut Self, Time) -> Vec<(usize, Limit)>,
    ) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.now = self.fleet.now + STEP;
            self.steps += 1;
            let now = self.fleet.now;
            let resumed: Vec<usize> = self
                .paused
                .iter()
                .filter(|(_, end)| **end <= now)
                .map(|(node, _)| *node)
                .collect();
            for node in resumed {
                self.paused.remove(&node);
                self.fleet.down[node] = false;
            }
            while let Some(entry) = self.in_flight.first_entry()
                && entry.key().0 <= now
            {
                let (from, to, heartbeat) = entry.remove();
                if self.paused.contains_key(&to) {
                    // A paused process reads what came meanwhile when it goes on.
                    self.sent += 1;
                    let key = (self.paused[&to] + STEP, self.sent);
                    self.in_flight.insert(key, (from, to, heartbeat));
                } else if !self.fleet.down[to] {
                    self.fleet.handle(to, Event::Heartbeat(heartbeat));
                    self.collect();
                }
            }
            for node in 0..self.fleet.nodes.len() {
                let due = (self.steps + node as u64).is_multiple_of(TICK_STEPS);
                if due && !self.fleet.down[node] {
                    self.fleet.handle(node, Event::Tick);
                    self.collect();
                }
            }
            if self.steps.is_multiple_of(TICK_STEPS) {
                self.run_twins(&Event::Tick);
            }
            while let Some(entry) = self.returns.first_entry()
                && entry.key().0 <= now
            {
                let (node, limit) = entry.remove();
                // Known before the decision, which may fall at once.
                let key = (node, Ticket(self.arrivals + 1));
                self.returned.insert(key, false);
                self.arrive(node, limit);
            }
            for (node, limit) in send(self, now) {
                self.arrive(node, limit);
            }
        }
    }

    fn run_twins(&mut self, event: &Event) {
        for twin in 0..self.twins.len() {
            self.as_twin(twin, |network, node| {
                network.fleet.handle(node, event.clone());
            });
        }
    }

    /// Does something with an earlier process in the place of the later one.
    fn as_twin(&mut self, twin: usize, act: impl FnOnce(&mut Self, usize)) {
        let node = self.twins[twin].0;
        if self.fleet.down[node] {
            return;
        }
        std::mem::swap(&mut self.twins[twin].1, &mut self.fleet.nodes[node]);
        act(self, node);
        self.collect();
        std::mem::swap(&mut self.twins[twin].1, &mut self.fleet.nodes[node]);
    }

    /// Starts another process of a node beside the present one, which receives no more datagrams.
    pub fn twin(&mut self, node: usize) {
        let earlier = self.fleet.nodes[node].clone();
        self.fleet.restart(node);
        self.twins.push((node, earlier));
    }

    fn arrive(&mut self, node: usize, limit: Limit) {
        if self.fleet.down[node] {
            return;
        }
        self.arrivals += 1;
        let mut arrival = arrival(self.arrivals, "view", PLAIN, 2);
        arrival.tenant = Some(id(limit.tenant));
        arrival.prompt.clone_from(&self.prompt);
        let key = (node, arrival.ticket);
        let request = (limit.tenant, f64::from(limit.cost), self.fleet.now);
        self.requests.insert(key, request);
        let ticket = arrival.ticket;
        self.fleet.arrive(node, arrival.clone());
        if self.leave_unsent {
            self.leave(node, ticket);
        }
        self.collect();
        if let Some(twin) = self.twins.iter().position(|(known, _)| *known == node) {
            self.arrivals += 1;
            let ticket = Ticket(self.arrivals);
            self.requests.insert((node, ticket), request);
            let arrival = seam_core::Arrival { ticket, ..arrival };
            self.as_twin(twin, |network, node| network.fleet.arrive(node, arrival));
        }
    }

    fn leave(&mut self, node: usize, ticket: Ticket) {
        let sends = self.fleet.sends();
        self.fleet
            .commands
            .retain(|(_, command)| !matches!(command, Command::Send { .. }));
        self.fleet.handle(node, Event::CallerGone(ticket));
        for (node, attempt, _) in sends {
            self.fleet
                .handle(node, Event::AttemptEnded(attempt, AttemptOutcome::NotSent));
        }
    }

    /// Sends datagrams, answers requests and records what ran.
    fn collect(&mut self) {
        while !self.fleet.commands.is_empty() {
            for (node, command) in std::mem::take(&mut self.fleet.commands) {
                self.execute(node, command);
            }
        }
    }

    fn execute(&mut self, node: usize, command: Command) {
        match command {
            Command::Heartbeat {
                address: to,
                heartbeat,
                ..
            } => {
                if !heartbeat.allowances.is_empty() {
                    let traffic = self.traffic.entry(node).or_default();
                    traffic.0 += 1;
                    let bytes = heartbeat.encode().len();
                    traffic.1 += bytes;
                    let report = &heartbeat.allowances;
                    let kind = match (report.requested_at, report.lease) {
                        (0, 0) => "question",
                        (0, _) => "report",
                        _ => "answer",
                    };
                    let kind = self.kinds.entry((node, kind)).or_default();
                    kind.0 += 1;
                    kind.1 += bytes;
                    self.largest = self.largest.max(bytes);
                }
                let to = (0..self.fleet.nodes.len()).find(|other| address(*other) == to);
                let lost = self.rng.random_range(0..100) < self.loss;
                let Some(to) = to.filter(|to| !lost && self.reaches(node, *to)) else {
                    return;
                };
                let local = self.fleet.nodes[node].identity().region
                    == self.fleet.nodes[to].identity().region;
                let delay = if local { 1 } else { 40 } + self.rng.random_range(0..10);
                self.sent += 1;
                let key = (self.fleet.now + Duration::from_millis(delay), self.sent);
                self.in_flight.insert(key, (node, to, heartbeat));
            }
            Command::Send {
                ticket, attempt, ..
            } => {
                let (tenant, tokens, arrived) = self.requests[&(node, ticket)];
                if self.targets_refuse {
                    let refusal = Refusal::not_run(Reason::Refused);
                    let refused = AttemptOutcome::Refused(refusal);
                    self.fleet
                        .handle(node, Event::AttemptEnded(attempt, refused));
                    return;
                }
                let time = self.fleet.now;
                self.longest_wait = self.longest_wait.max(time.since(arrived));
                if let Some(ran) = self.returned.get_mut(&(node, ticket)) {
                    *ran = true;
                }
                self.runs.push(Run {
                    node,
                    time,
                    tenant,
                    tokens,
                });
                self.fleet.complete(node, attempt);
            }
            Command::Refuse { ticket, refusal } => {
                let (tenant, tokens, arrived) = self.requests[&(node, ticket)];
                if refusal.reason == Reason::Rate {
                    *self.refused.entry(tenant).or_default() += 1;
                    self.last_refusal = Some(refusal);
                    let wait = refusal.retry_after.unwrap_or_default();
                    if !self.returned.contains_key(&(node, ticket)) {
                        let delay = self.fleet.now.since(arrived);
                        self.refusals.push((delay, wait));
                        if self.rng.random_range(0..100) < self.returning {
                            self.note_return(node, tenant, tokens, wait);
                        }
                    }
                }
            }
            Command::LogAllowance(event) if std::env::var("SHOW_ALLOWANCES").is_ok() => {
                println!(
                    "{:?} {node} {event:?} {:?}",
                    self.fleet.now,
                    self.status(node)
                );
            }
            Command::Forward { .. } => panic!("a request left its region"),
            _ => {}
        }
    }

    fn note_return(&mut self, node: usize, tenant: u64, tokens: f64, wait: Duration) {
        let cost = tokens as u32;
        let limit = Limit {
            tenant,
            rate: 0.0,
            cost,
        };
        self.sent += 1;
        let key = (self.fleet.now + wait, self.sent);
        self.returns.insert(key, (node, limit));
    }

    /// Returns the number of requests that arrived again, and how many of them ran.
    pub fn returned(&self) -> (usize, usize) {
        let ran = self.returned.values().filter(|ran| **ran).count();
        (self.returned.len(), ran)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        !self.fleet.partitions.contains(&pair)
    }

    /// Separates nodes from all others.
    pub fn cut_off(&mut self, nodes: &[usize]) {
        let nodes: BTreeSet<usize> = nodes.iter().copied().collect();
        for one in 0..self.fleet.nodes.len() {
            for other in one + 1..self.fleet.nodes.len() {
                if nodes.contains(&one) != nodes.contains(&other) {
                    self.fleet.partitions.insert((one, other));
                }
            }
        }
    }

    pub fn connect(&mut self) {
        self.fleet.partitions.clear();
    }

    pub fn pause(&mut self, node: usize, span: Duration) {
        if !self.fleet.down[node] {
            self.fleet.down[node] = true;
            self.paused.insert(node, self.fleet.now + span);
        }
    }

    /// Returns the coordinator that most live nodes ask.
    pub fn coordinator(&self) -> usize {
        let mut votes: BTreeMap<VmId, usize> = BTreeMap::new();
        for (index, node) in self.fleet.nodes.iter().enumerate() {
            if !self.fleet.down[index] {
                let status = node.allowance_status(self.now());
                for vm in status.coordinators.into_iter().flatten() {
                    *votes.entry(vm).or_default() += 1;
                }
            }
        }
        let most = votes.into_iter().max_by_key(|(_, votes)| *votes);
        let most = most.map(|(vm, _)| vm);
        let index = (0..self.fleet.nodes.len())
            .find(|node| Some(self.fleet.nodes[*node].identity().vm) == most);
        index.unwrap_or(0)
    }

    /// Returns how many requests of a tenant arrive now at a factor of its rate.
    pub fn due(&mut self, now: Time, limit: Limit, factor: f64) -> usize {
        let (last, credit) = self
            .credit
            .get(&limit.tenant)
            .copied()
            .unwrap_or((now, 0.0));
        let step = if now.since(last) > 5 * STEP {
            STEP
        } else {
            now.since(last)
        };
        let credit = credit + step.as_secs_f64() * limit.rate * factor / f64::from(limit.cost);
        let due = credit.floor();
        self.credit.insert(limit.tenant, (now, credit - due));
        due as usize
    }

    pub fn refused(&self, tenant: u64) -> usize {
        self.refused.get(&tenant).copied().unwrap_or(0)
    }

    pub fn refused_share(&self) -> f64 {
        self.refused.values().sum::<usize>() as f64 / self.arrivals.max(1) as f64
    }

    pub fn longest_wait(&self) -> Duration {
        self.longest_wait
    }

    pub fn status(&self, node: usize) -> AllowanceStatus {
        self.fleet.nodes[node].allowance_status(self.now())
    }

    pub fn admitted(&self, tenant: u64, since: Time) -> f64 {
        let runs = self
            .runs
            .iter()
            .filter(|run| run.tenant == tenant && run.time > since);
        runs.map(|run| run.tokens).sum()
    }

    /// Returns the number of requests that a node admitted.
    pub fn admitted_at(&self, node: usize) -> usize {
        self.runs.iter().filter(|run| run.node == node).count()
    }

    /// Checks that no window has more tokens than the limits permit.
    pub fn check(&self, limits: &[Limit]) {
        self.check_after(limits, Time(0));
    }

    pub fn check_after(&self, limits: &[Limit], since: Time) {
        for limit in limits {
            let most = BOUNDS.most(&limit.allowance());
            let worst = self.worst_window(limit.tenant, since);
            assert!(worst <= most, "tenant {}: {worst} of {most}", limit.tenant);
        }
    }

    fn worst_window(&self, tenant: u64, since: Time) -> f64 {
        let runs = self
            .runs
            .iter()
            .filter(|run| run.tenant == tenant && run.time > since);
        let runs: Vec<&Run> = runs.collect();
        let window = Duration::from_millis(BOUNDS.window);
        let (mut first, mut sum, mut worst) = (0, 0.0, 0.0_f64);
        for run in &runs {
            sum += run.tokens;
            while run.time.since(runs[first].time) > window {
                sum -= runs[first].tokens;
                first += 1;
            }
            worst = worst.max(sum);
        }
        worst
    }

    /// Describes the refusals and the state of the nodes.
    pub fn summary(&self) -> String {
        let coordinator = self.coordinator();
        let worst = [0, 1].map(|tenant| self.worst_window(tenant, Time(0)));
        format!(
            "refused {:?} of {}, windows {worst:?}, coordinator {coordinator} {:?}, longest wait {:?}",
            self.refused,
            self.arrivals,
            self.status(coordinator),
            self.longest_wait,
        )
    }
}
