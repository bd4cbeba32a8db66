//! How long congestion outlives a burst.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/engines.rs"]
mod engines;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use engines::{Engines, Load, OBJECTIVES, in_time};
use fleet::NORTH;
use yare::parameterized;

#[parameterized(
    prefill = { [20.0, 0.0, 8.0], [110.0, 0.0, 8.0] },
    slots = { [10.0, 0.0, 20.0], [10.0, 0.0, 110.0] },
    both = { [20.0, 0.0, 16.0], [90.0, 0.0, 80.0] },
)]
fn congestion_ends(usual: [f64; 3], burst: [f64; 3]) {
    // For 6 s more than twice as much is asked for as the engines serve, then less than half. On the
    // heaviest day the congestion of seconds 4 to 10 lasted until second 18, since what had waited too
    // long still took room.
    let mut engines = Engines::of(&[NORTH; 6], 2);
    let mut load = Load::new(0, 0.0, &[]);
    load.rates = usual;
    engines.run(Duration::from_secs(10), |engines| load.arrive(engines));
    load.rates = burst;
    engines.run(Duration::from_secs(6), |engines| load.arrive(engines));
    let end = engines.fleet.now;
    load.rates = usual;
    engines.run(Duration::from_secs(20), |engines| load.arrive(engines));
    let second = |number: u32| end + Duration::from_secs(1) * number;
    let congested = |number: &u32| {
        [0, 2].into_iter().any(|kind: u8| {
            let samples = engines.samples_of(kind, second(*number), second(number + 1));
            in_time(&samples, OBJECTIVES[usize::from(kind)]) < 0.95
        })
    };
    let last = (0..15).rev().find(congested).map_or(0, |last| last + 1);

    assert!(last <= 2, "congested for {last} s after the burst");
}
