//! `seamctl entries`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use http::{Request, header};
use seam_http::{empty, fetch};
use seam_node::front::EntriesResponse;
use snafu::{ResultExt, ensure};

use super::{print_json, print_table};
use crate::error::{CtlError, ErrorStatusSnafu, InvalidResponseSnafu, NodeSnafu};
use crate::node;

/// Timeout of the call.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Show the nodes that a customer should call, best first.
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct Entries {
    /// address on which a node serves callers
    #[argh(option)]
    node: SocketAddr,

    /// file with the customer's bearer token
    #[argh(option)]
    token_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Entries {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let token = node::read_token(&self.token_file)?;
        let request = Request::get("/v1/entries")
            .header(header::AUTHORIZATION, format!("Bearer {token}"))
            .body(empty());
        let request = request.unwrap_or_else(|_| Request::new(empty()));
        let response = seam_http::block_on(fetch(self.node, request, TIMEOUT, MAX_RESPONSE_BYTES));
        let response = response.context(NodeSnafu)?;
        let status = response.status();
        let message = String::from_utf8_lossy(response.body()).into_owned();
        ensure!(status.is_success(), ErrorStatusSnafu { status, message });
        if self.json {
            print_json(&serde_json::from_slice(response.body()).context(InvalidResponseSnafu)?);
            return Ok(ExitCode::SUCCESS);
        }
        let listed: EntriesResponse =
            serde_json::from_slice(response.body()).context(InvalidResponseSnafu)?;
        let rows: Vec<Vec<String>> = listed
            .entries
            .into_iter()
            .map(|entry| vec![entry.name, entry.region, entry.address])
            .collect();
        print_table(&["name", "region", "address"], &rows);
        print_line!("valid for {} ms", listed.valid_ms);
        Ok(ExitCode::SUCCESS)
    }
}
