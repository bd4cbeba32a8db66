//! Kinds of requests that compete for the same engines, which are too few for a time.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/engines.rs"]
mod engines;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use engines::{Engines, Load, OBJECTIVES, in_time};
use fleet::NORTH;

/// Two engines, and a load that begins with what they serve easily.
fn warm_engines() -> (Engines, Load) {
    let mut engines = Engines::of(&[NORTH; 6], 2);
    let mut load = Load::new(0, 0.0, &[]);
    load.rates = [5.0, 0.0, 10.0];
    engines.run(Duration::from_secs(10), |engines| load.arrive(engines));
    (engines, load)
}

#[test]
fn urgent_first() {
    // Least urgent requests ask for half as many slots again as there are, as on the heaviest day,
    // when a third of the most urgent kind was refused and none of the least urgent one.
    let (mut engines, mut load) = warm_engines();
    let begin = engines.fleet.now;
    load.rates = [20.0, 0.0, 70.0];
    engines.run(Duration::from_secs(20), |engines| load.arrive(engines));
    let end = engines.fleet.now;
    engines.run(Duration::from_secs(8), |_| {});
    let [urgent, other] = [0, 2].map(|kind| {
        let samples = engines.samples_of(kind, begin, end);
        in_time(&samples, OBJECTIVES[usize::from(kind)])
    });
    assert!(urgent >= 0.95, "in time: {urgent}");
    assert!(other >= 0.45, "in time: {other}");
}

#[test]
fn least_kept() {
    // The most urgent kind alone asks for twice what the engines serve. The least urgent one must not
    // starve: it keeps a quarter of the service ratio of all.
    let (mut engines, mut load) = warm_engines();
    load.rates = [100.0, 0.0, 20.0];
    // What was served before counts for a time.
    engines.run(Duration::from_secs(25), |engines| load.arrive(engines));
    let begin = engines.fleet.now;
    engines.run(Duration::from_secs(30), |engines| load.arrive(engines));
    let end = engines.fleet.now;
    engines.run(Duration::from_secs(8), |_| {});
    let served = |kind: u8| {
        let samples = engines.samples_of(kind, begin, end);
        let served = samples.iter().filter(|sample| sample.refused.is_none());
        (served.count() as f64, samples.len() as f64)
    };
    let (urgent, least) = (served(0), served(2));
    let all = (urgent.0 + least.0) / (urgent.1 + least.1);
    let ratio = least.0 / least.1;
    assert!(ratio >= all / 4.0, "{ratio} of {all}");
    assert!(urgent.0 / urgent.1 >= ratio, "{urgent:?} {least:?}");
}
