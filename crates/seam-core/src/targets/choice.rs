//! Chooses a target for a request.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::id::rank;
use seam_protocol::{CustomerId, Fingerprint, ServiceId, Time};

use super::{EngineModel, Phase, Targets, Work};
use crate::handle::TargetKey;
use crate::prefix::PrefixTable;
use crate::prompt::Prompt;

/// Load above the mean at which prefix affinity yields.
const AFFINITY_BOUND: f64 = 1.25;

/// What a request wants of its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wish<'a> {
    /// Digest of the prompt's prefix.
    pub prefix: Option<u64>,
    /// The fingerprint of a request that is suspected of crashing targets.
    pub suspect: Option<Fingerprint>,
    /// The customer.
    pub customer: CustomerId,
    /// What it asks of a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Whether this node booted too lately to know what engines hold.
    pub fresh: bool,
    /// Targets that refused or failed it, used only where there is no other.
    pub avoid: Option<&'a BTreeSet<TargetKey>>,
    /// Customers that run far more than the others, with their parts of the load.
    pub heavy: &'a [(CustomerId, f64)],
}

/// What a target was chosen by, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grounds {
    /// Requests of all nodes that were estimated to run there.
    pub load: u32,
    /// Tokens of the prompt that were not expected in its cache.
    pub unread: u32,
    /// Predicted milliseconds to the first token, zero where nothing is predicted.
    pub predicted: u32,
}

/// A chosen target.
#[derive(Clone, Copy, Debug)]
pub struct Chosen {
    /// The target.
    pub key: TargetKey,
    /// What the request brings to it.
    pub work: Work,
    /// An engine from which it can copy parts of the prompt.
    pub copy_from: Option<TargetKey>,
    /// Predicted time to the first token at an engine, with what its running requests cost others.
    pub delay: Duration,
    /// What it was chosen by.
    pub grounds: Grounds,
}

impl Chosen {
    /// Returns a target that was chosen without regard to its load.
    #[must_use]
    pub fn plain(key: TargetKey) -> Self {
        Self {
            key,
            work: Work::default(),
            copy_from: None,
            delay: Duration::ZERO,
            grounds: Grounds::default(),
        }
    }
}

/// What a prompt would cost at one engine.
#[derive(Clone, Copy, Debug)]
struct Cost {
    chosen: Chosen,
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
        wish: Wish,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Option<Chosen> {
        let heavy = wish.heavy.iter().any(|(id, _)| *id == wish.customer);
        let mut open: Vec<TargetKey> = self
            .of(service)
            .filter(|(_, state)| state.open(now, heavy, self.shared()))
            .filter(|(_, state)| wish.suspect.is_none() || state.suspects == 0)
            .map(|(key, _)| key)
            .collect();
        self.keep_apart(now, service, wish, &mut open);
        if let Some(avoid) = wish.avoid
            && open.iter().any(|key| !avoid.contains(key))
        {
            open.retain(|key| !avoid.contains(key));
        }
        if let Some(prompt) = wish.prompt
            && wish.suspect.is_none()
        {
            let considered = self.considered(&open, prompt, prefixes, rng);
            return self.cheapest(now, &considered, wish.fresh, prompt, prefixes);
        }
        let key = self.pick(now, &open, wish, prefixes, rng)?;
        Some(self.chosen(now, key, Work::default()))
    }

    fn chosen(&self, now: Time, key: TargetKey, work: Work) -> Chosen {
        let grounds = Grounds {
            load: self.get(key).load(now),
            unread: work.unread,
            predicted: work.predicted as u32,
        };
        Chosen {
            key,
            work,
            copy_from: None,
            delay: Duration::ZERO,
            grounds,
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
        let serving = self.of(service);
        let serving = serving.filter(|(_, state)| state.phase == Phase::Serving);
        let times = serving.map(|(key, state)| {
            let unread = if fresh {
                prompt.own()
            } else {
                prefixes.unread(key, prompt)
            };
            state.engine.first(0, unread, 0)
        });
        let least = times.min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(least / MILLIS))
    }

    /// Returns the engines that are considered for a prompt.
    ///
    /// Nodes that decide at once on views of the same age would all choose the one engine with the
    /// least work. So each considers the engines that hold the prompt's last shared part, the first
    /// homes of that part, and a few at random.
    fn considered(
        &self,
        open: &[TargetKey],
        prompt: &Prompt,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Vec<TargetKey> {
        /// Engines of a region up to which all are considered.
        const FEW: usize = 6;
        /// Homes of a part: the first one and those that take what it has no time for.
        const HOMES: usize = 2;
        /// Engines at random; two or more keep the fullest one near the mean.
        const RANDOM: usize = 3;
        if open.len() <= FEW {
            return open.to_vec();
        }
        let mut considered: Vec<TargetKey> = Vec::new();
        if let Some(anchor) = prompt.anchor() {
            let holds = |key: &&TargetKey| prefixes.holds(**key, anchor.id);
            considered.extend(open.iter().filter(holds));
            let mut homes = open.to_vec();
            let order = |key: &TargetKey| rank(anchor.id, u64::from(self.get(*key).id.0));
            homes.sort_by_key(|key| std::cmp::Reverse(order(key)));
            considered.extend(&homes[..HOMES]);
        }
        for _ in 0..RANDOM {
            considered.push(open[rng.random_range(0..open.len())]);
        }
        considered
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
    ) -> Option<Chosen> {
        let home = self.home(open.iter().copied(), prompt);
        let presumed = home.filter(|_| fresh);
        let holder = match presumed {
            Some(home) => Some((home, prompt.own())),
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
        let anchor = prompt.anchor()?;
        engines.max_by_key(|key| rank(anchor.id, u64::from(self.get(*key).id.0)))
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
        let lacks = open.iter().map(|key| (*key, prefixes.unread(*key, prompt)));
        lacks.min_by_key(|(_, lack)| *lack).filter(|_| copies)
    }

    fn cost(
        &self,
        now: Time,
        key: TargetKey,
        prompt: &Prompt,
        prefixes: &PrefixTable,
        (at_home, holder): (bool, Option<(TargetKey, u32)>),
    ) -> Cost {
        /// Fewest tokens that are copied from another engine rather than read.
        const LEAST_COPY: u32 = 512;
        /// Time of copying against that of reading, with what it takes of the links.
        const COPYING: f64 = 0.3;
        /// Weight of reading again, which delays others too, against this request's own wait.
        const READING: f64 = 1.0;
        /// Part of an engine's memory beyond which running requests would be preempted.
        const MOST_HELD: f64 = 0.8;
        /// Milliseconds that a preemption costs.
        const PREEMPTED_MS: f64 = 2000.0;
        let state = self.get(key);
        let lack = match holder {
            // A holder that is presumed by rendezvous has been sent the part before the boot.
            Some((home, least)) if home == key => least,
            _ => prefixes.unread(key, prompt),
        };
        let from = holder.filter(|(other, least)| *other != key && least + LEAST_COPY <= lack);
        let unread = from.map_or(lack, |(_, least)| least);
        let load = state.load(now);
        let queued = state.unread(now);
        let predicted = EngineModel::usual(queued, unread, load);
        let pressure = EngineModel::pressure(load, state.rule.slots);
        let delay = state.engine.first(queued, unread, load) + pressure;
        let mut total = delay;
        total += READING * state.engine.reading(unread);
        total += COPYING * state.engine.reading(lack - unread);
        if !at_home
            && from.is_none()
            && let Some(anchor) = prompt.anchor()
        {
            total += state.engine.reading(anchor.tokens);
        }
        if let Some(memory) = state.memory()
            && (state.held(now) + prompt.memory()) as f64 > memory * MOST_HELD
        {
            total += PREEMPTED_MS;
        }
        let work = Work {
            unread,
            held: prompt.memory(),
            predicted,
        };
        let copy_from = from.map(|(other, _)| other);
        let chosen = Chosen {
            copy_from,
            delay: Duration::from_secs_f64(delay / 1000.0),
            ..self.chosen(now, key, work)
        };
        Cost { chosen, total }
    }

    fn pick(
        &self,
        now: Time,
        open: &[TargetKey],
        wish: Wish,
        prefixes: &PrefixTable,
        rng: &mut Pcg64Mcg,
    ) -> Option<TargetKey> {
        if open.is_empty() {
            return None;
        }
        if let Some(print) = wish.suspect {
            // Nodes agree on the order, so suspects of two nodes seldom meet.
            return open
                .iter()
                .copied()
                .max_by_key(|key| rank(print.0, u64::from(self.get(*key).id.0)));
        }
        if let Some(prefix) = wish.prefix
            && let Some(key) = self.affine(now, open, prefix, prefixes)
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
    fn keep_apart(&self, now: Time, service: ServiceId, wish: Wish, open: &mut Vec<TargetKey>) {
        let mut serving: Vec<TargetKey> = self
            .of(service)
            .filter(|(_, state)| state.phase == Phase::Serving)
            .map(|(key, _)| key)
            .collect();
        let count = serving.len();
        if wish.heavy.is_empty() || count < 2 {
            return;
        }
        let mut apart: BTreeSet<TargetKey> = BTreeSet::new();
        for (customer, part) in wish.heavy {
            let order = |key: &TargetKey| rank(customer.0, u64::from(self.get(*key).id.0));
            serving.sort_by_key(|key| std::cmp::Reverse(order(key)));
            let own = ((part * count as f64).floor() as usize).clamp(1, count - 1);
            if *customer == wish.customer {
                open.retain(|key| serving[..own].contains(key));
                return;
            }
            apart.extend(&serving[..own]);
        }
        let elsewhere = open.iter().any(|key| !apart.contains(key));
        open.retain(|key| {
            // A heavy customer's targets are full by its own requests, so only parts count there.
            let within = !elsewhere && self.get(*key).open(now, true, self.shared());
            within || !apart.contains(key)
        });
    }

    /// Chooses any target that takes work, whatever its load.
    pub fn any(&self, service: ServiceId, rng: &mut Pcg64Mcg) -> Option<TargetKey> {
        let serving: Vec<TargetKey> = self
            .of(service)
            .filter(|(_, state)| state.phase == Phase::Serving)
            .map(|(key, _)| key)
            .collect();
        (!serving.is_empty()).then(|| serving[rng.random_range(0..serving.len())])
    }

    fn fill(&self, now: Time, key: TargetKey) -> f64 {
        let state = self.get(key);
        f64::from(state.load(now)) / f64::from(state.rule.slots.max(1))
    }

    fn affine(
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
