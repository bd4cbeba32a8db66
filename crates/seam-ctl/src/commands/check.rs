//! `seamctl check`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use snafu::ResultExt;

use crate::error::{BundleSnafu, ConfigSnafu, CtlError};

/// Check configuration files, the settings of a node, or both. Nothing is written.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file of a node, checked as well or alone
    #[argh(option)]
    settings: Option<PathBuf>,

    /// configuration files, or folders to search for them
    #[argh(positional)]
    sources: Vec<PathBuf>,
}

impl Check {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        if let Some(path) = &self.settings {
            let settings = seam_config::settings::load(path).context(ConfigSnafu)?;
            print_line!(
                "valid: settings of {:?} in {:?}",
                settings.name,
                settings.region
            );
            if self.sources.is_empty() {
                return Ok(ExitCode::SUCCESS);
            }
        }
        let bundle = seam_config::load_deployment(&self.sources).context(ConfigSnafu)?;
        let part_set = seam_config::split(&bundle).context(BundleSnafu)?;
        print_line!(
            "valid: {} regions, {} VMs, {} services, {} customers in {} parts",
            bundle.deployment.regions.len(),
            bundle.deployment.vms.len(),
            bundle.services.len(),
            bundle.customers.len(),
            part_set.parts.len()
        );
        Ok(ExitCode::SUCCESS)
    }
}
