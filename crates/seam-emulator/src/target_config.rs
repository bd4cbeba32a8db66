//! How fast stand-ins answer.

use std::time::Duration;

use crate::engine::EngineConfig;

/// How targets behave.
#[derive(Clone, Copy, Debug)]
pub struct TargetConfig {
    /// Engines.
    pub engine: EngineConfig,
    /// Time that a plain service takes.
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
