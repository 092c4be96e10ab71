//! The chain of filters that each request passes.

mod admission;
mod authenticate;
mod chain;
mod deadline;
mod drain;
mod exchange;
mod generate;
mod generate_call;
mod health;
mod models;
mod parse;
mod read_body;
mod resolve;
mod route;
mod service_call;

#[cfg(test)]
mod tests;

use async_trait::async_trait;
use hyper::Response;
use monsoonspread_model::Refusal;

pub use admission::AdmissionFilter;
pub use authenticate::AuthenticateFilter;
pub use chain::Chain;
pub use deadline::DeadlineFilter;
pub use drain::DrainFilter;
pub use exchange::Exchange;
pub use generate::GenerateFilter;
pub use generate_call::{Api, GenerateCall};
pub use health::HealthFilter;
pub use models::ModelsFilter;
pub use parse::ParseFilter;
pub use read_body::ReadBodyFilter;
pub use resolve::ResolveFilter;
pub use route::{Route, RouteFilter};
pub use service_call::ServiceCallFilter;

use crate::http::AnswerBody;

/// What a filter decided.
pub enum Step {
    /// The next filter goes on.
    Next,
    /// The request is answered.
    Answer(Response<AnswerBody>),
}

/// One step in the handling of a request.
#[async_trait]
pub trait Filter: Send + Sync {
    /// Checks, completes or answers the request.
    ///
    /// # Errors
    ///
    /// A refusal ends the chain and is the answer.
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal>;
}
