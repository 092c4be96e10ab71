//! Budget of the retries and hedges that an instance may send.
//!
//! A budget grows with the number of first attempts, so that a fault can never multiply the load on
//! the remaining upstreams.

#[cfg(test)]
mod tests;

/// Token bucket that first attempts fill and further attempts drain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    earned_per_request: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget of `max_tokens` that earns `ratio` further attempts per request.
    ///
    /// ```
    /// # use monsoonspread_decisions::retry_budget::RetryBudget;
    /// let mut budget = RetryBudget::new(0.1, 2.0);
    /// assert!(budget.spend() && budget.spend() && !budget.spend());
    /// ```
    pub fn new(ratio: f64, max_tokens: f64) -> Self {
        Self {
            tokens: max_tokens,
            earned_per_request: ratio,
            max_tokens,
        }
    }

    /// Changes the maximum burst of further attempts.
    pub fn set_max_tokens(&mut self, max_tokens: f64) {
        self.max_tokens = max_tokens;
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Adds the budget earned by a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.earned_per_request).min(self.max_tokens);
    }

    /// Takes one token for a further attempt; false when none is left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Remaining tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
