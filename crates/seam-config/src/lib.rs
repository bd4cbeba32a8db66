//! Parses and validates configuration files, and builds bundles from them.

pub mod bundle;
pub mod check;
pub mod diff;
pub mod error;
pub mod gather;
pub mod reader;
pub mod reference;
pub mod schema;
pub mod settings;
pub mod source;

pub use bundle::{BundleError, PartSet, assemble, assemble_incremental, split};
pub use error::{ConfigError, Diagnostic, Diagnostics};
pub use gather::load_deployment;
pub use settings::Settings;
