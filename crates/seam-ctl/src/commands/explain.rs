//! `seamctl explain`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use http::Method;

use super::{cell, print_json, print_list};
use crate::error::CtlError;
use crate::node;

/// Show to which region a customer's request would be routed, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// address of a node's administration API
    #[argh(option)]
    admin: SocketAddr,

    /// file with the bearer token of the administration API
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
            node::encode_query(&self.customer),
            node::encode_query(&self.service)
        );
        let explanation = node::call(self.admin, &self.token_file, Method::GET, &path)?;
        if self.json {
            print_json(&explanation);
            return Ok(ExitCode::SUCCESS);
        }
        print_line!("{}", cell(&explanation["decision"]));
        print_line!(
            "by configuration {}, in force for {} ms",
            explanation["config"]["revision"],
            explanation["config"]["age_ms"]
        );
        print_line!();
        let fields = ["name", "allowed", "known", "wait_ms", "free"];
        print_list(&explanation["regions"], &fields);
        print_line!();
        print_line!("targets that could serve it: {}", explanation["targets"]);
        Ok(ExitCode::SUCCESS)
    }
}
