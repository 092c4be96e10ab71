//! Lists the adapters that a caller may use.

use async_trait::async_trait;
use hyper::StatusCode;
use monsoonspread_model::bundle::AdapterEntry;
use monsoonspread_model::{AdapterName, Refusal};
use serde_json::{Value, json};

use super::{Exchange, Filter, Route, Step};
use crate::http;

/// Responds to `/v1/models` with the caller's adapters in the bundle.
#[derive(Default)]
pub struct ModelsFilter;

impl ModelsFilter {
    /// Creates the filter.
    pub fn new() -> Self {
        Self
    }
}

#[async_trait]
impl Filter for ModelsFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        if exchange.route != Route::Models {
            return Ok(Step::Next);
        }
        let bundle = exchange.bundle.bundle();
        let models: Vec<Value> = bundle
            .adapters_for(exchange.caller()?)
            .map(|(name, entry)| model(name, entry))
            .collect();
        let body = json!({ "object": "list", "data": models });
        Ok(Step::Answer(http::json(StatusCode::OK, &body)))
    }
}

fn model(name: &AdapterName, entry: &AdapterEntry) -> Value {
    json!({
        "id": name,
        "object": "model",
        "owned_by": entry.group,
        "root": entry.base_model,
        "versions": entry.versions,
        "default_version": entry.default_version,
    })
}
