//! At-most-once runs of keyed calls.
//!
//! A claim is created in the key-value service before the call is made, by compare-and-swap;
//! whoever created it runs the call, once. Everybody else gets the outcome that the record
//! holds, or is told that the outcome is not known. Safety rests on compare-and-swap alone:
//! clocks only decide how long to wait for another's outcome.

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
