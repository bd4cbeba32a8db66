//! Emulated platform, targets and callers for tests and examples.

pub mod caller;
pub mod engine;
pub mod load;
pub mod plain;
pub mod platform;
pub mod server;
pub mod target_config;

pub use caller::{Caller, CallerResponse};
pub use engine::Engine;
pub use plain::PlainService;
pub use platform::Platform;
pub use target_config::TargetConfig;
