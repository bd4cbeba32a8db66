//! Why a target is chosen for a request or not.

use std::collections::{BTreeMap, BTreeSet};

use rand_pcg::Pcg64Mcg;
use seam_protocol::{ServiceId, Time};

use super::{TargetQuery, Targets};
use crate::handle::TargetKey;
use crate::prefix::PrefixTable;

/// Why a target is chosen for a request or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the choice.
    Chosen,
    /// This node does not use it; others of its region do.
    Unused,
    /// It is not serving.
    Phase,
    /// It has another version of the software than the one that began the stream.
    Version,
    /// It has no free slot, or no share of a limited rate, for this node.
    Full,
    /// It would take room that is left to more urgent requests, or wait for too long behind queued prompts.
    Reserved,
    /// The request and another one that runs there are suspected of crashing targets.
    Suspect,
    /// Connections to it hang, and another target is available.
    Suspended,
    /// It refused or failed the request, and another target is available.
    Failed,
    /// It is kept for other customers.
    Separate,
    /// It is none of the engines that this node considers for the prompt.
    Unsampled,
    /// Another engine has a lower cost.
    Costlier,
    /// Another target was preferred by load, prefix or chance.
    Other,
}

impl Verdict {
    /// Returns the verdict as a text for operators.
    ///
    /// ```
    /// use seam_core::targets::Verdict;
    /// assert_eq!(Verdict::Chosen.text(), "first choice");
    /// ```
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::Chosen => "first choice",
            Self::Unused => "used by other nodes of this region only",
            Self::Phase => "not serving",
            Self::Version => "another version than that of the stream",
            Self::Full => "no free slot or share of its rate for this node",
            Self::Reserved => "its room is left to more urgent requests, or its queue is too long",
            Self::Suspect => "runs another request that may crash targets",
            Self::Suspended => "connections to it hang",
            Self::Failed => "refused or failed this request before",
            Self::Separate => "kept for other customers",
            Self::Unsampled => "not among the engines that this node considers for the prompt",
            Self::Costlier => "costs more than the first choice",
            Self::Other => "another target is preferred by load, prefix or chance",
        }
    }
}

/// The verdict on one target, with what it depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetVerdict {
    /// Target.
    pub key: TargetKey,
    /// Why it is chosen or not.
    pub verdict: Verdict,
    /// Tokens of the prompt that are not expected in its cache, if there is a prompt.
    pub uncached: Option<u32>,
    /// Predicted time to the first token in milliseconds, if there is a prompt.
    pub first_token_ms: Option<f64>,
    /// The cost that is compared, in milliseconds, if it was.
    pub cost_ms: Option<f64>,
}

impl Targets {
    /// Returns the verdicts on all targets of a service in this region, by the functions that [`Self::choose`] calls.
    ///
    /// `rng` is the state of the random source before the choice; a copy of it is used.
    #[must_use]
    pub fn verdicts(
        &self,
        now: Time,
        service: ServiceId,
        query: TargetQuery,
        prefixes: &PrefixTable,
        rng: &Pcg64Mcg,
    ) -> Vec<TargetVerdict> {
        let choice = self.choose(now, service, query, prefixes, &mut rng.clone());
        let choice = choice.map(|choice| choice.key);
        let available = self.available(now, service, query);
        let prompt = query.engine_prompt();
        let candidates = match prompt {
            Some(prompt) => self.candidates(&available, prompt, prefixes, &mut rng.clone()),
            None => available.clone(),
        };
        let costs: BTreeMap<_, _> = prompt
            .into_iter()
            .flat_map(|prompt| self.costs(now, &candidates, query, prompt, prefixes))
            .map(|cost| (cost.chosen.key, cost))
            .collect();
        let used: BTreeSet<_> = self.for_service(service).map(|(key, _)| key).collect();
        let verdict = |key: TargetKey| {
            if choice == Some(key) {
                return Verdict::Chosen;
            }
            if !used.contains(&key) {
                return Verdict::Unused;
            }
            if let Some(exclusion) = self.exclusion(now, key, query) {
                return exclusion;
            }
            let avoided = query.avoid.is_some_and(|avoid| avoid.contains(&key));
            match (available.contains(&key), prompt) {
                (false, _) if self.get(key).suspended => Verdict::Suspended,
                (false, _) if avoided => Verdict::Failed,
                (false, _) => Verdict::Separate,
                (true, Some(_)) if costs.contains_key(&key) => Verdict::Costlier,
                (true, Some(_)) => Verdict::Unsampled,
                (true, None) => Verdict::Other,
            }
        };
        let targets = self.all().filter(|(_, state)| state.service == service);
        targets
            .map(|(key, state)| {
                let cost = costs.get(&key);
                let known = |prompt| prefixes.uncached_tokens(key, prompt);
                let uncached = cost.map(|cost| cost.chosen.work.prefill_tokens);
                let uncached = uncached.or_else(|| query.prompt.map(known));
                let predict = |tokens| {
                    let queued = state.prefill_queue(now);
                    state.engine.first_token_ms(queued, tokens, state.load(now))
                };
                TargetVerdict {
                    key,
                    verdict: verdict(key),
                    uncached,
                    first_token_ms: uncached.map(predict),
                    cost_ms: cost.map(|cost| cost.total),
                }
            })
            .collect()
    }
}
