//! Answers in time at and above capacity.

use seam_core::node::Policy;
use seam_harness::deployments::DeploymentSpec;

use crate::setup::{add_load, both_deployments, seconds, world};

const START: f64 = 60.0;
const END: f64 = 460.0;

/// Returns answers in time a second, and the parts refused and late.
fn run(spec: &DeploymentSpec, part: f64, policy: Policy) -> (f64, f64, f64) {
    let mut world = world(spec, 23, policy);
    add_load(&mut world, spec, part, END, &[]);
    world.run_until(seconds(START));
    world.stats.counting = true;
    world.run_until(seconds(END));
    world.stats.counting = false;
    world.run_until(seconds(END + 30.0));
    let total = world.stats.total();
    let sent = total.sent.max(1) as f64;
    (
        total.good as f64 / (END - START),
        total.not_run as f64 / sent,
        total.late as f64 / sent,
    )
}

/// Prints the table.
pub fn print() {
    let plain = Policy {
        shed: false,
        load_aware: false,
        fair: false,
        spill: false,
    };
    println!("## Goodput above capacity\n");
    println!("Answers in time a second; an answer after its deadline does not count.\n");
    println!("| deployment | decisions | 1x | 1.5x | 3x | 3x to 1x | refused at 3x | late at 3x |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for spec in both_deployments() {
        for (name, policy) in [
            ("own", Policy::default()),
            ("no shedding, no limits", plain),
        ] {
            let once = run(&spec, 1.0, policy);
            let half = run(&spec, 1.5, policy);
            let thrice = run(&spec, 3.0, policy);
            println!(
                "| {} | {name} | {:.1} | {:.1} | {:.1} | {:.3} | {:.3} | {:.4} |",
                spec.name,
                once.0,
                half.0,
                thrice.0,
                thrice.0 / once.0,
                thrice.1,
                thrice.2
            );
        }
    }
    println!();
}
