//! Checks random histories of callers and faults with the oracle.

use std::process::ExitCode;

use argh::FromArgs;
use seam_harness::history::Campaign;
use seam_harness::mutation::Mutation;

/// Checks random histories of callers and faults with the oracle.
#[derive(FromArgs)]
struct Arguments {
    /// seed of the campaign
    #[argh(option, default = "1")]
    seed: u64,

    /// number of histories
    #[argh(option, default = "200")]
    cases: u32,

    /// maximum steps of a history
    #[argh(option, default = "200")]
    steps: usize,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let campaign = Campaign {
        seed: arguments.seed,
        cases: arguments.cases,
        steps: arguments.steps,
        mutation: Mutation::None,
    };
    match campaign.run() {
        Ok(totals) => {
            println!("{totals:#?}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            println!("violations: {:#?}", failure.breaches);
            println!("after {} steps:", failure.steps.len());
            for step in &failure.steps {
                println!("  {step:?}");
            }
            ExitCode::FAILURE
        }
    }
}
