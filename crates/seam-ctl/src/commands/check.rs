//! `seamctl check`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use snafu::ResultExt;

use crate::error::{BundleSnafu, ConfigSnafu, CtlError};

/// Check the configuration files below some folders. Nothing is written.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// folders or files to gather
    #[argh(positional)]
    sources: Vec<PathBuf>,
}

impl Check {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let bundle = seam_config::gather(&self.sources).context(ConfigSnafu)?;
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
