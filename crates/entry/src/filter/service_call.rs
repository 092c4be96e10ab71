//! Forwards calls of plain services.

use async_trait::async_trait;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use monsoonspread_model::{Refusal, RefusalReason};

use super::{Exchange, Filter, Route, Step};
use crate::controller::service::{CallAnswer, CallRequest, ServiceCalls};
use crate::http::{self, ResponseBody};

/// Request header with the idempotency key of a call that must not run twice.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Response header that marks the stored response of an earlier call with the same key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("x-monsoonspread-replayed");

/// Forwards calls to plain services and returns their responses.
pub struct ServiceCallFilter {
    calls: ServiceCalls,
}

impl ServiceCallFilter {
    /// Creates the filter.
    pub fn new(calls: ServiceCalls) -> Self {
        Self { calls }
    }
}

#[async_trait]
impl Filter for ServiceCallFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let Route::ServiceCall { service, call } = exchange.route.clone() else {
            return Ok(Step::Next);
        };
        let caller = exchange.caller()?.clone();
        let bundle = exchange.bundle.bundle();
        let entry = bundle.call(&caller, service.as_str(), &call)?;
        let timeout_at = exchange.arrived_at + entry.timeout_ms;
        let request = CallRequest {
            service,
            call,
            entry,
            caller,
            body: exchange.body.clone(),
            idempotency_key: idempotency_key(exchange)?,
            deadline_unix_ms: exchange.deadline_unix_ms.min(timeout_at),
        };
        let answer = self.calls.make(request).await?;
        Ok(Step::Answer(response(answer)))
    }
}

fn idempotency_key(exchange: &Exchange) -> Result<Option<String>, Refusal> {
    let Some(value) = exchange.head.headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()))
        .map(|key| Some(key.to_owned()))
        .ok_or_else(|| {
            let message =
                format!("header \"{KEY_HEADER}\" is not a text of 1 to {MAX_KEY_BYTES} bytes");
            Refusal::not_run(RefusalReason::BadRequest, message)
        })
}

fn response(answer: CallAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(http::full(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(media_type) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(CONTENT_TYPE, media_type);
    }
    if answer.replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    response
}
