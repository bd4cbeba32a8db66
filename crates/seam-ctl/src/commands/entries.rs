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
use crate::error::{AnswerSnafu, CtlError, NodeSnafu, RefusedSnafu};
use crate::node;

/// Time for the call.
const LIMIT: Duration = Duration::from_secs(10);
/// Largest answer in bytes.
const MOST: usize = 1 << 20;

/// Show which nodes a customer should use, best first.
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct Entries {
    /// address of a node for callers
    #[argh(option)]
    node: SocketAddr,

    /// file with the customer's token
    #[argh(option)]
    token_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Entries {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let token = node::token(&self.token_file)?;
        let request = Request::get("/v1/entries")
            .header(header::AUTHORIZATION, format!("Bearer {token}"))
            .body(empty());
        let request = request.unwrap_or_else(|_| Request::new(empty()));
        let answer = seam_http::block_on(fetch(self.node, request, LIMIT, MOST));
        let answer = answer.context(NodeSnafu)?;
        let status = answer.status();
        let message = String::from_utf8_lossy(answer.body()).into_owned();
        ensure!(status.is_success(), RefusedSnafu { status, message });
        if self.json {
            print_json(&serde_json::from_slice(answer.body()).context(AnswerSnafu)?);
            return Ok(ExitCode::SUCCESS);
        }
        let found: EntriesResponse = serde_json::from_slice(answer.body()).context(AnswerSnafu)?;
        let rows: Vec<Vec<String>> = found
            .entries
            .into_iter()
            .map(|entry| vec![entry.name, entry.region, entry.address])
            .collect();
        print_table(&["name", "region", "address"], &rows);
        say!("valid for {} ms", found.valid_ms);
        Ok(ExitCode::SUCCESS)
    }
}
