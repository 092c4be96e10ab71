//! Adapter copies on one engine, and the orders that load and remove them.
//!
//! [`CopyControl`] runs on the instance that gives an engine its orders. Instances request a copy
//! from it before they send a request to the engine. A present copy is granted at once; a missing
//! one is loaded, after an idle copy was removed if there is no room.
//!
//! # Orders
//!
//! Only one order is in progress at a time. Each carries the number of orders that the engine has
//! accepted before, so that the engine rejects an order that arrives after newer ones. An unanswered
//! order may have been carried out: it is repeated with the same number until it is answered. While
//! the number is unknown, no order is given before a report was read.
//!
//! An engine that restarts under the same name counts from zero, so an order to its previous
//! incarnation may be valid again: places are reserved for such loads ([`LateOrders`]).
//!
//! # Completion of a load
//!
//! An engine doesn't notify when an adapter is loaded. Repeating the load order returns its state
//! and changes nothing on the engine.

mod action;
mod control;
mod copy;
mod dump;
mod grants;
mod kept_prompts;
mod known_copies;
mod late_orders;
mod orders;
mod own_speed;
mod quote;
mod refusals;
mod request;
mod room;
#[cfg(test)]
mod tests;
mod unread_prompts;

pub use action::CopyAction;
pub use control::CopyControl;
pub use dump::CopyControlDump;
pub use known_copies::KnownCopies;
pub use late_orders::LateOrders;
pub use own_speed::SpeedDump;
pub use quote::{EngineQuote, QuoteQuestion, QuotedCopy};
pub use request::{CopyRefusal, CopyRequest, CopyRequestId};
