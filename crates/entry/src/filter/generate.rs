//! Dispatches generation requests and sends the complete or streamed response.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use monsoonspread_decisions::dispatch::NewRequest;
use monsoonspread_model::bundle::Resolved;
use monsoonspread_model::{AdapterRef, Fingerprint, Refusal, RefusalReason, UpstreamName};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::admission::AdmissionPermit;
use super::{Api, Exchange, Filter, GenerateCall, Step};
use crate::answer::{Assembler, DONE, error_event, event};
use crate::controller::dispatch::{Answer, AnswerEvent, DispatchHandle};
use crate::http::{self, ResponseBody};

/// Response header with the adapter and version that generated the response.
const ADAPTER_HEADER: HeaderName = HeaderName::from_static("x-monsoonspread-adapter");
/// Response header with the engine that generated the response.
const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("x-monsoonspread-upstream");
/// Maximum time a caller may take to accept a chunk before the stream is cancelled.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of chunks buffered per caller connection.
const STREAM_QUEUE: usize = 16;

/// Dispatches generation requests and sends their responses.
pub struct GenerateFilter {
    dispatch: DispatchHandle,
}

impl GenerateFilter {
    /// Creates the filter.
    pub fn new(dispatch: DispatchHandle) -> Self {
        Self { dispatch }
    }

    fn submit(
        &self,
        exchange: &Exchange,
        call: &GenerateCall,
        resolved: &Resolved,
    ) -> Result<Answer, Refusal> {
        let request = NewRequest {
            request: self.dispatch.next_request(),
            adapter: resolved.adapter.clone(),
            class: call.class(),
            priority: resolved.priority,
            caller: exchange.caller()?.clone(),
            tokens: call.tokens,
            deadline_unix_ms: exchange.deadline_unix_ms,
            bundle_version: resolved.bundle_version,
            fingerprint: Fingerprint::of([
                resolved.adapter.to_string().as_bytes(),
                exchange.body.as_ref(),
            ]),
            resumable: call.is_resumable(),
        };
        let call = GenerateCall {
            priority: resolved.priority,
            ..call.clone()
        };
        Ok(self.dispatch.submit(request, call))
    }
}

#[async_trait]
impl Filter for GenerateFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let (Some(call), Some(resolved)) = (exchange.call.take(), exchange.resolved.take()) else {
            return Ok(Step::Next);
        };
        let mut answer = self.submit(exchange, &call, &resolved)?;
        let Some(AnswerEvent::Started(upstream)) = answer.next().await else {
            answer.result().await?;
            let message = "the answer ended before it began";
            return Err(Refusal::may_have_run(
                RefusalReason::UpstreamFailed,
                message,
            ));
        };
        let mut response = if call.stream {
            streaming_response(answer, exchange.permit.take())
        } else {
            complete_response(answer, call.api).await?
        };
        add_headers(&mut response, &resolved.adapter, &upstream);
        Ok(Step::Answer(response))
    }
}

async fn complete_response(
    mut answer: Answer,
    api: Api,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut assembler = Assembler::new(api == Api::Chat);
    while let Some(answer_event) = answer.next().await {
        if let AnswerEvent::Chunk(chunk) = answer_event {
            assembler.push(&chunk);
        }
    }
    answer.result().await?;
    Ok(http::json(StatusCode::OK, &assembler.finish()))
}

fn streaming_response(answer: Answer, permit: Option<AdmissionPermit>) -> Response<ResponseBody> {
    let (sender, chunks) = mpsc::channel(STREAM_QUEUE);
    tokio::spawn(async move {
        forward(answer, &sender).await;
        drop(permit);
    });
    let mut response = Response::new(http::stream(chunks));
    http::sse_headers(&mut response);
    response
}

/// Forwards a response until it ends, the caller disconnects, or the caller stops reading.
async fn forward(mut answer: Answer, caller: &mpsc::Sender<Bytes>) {
    loop {
        let next_event = tokio::select! {
            next_event = answer.next() => next_event,
            () = caller.closed() => return,
        };
        let Some(answer_event) = next_event else {
            break;
        };
        let AnswerEvent::Chunk(chunk) = answer_event else {
            continue;
        };
        let sent = timeout(SLOW_READER_TIMEOUT, caller.send(event(&chunk)));
        if !matches!(sent.await, Ok(Ok(()))) {
            return;
        }
    }
    let last = match answer.result().await {
        Ok(()) => DONE,
        Err(refusal) => error_event(&refusal),
    };
    let _ = timeout(SLOW_READER_TIMEOUT, caller.send(last)).await;
}

fn add_headers(
    response: &mut Response<ResponseBody>,
    adapter: &AdapterRef,
    upstream: &UpstreamName,
) {
    let headers = response.headers_mut();
    if let Ok(adapter) = HeaderValue::from_str(&adapter.to_string()) {
        headers.insert(ADAPTER_HEADER, adapter);
    }
    if let Ok(upstream) = HeaderValue::from_str(upstream.as_str()) {
        headers.insert(UPSTREAM_HEADER, upstream);
    }
}
