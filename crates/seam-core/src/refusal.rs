//! The system's own final answers.

use std::time::Duration;

use seam_protocol::{Outcome, Reason};

/// A final answer by the system itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When the caller may ask again.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal of a request that certainly did not run.
    ///
    /// ```
    /// use seam_core::Refusal;
    /// use seam_protocol::{Outcome, Reason};
    /// assert_eq!(Refusal::not_run(Reason::Rate).outcome, Outcome::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry: None,
        }
    }

    /// Builds a refusal of a request that may have run.
    ///
    /// ```
    /// use seam_core::Refusal;
    /// use seam_protocol::{Outcome, Reason};
    /// assert_eq!(Refusal::unknown(Reason::Broken).outcome, Outcome::Unknown);
    /// ```
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry: None,
        }
    }

    /// Adds the time after which the caller may ask again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::Refusal;
    /// use seam_protocol::Reason;
    /// let refusal = Refusal::not_run(Reason::Rate).after(Duration::from_secs(1));
    /// assert_eq!(refusal.retry, Some(Duration::from_secs(1)));
    /// ```
    #[must_use]
    pub fn after(mut self, retry: Duration) -> Self {
        self.retry = Some(retry);
        self
    }
}
