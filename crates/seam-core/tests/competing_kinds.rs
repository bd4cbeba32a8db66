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
