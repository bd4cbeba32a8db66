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

/// Random bytes of a new token.
const TOKEN_BYTES: usize = 24;

/// Generate a bearer token and its digest, or print the digest of an existing token.
#[derive(FromArgs)]
#[argh(subcommand, name = "credential")]
pub struct Credential {
    /// file with an existing token; without it a new token is generated
    #[argh(option)]
    token_file: Option<PathBuf>,
}

impl Credential {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let token = match &self.token_file {
            Some(path) => node::read_token(path)?,
            None => {
                let token = generate_token();
                print_line!("token:  {token}");
                token
            }
        };
        print_line!("digest: {}", Digest::of(token.as_bytes()));
        Ok(ExitCode::SUCCESS)
    }
}

fn generate_token() -> String {
    let mut bytes = [0; TOKEN_BYTES];
    SysRng
        .try_fill_bytes(&mut bytes)
        .expect("the system provides random bytes");
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
