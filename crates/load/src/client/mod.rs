//! Clients of engines and entry instances.

mod attempt;
mod call;
mod json;
mod streaming;

use std::time::Instant;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, header};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use monsoonspread_model::{Refusal, RefusalReason, UnixMs};
use serde_json::{Value, json};

use crate::plan::PlannedRequest;
use crate::record::Ending;
pub use attempt::Attempt;
pub use call::{ADAPTER_VERSION, Target, adapter_name, caller_key, caller_name, wanted_model};
pub use json::JsonReader;
use streaming::Streaming;

/// Header with the time left to the first token.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header of a refusal that says that nothing ran.
const NOT_RUN_HEADER: &str = "x-not-run";
/// Header with the request's number.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Sends requests and reads their streamed answers.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client with no open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends `request` to `target` and gives up when no token has come at `give_up_at`.
    pub async fn send(
        &self,
        target: &Target,
        request: &PlannedRequest,
        give_up_at: Instant,
    ) -> Attempt {
        let begun = self.begin(target, request, give_up_at);
        match tokio::time::timeout_at(give_up_at.into(), begun).await {
            Err(_) => Attempt::Ended {
                ending: Ending::GaveUp,
                first_token_at: None,
            },
            Ok(Err(attempt)) => attempt,
            Ok(Ok(streaming)) => streaming.finish().await,
        }
    }

    /// Sends the request and reads up to the first token.
    async fn begin(
        &self,
        target: &Target,
        request: &PlannedRequest,
        give_up_at: Instant,
    ) -> Result<Streaming, Attempt> {
        let left = give_up_at.saturating_duration_since(Instant::now());
        let http = http_request(target, request, left.as_millis() as u64);
        let response = self.http.request(http).await.map_err(not_answered)?;
        if !response.status().is_success() {
            return Err(refusal(response).await);
        }
        let mut streaming = Streaming::new(request, response.into_body());
        streaming.read_first_token().await;
        Ok(streaming)
    }
}

fn not_answered(error: hyper_util::client::legacy::Error) -> Attempt {
    if error.is_connect() {
        return Attempt::NotSent(error.to_string());
    }
    Attempt::Ended {
        ending: Ending::Broken(error.to_string()),
        first_token_at: None,
    }
}

fn http_request(target: &Target, request: &PlannedRequest, left_ms: u64) -> Request<Full<Bytes>> {
    let body = json!({
        "model": target.model,
        "prompt": prompt(request),
        "max_tokens": request.tokens,
        "stream": true,
    });
    let mut builder = Request::post(format!("http://{}/v1/completions", target.address))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID_HEADER, marker(request))
        .header(DEADLINE_HEADER, left_ms);
    if let Some(key) = &target.api_key {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    builder
        .body(Full::from(body.to_string()))
        .expect("addresses and keys form a valid request")
}

/// The word by which the stand-ins' records follow `request`.
pub fn marker(request: &PlannedRequest) -> String {
    format!("load-{}", request.id)
}

/// A prompt whose beginning is the adapter's own and whose end is the request's own.
fn prompt(request: &PlannedRequest) -> String {
    let mut words = vec![format!("notes-{}", request.adapter)];
    words.extend((2..request.prompt_tokens).map(|word| format!("w{}", word % 100)));
    words.push(format!("marker:{}", marker(request)));
    words.join(" ")
}

async fn refusal(response: Response<Incoming>) -> Attempt {
    let not_run = response.headers().contains_key(NOT_RUN_HEADER);
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let error = serde_json::from_slice::<Value>(&body).unwrap_or_default()["error"].take();
    let reason = serde_json::from_value(error["type"].clone());
    let fallback = Refusal::not_run(RefusalReason::Unavailable, status.to_string());
    Attempt::Refused {
        reason: reason.unwrap_or(fallback.reason),
        not_run: not_run || error["not_run"].as_bool().unwrap_or(false),
        retry_at_unix_ms: error["retry_at_unix_ms"].as_u64().map(UnixMs),
    }
}
