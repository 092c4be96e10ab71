//! Task that runs one generation on an engine.

use std::sync::Arc;
use std::time::Instant;

use monsoonspread_borders::{Engine, EngineError, GenerateRequest, GenerationEvent};
use monsoonspread_decisions::dispatch::{AttemptEnd, AttemptId, EndKind};
use monsoonspread_model::message::RequestId;
use monsoonspread_model::{CopyName, UpstreamName};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use super::command::DispatchCommand;
use super::{AnswerEvent, DispatchHandle};
use crate::event::Event;

/// Inputs of one generation.
pub(super) struct GenerationJob {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
    pub(super) upstream: UpstreamName,
    pub(super) copy: CopyName,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) generate: GenerateRequest,
    /// Tokens that the caller received from earlier generations.
    pub(super) earlier_tokens: u32,
    pub(super) chosen: oneshot::Receiver<()>,
    pub(super) answer_events: mpsc::Sender<AnswerEvent>,
    pub(super) dispatch: DispatchHandle,
}

/// State of a running generation.
pub(super) struct Generation {
    job: GenerationJob,
    expected_model: String,
    public_model: String,
    /// Chunks received before the first token; sent once this generation is chosen.
    buffered_chunks: Vec<Value>,
    is_chosen: bool,
    text: String,
    tokens: u32,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
}

/// The caller disconnected or another generation was chosen.
struct Cancelled;

impl Generation {
    pub(super) fn new(job: GenerationJob) -> Self {
        Self {
            expected_model: job.copy.to_string(),
            public_model: job.copy.adapter.to_string(),
            job,
            buffered_chunks: Vec::new(),
            is_chosen: false,
            text: String::new(),
            tokens: 0,
            first_token_at: None,
            last_token_at: None,
        }
    }

    /// Runs the generation and reports its end; a cancelled generation reports nothing.
    pub(super) async fn run(mut self) {
        let Ok(kind) = self.generate().await else {
            return;
        };
        let end = AttemptEnd {
            kind,
            tokens: self.tokens,
            token_gap_us: self.token_gap_us(),
        };
        self.job.dispatch.enqueue(DispatchCommand::Ended {
            request: self.job.request,
            attempt: self.job.attempt,
            end,
            text: self.text,
        });
    }

    async fn generate(&mut self) -> Result<EndKind, Cancelled> {
        let started = self.job.engine.generate(self.job.generate.clone()).await;
        let mut generation = match started {
            Ok(generation) => generation,
            Err(error) => return Ok(self.start_failure(&error)),
        };
        loop {
            match generation.events.recv().await {
                Some(GenerationEvent::Chunk(chunk)) => {
                    if let Some(kind) = self.on_chunk(chunk).await? {
                        return Ok(kind);
                    }
                }
                Some(GenerationEvent::Done) => {
                    self.wait_until_chosen().await?;
                    return Ok(EndKind::Done);
                }
                Some(GenerationEvent::Broken(error)) => return Ok(self.on_broken_stream(&error)),
                None => return Ok(self.on_broken_stream("the stream ended early")),
            }
        }
    }

    fn start_failure(&self, error: &EngineError) -> EndKind {
        match error {
            EngineError::Unreachable(_) => EndKind::Unreachable,
            EngineError::CopyMissing(_) => EndKind::CopyMissing,
            EngineError::Refused(_) => EndKind::Refused,
            EngineError::Broken(error) => self.on_broken_stream(error),
        }
    }

    fn on_broken_stream(&self, error: &str) -> EndKind {
        let upstream = &self.job.upstream;
        Event::StreamBroken { upstream, error }.log();
        EndKind::Broken
    }

    async fn on_chunk(&mut self, mut chunk: Value) -> Result<Option<EndKind>, Cancelled> {
        if !chunk["error"].is_null() {
            return Ok(Some(self.on_broken_stream("the engine sent an error")));
        }
        if chunk["model"] != self.expected_model.as_str() {
            Event::WrongAdapter {
                upstream: &self.job.upstream,
                expected: &self.expected_model,
            }
            .log();
            return Ok(Some(EndKind::WrongAdapter));
        }
        chunk["model"] = self.public_model.as_str().into();
        chunk["id"] = self.job.generate.request_id.as_str().into();
        self.adjust_usage(&mut chunk);
        let has_text = self.count_tokens(&chunk);
        let finished = chunk["choices"]
            .as_array()
            .into_iter()
            .flatten()
            .any(|choice| !choice["finish_reason"].is_null());
        if !self.is_chosen && !has_text && !finished {
            self.buffered_chunks.push(chunk);
            return Ok(None);
        }
        self.wait_until_chosen().await?;
        self.send(AnswerEvent::Chunk(chunk)).await?;
        Ok(None)
    }

    /// Reports the first token, waits until this generation is chosen and sends the buffered
    /// chunks.
    async fn wait_until_chosen(&mut self) -> Result<(), Cancelled> {
        if self.is_chosen {
            return Ok(());
        }
        self.job.dispatch.enqueue(DispatchCommand::FirstToken {
            request: self.job.request,
            attempt: self.job.attempt,
        });
        (&mut self.job.chosen).await.map_err(|_| Cancelled)?;
        self.is_chosen = true;
        self.send(AnswerEvent::Started(self.job.upstream.clone()))
            .await?;
        for chunk in std::mem::take(&mut self.buffered_chunks) {
            self.send(AnswerEvent::Chunk(chunk)).await?;
        }
        Ok(())
    }

    async fn send(&self, event: AnswerEvent) -> Result<(), Cancelled> {
        self.job
            .answer_events
            .send(event)
            .await
            .map_err(|_| Cancelled)
    }

    /// Counts the chunk as one token if it carries text or tool calls; returns whether it does.
    fn count_tokens(&mut self, chunk: &Value) -> bool {
        let length_before = self.text.len();
        let mut has_text = false;
        for choice in chunk["choices"].as_array().into_iter().flatten() {
            let text = [&choice["delta"]["content"], &choice["text"]]
                .into_iter()
                .find_map(Value::as_str)
                .unwrap_or_default();
            let has_tool_calls = !choice["delta"]["tool_calls"].is_null();
            has_text |= has_tool_calls || !text.is_empty();
            self.text.push_str(text);
        }
        debug_assert!(self.text.len() >= length_before);
        if has_text {
            let now = Instant::now();
            self.tokens += 1;
            self.first_token_at.get_or_insert(now);
            self.last_token_at = Some(now);
        }
        has_text
    }

    /// Moves the earlier tokens of a resumed generation from the prompt's usage to the
    /// completion's: the engine counted them as part of the prompt.
    fn adjust_usage(&self, chunk: &mut Value) {
        let before = u64::from(self.job.earlier_tokens);
        let Some(usage) = chunk.get_mut("usage").filter(|usage| usage.is_object()) else {
            return;
        };
        let prompt = usage["prompt_tokens"].as_u64().unwrap_or(0);
        let completion = usage["completion_tokens"].as_u64().unwrap_or(0);
        usage["prompt_tokens"] = json!(prompt.saturating_sub(before));
        usage["completion_tokens"] = json!(completion + before);
    }

    fn token_gap_us(&self) -> Option<u32> {
        let first = self.first_token_at?;
        let last = self.last_token_at?;
        let gaps = self.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let mean_us = last.duration_since(first).as_micros() / u128::from(gaps);
        u32::try_from(mean_us).ok()
    }
}
