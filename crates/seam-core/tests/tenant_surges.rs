//! A tenant that sends many times its usual load, where the engines are too few for that.

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

/// Usual requests a second of each tenant. The first one is large by nature.
const USUAL: [f64; 6] = [0.4, 0.12, 0.12, 0.12, 0.12, 0.12];

#[parameterized(
    prefill = { 0, 40.0 },
    slots = { 2, 36.0 },
)]
fn others_undelayed(kind: u8, rate: f64) {
    // Engines serve the usual load. Then the second tenant sends seven times as much for 10 s. Without
    // turns its requests delay all, and each tenant is refused as often as it.
    let mut engines = Engines::of(&[NORTH; 6], 2);
    let mut load = Load::new(kind, rate, &USUAL);
    engines.run(Duration::from_secs(40), |engines| load.arrive(engines));
    let begin = engines.fleet.now;
    load.surge(1, 7.0);
    engines.run(Duration::from_secs(10), |engines| load.arrive(engines));
    let end = engines.fleet.now;
    engines.run(Duration::from_secs(15), |_| {});
    let objective = OBJECTIVES[usize::from(kind)];
    let samples = engines.samples_of(kind, begin, end);
    let of_tenant = |tenant: u64| {
        let samples = samples.iter().copied();
        let own: Vec<_> = samples.filter(|sample| sample.tenant == tenant).collect();
        in_time(&own, objective)
    };
    let ratios: Vec<f64> = (1..=6).map(of_tenant).collect();
    let all = in_time(&samples, objective);
    for (tenant, ratio) in (1..).zip(&ratios) {
        let lowest = if tenant == 2 { all / 4.0 } else { 0.9 };
        assert!(*ratio >= lowest, "tenant {tenant}: {ratios:?}, all {all}");
    }
}
