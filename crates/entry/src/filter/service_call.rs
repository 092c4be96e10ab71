//! Calls of plain services.

use async_trait::async_trait;
use monsoonspread_model::Refusal;

use super::{Exchange, Filter, Step};

/// Makes calls of plain services.
#[derive(Default)]
pub struct ServiceCallFilter;

impl ServiceCallFilter {
    /// Creates the filter.
    pub fn new() -> Self {
        Self
    }
}

#[async_trait]
impl Filter for ServiceCallFilter {
    async fn apply(&self, _exchange: &mut Exchange) -> Result<Step, Refusal> {
        Ok(Step::Next)
    }
}
