//! What a table of prompt parts expects an engine to have cached, without a network.

use seam_core::handle::TargetKey;
use seam_core::prefix::PrefixTable;
use seam_core::prompt::{Part, Prompt};
use seam_core::targets::{CacheRoom, cached_probability};
use seam_protocol::{CacheEvent, Time};

const ENGINE: TargetKey = TargetKey(1);
const ROOM_TOKENS: f64 = 100_000.0;
const ROOM: CacheRoom = CacheRoom::Left(ROOM_TOKENS);

/// Returns a prompt of a first part, a middle one and its own.
fn prompt(middle: u64, own: u64) -> Prompt {
    let parts = [(1, 2520), (100 + middle, 3780), (1_000_000 + own, 2890)];
    let parts = parts.map(|(id, tokens)| Part { id, tokens });
    Prompt {
        parts: parts.to_vec(),
        input_tokens: 9190,
        output_limit: 300,
    }
}

/// Guards against a part that counts as cached until a limit and not at all beyond it: what a node knows of an
/// engine's memory is not exact.
#[test]
fn smooth_probability() {
    let probabilities: Vec<f64> = (0..30)
        .map(|step| cached_probability(step * 10_000, ROOM_TOKENS))
        .collect();
    assert!(probabilities[0] > 0.999 && probabilities[29] < 0.01);
    let steps = probabilities.windows(2).map(|pair| pair[0] - pair[1]);
    assert!(
        steps.clone().all(|step| (0.0..0.2).contains(&step)),
        "{probabilities:?}"
    );
}

/// Guards against parts that are taken for the oldest though they were used again, and against own parts of
/// other requests that do not count.
///
/// Load: prompts of one middle part each; the first one comes back now and then.
#[test]
fn last_use_counts() {
    let mut table = PrefixTable::default();
    table.record_prompt(Time(0), ENGINE, &prompt(0, 0), ROOM);
    table.record_prompt(Time(0), ENGINE, &prompt(1, 1), ROOM);
    for number in 2..=25 {
        table.record_prompt(Time(number), ENGINE, &prompt(number, number), ROOM);
        if number % 5 == 0 {
            let again = prompt(0, 100 + number);
            table.record_prompt(Time(number), ENGINE, &again, ROOM);
        }
    }
    let used_again = table.cached(ENGINE, &prompt(0, 900), ROOM);
    let used_once = table.cached(ENGINE, &prompt(1, 901), ROOM);
    let never = table.cached(ENGINE, &prompt(50, 902), ROOM);
    assert!(used_again.probability > 0.9, "{used_again:?}");
    assert!(used_once.probability < 0.1, "{used_once:?}");
    // The first part is common to all.
    assert!(
        used_once.uncached > 6200 && used_once.uncached <= 6670,
        "{used_once:?}"
    );
    assert_eq!(never.uncached, 6670);
    assert!(never.probability < 0.001);
}

/// Guards against a cache that counts as whole while running requests take its memory, and against one that
/// counts as whole again as soon as they end: what was evicted for them is gone.
#[test]
fn room_shrinks() {
    let mut table = PrefixTable::default();
    for number in 0..10 {
        table.record_prompt(Time(number), ENGINE, &prompt(number, number), ROOM);
    }
    let quarter = CacheRoom::Left(ROOM_TOKENS / 4.0);
    let oldest = prompt(0, 900);
    assert!(table.cached(ENGINE, &oldest, ROOM).probability > 0.8);
    assert!(table.cached(ENGINE, &oldest, quarter).probability < 0.01);
    table.record_prompt(Time(20), ENGINE, &prompt(20, 20), quarter);
    let later = table.cached(ENGINE, &oldest, ROOM);
    assert!(later.probability < 0.01, "{later:?}");
    let newest = table.cached(ENGINE, &prompt(20, 901), ROOM);
    assert!(newest.probability > 0.99, "{newest:?}");
}

/// Guards against an engine without any room of which nothing is known any more: a part of a running request is
/// there.
#[test]
fn no_room() {
    let mut table = PrefixTable::default();
    table.record_prompt(Time(0), ENGINE, &prompt(0, 0), CacheRoom::Left(0.0));
    assert!(!table.is_empty());
    assert!(
        table
            .cached(ENGINE, &prompt(0, 1), CacheRoom::Left(0.0))
            .uncached
            > 9000
    );
}

/// Guards against events of an engine's cache that no longer count beside what nodes sent there.
#[test]
fn evicted_by_event() {
    let mut table = PrefixTable::default();
    table.record_prompt(Time(0), ENGINE, &prompt(0, 0), ROOM);
    let evicted = CacheEvent {
        sequence: 1,
        prefix: 100,
        cached: false,
    };
    table.apply_events(Time(1), ENGINE, &[evicted]);
    let cached = table.cached(ENGINE, &prompt(0, 1), ROOM);
    assert_eq!(cached.uncached, 6670);
}
