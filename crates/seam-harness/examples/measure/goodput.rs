//! Goodput at and above capacity.

use seam_core::node::Policy;
use seam_harness::deployments::DeploymentSpec;

use crate::setup::{add_load, both_deployments, seconds, world};

/// Start and end of counting, in seconds.
const START_SECS: f64 = 60.0;
const END_SECS: f64 = 460.0;

/// Returns complete responses in time per second, and the shares of requests refused and late.
///
/// `load` is the offered load as a multiple of capacity.
fn run(spec: &DeploymentSpec, load: f64, policy: Policy) -> (f64, f64, f64) {
    let mut world = world(spec, 23, policy);
    add_load(&mut world, spec, load, END_SECS, &[]);
    world.run_until(seconds(START_SECS));
    world.stats.counting = true;
    world.run_until(seconds(END_SECS));
    world.stats.counting = false;
    world.run_until(seconds(END_SECS + 30.0));
    let total = world.stats.total();
    let sent = total.sent.max(1) as f64;
    (
        total.good as f64 / (END_SECS - START_SECS),
        total.not_run as f64 / sent,
        total.late as f64 / sent,
    )
}

/// Prints a table of goodput at 1, 1.5 and 3 times the capacity.
pub fn print() {
    let plain = Policy {
        shed: false,
        load_aware: false,
        fair: false,
        spill: false,
    };
    println!("## Goodput above capacity\n");
    println!("Responses in time per second; a response after its deadline does not count.\n");
    println!("| deployment | policy | 1x | 1.5x | 3x | 3x to 1x | refused at 3x | late at 3x |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for spec in both_deployments() {
        for (name, policy) in [
            ("default", Policy::default()),
            ("no shedding, no limits", plain),
        ] {
            let at_1x = run(&spec, 1.0, policy);
            let at_1_5x = run(&spec, 1.5, policy);
            let at_3x = run(&spec, 3.0, policy);
            println!(
                "| {} | {name} | {:.1} | {:.1} | {:.1} | {:.3} | {:.3} | {:.4} |",
                spec.name,
                at_1x.0,
                at_1_5x.0,
                at_3x.0,
                at_3x.0 / at_1x.0,
                at_3x.1,
                at_3x.2
            );
        }
    }
    println!();
}
