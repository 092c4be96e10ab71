//! Life cycle of model requests, from admission to their single result.
//!
//! The dispatcher of an entry instance requests grants from owners, starts generations under them,
//! retries and hedges within budgets, resumes broken streams, and ends each request with
//! exactly one result. It never sees the text of a request.

mod action;
mod attempt;
mod deadlines;
mod dispatcher;
mod dump;
mod end;
mod grant_requests;
mod release;
mod request;
mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use action::{DispatchAction, DispatchEvent};
pub use attempt::{AttemptEnd, AttemptId, EndKind};
pub use dispatcher::Dispatcher;
pub use dump::DispatchDump;
pub use request::NewRequest;
pub use settings::DispatchSettings;
