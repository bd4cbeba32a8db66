//! Compares the default policy with simpler ones under load and faults, in virtual time.

mod day;
mod goodput;
mod plot;
mod setup;
mod surge;
mod times;

use argh::FromArgs;

/// Measures policies in virtual time and prints Markdown tables.
#[derive(FromArgs)]
struct Arguments {
    /// what to measure: surge, day, goodput, times or all
    #[argh(positional, default = "String::from(\"all\")")]
    what: String,

    /// SVG file for the plot of tail latency against the share served by another region
    #[argh(option)]
    plot: Option<std::path::PathBuf>,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let all = arguments.what == "all";
    if all || arguments.what == "surge" {
        surge::print();
    }
    if all || arguments.what == "day" {
        day::print(arguments.plot.as_deref());
    }
    if all || arguments.what == "goodput" {
        goodput::print();
    }
    if all || arguments.what == "times" {
        times::print();
    }
}
