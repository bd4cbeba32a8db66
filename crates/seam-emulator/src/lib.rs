//! Small stand-ins for the platform, the targets and the callers.

pub mod caller;
pub mod engine;
pub mod load;
pub mod paces;
pub mod plain;
pub mod platform;
pub mod run;

pub use caller::{Answer, Caller};
pub use engine::Engine;
pub use paces::Paces;
pub use plain::Plain;
pub use platform::Platform;
