//! At-most-once execution of calls with an idempotency key.
//!
//! A claim is created in the key-value service by compare-and-swap before the call is made; the
//! instance that created it runs the call once. Repeats get the recorded outcome, or a refusal that
//! says that the outcome is unknown. Safety depends on compare-and-swap alone: clocks only decide how
//! long to wait for another instance's outcome.

mod action;
mod answer;
mod batch_action;
mod batcher;
mod claim;
mod dump;
mod handlers;
mod key;
mod record;
mod refusals;
mod results;
mod settings;
#[cfg(test)]
mod tests;
mod token;

pub use action::ClaimAction;
pub use answer::ClaimAnswer;
pub use batch_action::{BatchAction, CreateResult};
pub use batcher::ClaimBatcher;
pub use claim::Claim;
pub use dump::ClaimDump;
pub use key::{ClaimKey, body_digest};
pub use record::{ClaimRecord, ClaimState, MAX_STORED_BODY_BYTES};
pub use results::{OutcomeWrite, RunResult};
pub use settings::{BatchSettings, ClaimSettings};
pub use token::ClaimToken;
