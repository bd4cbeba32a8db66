//! Timing and behavior of the emulated targets.

use std::time::Duration;

use crate::engine::EngineConfig;

/// Configuration of the emulated targets of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct TargetConfig {
    /// Behavior of engines.
    pub engine: EngineConfig,
    /// Time that a plain service takes to respond.
    pub plain_delay: Duration,
}

impl Default for TargetConfig {
    fn default() -> Self {
        Self {
            engine: EngineConfig {
                first_token: Duration::from_millis(20),
                token_interval: Duration::from_millis(5),
                tokens: 8,
                fenced: true,
            },
            plain_delay: Duration::from_millis(2),
        }
    }
}
