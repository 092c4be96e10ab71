//! Which instance gives the orders for an engine.
//!
//! The holder of an engine is recorded in the platform's store. A recorded holder goes on only
//! while the store has confirmed it lately; an engine without one is claimed by the instance
//! that the plan names, and by the next ones in the plan when nothing happens.

mod confirmation;
mod plan;
mod standing;
#[cfg(test)]
mod tests;

pub use confirmation::{CONFIRMED_FOR_MS, Confirmation};
pub use plan::{HolderPlan, PlannedClaim};
pub use standing::Standing;
