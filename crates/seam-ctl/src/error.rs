//! Why a command failed.

use std::path::PathBuf;

use http::StatusCode;
use snafu::Snafu;

/// Every failure of the command line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The configuration has faults.
    #[snafu(display("{source}"))]
    Config {
        /// All of them.
        source: seam_config::ConfigError,
    },
    /// The parts do not make a bundle.
    #[snafu(display("{source}"))]
    Bundle {
        /// Why.
        source: seam_config::BundleError,
    },
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The system's words.
        source: std::io::Error,
    },
    /// The bundle in force is not the one that the configuration was compared with.
    #[snafu(display("revision {found} is already in {}, expected {expected}", path.display()))]
    Raced {
        /// The folder.
        path: PathBuf,
        /// Revision found.
        found: u64,
        /// Revision expected.
        expected: u64,
    },
    /// A token file is empty.
    #[snafu(display("{} holds no token", path.display()))]
    Token {
        /// The file.
        path: PathBuf,
    },
    /// The node does not answer.
    #[snafu(display("{source}"))]
    Node {
        /// Why.
        source: seam_http::ClientError,
    },
    /// The node refused.
    #[snafu(display("the node answered {status}: {message}"))]
    Refused {
        /// Its status.
        status: StatusCode,
        /// Its words.
        message: String,
    },
    /// The answer is not what was expected.
    #[snafu(display("the node's answer is not as expected: {source}"))]
    Answer {
        /// The parser's words.
        source: serde_json::Error,
    },
}

impl CtlError {
    /// Returns what the user can do.
    pub fn help(&self) -> Option<&'static str> {
        match self {
            Self::Raced { .. } => Some("someone else published; run `seamctl diff` and try again"),
            Self::Node { .. } => Some("check --admin against the node's setting listen.admin"),
            Self::Token { .. } => Some("write the token of the administration API into the file"),
            Self::Refused { status, .. } if *status == StatusCode::UNAUTHORIZED => {
                Some("give the token's file with --token-file")
            }
            _ => None,
        }
    }
}
