//! Tail latency against the share served by another region, over a day with a peak in each region.

use std::path::Path;
use std::time::Duration;

use seam_core::node::Policy;
use seam_harness::Fault;
use seam_harness::deployments::{DeploymentSpec, WRITER, target_name};
use seam_harness::stats::Tally;
use seam_harness::traffic::Peak;

use crate::plot::{Curve, draw};
use crate::setup::{add_load, both_deployments, millis, seconds, world};

/// Simulated day, shortened to 24 minutes. Requests keep their real durations of seconds.
const DAY_SECS: f64 = 1440.0;
/// Start of counting, in seconds.
const START_SECS: f64 = 20.0;

fn peaks(regions: usize) -> Vec<Peak> {
    (0..regions)
        .map(|index| Peak {
            middle: seconds(DAY_SECS * (index as f64 + 0.7) / (regions as f64 + 0.4)),
            width: Duration::from_secs_f64(DAY_SECS / 5.0),
            factor: 2.6,
        })
        .collect()
}

fn run(spec: &DeploymentSpec, weight: f64, policy: Policy, halved: bool) -> Tally {
    let mut spec = spec.clone();
    spec.latency_weight = weight;
    let mut world = world(&spec, 5, policy);
    add_load(
        &mut world,
        &spec,
        0.45,
        DAY_SECS,
        &peaks(spec.regions.len()),
    );
    if halved {
        let (region, _) = &spec.regions[0];
        for index in 0..spec.services[0].targets[0] / 2 {
            let target = target_name(WRITER, region, index);
            let ms = (DAY_SECS * 1000.0) as u64;
            world.schedule_fault(seconds(DAY_SECS / 6.0), Fault::Crash { target, ms });
        }
    }
    world.run_until(seconds(START_SECS));
    world.stats.counting = true;
    world.run_until(seconds(DAY_SECS));
    assert!(
        world.oracle.breaches.is_empty(),
        "{:?}",
        world.oracle.breaches
    );
    world.stats.total()
}

fn row(name: &str, policy: &str, tally: &Tally) {
    println!(
        "| {name} | {policy} | {:.0} | {:.0} | {:.4} | {:.4} |",
        millis(tally.quantile(0.99)),
        millis(tally.quantile(0.999)),
        tally.remote_share(),
        tally.good_share()
    );
}

/// Prints a table with and without lost engines, and plots the trade-off if a path is given.
pub fn print(plot: Option<&Path>) {
    let mut curves = Vec::new();
    for halved in [false, true] {
        let title = if halved {
            "half of the first region's engines lost"
        } else {
            "all engines available"
        };
        println!("## Daily peaks, {title}\n");
        println!(
            "| deployment | policy | p99, ms | p99.9, ms | served by another region | served in time |"
        );
        println!("| --- | --- | --- | --- | --- | --- |");
        for spec in both_deployments() {
            let mut points = Vec::new();
            for weight in [0.0, 0.2, 0.5, 0.8, 1.0] {
                let tally = run(&spec, weight, Policy::default(), halved);
                row(spec.name, &format!("weight {weight}"), &tally);
                points.push((tally.remote_share(), millis(tally.quantile(0.99))));
            }
            let nearest = Policy {
                spill: false,
                ..Policy::default()
            };
            let random = Policy {
                load_aware: false,
                spill: false,
                ..Policy::default()
            };
            row(
                spec.name,
                "nearest region only",
                &run(&spec, 0.5, nearest, halved),
            );
            row(spec.name, "random target", &run(&spec, 0.5, random, halved));
            let suffix = if halved { ", half lost" } else { "" };
            curves.push(Curve {
                name: format!("{}{suffix}", spec.name),
                points,
            });
        }
        println!();
    }
    if let Some(path) = plot
        && let Err(error) = draw(path, &curves)
    {
        eprintln!("{}: {error}", path.display());
    }
}
