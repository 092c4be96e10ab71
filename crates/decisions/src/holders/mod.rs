//! Determines which instance is the holder of an engine and gives its orders.
//!
//! The holder is recorded in the platform's store. It gives orders only while the store has
//! confirmed its lease recently. An engine without a holder is claimed by the first instance of the
//! plan, and in turn by the next ones if the claim fails to appear.

mod confirmation;
mod holder_state;
mod known_holder;
mod plan;
#[cfg(test)]
mod tests;

pub use confirmation::{CONFIRMED_FOR_MS, Confirmation};
pub use holder_state::HolderState;
pub use known_holder::KnownHolder;
pub use plan::{HolderPlan, PlannedClaim};
