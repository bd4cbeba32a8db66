//! `seamctl diff`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use seam_config::diff::{Difference, diff};
use snafu::ResultExt;

use super::{print_json, published};
use crate::error::{AnswerSnafu, ConfigSnafu, CtlError};

/// Exit code for a difference.
const DIFFERENT: u8 = 3;

/// Show what publishing would change. Exits with 3 if anything would.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// folder from which the platform's service takes its values
    #[argh(option)]
    out: PathBuf,

    /// print JSON
    #[argh(switch)]
    json: bool,

    /// folders or files to gather
    #[argh(positional)]
    sources: Vec<PathBuf>,
}

/// Prints differences, one a line or as JSON.
pub fn show(differences: &[Difference], json: bool) -> Result<(), CtlError> {
    if json {
        print_json(&serde_json::to_value(differences).context(AnswerSnafu)?);
        return Ok(());
    }
    for difference in differences {
        say!("{difference}");
    }
    Ok(())
}

impl Diff {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let bundle = seam_config::load_deployment(&self.sources).context(ConfigSnafu)?;
        let old = published(&self.out)?;
        let differences = diff(old.as_ref(), &bundle);
        show(&differences, self.json)?;
        if differences.is_empty() {
            return Ok(ExitCode::SUCCESS);
        }
        Ok(ExitCode::from(DIFFERENT))
    }
}
