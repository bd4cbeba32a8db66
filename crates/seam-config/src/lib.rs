//! Configuration files, their checks, and the bundles made of them.

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

pub use bundle::{BundleError, PartSet, assemble, assemble_onto, split};
pub use error::{Fault, Faults, GatherError};
pub use gather::gather;
pub use settings::Settings;
