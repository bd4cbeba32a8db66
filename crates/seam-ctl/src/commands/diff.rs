//! `seamctl diff`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use seam_config::diff::{Difference, diff};
use snafu::ResultExt;

use super::{print_json, read_published};
use crate::error::{ConfigSnafu, CtlError, InvalidResponseSnafu};

/// Exit code if publishing would change anything.
const DIFFERENT: u8 = 3;

/// Show what publishing would change. Exits with 3 if there are changes.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// folder with the published manifest and parts, which the platform's service reads
    #[argh(option)]
    out: PathBuf,

    /// print JSON
    #[argh(switch)]
    json: bool,

    /// configuration files, or folders to search for them
    #[argh(positional)]
    sources: Vec<PathBuf>,
}

/// Prints differences, one per line or as JSON.
pub fn print_differences(differences: &[Difference], json: bool) -> Result<(), CtlError> {
    if json {
        print_json(&serde_json::to_value(differences).context(InvalidResponseSnafu)?);
        return Ok(());
    }
    for difference in differences {
        print_line!("{difference}");
    }
    Ok(())
}

impl Diff {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let bundle = seam_config::load_deployment(&self.sources).context(ConfigSnafu)?;
        let old = read_published(&self.out)?;
        let differences = diff(old.as_ref(), &bundle);
        print_differences(&differences, self.json)?;
        if differences.is_empty() {
            return Ok(ExitCode::SUCCESS);
        }
        Ok(ExitCode::from(DIFFERENT))
    }
}
