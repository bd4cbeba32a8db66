//! `seamctl drain`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use http::Method;

use super::cell;
use crate::error::CtlError;
use crate::node;

/// Drain a node, or a target on one node's belief; --undo takes it back.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// address of a node's administration API
    #[argh(option)]
    admin: SocketAddr,

    /// file with the API's token
    #[argh(option)]
    token_file: PathBuf,

    /// name of a target; without it the node itself is drained
    #[argh(option)]
    target: Option<String>,

    /// take a drain back
    #[argh(switch)]
    undo: bool,

    /// who asks, for the audit trail
    #[argh(option, default = "String::from(\"operator\")")]
    actor: String,
}

impl Drain {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let call = if self.undo { "undrain" } else { "drain" };
        let mut path = format!("/v1/{call}?actor={}", node::quoted(&self.actor));
        if let Some(target) = &self.target {
            path = format!("{path}&target={}", node::quoted(target));
        }
        let status = node::call(self.admin, &self.token_file, Method::POST, &path)?;
        say!(
            "draining {}, {} requests held",
            cell(&status["draining"]),
            cell(&status["held"])
        );
        Ok(ExitCode::SUCCESS)
    }
}
