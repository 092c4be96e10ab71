//! Calls of plain services: routing, claims and the task of each call.

mod call;
mod claim_batches;
mod claims_in_flight;
mod command;
mod controller;
mod keyed;
#[cfg(test)]
mod tests;
mod unkeyed;

pub use call::{CallAnswer, CallRequest, ServiceCalls};
pub use claim_batches::{ClaimBatchCommand, ClaimBatches};
pub use claims_in_flight::ClaimsInFlight;
pub use command::{RouteCommand, RoutedCall};
pub use controller::RouteController;
