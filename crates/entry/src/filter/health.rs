//! Health and readiness checks.

use async_trait::async_trait;
use hyper::StatusCode;
use monsoonspread_model::Refusal;
use serde_json::json;
use tokio::sync::watch;

use super::{Exchange, Filter, Route, Step};
use crate::http;
use crate::run_state::RunState;

/// Responds to `/healthz` and `/readyz`; readiness requires a bundle and no planned stop.
pub struct HealthFilter {
    state: watch::Receiver<RunState>,
}

impl HealthFilter {
    /// Creates the filter.
    pub fn new(state: watch::Receiver<RunState>) -> Self {
        Self { state }
    }
}

#[async_trait]
impl Filter for HealthFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let ready = match exchange.route {
            Route::Health => true,
            Route::Ready => *self.state.borrow() == RunState::Ready,
            _ => return Ok(Step::Next),
        };
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let state = self.state.borrow().as_str();
        let response = http::json(status, &json!({ "state": state }));
        Ok(Step::Answer(response))
    }
}
