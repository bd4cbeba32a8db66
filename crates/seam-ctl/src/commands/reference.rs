//! `seamctl reference`.

use std::process::ExitCode;

use argh::FromArgs;

/// Print the configuration reference as Markdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "reference")]
pub struct Reference {}

impl Reference {
    /// Runs the command.
    pub fn run() -> ExitCode {
        print_line!("{}", seam_config::reference::page().trim_end());
        ExitCode::SUCCESS
    }
}
