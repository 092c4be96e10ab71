//! Orders to an engine.

use super::AdapterKey;

/// What an order does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Bring a copy, or replace it by another version.
    Load,
    /// Remove a copy.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// What it does.
    pub kind: OrderKind,
    /// What it is about.
    pub key: AdapterKey,
    /// The version of the adapter to bring; `None` for the newest.
    pub version: Option<u64>,
    /// Orders that the engine must have accepted before.
    pub accepted_before: u64,
}

/// What the engine answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It holds already; an unload has taken place.
    Holds,
    /// Another order is under way, or the count of accepted orders differs.
    Conflict,
    /// The engine doesn't know what the order names.
    Unknown,
    /// Another engine answered, or this one rejects all orders of this holder.
    Rejected,
    /// It didn't arrive.
    NotSent,
    /// There was no answer; it may be carried out, also later.
    Unanswered,
}
