//! Final responses of the gateway itself, instead of a target's.

use std::time::Duration;

use seam_protocol::{Outcome, Reason};

/// A final response of the gateway itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that is known not to have run.
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
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
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
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_core::Refusal;
    /// use seam_protocol::Reason;
    /// let refusal = Refusal::not_run(Reason::Rate).with_retry_after(Duration::from_secs(1));
    /// assert_eq!(refusal.retry_after, Some(Duration::from_secs(1)));
    /// ```
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
