//! Parses generation requests.

use async_trait::async_trait;
use monsoonspread_model::Refusal;

use super::{Exchange, Filter, GenerateCall, Route, Step};

/// Parses the body of a generation request.
#[derive(Default)]
pub struct ParseFilter;

impl ParseFilter {
    /// Creates the filter.
    pub fn new() -> Self {
        Self
    }
}

#[async_trait]
impl Filter for ParseFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        if let Route::Generate(api) = exchange.route {
            exchange.call = Some(GenerateCall::parse(api, &exchange.body)?);
        }
        Ok(Step::Next)
    }
}
