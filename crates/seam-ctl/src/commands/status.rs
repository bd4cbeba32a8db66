//! `seamctl status`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use http::Method;
use serde_json::json;

use super::{cell, print_json, print_list, print_table};
use crate::error::CtlError;
use crate::node;

/// Show a node's state, and its view of other nodes, targets and customers.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
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

impl Status {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let status = node::call(self.admin, &self.token_file, Method::GET, "/v1/status")?;
        let usage = node::call(self.admin, &self.token_file, Method::GET, "/v1/customers")?;
        if self.json {
            let mut combined = status;
            combined["customers"] = usage;
            print_json(&combined);
            return Ok(ExitCode::SUCCESS);
        }
        let fields = ["ready", "draining", "revision", "digest", "held", "keys"];
        let row = fields.iter().map(|field| cell(&status[*field])).collect();
        print_table(&fields, &[row]);
        print_line!();
        let config = &status["config"];
        print_list(
            &json!([config]),
            &[
                "revision",
                "item_revision",
                "age_ms",
                "heard",
                "heard_items",
                "read_age_ms",
                "current_age_ms",
                "confirmed_age_ms",
                "revocation_age_ms",
                "store_revision",
                "epoch",
                "not_taken",
            ],
        );
        print_line!();
        print_list(
            &status["peers"],
            &["name", "region", "alive", "ready", "revision", "age_ms"],
        );
        print_line!();
        print_list(
            &status["targets"],
            &["name", "service", "phase", "running", "cap", "load"],
        );
        print_line!();
        print_list(&usage, &["name", "running", "concurrency"]);
        Ok(ExitCode::SUCCESS)
    }
}
