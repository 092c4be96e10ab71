//! Resolves the adapter version of a request.

use async_trait::async_trait;
use monsoonspread_model::Refusal;

use super::{Exchange, Filter, Step};

/// Resolves the adapter version once per request, with the bundle in force on arrival.
#[derive(Default)]
pub struct ResolveFilter;

impl ResolveFilter {
    /// Creates the filter.
    pub fn new() -> Self {
        Self
    }
}

#[async_trait]
impl Filter for ResolveFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let Some(call) = &exchange.call else {
            return Ok(Step::Next);
        };
        let bundle = exchange.bundle.bundle();
        let resolved = bundle.resolve(exchange.caller()?, &call.model)?;
        exchange.resolved = Some(resolved);
        Ok(Step::Next)
    }
}
