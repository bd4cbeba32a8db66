//! A small customer's tail latency while a large one surges tenfold.

use std::time::Duration;

use seam_core::node::Policy;
use seam_harness::deployments::DeploymentSpec;

use crate::setup::{
    CUSTOMERS, add_load, both_deployments, capacity, customer, millis, seconds, traffic, world,
};

const SEEDS: [u64; 3] = [11, 12, 13];
/// Start and end of counting, in seconds.
const START_SECS: f64 = 40.0;
const END_SECS: f64 = 640.0;

struct Measurement {
    p99: Duration,
    good: f64,
}

/// Measures the small customers of the first region while a large customer adds 0.2 of the region's
/// capacity, or ten times that in a surge.
fn run(spec: &DeploymentSpec, policy: Policy, surge: bool, seed: u64) -> Measurement {
    let mut world = world(spec, seed, policy);
    add_load(&mut world, spec, 0.4, END_SECS, &[]);
    let large = capacity(spec, 0) * 0.2;
    let factor = if surge { 10.0 } else { 1.0 };
    let mut extra = traffic(spec, 0, CUSTOMERS, large * factor, END_SECS);
    extra.prefixes = 400;
    world.add_traffic(extra);
    world.run_until(seconds(START_SECS));
    world.stats.counting = true;
    world.run_until(seconds(END_SECS));
    let mut small = seam_harness::stats::Tally::default();
    for index in 0..CUSTOMERS {
        if let Some(tally) = world.stats.customers.get(&customer(spec, 0, index)) {
            small.add(tally);
        }
    }
    Measurement {
        p99: small.quantile(0.99),
        good: small.good_share(),
    }
}

/// Prints a table of the small customers' p99 with and without the surge.
pub fn print() {
    let plain = Policy {
        fair: false,
        ..Policy::default()
    };
    println!("## A large customer surges tenfold\n");
    println!(
        "Small customers at 0.4 of their region's capacity, the large one rising from 0.2 to 2.0.\n"
    );
    println!(
        "| deployment | policy | seed | p99 without surge, ms | p99 with surge, ms | ratio | served in time with surge |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for spec in both_deployments() {
        for (name, policy) in [
            ("default", Policy::default()),
            ("first come, first served", plain),
        ] {
            for seed in SEEDS {
                let base = run(&spec, policy, false, seed);
                let surged = run(&spec, policy, true, seed);
                println!(
                    "| {} | {name} | {seed} | {:.0} | {:.0} | {:.2} | {:.4} |",
                    spec.name,
                    millis(base.p99),
                    millis(surged.p99),
                    surged.p99.as_secs_f64() / base.p99.as_secs_f64(),
                    surged.good
                );
            }
        }
    }
    println!();
}
