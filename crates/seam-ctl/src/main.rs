//! `seamctl`, the command line for operators.
//!
//! Exit codes: 0 for success, 1 for an error, 2 for arguments that do not parse, 3 for a difference
//! that `diff` found.

/// Prints a line to standard output, and ignores errors such as a pipe that `head` has closed.
macro_rules! print_line {
    ($($part:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($part)*);
    }};
}

mod commands;
mod error;
mod node;

use std::process::ExitCode;

use argh::FromArgs;

use commands::Command;

/// Publishes configurations and calls the nodes of a toucanseam deployment.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

/// Exit code for arguments that do not parse.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["seamctl"], args.get(1..).unwrap_or_default()) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitCode::from(USAGE_ERROR);
        }
    };
    seam_http::start_workers(1);
    match commands::run(arguments.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            if let Some(help) = error.help() {
                eprintln!("help: {help}");
            }
            ExitCode::FAILURE
        }
    }
}
