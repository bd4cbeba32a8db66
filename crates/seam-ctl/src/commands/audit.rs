//! `seamctl audit`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use http::Method;

use super::{print_json, print_list};
use crate::error::CtlError;
use crate::node;

/// Show the audit records of a node, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// address of a node's administration API
    #[argh(option)]
    admin: SocketAddr,

    /// file with the bearer token of the administration API
    #[argh(option)]
    token_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Audit {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let records = node::call(self.admin, &self.token_file, Method::GET, "/v1/audit")?;
        if self.json {
            print_json(&records);
        } else {
            let fields = [
                "unix_ms", "change", "subject", "old", "new", "actor", "cause",
            ];
            print_list(&records, &fields);
        }
        Ok(ExitCode::SUCCESS)
    }
}
