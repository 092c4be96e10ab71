//! Reads request bodies within limits.

use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use monsoonspread_model::{Refusal, RefusalReason};
use tokio::time::timeout;

use super::{Exchange, Filter, Step};
use crate::settings::Limits;

/// Maximum number of bytes of a refused body to discard.
const DISCARD_BYTES: usize = 16 * 1024 * 1024;
/// Maximum time spent on discarding a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the body; refuses bodies that are too large or arrive too slowly.
pub struct ReadBodyFilter {
    limits: Limits,
}

impl ReadBodyFilter {
    /// Creates the filter.
    pub fn new(limits: Limits) -> Self {
        Self { limits }
    }

    async fn read(&self, incoming: &mut Incoming) -> Result<Bytes, Refusal> {
        let limit = self.limits.body_bytes;
        if incoming.size_hint().lower() > limit as u64 {
            return Err(self.too_large());
        }
        let mut body = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| {
                let message = "the connection broke before the body was whole";
                Refusal::not_run(RefusalReason::BadRequest, message)
            })?;
            let data = frame.into_data().unwrap_or_default();
            if body.len() + data.len() > limit {
                return Err(self.too_large());
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
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
        let Some(incoming) = &mut exchange.incoming else {
            return Ok(Step::Next);
        };
        let limit = Duration::from_millis(self.limits.body_timeout_ms);
        let body = timeout(limit, self.read(incoming))
            .await
            .map_err(|_| self.too_slow())??;
        exchange.incoming = None;
        exchange.body = body;
        Ok(Step::Next)
    }
}

/// Reads and discards the rest of a refused body, within limits. If the connection were closed
/// while the caller is still sending, the caller might not receive the response.
pub(super) async fn discard(incoming: &mut Incoming) {
    let reading = async {
        let mut read = 0;
        while let Some(Ok(frame)) = incoming.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > DISCARD_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}
