//! Retry budget, which limits retries to a small fraction of the load.

/// Budget that each request adds when it is queued, in hundredths of a retry. Retries that are
/// queued here add it too.
const EARN_PER_ATTEMPT: u32 = 10;
/// Budget that one retry uses, in hundredths of a retry.
const RETRY_COST: u32 = 100;
/// Largest budget, in hundredths of a retry.
const MAX_SAVED: u32 = 20 * RETRY_COST;

/// Number of processes that a VM may start while retries are counted together. A new process starts
/// with this fraction of the VM's share, since it does not know what earlier ones have used.
const STARTS: u32 = 4;

/// Budget of retries of one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u32,
    /// Whether it was limited to a share of what all nodes may retry.
    limited: bool,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED / 2,
            limited: false,
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

    /// Limits the saved budget to a number of retries, and at first to what a new process may use.
    ///
    /// ```
    /// use seam_core::retry::RetryBudget;
    /// let mut budget = RetryBudget::default();
    /// budget.cap(8);
    /// assert_eq!((0..1000).filter(|_| budget.spend()).count(), 2);
    /// for _ in 0..1000 {
    ///     budget.earn();
    /// }
    /// budget.cap(8);
    /// assert_eq!((0..1000).filter(|_| budget.spend()).count(), 8);
    /// ```
    pub fn cap(&mut self, max_retries: u32) {
        let max_saved = max_retries.saturating_mul(RETRY_COST);
        let start = (max_saved / STARTS).max(RETRY_COST);
        let limit = if self.limited {
            max_saved
        } else {
            max_saved.min(start)
        };
        self.saved = self.saved.min(limit);
        self.limited = true;
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
