//! Quotas of workspaces.

use serde::{Deserialize, Serialize};

/// What a quota counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens: those of the prompt and at most those generated. A request without tokens
    /// counts as `plain_tokens`.
    Tokens {
        /// Tokens of a request that states none.
        plain_tokens: u32,
    },
}

/// How much the requests of a workspace may use, on all instances together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenQuota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units per second.
    pub per_s: f64,
    /// Units beyond that which may be used at once after a pause.
    pub burst: f64,
}

impl TokenQuota {
    /// Returns how many units a request counts as that states the tokens of its prompt and of its answer.
    ///
    /// ```
    /// # use monsoonspread_model::fleet::{QuotaUnit, TokenQuota};
    /// let unit = QuotaUnit::Tokens { plain_tokens: 200 };
    /// let quota = TokenQuota { unit, per_s: 1_000.0, burst: 500.0 };
    /// assert_eq!(quota.cost(646, 70), 716.0);
    /// assert_eq!(quota.cost(0, 0), 200.0);
    /// ```
    pub fn cost(&self, prompt_tokens: u32, max_output_tokens: u32) -> f64 {
        match self.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { plain_tokens } => {
                let stated = u64::from(prompt_tokens) + u64::from(max_output_tokens);
                if stated == 0 {
                    return f64::from(plain_tokens);
                }
                stated as f64
            }
        }
    }
}
