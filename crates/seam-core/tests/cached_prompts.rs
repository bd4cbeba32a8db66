//! Prompts whose shared parts an engine has cached, weighed against the wait there.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use fleet::{ENGINE, NORTH, listed, prompt};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seam_core::prefix::PrefixTable;
use seam_core::targets::{PromptWork, TargetQuery, Targets};
use seam_protocol::{Entry, ServiceId, TargetId, Time, VmId};
use yare::parameterized;

/// Prompt tokens that an engine is assumed to prefill in a millisecond.
const PREFILL: u32 = 50;

/// Returns the chosen one of two engines for a prompt whose shared parts the first one has cached. `waits` are the
/// milliseconds of prefill that are queued there.
fn choose(waits: [u32; 2], weighs: bool) -> usize {
    let entries = ["e1", "e2"].map(|name| listed(name, ENGINE, NORTH, false, 0));
    let service = ServiceId::of(ENGINE);
    let configured: BTreeMap<TargetId, _> = entries
        .into_iter()
        .map(|entry| {
            let Entry::Target(target) = entry else {
                unreachable!("a listed target")
            };
            (target.id(), (service, target.spec.clone()))
        })
        .collect();
    let (now, mut targets, mut prefixes) = (Time(0), Targets::default(), PrefixTable::default());
    targets.update_config(now, true, &configured);
    targets.enable_sharing();
    targets.select_subset(now, VmId(1), &BTreeSet::from([VmId(1)]));
    let shared = prompt(70, 1000);
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut query = TargetQuery {
        prompt: Some(&shared),
        ..TargetQuery::default()
    };
    // The home of the shared part, which is chosen while nothing else differs.
    let home = targets.choose(now, service, query, &prefixes, &mut rng);
    let home = home.expect("engines are idle").key;
    prefixes.record_prompt(now, home, &shared, 1e6);
    let other = targets.for_service(service).map(|(key, _)| key);
    let other = other.into_iter().find(|key| *key != home).unwrap();
    for (key, wait) in [home, other].into_iter().zip(waits) {
        let work = PromptWork {
            prefill_tokens: wait * PREFILL,
            ..PromptWork::default()
        };
        targets.begin_request(now, key, false, work);
    }
    let next = prompt(70, 2000);
    query.prompt = Some(&next);
    query.weighs_prefill = weighs;
    let chosen = targets.choose(now, service, query, &prefixes, &mut rng);
    usize::from(chosen.expect("engines have room").key != home)
}

/// Guards against prompts that leave the engine with their parts for one with a shorter wait, while all engines are
/// busy: of 60 million tokens of shared parts 26 million were read again on the heaviest day. It also guards against
/// prompts that wait at such an engine beside an idle one.
///
/// Reading the 6,300 shared tokens takes 126 ms. With a weight of 1 for prefill the other engine is preferred from a
/// difference of 328 ms on (126 of wait, 126 of work, 76 for the part that is then cached twice), with the weight of 4
/// of busy engines from 706 ms on.
#[parameterized(
    both_idle = { [0, 0], [0, 0] },
    short_wait = { [150, 0], [0, 0] },
    both_busy = { [450, 50], [1, 0] },
    other_idle = { [800, 0], [1, 1] },
    far_longer = { [1000, 200], [1, 1] },
)]
fn stays_or_leaves(waits: [u32; 2], expected: [usize; 2]) {
    let chosen = [false, true].map(|weighs| choose(waits, weighs));
    assert_eq!(chosen, expected);
}
