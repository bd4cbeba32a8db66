//! `seamctl explain`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use http::Method;

use super::{cell, print_json, print_list};
use crate::error::CtlError;
use crate::node;

/// Show why a request of a customer would go where.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// address of a node's administration API
    #[argh(option)]
    admin: SocketAddr,

    /// file with the API's token
    #[argh(option)]
    token_file: PathBuf,

    /// name of the customer
    #[argh(option)]
    customer: String,

    /// name of the service
    #[argh(option)]
    service: String,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Explain {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let path = format!(
            "/v1/explain?customer={}&service={}",
            node::quoted(&self.customer),
            node::quoted(&self.service)
        );
        let found = node::call(self.admin, &self.token_file, Method::GET, &path)?;
        if self.json {
            print_json(&found);
            return Ok(ExitCode::SUCCESS);
        }
        say!("{}", cell(&found["decision"]));
        say!();
        let fields = ["name", "allowed", "known", "wait_ms", "free"];
        print_list(&found["regions"], &fields);
        say!();
        say!("targets that could take it: {}", found["targets"]);
        Ok(ExitCode::SUCCESS)
    }
}
