//! Chooses a target for a request.

use std::collections::BTreeSet;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use seam_protocol::id::rank;
use seam_protocol::{CustomerId, Fingerprint, ServiceId, Time};

use super::{Phase, TargetKey, Targets};
use crate::prefix::PrefixTable;

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
    /// Customers that run far more than the others, with their parts of the load.
    pub heavy: &'a [(CustomerId, f64)],
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
    ) -> Option<TargetKey> {
        let heavy = wish.heavy.iter().any(|(id, _)| *id == wish.customer);
        let mut open: Vec<TargetKey> = self
            .of(service)
            .filter(|(_, state)| state.open(now, heavy))
            .filter(|(_, state)| wish.suspect.is_none() || state.suspects == 0)
            .map(|(key, _)| key)
            .collect();
        self.keep_apart(now, service, wish, &mut open);
        if open.is_empty() {
            return None;
        }
        if let Some(print) = wish.suspect {
            // Nodes agree on the order, so suspects of two nodes seldom meet.
            return open
                .into_iter()
                .max_by_key(|key| rank(print.0, u64::from(self.get(*key).id.0)));
        }
        if let Some(prefix) = wish.prefix
            && let Some(key) = self.affine(now, &open, prefix, prefixes)
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
            let within = !elsewhere && self.get(*key).open(now, true);
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
