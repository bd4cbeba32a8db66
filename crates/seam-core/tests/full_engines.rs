//! Engines whose memory running requests take: no prompt is sent to one without memory, and what it had cached
//! is taken for evicted.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/uneven.rs"]
mod uneven;

use std::time::Duration;

use rand::RngExt;
use uneven::{Load, Speed};
use yare::parameterized;

const FAST: Speed = Speed {
    tokens: 400.0,
    base: 5.0,
};
const USUAL: Speed = Speed {
    tokens: 60.0,
    base: 40.0,
};

/// Guards against engines that put back running streams, since nodes fill slots beyond the memory.
///
/// Load: six nodes, two engines with memory for 54 prompts and 64 slots each. Prompts of 9,200 tokens hold it for
/// 3 s, and a third more come than fit.
#[parameterized(steady = { 45.0 }, surge = { 80.0 })]
fn memory_shared(rate: f64) {
    let mut load = Load::new(6, &[FAST; 2]);
    load.decode = Duration::from_secs(3);
    load.play(rate, Duration::from_secs(15), |_| vec![(0, 9200)]);
    let preempted: usize = load.engines.values().map(|engine| engine.preempted).sum();
    let served: usize = load.engines.values().map(|engine| engine.served).sum();
    println!(
        "{served} served, {preempted} preempted, {} refused",
        load.refused
    );
    assert_eq!(preempted, 0);
    // Of the 54 that fit at each, 0.8 run on average over the whole time.
    assert!(served as f64 > 0.8 * 2.0 * 54.0 * 15.0 / 3.2, "{served}");
}

/// Guards against prompts that wait at a full engine for a part that it has cached, though another engine is
/// idle and would prefill the part sooner.
///
/// Load: two engines. One has the part cached, and a queue of a second.
#[test]
fn busy_holder() {
    let mut load = Load::new(1, &[USUAL; 2]);
    load.send(&[(1, 2500), (77, 3800), (0, 500)]);
    load.rest(Duration::from_secs(2));
    let holder = (0..2).find(|index| load.engines[&load.ids[*index]].served > 0);
    let holder = holder.expect("the first prompt was served");
    let before = load.fleet.now;
    load.send(&[(1, 2500), (77, 3800), (0, 500)]);
    load.rest(Duration::from_secs(1));
    assert!(
        load.share(holder, before) > 0.9,
        "an idle holder is preferred"
    );
    for _ in 0..14 {
        load.send(&[(1, 2500), (77, 3800), (0, 4000)]);
    }
    load.rest(Duration::from_secs(3));
    let served = load.engines[&load.ids[1 - holder]].served;
    println!("{served} of 14 at the other engine");
    assert!((3..=11).contains(&served), "{served}");
}

/// Guards against a cached part that counts as kept whatever runs: requests took the memory of the engine, and
/// the part has to be prefilled again.
///
/// Load: an engine that has the part cached, and then three requests that hold 0.57 of its memory.
#[test]
fn evicted_by_running() {
    let mut load = Load::new(1, &[FAST]);
    load.send(&[(1, 2500), (77, 30_000), (0, 500)]);
    load.rest(Duration::from_secs(2));
    load.decode = Duration::from_secs(3);
    for _ in 0..3 {
        load.send(&[(0, 95_000)]);
        load.rest(Duration::from_millis(500));
    }
    let estimate = load.estimate(0, &[(1, 2500), (77, 30_000), (0, 500)]);
    let before = load.engine(0).prefilled;
    load.rest(Duration::from_secs(3));
    let prefilled = load.engine(0).prefilled - before;
    println!("{prefilled} prefilled, {estimate:?}");
    assert_eq!(prefilled, 33_000);
    assert!(estimate.prefill_tokens > 28_000, "{estimate:?}");
    assert!(estimate.cached < 15, "{estimate:?}");
}

/// Guards against caches of which nodes make no use, and against queues before those that hold parts.
///
/// Load: prompts as they were seen, of 4 shared parts, 300 middle ones and their own, at 0.7 of what the engines
/// could serve without a cache. Engines have speeds from 0.55 to 1.2 and slow moments.
#[test]
fn mixed_load() {
    let speed = |factor: f64| Speed {
        tokens: 60.0 * factor,
        base: 40.0 / factor,
    };
    let factors = [1.2, 1.1, 1.0, 0.9, 0.8, 0.7, 0.6, 0.55];
    let mut load = Load::new(6, &factors.map(speed));
    load.decode = Duration::from_secs(3);
    let mut slow: Option<usize> = None;
    let mut changed = load.fleet.now;
    let begin = load.fleet.now;
    load.play(32.0, Duration::from_secs(40), |load| {
        if load.fleet.now.since(changed) > Duration::from_millis(600) {
            changed = load.fleet.now;
            if let Some(slow) = slow.take() {
                load.engine(slow).slowdown = 100;
            }
            let index = load.rng.random_range(0..8);
            load.engine(index).slowdown = 250;
            slow = Some(index);
        }
        let skewed = (load.rng.random::<f64>().powi(2) * 300.0) as u64;
        vec![(1 + skewed % 4, 2520), (100 + skewed, 3780), (0, 2890)]
    });
    let measured: Vec<f64> = load
        .first_tokens
        .iter()
        .filter(|it| it.arrived.since(begin) > Duration::from_secs(5))
        .map(|it| it.measured)
        .collect();
    let late = measured.iter().filter(|millis| **millis > 800.0).count();
    let mean = measured.iter().sum::<f64>() / measured.len() as f64;
    let prefilled: u64 = load.engines.values().map(|engine| engine.prefilled).sum();
    let served: usize = load.engines.values().map(|engine| engine.served).sum();
    println!(
        "{served} served, {} refused, mean {mean:.0} ms, {late} late, {:.0} tokens a prompt",
        load.refused,
        prefilled as f64 / served as f64
    );
    assert!(mean < 600.0, "{mean}");
}
