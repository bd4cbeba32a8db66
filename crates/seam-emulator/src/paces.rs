//! How fast stand-ins answer.

use std::time::Duration;

use crate::engine::Pace;

/// How targets behave.
#[derive(Clone, Copy, Debug)]
pub struct Paces {
    /// Engines.
    pub engine: Pace,
    /// Time that a plain service takes.
    pub plain: Duration,
}

impl Default for Paces {
    fn default() -> Self {
        Self {
            engine: Pace {
                first: Duration::from_millis(20),
                gap: Duration::from_millis(5),
                tokens: 8,
                fenced: true,
            },
            plain: Duration::from_millis(2),
        }
    }
}
