//! `seamctl audit`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use http::Method;

use super::{print_json, print_list};
use crate::error::CtlError;
use crate::node;

/// Show the changes that a node has seen, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// address of a node's administration API
    #[argh(option)]
    admin: SocketAddr,

    /// file with the API's token
    #[argh(option)]
    token_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Audit {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let lines = node::call(self.admin, &self.token_file, Method::GET, "/v1/audit")?;
        if self.json {
            print_json(&lines);
        } else {
            let fields = [
                "unix_ms", "change", "subject", "old", "new", "actor", "cause",
            ];
            print_list(&lines, &fields);
        }
        Ok(ExitCode::SUCCESS)
    }
}
