//! Sharing of the weight store's load rate between instances.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// Asks a peer for unused load budget.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BudgetAsk {
    /// Number of loads that the sender would start now if it had the budget.
    pub loads_wanted: u32,
}

/// Lends load budget; the lender does not use it itself until it expires.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BudgetLend {
    /// Number of loads lent; each may be used once.
    pub loads: u32,
    /// When the unused part expires.
    pub expires_at_unix_ms: UnixMs,
}
