//! Filter chain for callers' requests.

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

use crate::http::ResponseBody;

/// Result of a filter.
pub enum Step {
    /// Continue with the next filter.
    Next,
    /// Send this response and skip the remaining filters.
    Answer(Response<ResponseBody>),
}

/// One step of request handling.
#[async_trait]
pub trait Filter: Send + Sync {
    /// Validates the request, adds to the exchange, or responds.
    ///
    /// # Errors
    ///
    /// A refusal ends the chain and is sent as the response.
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal>;
}
