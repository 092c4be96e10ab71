//! Client for engines with the OpenAI API and vLLM's endpoints for LoRA adapters.

use std::net::SocketAddr;

use async_trait::async_trait;
use hyper::StatusCode;
use monsoonspread_model::{CopyName, Epoch, LoadReport};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::sse_reader::read_events;
use super::{Engine, EngineError, GenerateRequest, Generation, OrderError};
use crate::http::{self, HttpClient, Reply, SendError};

/// Header that carries the fencing number of an order.
pub const FENCING_HEADER: &str = "x-fencing-number";
/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const LOAD_TIMEOUT_MS: u64 = 15_000;
const ORDER_TIMEOUT_MS: u64 = 2_000;
const REPORT_TIMEOUT_MS: u64 = 1_000;
const HEADERS_TIMEOUT_MS: u64 = 30_000;
const EVENTS_CAPACITY: usize = 64;

/// Client of one engine at a fixed address.
#[derive(Clone, Debug)]
pub struct VllmEngine {
    client: HttpClient,
    address: SocketAddr,
    load_timeout_ms: u64,
}

impl VllmEngine {
    /// Creates a client of the engine at `address`.
    ///
    /// ```
    /// # use monsoonspread_borders::engine::VllmEngine;
    /// let engine = VllmEngine::new("127.0.0.1:9200".parse().unwrap());
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(),
            address,
            load_timeout_ms: LOAD_TIMEOUT_MS,
        }
    }

    /// Sends `name` as the calling instance in every request.
    ///
    /// ```
    /// # use monsoonspread_borders::engine::VllmEngine;
    /// let client = VllmEngine::new("127.0.0.1:9200".parse().unwrap());
    /// let client = client.with_peer_name("entry-1");
    /// ```
    #[must_use]
    pub fn with_peer_name(mut self, name: &str) -> Self {
        self.client = self.client.with_peer_name(name);
        self
    }

    /// Sets the time after which the answer to a load order counts as lost.
    ///
    /// ```
    /// # use monsoonspread_borders::engine::VllmEngine;
    /// let engine = VllmEngine::new("127.0.0.1:9200".parse().unwrap());
    /// let engine = engine.with_load_timeout_ms(5_000);
    /// ```
    #[must_use]
    pub fn with_load_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.load_timeout_ms = timeout_ms;
        self
    }

    async fn order(
        &self,
        path: &str,
        body: &Value,
        epoch: Epoch,
        timeout_ms: u64,
    ) -> Result<Reply, OrderError> {
        let request = self
            .client
            .post_json(self.address, path)
            .header(FENCING_HEADER, epoch.0);
        let reply = self
            .client
            .send(request, body.to_string(), timeout_ms)
            .await?;
        match reply.status {
            StatusCode::CONFLICT => Err(OrderError::Fenced(epoch)),
            _ => Ok(reply),
        }
    }
}

#[async_trait]
impl Engine for VllmEngine {
    async fn load(&self, copy: &CopyName, epoch: Epoch) -> Result<(), OrderError> {
        let body = json!({
            "lora_name": copy.to_string(),
            "lora_path": copy.adapter.to_string(),
        });
        let reply = self
            .order("/v1/load_lora_adapter", &body, epoch, self.load_timeout_ms)
            .await?;
        check_success(&reply)
    }

    async fn unload(&self, copy: &CopyName, epoch: Epoch) -> Result<(), OrderError> {
        let body = json!({ "lora_name": copy.to_string() });
        let reply = self
            .order("/v1/unload_lora_adapter", &body, epoch, ORDER_TIMEOUT_MS)
            .await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(()),
            _ => check_success(&reply),
        }
    }

    async fn fence(&self, epoch: Epoch) -> Result<(), OrderError> {
        let reply = self
            .order("/v1/fence", &json!({}), epoch, ORDER_TIMEOUT_MS)
            .await?;
        check_success(&reply)
    }

    async fn report(&self) -> Result<LoadReport, OrderError> {
        let request = self.client.request("GET", self.address, "/load");
        let reply = self.client.send(request, "", REPORT_TIMEOUT_MS).await?;
        check_success(&reply)?;
        serde_json::from_slice(&reply.body).map_err(|error| OrderError::Failed(error.to_string()))
    }

    async fn generate(&self, request: GenerateRequest) -> Result<Generation, EngineError> {
        let builder = self
            .client
            .post_json(self.address, &request.path)
            .header(REQUEST_ID_HEADER, &request.request_id);
        let response = self
            .client
            .start(builder, request_body(&request)?, HEADERS_TIMEOUT_MS)
            .await?;
        if response.status() != StatusCode::OK {
            let reply = http::read_reply(response, http::MAX_REPLY_BYTES).await?;
            return Err(response_error(&reply, &request.copy));
        }
        let (sender, events) = mpsc::channel(EVENTS_CAPACITY);
        tokio::spawn(read_events(response.into_body(), sender));
        Ok(Generation { events })
    }
}

impl From<SendError> for OrderError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(text) => Self::Unreachable(text),
            SendError::AnswerLost(text) => Self::AnswerLost(text),
        }
    }
}

impl From<SendError> for EngineError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(text) => Self::Unreachable(text),
            SendError::AnswerLost(text) => Self::Broken(text),
        }
    }
}

fn check_success(reply: &Reply) -> Result<(), OrderError> {
    if reply.status.is_success() {
        Ok(())
    } else {
        Err(OrderError::Failed(reply.summary()))
    }
}

/// Builds the request body: the caller's, with `model`, `stream` and `priority` overwritten.
fn request_body(request: &GenerateRequest) -> Result<String, EngineError> {
    let Value::Object(mut body) = request.body.clone() else {
        return Err(EngineError::Refused(
            "the body is not a JSON object".to_owned(),
        ));
    };
    // In vLLM a lower number is a higher priority.
    let engine_priority = u8::MAX - request.priority;
    body.insert("model".to_owned(), request.copy.to_string().into());
    body.insert("stream".to_owned(), true.into());
    body.insert("priority".to_owned(), engine_priority.into());
    Ok(Value::Object(body).to_string())
}

fn response_error(reply: &Reply, copy: &CopyName) -> EngineError {
    if reply.status == StatusCode::NOT_FOUND {
        return EngineError::CopyMissing(copy.to_string());
    }
    // The engine reports client errors before it runs anything.
    if reply.reports_not_run() || reply.status.is_client_error() {
        return EngineError::Refused(reply.summary());
    }
    EngineError::Broken(reply.summary())
}
