//! Adapter copies on one engine, and the orders that bring and remove them.
//!
//! [`CopyControl`] belongs to the one instance that gives an engine its orders. Instances ask
//! it for a copy before they send a request there. A copy that is there is granted at once;
//! another one is brought, after an idle one has made room.
//!
//! # Orders
//!
//! One order is under way at a time. Each names the number of orders that the engine has
//! accepted before, so that one that arrives late, after newer ones, is rejected. An order
//! without an answer may have been carried out: it is repeated with the same number until an
//! answer shows which. When the count is not known, nothing is ordered before a report.
//!
//! An engine that starts anew under its name counts from zero, so that an order to its former
//! incarnation may fit again: places are kept free for such loads ([`LateOrders`]).
//!
//! # Arrival of a copy
//!
//! An engine doesn't tell when an adapter has come. Repeating the order for it does, and
//! changes nothing on the engine.

mod action;
mod ask;
mod control;
mod copy;
mod dump;
mod kept_prompts;
mod known_copies;
mod late_orders;
mod orders;
mod quote;
#[cfg(test)]
mod tests;
mod unread_prompts;

pub use action::CopyAction;
pub use ask::{AskId, CopyAsk, CopyRefusal};
pub use control::CopyControl;
pub use dump::CopyControlDump;
pub use known_copies::KnownCopies;
pub use late_orders::LateOrders;
pub use quote::{EngineQuote, QuoteQuestion, QuotedCopy};
