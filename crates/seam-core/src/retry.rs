//! Retry budget, which limits retries to a small fraction of the load.

/// Budget that each request adds when it is queued, in hundredths of a retry. Retries that are
/// queued here add it too.
const EARN_PER_ATTEMPT: u32 = 10;
/// Budget that one retry uses, in hundredths of a retry.
const RETRY_COST: u32 = 100;
/// Largest budget, in hundredths of a retry.
const MAX_SAVED: u32 = 20 * RETRY_COST;

/// Budget of retries of one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED / 2,
        }
    }
}

impl RetryBudget {
    /// Adds to the budget for a request that is queued.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARN_PER_ATTEMPT).min(MAX_SAVED);
    }

    /// Returns whether the budget covers a retry.
    #[must_use]
    pub fn available(&self) -> bool {
        self.saved >= RETRY_COST
    }

    /// Limits the saved budget to a number of retries.
    pub fn cap(&mut self, max_retries: u32) {
        self.saved = self.saved.min(max_retries * RETRY_COST);
    }

    /// Uses the budget for one retry. Returns whether it was sufficient.
    ///
    /// ```
    /// use seam_core::retry::RetryBudget;
    /// let mut budget = RetryBudget::default();
    /// let spent = (0..1000).filter(|_| budget.spend()).count();
    /// assert_eq!(spent, 10);
    /// ```
    pub fn spend(&mut self) -> bool {
        let available = self.saved >= RETRY_COST;
        if available {
            self.saved -= RETRY_COST;
        }
        available
    }
}
