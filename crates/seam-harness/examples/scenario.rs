//! Runs one scenario file and prints what callers measured.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use seam_harness::scenario::Scenario;

/// Runs one scenario file.
#[derive(FromArgs)]
struct Arguments {
    /// path of the scenario file
    #[argh(positional)]
    file: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let text = match std::fs::read_to_string(&arguments.file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", arguments.file.display());
            return ExitCode::FAILURE;
        }
    };
    let report = match Scenario::read(&text).and_then(|scenario| scenario.run()) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{}: {error}", arguments.file.display());
            return ExitCode::FAILURE;
        }
    };
    let regions = &report.world.newest().deployment.regions;
    for (region, tally) in &report.world.stats.regions {
        println!(
            "{}: sent {}, good {:.4}, late {}, not run {}, unknown {}, remote {:.4}, p50 {:?}, p99 {:?}, {:?}",
            regions[region].name,
            tally.sent,
            tally.good_share(),
            tally.late,
            tally.not_run,
            tally.unknown,
            tally.remote_share(),
            tally.quantile(0.5),
            tally.quantile(0.99),
            tally.reasons
        );
    }
    for breach in &report.breaches {
        println!("broken: {breach}");
    }
    for unmet in &report.unmet {
        println!("unmet: {unmet}");
    }
    if report.breaches.is_empty() && report.unmet.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
