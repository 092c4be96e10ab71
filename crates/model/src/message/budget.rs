//! Sharing the weight store's rate between instances.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// Asks a peer for unused load budget.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BudgetAsk {
    /// Loads the sender would start now if it could.
    pub loads_wanted: u32,
}

/// Lends load budget, which the lender does not use before it ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BudgetLend {
    /// Loads lent; each may be used once.
    pub loads: u32,
    /// When what is unused ends.
    pub expires_at_unix_ms: UnixMs,
}
