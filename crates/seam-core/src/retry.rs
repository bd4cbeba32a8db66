//! A budget that keeps retries a small part of the load.

/// Retries earned by each first attempt, in hundredths.
const EARN_PER_ATTEMPT: u32 = 10;
/// Hundredths of a retry that one retry costs.
const RETRY_COST: u32 = 100;
/// Most retries saved, in hundredths.
const MAX_SAVED: u32 = 20 * RETRY_COST;

/// Retries that a service may still spend.
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
    /// Earns a part of a retry from a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARN_PER_ATTEMPT).min(MAX_SAVED);
    }

    /// Tells whether a retry could be spent.
    #[must_use]
    pub fn available(&self) -> bool {
        self.saved >= RETRY_COST
    }

    /// Keeps the saved retries below a bound.
    pub fn cap(&mut self, most: u32) {
        self.saved = self.saved.min(most * RETRY_COST);
    }

    /// Spends one retry. Returns whether there was one.
    ///
    /// ```
    /// use seam_core::retry::RetryBudget;
    /// let mut budget = RetryBudget::default();
    /// let spent = (0..1000).filter(|_| budget.spend()).count();
    /// assert_eq!(spent, 10);
    /// ```
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= RETRY_COST;
        if enough {
            self.saved -= RETRY_COST;
        }
        enough
    }
}
