//! What a copy control wants done.

use monsoonspread_model::fleet::Order;

use super::{AskId, CopyRefusal};

/// What a copy control wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyAction {
    /// Send an order to the engine and report the answer.
    Order(Order),
    /// Read a report of the engine.
    ReadReport,
    /// The copy is there: the request may be sent.
    Grant {
        /// The ask.
        ask: AskId,
        /// Requests that run or are about to on this engine, this one included.
        running: u32,
    },
    /// The copy does not come in time.
    Refuse {
        /// The ask.
        ask: AskId,
        /// Why.
        reason: CopyRefusal,
    },
}
