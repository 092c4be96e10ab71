//! Actions that a copy control requests from its driver.

use monsoonspread_model::fleet::Order;

use super::{CopyRefusal, CopyRequestId};

/// An action for the driver of a [`CopyControl`](super::CopyControl) to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyAction {
    /// Send an order to the engine and pass the answer to `on_order_answer`.
    Order(Order),
    /// Read a report of the engine and pass it to `on_report`.
    ReadReport,
    /// The copy is present: the request may be sent.
    Grant {
        /// Identifies the copy request.
        request: CopyRequestId,
        /// Requests granted on this engine, this one included; waiting ones are added with a higher
        /// weight.
        running: u32,
        /// Version of the copy, if it is known.
        version: Option<u64>,
    },
    /// The request gets no copy.
    Refuse {
        /// Identifies the copy request.
        request: CopyRequestId,
        /// Why there is no copy.
        reason: CopyRefusal,
    },
}
