//! A budget that keeps retries a small part of the load.

/// Retries earned by each first attempt, in hundredths.
const EARNED: u32 = 10;
/// Hundredths of a retry that one retry costs.
const COST: u32 = 100;
/// Most retries saved, in hundredths.
const MOST: u32 = 20 * COST;

/// Retries that a service may still spend.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST / 2 }
    }
}

impl RetryBudget {
    /// Earns a part of a retry from a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST);
    }

    /// Tells whether a retry could be spent.
    #[must_use]
    pub fn available(&self) -> bool {
        self.saved >= COST
    }

    /// Keeps the saved retries below a bound.
    pub fn bound(&mut self, most: u32) {
        self.saved = self.saved.min(most * COST);
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
        let enough = self.saved >= COST;
        if enough {
            self.saved -= COST;
        }
        enough
    }
}
