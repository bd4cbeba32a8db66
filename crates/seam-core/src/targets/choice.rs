//! Chooses a target for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::id::rank;
use seam_protocol::{CustomerId, Fingerprint, ServiceId, Time, VersionId};

use super::{EngineModel, Phase, PromptWork, Targets, Verdict, prefill_weight};
use crate::admission::Reserve;
use crate::handle::TargetKey;
use crate::prefix::PrefixTable;
use crate::prompt::Prompt;

/// Multiple of the mean load up to which prefix affinity is preferred over lower load.
const AFFINITY_BOUND: f64 = 1.25;

/// Properties of a request that decide its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetQuery<'a> {
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Fingerprint of the request if it is suspected of crashing targets.
    pub suspect: Option<Fingerprint>,
    /// Customer.
    pub customer: CustomerId,
    /// Prompt, if the request is for a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Whether this node booted too recently to know what the engines have cached.
    pub just_booted: bool,
    /// Targets that refused or failed the request, used only if there is no other.
    pub avoid: Option<&'a BTreeSet<TargetKey>>,
    /// Customers that run far more requests than the others, with their fractions of the load.
    pub heavy: &'a [(CustomerId, f64)],
    /// Version of the software that alone may go on with its stream.
    pub version: Option<VersionId>,
    /// What it leaves to more urgent requests.
    pub reserve: Option<Reserve>,
    /// Whether prefill is weighed by the wait that it causes for others.
    pub weighs_prefill: bool,
}

impl<'a> TargetQuery<'a> {
    /// Returns the prompt if it decides the engine. A suspect goes to a target of its own instead.
    pub(super) fn engine_prompt(&self) -> Option<&'a Prompt> {
        self.prompt.filter(|_| self.suspect.is_none())
    }
}

/// Estimates by which a target was chosen, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetEstimate {
    /// Estimated number of requests of all nodes that run at the target.
    pub load: u32,
    /// Tokens of the prompt that are not expected in the target's cache.
    pub prefill_tokens: u32,
    /// Predicted time to the first token in milliseconds, or zero if there is no prediction.
    pub predicted_ms: u32,
}

/// A chosen target.
#[derive(Clone, Copy, Debug)]
pub struct TargetChoice {
    /// Target.
    pub key: TargetKey,
    /// Work that the request adds to the target.
    pub work: PromptWork,
    /// Engine from which the target can copy KV tokens of the prompt.
    pub copy_from: Option<TargetKey>,
    /// Predicted time to the first token at an engine, plus the penalty for its load.
    pub delay: Duration,
    /// The penalty in `delay`.
    pub penalty: Duration,
    /// Estimates by which the target was chosen.
    pub estimate: TargetEstimate,
}

impl TargetChoice {
    /// Creates a choice that was made without regard to load.
    #[must_use]
    pub fn plain(key: TargetKey) -> Self {
        Self {
            key,
            work: PromptWork::default(),
            copy_from: None,
            delay: Duration::ZERO,
            penalty: Duration::ZERO,
            estimate: TargetEstimate::default(),
        }
    }
}

/// Cost of a prompt at one engine, and the choice that results if it is the lowest.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineCost {
    pub(super) chosen: TargetChoice,
    /// Time to the first token plus the cost to other requests, in milliseconds.
    pub(super) total: f64,
}

impl Targets {
    /// Chooses a target for a request, or returns `None` if no target accepts it.
    ///
    /// A prompt goes to the engine with the lowest cost. Of other requests, one with a prefix goes
    /// to a target that has it cached or is preferred for it, while the load there is near the
    /// mean, and the rest to the less loaded of two random targets. A suspect never runs with
    /// another suspect.
    pub fn choose(
        &self,
        now: Time,
        service: ServiceId,
        query: TargetQuery,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Option<TargetChoice> {
        let available = self.available(now, service, query);
        if let Some(prompt) = query.engine_prompt() {
            let candidates = self.candidates(&available, prompt, prefixes, rng);
            return self.cheapest(now, &candidates, query, prompt, prefixes);
        }
        let key = self.pick(now, &available, query, prefixes, rng)?;
        Some(self.chosen(now, key, PromptWork::default()))
    }

    /// Returns the targets among which one is chosen for a request.
    pub(super) fn available(
        &self,
        now: Time,
        service: ServiceId,
        query: TargetQuery,
    ) -> Vec<TargetKey> {
        let mut available: Vec<TargetKey> = self
            .for_service(service)
            .filter(|(key, _)| self.exclusion(now, *key, query).is_none())
            .map(|(key, _)| key)
            .collect();
        self.separate_heavy(now, service, query, &mut available);
        if available.iter().any(|key| !self.get(*key).suspended) {
            available.retain(|key| !self.get(*key).suspended);
        }
        if let Some(avoid) = query.avoid
            && available.iter().any(|key| !avoid.contains(key))
        {
            available.retain(|key| !avoid.contains(key));
        }
        available
    }

    /// Returns why a target takes no request of this kind now, `None` if it does.
    pub(super) fn exclusion(
        &self,
        now: Time,
        key: TargetKey,
        query: TargetQuery,
    ) -> Option<Verdict> {
        let state = self.get(key);
        if !state.serves(query.version) {
            let serving = state.phase == Phase::Serving;
            return Some(if serving {
                Verdict::Version
            } else {
                Verdict::Phase
            });
        }
        let heavy = query.heavy.iter().any(|(id, _)| *id == query.customer);
        if !self.accepts(now, key, heavy) {
            return Some(Verdict::Full);
        }
        let tokens = query.prompt.map_or(0, Prompt::peak_tokens);
        let reserve = query.reserve.as_ref();
        if reserve.is_some_and(|reserve| !state.leaves(now, reserve, tokens)) {
            return Some(Verdict::Reserved);
        }
        (query.suspect.is_some() && state.suspects > 0).then_some(Verdict::Suspect)
    }

    /// Creates a choice with the current estimates of a target.
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
            penalty: Duration::ZERO,
            estimate,
        }
    }

    /// Returns the shortest predicted time to the first token of a prompt over all serving engines,
    /// as if they had no other work.
    #[must_use]
    pub fn prompt_time(
        &self,
        service: ServiceId,
        just_booted: bool,
        prompt: &Prompt,
        prefixes: &PrefixTable,
    ) -> Option<Duration> {
        const MILLIS: f64 = 1000.0;
        let serving = self.for_service(service);
        let serving = serving.filter(|(_, state)| state.phase == Phase::Serving);
        let times = serving.map(|(key, state)| {
            let prefill_tokens = if just_booted {
                prompt.unshared_tokens()
            } else {
                prefixes.uncached_tokens(key, prompt)
            };
            state.engine.first_token_ms(0, prefill_tokens, 0)
        });
        let shortest = times.min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(shortest / MILLIS))
    }

    /// Returns the engines that are considered for a prompt.
    ///
    /// If all were considered, nodes that decide at the same time would all choose the engine with
    /// the least work. Each node therefore considers the engines that have the prompt's last shared
    /// part cached, the first home engines of that part, and a few random ones.
    pub(super) fn candidates(
        &self,
        available: &[TargetKey],
        prompt: &Prompt,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Vec<TargetKey> {
        /// Number of engines up to which all are considered.
        const CONSIDER_ALL: usize = 6;
        /// Home engines of a shared part: the first one, and another that takes its excess
        /// requests.
        const HOME_CANDIDATES: usize = 2;
        /// Random engines. Two or more keep the maximum load near the mean.
        const RANDOM_CANDIDATES: usize = 3;
        if available.len() <= CONSIDER_ALL {
            return available.to_vec();
        }
        let mut candidates: Vec<TargetKey> = Vec::new();
        if let Some(shared_part) = prompt.last_shared() {
            let has_part = |key: &&TargetKey| prefixes.holds(**key, shared_part.id);
            candidates.extend(available.iter().filter(has_part));
            let mut homes = available.to_vec();
            let order = |key: &TargetKey| rank(shared_part.id, u64::from(self.get(*key).id.0));
            homes.sort_by_key(|key| std::cmp::Reverse(order(key)));
            candidates.extend(&homes[..HOME_CANDIDATES]);
        }
        for _ in 0..RANDOM_CANDIDATES {
            candidates.push(available[rng.random_range(0..available.len())]);
        }
        candidates
    }

    /// Chooses the engine with the lowest cost for a prompt.
    ///
    /// Each shared part has a home engine by rendezvous hashing, so that the engines of a region
    /// together cache each part once. Another engine takes the prompt if its wait is shorter by
    /// more than the cost of another prefill of the part.
    fn cheapest(
        &self,
        now: Time,
        available: &[TargetKey],
        query: TargetQuery,
        prompt: &Prompt,
        prefixes: &PrefixTable,
    ) -> Option<TargetChoice> {
        let costs = self.costs(now, available, query, prompt, prefixes);
        let cheapest = costs.min_by(|a, b| a.total.total_cmp(&b.total))?;
        Some(cheapest.chosen)
    }

    /// Returns the cost of a prompt at each of some engines.
    pub(super) fn costs(
        &self,
        now: Time,
        available: &[TargetKey],
        query: TargetQuery,
        prompt: &Prompt,
        prefixes: &PrefixTable,
    ) -> impl Iterator<Item = EngineCost> {
        let weight = if query.weighs_prefill {
            self.prefill_weight(now, available, prompt)
        } else {
            1.0
        };
        let home = self.home(available.iter().copied(), prompt);
        let presumed_home = home.filter(|_| query.just_booted);
        let holders = match presumed_home {
            Some(home) => {
                let holder = (home, prompt.unshared_tokens());
                BTreeMap::from([(self.get(home).version, holder)])
            }
            None => self.holders(available, prompt, prefixes),
        };
        available.iter().map(move |key| {
            let at_home = home == Some(*key);
            let holder = holders.get(&self.get(*key).version).copied();
            self.cost(now, *key, (prompt, weight), prefixes, (at_home, holder))
        })
    }

    /// Returns the weight of prefill, which also delays other requests, relative to the wait of a prompt
    /// that is considered for some engines.
    fn prefill_weight(&self, now: Time, engines: &[TargetKey], prompt: &Prompt) -> f64 {
        let last = prompt.last_shared().map_or(0, |part| part.tokens);
        let tokens = prompt.unshared_tokens() + last;
        let (mut wait, mut prefill) = (0.0, 0.0);
        for key in engines {
            let state = self.get(*key);
            wait += state.engine.queue_ms(state.prefill_queue(now), 0);
            prefill += state.engine.prefill_ms(tokens);
        }
        prefill_weight(wait, prefill)
    }

    /// Returns the home engine of a prompt's last shared part.
    fn home(&self, engines: impl Iterator<Item = TargetKey>, prompt: &Prompt) -> Option<TargetKey> {
        let shared_part = prompt.last_shared()?;
        engines.max_by_key(|key| rank(shared_part.id, u64::from(self.get(*key).id.0)))
    }

    /// Returns the engine of each version that has most of a prompt cached, with the number of uncached
    /// tokens.
    ///
    /// Returns none if engines cannot copy KV tokens from each other. Those of two versions cannot.
    fn holders(
        &self,
        available: &[TargetKey],
        prompt: &Prompt,
        prefixes: &PrefixTable,
    ) -> BTreeMap<VersionId, (TargetKey, u32)> {
        let mut holders = BTreeMap::new();
        let can_copy = available
            .first()
            .is_some_and(|key| self.get(*key).capacity.copies);
        if !can_copy {
            return holders;
        }
        for key in available {
            let uncached = prefixes.uncached_tokens(*key, prompt);
            let version = self.get(*key).version;
            let (_, fewest) = holders.entry(version).or_insert((*key, uncached));
            if uncached < *fewest {
                holders.insert(version, (*key, uncached));
            }
        }
        holders
    }

    /// Returns the cost of a prompt at one engine.
    fn cost(
        &self,
        now: Time,
        key: TargetKey,
        (prompt, weight): (&Prompt, f64),
        prefixes: &PrefixTable,
        (at_home, holder): (bool, Option<(TargetKey, u32)>),
    ) -> EngineCost {
        /// Smallest number of tokens that is copied from another engine instead of prefilled.
        const MIN_COPY_TOKENS: u32 = 512;
        /// Cost of copying a token relative to prefill, including its use of the network.
        const COPY_WEIGHT: f64 = 0.3;
        /// Fraction of an engine's memory above which running requests are at risk of preemption.
        const PREEMPTION_THRESHOLD: f64 = 0.8;
        /// Cost of a preemption in milliseconds.
        const PREEMPTION_MS: f64 = 2000.0;
        let state = self.get(key);
        let uncached = match holder {
            // Just after a boot, this is the home engine, to which the previous process sent the
            // shared parts.
            Some((home, missing)) if home == key => missing,
            _ => prefixes.uncached_tokens(key, prompt),
        };
        let source = holder
            .filter(|(other, missing)| *other != key && missing + MIN_COPY_TOKENS <= uncached);
        let prefill_tokens = source.map_or(uncached, |(_, missing)| missing);
        let load = state.load(now);
        let queued_tokens = state.prefill_queue(now);
        let predicted_ms = EngineModel::typical_first_token_ms(queued_tokens, prefill_tokens, load);
        let load_penalty = EngineModel::load_penalty_ms(load, state.spec.slots);
        let delay_ms = state
            .engine
            .first_token_ms(queued_tokens, prefill_tokens, load)
            + load_penalty;
        let mut total = delay_ms;
        total += weight * state.engine.prefill_ms(prefill_tokens);
        total += COPY_WEIGHT * state.engine.prefill_ms(uncached - prefill_tokens);
        if !at_home
            && source.is_none()
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
            prefill_tokens,
            kv_tokens: prompt.peak_tokens(),
            predicted_ms,
        };
        let copy_from = source.map(|(other, _)| other);
        let chosen = TargetChoice {
            copy_from,
            delay: Duration::from_secs_f64(delay_ms / 1000.0),
            penalty: Duration::from_secs_f64(load_penalty / 1000.0),
            ..self.chosen(now, key, work)
        };
        EngineCost { chosen, total }
    }

    /// Chooses a target for a request without a prompt, or for a suspect.
    fn pick(
        &self,
        now: Time,
        available: &[TargetKey],
        query: TargetQuery,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Option<TargetKey> {
        if available.is_empty() {
            return None;
        }
        if let Some(fingerprint) = query.suspect {
            // All nodes use the same order, so different suspects rarely reach the same target.
            return available
                .iter()
                .copied()
                .max_by_key(|key| rank(fingerprint.0, u64::from(self.get(*key).id.0)));
        }
        if let Some(prefix) = query.prefix
            && let Some(key) = self.prefix_affinity_target(now, available, prefix, prefixes)
        {
            return Some(key);
        }
        let first = available[rng.random_range(0..available.len())];
        let second = available[rng.random_range(0..available.len())];
        Some(
            if self.load_fraction(now, second) < self.load_fraction(now, first) {
                second
            } else {
                first
            },
        )
    }

    /// Keeps heavy customers and the others on different targets.
    ///
    /// A heavy customer gets a number of targets in proportion to its load, in a rendezvous order
    /// that is the same on all nodes. The other customers use the rest while one of those accepts
    /// requests. The prompts of a heavy customer thus evict those of others from only a few caches.
    fn separate_heavy(
        &self,
        now: Time,
        service: ServiceId,
        query: TargetQuery,
        available: &mut Vec<TargetKey>,
    ) {
        // A target that grants a rate may have no share for this node, so no customer may depend on it.
        let mut serving: Vec<TargetKey> = self
            .for_service(service)
            .filter(|(_, state)| state.phase == Phase::Serving && !state.is_granted(now))
            .map(|(key, _)| key)
            .collect();
        let target_count = serving.len();
        if query.heavy.is_empty() || target_count < 2 {
            return;
        }
        let mut reserved: BTreeSet<TargetKey> = BTreeSet::new();
        for (customer, fraction) in query.heavy {
            let order = |key: &TargetKey| rank(customer.0, u64::from(self.get(*key).id.0));
            serving.sort_by_key(|key| std::cmp::Reverse(order(key)));
            let reserved_count =
                ((fraction * target_count as f64).floor() as usize).clamp(1, target_count - 1);
            if *customer == query.customer {
                available.retain(|key| serving[..reserved_count].contains(key));
                return;
            }
            reserved.extend(&serving[..reserved_count]);
        }
        let others_available = available.iter().any(|key| !reserved.contains(key));
        available.retain(|key| {
            // A heavy customer fills its targets with its own requests, so other customers are
            // limited to this node's share there.
            let within = !others_available && self.get(*key).accepts(now, true, self.shared());
            within || !reserved.contains(key)
        });
    }

    /// Chooses a random serving target, regardless of its load, with the given version of its software
    /// if there is one.
    pub fn any_serving(
        &self,
        service: ServiceId,
        version: Option<VersionId>,
        rng: &mut Pcg64Mcg,
    ) -> Option<TargetKey> {
        let serving: Vec<TargetKey> = self
            .for_service(service)
            .filter(|(_, state)| state.serves(version))
            .map(|(key, _)| key)
            .collect();
        (!serving.is_empty()).then(|| serving[rng.random_range(0..serving.len())])
    }

    /// Returns the load of a target as a fraction of its slots.
    fn load_fraction(&self, now: Time, key: TargetKey) -> f64 {
        let state = self.get(key);
        f64::from(state.load(now)) / f64::from(state.spec.slots.max(1))
    }

    /// Returns the target with affinity to a prefix: one that has it cached, or else the preferred
    /// one by rank, if its load is near the mean.
    fn prefix_affinity_target(
        &self,
        now: Time,
        available: &[TargetKey],
        prefix: u64,
        prefixes: &PrefixTable,
    ) -> Option<TargetKey> {
        let total: f64 = available
            .iter()
            .map(|key| self.load_fraction(now, *key))
            .sum();
        let bound = AFFINITY_BOUND * (total / available.len() as f64) + 0.125;
        let fits = |key: &TargetKey| self.load_fraction(now, *key) <= bound;
        let preferred = |key: &TargetKey| rank(prefix, u64::from(self.get(*key).id.0));
        available
            .iter()
            .copied()
            .filter(|key| prefixes.holds(*key, prefix))
            .filter(fits)
            .max_by_key(preferred)
            .or_else(|| available.iter().copied().max_by_key(preferred).filter(fits))
    }
}
