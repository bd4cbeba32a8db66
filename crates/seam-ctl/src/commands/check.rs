//! `seamctl check`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use snafu::ResultExt;

use crate::error::{BundleSnafu, ConfigSnafu, CtlError};

/// Check the configuration files below some folders, and the settings of a node. Nothing is written.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings of a node to check too, or alone
    #[argh(option)]
    settings: Option<PathBuf>,

    /// folders or files to gather
    #[argh(positional)]
    sources: Vec<PathBuf>,
}

impl Check {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        if let Some(path) = &self.settings {
            let settings = seam_config::settings::load(path).context(ConfigSnafu)?;
            say!(
                "valid: settings of {:?} in {:?}",
                settings.name,
                settings.region
            );
            if self.sources.is_empty() {
                return Ok(ExitCode::SUCCESS);
            }
        }
        let bundle = seam_config::load_deployment(&self.sources).context(ConfigSnafu)?;
        let set = seam_config::split(&bundle).context(BundleSnafu)?;
        say!(
            "valid: {} regions, {} VMs, {} services, {} customers in {} parts",
            bundle.deployment.regions.len(),
            bundle.deployment.vms.len(),
            bundle.services.len(),
            bundle.customers.len(),
            set.parts.len()
        );
        Ok(ExitCode::SUCCESS)
    }
}
