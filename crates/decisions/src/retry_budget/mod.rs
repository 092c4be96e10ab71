//! How many retries and hedges an instance may send.
//!
//! A budget grows with the requests that are served for the first time, so that a fault can
//! never multiply the load on what is left.

#[cfg(test)]
mod tests;

/// Tokens that first attempts earn and further attempts spend.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    earned_per_request: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// A budget that lets `ratio` further attempts follow each request, and `max_tokens` at once.
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

    /// Changes how many further attempts may be made at once.
    pub fn set_max_tokens(&mut self, max_tokens: f64) {
        self.max_tokens = max_tokens;
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Counts a first attempt.
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

    /// Tokens left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
