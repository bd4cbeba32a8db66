//! `seamctl drain`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use http::Method;

use super::cell;
use crate::error::CtlError;
use crate::node;

/// Drain a node, or one target as seen by this node; --undo reverses it.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// address of a node's administration API
    #[argh(option)]
    admin: SocketAddr,

    /// file with the bearer token of the administration API
    #[argh(option)]
    token_file: PathBuf,

    /// name of the target to drain; without it the node itself is drained
    #[argh(option)]
    target: Option<String>,

    /// reverse a drain
    #[argh(switch)]
    undo: bool,

    /// name of the operator, for the audit trail
    #[argh(option, default = "String::from(\"operator\")")]
    actor: String,
}

impl Drain {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let action = if self.undo { "undrain" } else { "drain" };
        let mut path = format!("/v1/{action}?actor={}", node::encode_query(&self.actor));
        if let Some(target) = &self.target {
            path = format!("{path}&target={}", node::encode_query(target));
        }
        let status = node::call(self.admin, &self.token_file, Method::POST, &path)?;
        print_line!(
            "draining {}, {} requests held",
            cell(&status["draining"]),
            cell(&status["held"])
        );
        Ok(ExitCode::SUCCESS)
    }
}
