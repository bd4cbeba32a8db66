//! Tail latency against the share sent away, over a day with a peak in each region.

use std::path::Path;
use std::time::Duration;

use seam_core::node::Policy;
use seam_harness::Fault;
use seam_harness::deployments::{DeploymentSpec, WRITER, target_name};
use seam_harness::stats::Tally;
use seam_harness::traffic::Peak;

use crate::plot::{Curve, draw};
use crate::setup::{add_load, both_deployments, millis, seconds, world};

/// A day is shortened to 24 minutes; a request takes seconds in both.
const DAY: f64 = 1440.0;
const START: f64 = 20.0;

fn peaks(regions: usize) -> Vec<Peak> {
    (0..regions)
        .map(|index| Peak {
            middle: seconds(DAY * (index as f64 + 0.7) / (regions as f64 + 0.4)),
            width: Duration::from_secs_f64(DAY / 5.0),
            factor: 2.6,
        })
        .collect()
}

fn run(spec: &DeploymentSpec, weight: f64, policy: Policy, halved: bool) -> Tally {
    let mut spec = spec.clone();
    spec.latency_weight = weight;
    let mut world = world(&spec, 5, policy);
    add_load(&mut world, &spec, 0.45, DAY, &peaks(spec.regions.len()));
    if halved {
        let (region, _) = &spec.regions[0];
        for index in 0..spec.services[0].targets[0] / 2 {
            let target = target_name(WRITER, region, index);
            let ms = (DAY * 1000.0) as u64;
            world.schedule_fault(seconds(DAY / 6.0), Fault::Crash { target, ms });
        }
    }
    world.run_until(seconds(START));
    world.stats.counting = true;
    world.run_until(seconds(DAY));
    assert!(
        world.oracle.breaches.is_empty(),
        "{:?}",
        world.oracle.breaches
    );
    world.stats.total()
}

fn row(name: &str, decisions: &str, tally: &Tally) {
    println!(
        "| {name} | {decisions} | {:.0} | {:.0} | {:.4} | {:.4} |",
        millis(tally.quantile(0.99)),
        millis(tally.quantile(0.999)),
        tally.remote_share(),
        tally.good_share()
    );
}

/// Prints the tables and draws the trade-off.
pub fn print(plot: Option<&Path>) {
    let mut curves = Vec::new();
    for halved in [false, true] {
        let title = if halved {
            "with half of the first region's engines lost"
        } else {
            "with all engines"
        };
        println!("## A day's peaks, {title}\n");
        println!("| deployment | decisions | p99, ms | p99.9, ms | share sent away | good |");
        println!("| --- | --- | --- | --- | --- | --- |");
        for spec in both_deployments() {
            let mut points = Vec::new();
            for weight in [0.0, 0.2, 0.5, 0.8, 1.0] {
                let tally = run(&spec, weight, Policy::default(), halved);
                row(spec.name, &format!("weight {weight}"), &tally);
                points.push((tally.remote_share(), millis(tally.quantile(0.99))));
            }
            let home = Policy {
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
                &run(&spec, 0.5, home, halved),
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
