//! Orders that an engine's holder sends to it.

use super::AdapterKey;

/// Kinds of orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads a copy, or replaces it with another version.
    Load,
    /// Removes a copy.
    Unload,
}

/// An order to load or unload a copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Whether to load or unload.
    pub kind: OrderKind,
    /// The adapter or base model to load or unload.
    pub key: AdapterKey,
    /// The adapter version to load; `None` for the newest.
    pub version: Option<u64>,
    /// Number of orders that the engine must have accepted before this one; any other count is a
    /// conflict.
    pub accepted_before: u64,
}

/// The engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine is executing the order.
    Accepted,
    /// Nothing left to do: the copy is already loaded, or the unload is complete.
    Holds,
    /// Another order is in progress, or the count of accepted orders differs.
    Conflict,
    /// The engine does not know the adapter or base model.
    Unknown,
    /// Another engine answered, or this engine rejects all orders of this holder.
    Rejected,
    /// The order was not sent.
    NotSent,
    /// No answer arrived; the order may take effect now or later.
    Unanswered,
}
