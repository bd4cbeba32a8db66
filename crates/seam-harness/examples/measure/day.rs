//! Tail latency against the share sent away, over a day with a peak in each region.

use std::path::Path;
use std::time::Duration;

use seam_core::node::Policy;
use seam_harness::Fault;
use seam_harness::sizes::{Size, WRITER, target_name};
use seam_harness::stats::Tally;
use seam_harness::traffic::Peak;

use crate::plot::{Curve, draw};
use crate::setup::{add_load, millis, seconds, users, world};

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

fn run(size: &Size, weight: f64, policy: Policy, halved: bool) -> Tally {
    let mut size = size.clone();
    size.weight = weight;
    let mut world = world(&size, 5, policy);
    add_load(&mut world, &size, 0.45, DAY, &peaks(size.regions.len()));
    if halved {
        let (region, _) = &size.regions[0];
        for index in 0..size.services[0].targets[0] / 2 {
            let target = target_name(WRITER, region, index);
            let ms = (DAY * 1000.0) as u64;
            world.fault_at(seconds(DAY / 6.0), Fault::Crash { target, ms });
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
        tally.away_share(),
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
        for size in users() {
            let mut points = Vec::new();
            for weight in [0.0, 0.2, 0.5, 0.8, 1.0] {
                let tally = run(&size, weight, Policy::default(), halved);
                row(size.name, &format!("weight {weight}"), &tally);
                points.push((tally.away_share(), millis(tally.quantile(0.99))));
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
                size.name,
                "nearest region only",
                &run(&size, 0.5, home, halved),
            );
            row(size.name, "random target", &run(&size, 0.5, random, halved));
            let suffix = if halved { ", half lost" } else { "" };
            curves.push(Curve {
                name: format!("{}{suffix}", size.name),
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
