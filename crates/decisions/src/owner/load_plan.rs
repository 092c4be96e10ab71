//! The load that an upstream wants next.

use monsoonspread_model::{AdapterRef, CopyName};

/// A load that an upstream wants, and what it takes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadPlan {
    /// What to load.
    pub adapter: AdapterRef,
    /// How much the waiting work and the expected reuse weigh.
    pub weight: f64,
    /// Requests that wait for it.
    pub waiting: u32,
    /// The copy to unload first, when no slot is free.
    pub victim: Option<CopyName>,
}
