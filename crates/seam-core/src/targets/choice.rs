//! Chooses a target for a request.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::id::rank;
use seam_protocol::{CustomerId, Fingerprint, ServiceId, Time};

use super::{EngineModel, Phase, PromptWork, Targets};
use crate::handle::TargetKey;
use crate::prefix::PrefixTable;
use crate::prompt::Prompt;

/// Load above the mean at which prefix affinity yields.
const AFFINITY_BOUND: f64 = 1.25;

/// What a request wants of its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetQuery<'a> {
    /// Digest of the prompt's prefix.
    pub prefix: Option<u64>,
    /// The fingerprint of a request that is suspected of crashing targets.
    pub suspect: Option<Fingerprint>,
    /// The customer.
    pub customer: CustomerId,
    /// What it asks of a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Whether this node booted too lately to know what engines hold.
    pub just_booted: bool,
    /// Targets that refused or failed it, used only where there is no other.
    pub avoid: Option<&'a BTreeSet<TargetKey>>,
    /// Customers that run far more than the others, with their parts of the load.
    pub heavy: &'a [(CustomerId, f64)],
}

/// What a target was chosen by, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetEstimate {
    /// Requests of all nodes that were estimated to run there.
    pub load: u32,
    /// Tokens of the prompt that were not expected in its cache.
    pub prefill_tokens: u32,
    /// Predicted milliseconds to the first token, zero where nothing is predicted.
    pub predicted_ms: u32,
}

/// A chosen target.
#[derive(Clone, Copy, Debug)]
pub struct TargetChoice {
    /// The target.
    pub key: TargetKey,
    /// What the request brings to it.
    pub work: PromptWork,
    /// An engine from which it can copy parts of the prompt.
    pub copy_from: Option<TargetKey>,
    /// Predicted time to the first token at an engine, with what its running requests cost others.
    pub delay: Duration,
    /// What it was chosen by.
    pub estimate: TargetEstimate,
}

impl TargetChoice {
    /// Returns a target that was chosen without regard to its load.
    #[must_use]
    pub fn plain(key: TargetKey) -> Self {
        Self {
            key,
            work: PromptWork::default(),
            copy_from: None,
            delay: Duration::ZERO,
            estimate: TargetEstimate::default(),
        }
    }
}

/// What a prompt would cost at one engine.
#[derive(Clone, Copy, Debug)]
struct EngineCost {
    chosen: TargetChoice,
    /// Milliseconds to the first token, and of reading that others could have used.
    total: f64,
}

impl Targets {
    /// Chooses a target for a request, `None` if none has a slot.
    ///
    /// A target that holds the prompt's prefix wins while its load is near the mean. Otherwise the
    /// less loaded of two random ones wins. A suspect never joins another suspect.
    pub fn choose(
        &self,
        now: Time,
        service: ServiceId,
        query: TargetQuery,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Option<TargetChoice> {
        let heavy = query.heavy.iter().any(|(id, _)| *id == query.customer);
        let mut open: Vec<TargetKey> = self
            .for_service(service)
            .filter(|(_, state)| state.accepts(now, heavy, self.shared()))
            .filter(|(_, state)| query.suspect.is_none() || state.suspects == 0)
            .map(|(key, _)| key)
            .collect();
        self.separate_heavy(now, service, query, &mut open);
        if let Some(avoid) = query.avoid
            && open.iter().any(|key| !avoid.contains(key))
        {
            open.retain(|key| !avoid.contains(key));
        }
        if let Some(prompt) = query.prompt
            && query.suspect.is_none()
        {
            let candidates = self.candidates(&open, prompt, prefixes, rng);
            return self.cheapest(now, &candidates, query.just_booted, prompt, prefixes);
        }
        let key = self.pick(now, &open, query, prefixes, rng)?;
        Some(self.chosen(now, key, PromptWork::default()))
    }

    fn chosen(&self, now: Time, key: TargetKey, work: PromptWork) -> TargetChoice {
        let estimate = TargetEstimate {
            load: self.get(key).load(now),
            prefill_tokens: work.prefill_tokens,
            predicted_ms: work.predicted_ms as u32,
        };
        TargetChoice {
            key,
            work,
            copy_from: None,
            delay: Duration::ZERO,
            estimate,
        }
    }

    /// Returns the shortest time to the first token of a prompt at an engine without other work.
    #[must_use]
    pub fn prompt_time(
        &self,
        service: ServiceId,
        fresh: bool,
        prompt: &Prompt,
        prefixes: &PrefixTable,
    ) -> Option<Duration> {
        const MILLIS: f64 = 1000.0;
        let serving = self.for_service(service);
        let serving = serving.filter(|(_, state)| state.phase == Phase::Serving);
        let times = serving.map(|(key, state)| {
            let unread = if fresh {
                prompt.unshared_tokens()
            } else {
                prefixes.uncached_tokens(key, prompt)
            };
            state.engine.first_token_ms(0, unread, 0)
        });
        let least = times.min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(least / MILLIS))
    }

    /// Returns the engines that are considered for a prompt.
    ///
    /// Nodes that decide at once on views of the same age would all choose the one engine with the
    /// least work. So each considers the engines that hold the prompt's last shared part, the first
    /// homes of that part, and a few at random.
    fn candidates(
        &self,
        open: &[TargetKey],
        prompt: &Prompt,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Vec<TargetKey> {
        /// Engines of a region up to which all are considered.
        const CONSIDER_ALL: usize = 6;
        /// Homes of a part: the first one and those that take what it has no time for.
        const HOME_CANDIDATES: usize = 2;
        /// Engines at random; two or more keep the fullest one near the mean.
        const RANDOM_CANDIDATES: usize = 3;
        if open.len() <= CONSIDER_ALL {
            return open.to_vec();
        }
        let mut candidates: Vec<TargetKey> = Vec::new();
        if let Some(shared_part) = prompt.last_shared() {
            let holds = |key: &&TargetKey| prefixes.holds(**key, shared_part.id);
            candidates.extend(open.iter().filter(holds));
            let mut homes = open.to_vec();
            let order = |key: &TargetKey| rank(shared_part.id, u64::from(self.get(*key).id.0));
            homes.sort_by_key(|key| std::cmp::Reverse(order(key)));
            candidates.extend(&homes[..HOME_CANDIDATES]);
        }
        for _ in 0..RANDOM_CANDIDATES {
            candidates.push(open[rng.random_range(0..open.len())]);
        }
        candidates
    }

    /// Chooses the engine at which a prompt costs least.
    ///
    /// Each shared part has one engine of its own by rendezvous, so that the engines of a region hold
    /// the region's parts once together. Another engine takes the prompt when the wait there is
    /// shorter by more than reading the part again costs.
    fn cheapest(
        &self,
        now: Time,
        open: &[TargetKey],
        fresh: bool,
        prompt: &Prompt,
        prefixes: &PrefixTable,
    ) -> Option<TargetChoice> {
        let home = self.home(open.iter().copied(), prompt);
        let presumed_home = home.filter(|_| fresh);
        let holder = match presumed_home {
            Some(home) => Some((home, prompt.unshared_tokens())),
            None => self.holder(open, prompt, prefixes),
        };
        let costs = open.iter().map(|key| {
            let at_home = home == Some(*key);
            self.cost(now, *key, prompt, prefixes, (at_home, holder))
        });
        let least = costs.min_by(|a, b| a.total.total_cmp(&b.total))?;
        Some(least.chosen)
    }

    /// Returns the engine at which a prompt's last shared part has its home.
    fn home(&self, engines: impl Iterator<Item = TargetKey>, prompt: &Prompt) -> Option<TargetKey> {
        let shared_part = prompt.last_shared()?;
        engines.max_by_key(|key| rank(shared_part.id, u64::from(self.get(*key).id.0)))
    }

    /// Returns the engine that holds most of a prompt, with the tokens that it lacks.
    fn holder(
        &self,
        open: &[TargetKey],
        prompt: &Prompt,
        prefixes: &PrefixTable,
    ) -> Option<(TargetKey, u32)> {
        let copies = open
            .first()
            .is_some_and(|key| self.get(*key).capacity.copies);
        let uncached_by_engine = open
            .iter()
            .map(|key| (*key, prefixes.uncached_tokens(*key, prompt)));
        uncached_by_engine
            .min_by_key(|(_, uncached)| *uncached)
            .filter(|_| copies)
    }

    fn cost(
        &self,
        now: Time,
        key: TargetKey,
        prompt: &Prompt,
        prefixes: &PrefixTable,
        (at_home, holder): (bool, Option<(TargetKey, u32)>),
    ) -> EngineCost {
        /// Fewest tokens that are copied from another engine rather than read.
        const MIN_COPY_TOKENS: u32 = 512;
        /// Time of copying against that of reading, with what it takes of the links.
        const COPY_WEIGHT: f64 = 0.3;
        /// Weight of reading again, which delays others too, against this request's own wait.
        const PREFILL_WEIGHT: f64 = 1.0;
        /// Part of an engine's memory beyond which running requests would be preempted.
        const PREEMPTION_THRESHOLD: f64 = 0.8;
        /// Milliseconds that a preemption costs.
        const PREEMPTION_MS: f64 = 2000.0;
        let state = self.get(key);
        let uncached = match holder {
            // A holder that is presumed by rendezvous has been sent the part before the boot.
            Some((home, least)) if home == key => least,
            _ => prefixes.uncached_tokens(key, prompt),
        };
        let from =
            holder.filter(|(other, least)| *other != key && least + MIN_COPY_TOKENS <= uncached);
        let unread = from.map_or(uncached, |(_, least)| least);
        let load = state.load(now);
        let queued = state.prefill_queue(now);
        let predicted = EngineModel::typical_first_token_ms(queued, unread, load);
        let pressure = EngineModel::load_penalty_ms(load, state.rule.slots);
        let delay = state.engine.first_token_ms(queued, unread, load) + pressure;
        let mut total = delay;
        total += PREFILL_WEIGHT * state.engine.prefill_ms(unread);
        total += COPY_WEIGHT * state.engine.prefill_ms(uncached - unread);
        if !at_home
            && from.is_none()
            && let Some(shared_part) = prompt.last_shared()
        {
            total += state.engine.prefill_ms(shared_part.tokens);
        }
        if let Some(memory) = state.memory_tokens()
            && (state.kv_tokens(now) + prompt.peak_tokens()) as f64 > memory * PREEMPTION_THRESHOLD
        {
            total += PREEMPTION_MS;
        }
        let work = PromptWork {
            prefill_tokens: unread,
            kv_tokens: prompt.peak_tokens(),
            predicted_ms: predicted,
        };
        let copy_from = from.map(|(other, _)| other);
        let chosen = TargetChoice {
            copy_from,
            delay: Duration::from_secs_f64(delay / 1000.0),
            ..self.chosen(now, key, work)
        };
        EngineCost { chosen, total }
    }

    fn pick(
        &self,
        now: Time,
        open: &[TargetKey],
        query: TargetQuery,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Option<TargetKey> {
        if open.is_empty() {
            return None;
        }
        if let Some(print) = query.suspect {
            // Nodes agree on the order, so suspects of two nodes seldom meet.
            return open
                .iter()
                .copied()
                .max_by_key(|key| rank(print.0, u64::from(self.get(*key).id.0)));
        }
        if let Some(prefix) = query.prefix
            && let Some(key) = self.prefix_affinity_target(now, open, prefix, prefixes)
        {
            return Some(key);
        }
        let first = open[rng.random_range(0..open.len())];
        let second = open[rng.random_range(0..open.len())];
        Some(if self.fill(now, second) < self.fill(now, first) {
            second
        } else {
            first
        })
    }

    /// Keeps heavy customers and the others on different targets.
    ///
    /// A heavy customer gets as many targets as its part of the load, the first ones in an order of
    /// its own on which all nodes agree. The others use the rest while one of them is open. So the
    /// prompts of a heavy customer drive those of others out of few caches only.
    fn separate_heavy(
        &self,
        now: Time,
        service: ServiceId,
        query: TargetQuery,
        open: &mut Vec<TargetKey>,
    ) {
        let mut serving: Vec<TargetKey> = self
            .for_service(service)
            .filter(|(_, state)| state.phase == Phase::Serving)
            .map(|(key, _)| key)
            .collect();
        let count = serving.len();
        if query.heavy.is_empty() || count < 2 {
            return;
        }
        let mut reserved: BTreeSet<TargetKey> = BTreeSet::new();
        for (customer, part) in query.heavy {
            let order = |key: &TargetKey| rank(customer.0, u64::from(self.get(*key).id.0));
            serving.sort_by_key(|key| std::cmp::Reverse(order(key)));
            let own = ((part * count as f64).floor() as usize).clamp(1, count - 1);
            if *customer == query.customer {
                open.retain(|key| serving[..own].contains(key));
                return;
            }
            reserved.extend(&serving[..own]);
        }
        let elsewhere = open.iter().any(|key| !reserved.contains(key));
        open.retain(|key| {
            // A heavy customer's targets are full by its own requests, so only parts count there.
            let within = !elsewhere && self.get(*key).accepts(now, true, self.shared());
            within || !reserved.contains(key)
        });
    }

    /// Chooses any target that takes work, whatever its load.
    pub fn any_serving(&self, service: ServiceId, rng: &mut Pcg64Mcg) -> Option<TargetKey> {
        let serving: Vec<TargetKey> = self
            .for_service(service)
            .filter(|(_, state)| state.phase == Phase::Serving)
            .map(|(key, _)| key)
            .collect();
        (!serving.is_empty()).then(|| serving[rng.random_range(0..serving.len())])
    }

    fn fill(&self, now: Time, key: TargetKey) -> f64 {
        let state = self.get(key);
        f64::from(state.load(now)) / f64::from(state.rule.slots.max(1))
    }

    fn prefix_affinity_target(
        &self,
        now: Time,
        open: &[TargetKey],
        prefix: u64,
        prefixes: &PrefixTable,
    ) -> Option<TargetKey> {
        let total: f64 = open.iter().map(|key| self.fill(now, *key)).sum();
        let bound = AFFINITY_BOUND * (total / open.len() as f64) + 0.125;
        let fits = |key: &TargetKey| self.fill(now, *key) <= bound;
        let preferred = |key: &TargetKey| rank(prefix, u64::from(self.get(*key).id.0));
        open.iter()
            .copied()
            .filter(|key| prefixes.holds(*key, prefix))
            .filter(fits)
            .max_by_key(preferred)
            .or_else(|| open.iter().copied().max_by_key(preferred).filter(fits))
    }
}
