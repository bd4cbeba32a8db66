//! `seamctl credential`.

use std::fmt::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use rand::TryRng;
use rand::rngs::SysRng;
use seam_protocol::Digest;

use crate::error::CtlError;
use crate::node;

/// Bytes of a new token.
const TOKEN_BYTES: usize = 24;

/// Make a bearer token and its digest, or print the digest of a token.
#[derive(FromArgs)]
#[argh(subcommand, name = "credential")]
pub struct Credential {
    /// file with a token; without it a new token is made
    #[argh(option)]
    token_file: Option<PathBuf>,
}

impl Credential {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let token = match &self.token_file {
            Some(path) => node::token(path)?,
            None => {
                let token = fresh();
                say!("token:  {token}");
                token
            }
        };
        say!("digest: {}", Digest::of(token.as_bytes()));
        Ok(ExitCode::SUCCESS)
    }
}

fn fresh() -> String {
    let mut bytes = [0; TOKEN_BYTES];
    SysRng
        .try_fill_bytes(&mut bytes)
        .expect("the system gives random bytes");
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
