//! Generations: dispatched, and answered as a whole or as a stream.

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
use crate::http::{self, AnswerBody};

/// Names the adapter version that answered.
const ADAPTER_HEADER: HeaderName = HeaderName::from_static("x-monsoonspread-adapter");
/// Names the engine that answered.
const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("x-monsoonspread-upstream");
/// A caller that takes no piece for this long is taken as gone.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(30);
/// Pieces that may wait for the caller's connection.
const STREAM_QUEUE: usize = 16;

/// Dispatches generations and answers them.
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
            streamed(answer, exchange.permit.take())
        } else {
            whole(answer, call.api).await?
        };
        add_headers(&mut response, &resolved.adapter, &upstream);
        Ok(Step::Answer(response))
    }
}

async fn whole(mut answer: Answer, api: Api) -> Result<Response<AnswerBody>, Refusal> {
    let mut assembler = Assembler::new(api == Api::Chat);
    while let Some(piece) = answer.next().await {
        if let AnswerEvent::Chunk(chunk) = piece {
            assembler.push(&chunk);
        }
    }
    answer.result().await?;
    Ok(http::json(StatusCode::OK, &assembler.finish()))
}

fn streamed(answer: Answer, permit: Option<AdmissionPermit>) -> Response<AnswerBody> {
    let (sender, pieces) = mpsc::channel(STREAM_QUEUE);
    tokio::spawn(async move {
        forward(answer, &sender).await;
        drop(permit);
    });
    let mut response = Response::new(http::stream(pieces));
    http::sse_headers(&mut response);
    response
}

/// Forwards an answer until it ends or the caller goes away.
async fn forward(mut answer: Answer, caller: &mpsc::Sender<Bytes>) {
    loop {
        let piece = tokio::select! {
            piece = answer.next() => piece,
            () = caller.closed() => return,
        };
        let Some(piece) = piece else {
            break;
        };
        let AnswerEvent::Chunk(chunk) = piece else {
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

fn add_headers(response: &mut Response<AnswerBody>, adapter: &AdapterRef, upstream: &UpstreamName) {
    let headers = response.headers_mut();
    if let Ok(adapter) = HeaderValue::from_str(&adapter.to_string()) {
        headers.insert(ADAPTER_HEADER, adapter);
    }
    if let Ok(upstream) = HeaderValue::from_str(upstream.as_str()) {
        headers.insert(UPSTREAM_HEADER, upstream);
    }
}
