//! Errors of the command line.

use std::path::PathBuf;

use http::StatusCode;
use snafu::Snafu;

/// An error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The configuration is invalid.
    #[snafu(display("{source}"))]
    Config {
        /// Every error in the configuration.
        source: seam_config::ConfigError,
    },
    /// The published parts do not form a valid bundle.
    #[snafu(display("{source}"))]
    Bundle {
        /// What is wrong with them.
        source: seam_config::BundleError,
    },
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The published revision is not the one that the configuration was compared with.
    #[snafu(display("revision {found} is already in {}, expected {expected}", path.display()))]
    RevisionConflict {
        /// Folder of the published bundle.
        path: PathBuf,
        /// Revision in the folder.
        found: u64,
        /// Revision that the command expects.
        expected: u64,
    },
    /// A token file is empty.
    #[snafu(display("{} contains no token", path.display()))]
    EmptyToken {
        /// Path of the file.
        path: PathBuf,
    },
    /// Options of a command do not go together.
    #[snafu(display("{message}"))]
    Options {
        /// What is missing or contradictory.
        message: &'static str,
    },
    /// The call to the node failed.
    #[snafu(display("{source}"))]
    Node {
        /// Error of the HTTP client.
        source: seam_http::ClientError,
    },
    /// The node returned an error status.
    #[snafu(display("the node returned {status}: {message}"))]
    ErrorStatus {
        /// Status of the response.
        status: StatusCode,
        /// Error message of the response.
        message: String,
    },
    /// The response is not the JSON that was expected.
    #[snafu(display("the node's response is invalid: {source}"))]
    InvalidResponse {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

impl CtlError {
    /// Returns a hint on how to fix the problem.
    pub fn help(&self) -> Option<&'static str> {
        match self {
            Self::RevisionConflict { .. } => {
                Some("someone else published; run `seamctl diff` and try again")
            }
            Self::Node { .. } => Some("compare --admin with listen.admin in the node's settings"),
            Self::EmptyToken { .. } => {
                Some("write the token of the administration API to the file")
            }
            Self::ErrorStatus { status, .. } if *status == StatusCode::UNAUTHORIZED => {
                Some("pass the file of the right token with --token-file")
            }
            _ => None,
        }
    }
}
