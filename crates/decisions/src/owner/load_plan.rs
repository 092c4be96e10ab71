//! The next load of an upstream.

use monsoonspread_model::{AdapterRef, CopyName};

/// The next load of an upstream and the eviction it needs.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadPlan {
    /// The adapter to load.
    pub adapter: AdapterRef,
    /// Weight of the waiting requests plus the expected reuse.
    pub weight: f64,
    /// Requests that wait for it.
    pub waiting: u32,
    /// The copy to unload first, when no slot is free.
    pub victim: Option<CopyName>,
}
