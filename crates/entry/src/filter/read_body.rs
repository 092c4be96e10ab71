//! Reading of a request's body within limits.

use std::time::Duration;

use async_trait::async_trait;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use monsoonspread_model::{Refusal, RefusalReason};
use tokio::time::timeout;

use super::{Exchange, Filter, Step};
use crate::settings::Limits;

/// Reads the body; large or slow ones are refused.
pub struct ReadBodyFilter {
    limits: Limits,
}

impl ReadBodyFilter {
    /// Creates the filter.
    pub fn new(limits: Limits) -> Self {
        Self { limits }
    }

    fn too_large(&self) -> Refusal {
        let message = format!("the body is larger than {} bytes", self.limits.body_bytes);
        Refusal::not_run(RefusalReason::BodyTooLarge, message)
    }

    fn too_slow(&self) -> Refusal {
        let message = format!(
            "the body did not arrive within {} ms",
            self.limits.body_timeout_ms
        );
        Refusal::not_run(RefusalReason::RequestTimeout, message)
    }
}

#[async_trait]
impl Filter for ReadBodyFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let declared = exchange.incoming.as_ref().map(Body::size_hint);
        let limit = self.limits.body_bytes;
        if declared.is_some_and(|size| size.lower() > limit as u64) {
            return Err(self.too_large());
        }
        let Some(incoming) = exchange.incoming.take() else {
            return Ok(Step::Next);
        };
        let reading = Limited::new(incoming, limit).collect();
        let read = timeout(Duration::from_millis(self.limits.body_timeout_ms), reading)
            .await
            .map_err(|_| self.too_slow())?;
        let body = read.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return self.too_large();
            }
            let message = "the connection broke before the body was whole";
            Refusal::not_run(RefusalReason::BadRequest, message)
        })?;
        exchange.body = body.to_bytes();
        Ok(Step::Next)
    }
}
