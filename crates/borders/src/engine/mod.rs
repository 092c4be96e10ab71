//! The interface to model engines.

mod sse_reader;
#[cfg(test)]
mod tests;
mod vllm_engine;

pub use vllm_engine::{FENCING_HEADER, REQUEST_ID_HEADER, VllmEngine};

use async_trait::async_trait;
use displaydoc::Display;
use monsoonspread_model::{CopyName, Epoch, LoadReport};
use thiserror::Error;
use tokio::sync::mpsc;

/// A generation to run on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerateRequest {
    /// The adapter copy to run on.
    pub copy: CopyName,
    /// HTTP path of the API: `/v1/chat/completions` or `/v1/completions`.
    pub path: String,
    /// The caller's JSON body; the engine client overwrites `model`, `stream` and `priority`.
    pub body: serde_json::Value,
    /// Priority of the request; higher priorities are served first.
    pub priority: u8,
    /// Identifies the request in the engine's logs.
    pub request_id: String,
}

/// An event of a running generation.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerationEvent {
    /// One chunk of the answer: a JSON object of the streaming API with one or more tokens.
    Chunk(serde_json::Value),
    /// The answer is complete; the last event.
    Done,
    /// The stream failed before the answer was complete; the last event.
    Broken(String),
}

/// A running generation; dropping it cancels it on the engine.
#[derive(Debug)]
pub struct Generation {
    /// The events of the generation.
    pub events: mpsc::Receiver<GenerationEvent>,
}

/// Why a generation did not start.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum EngineError {
    /// no connection to the engine: {0}
    Unreachable(String),
    /// the engine does not hold copy "{0}"
    CopyMissing(String),
    /// the engine refused before running: {0}
    Refused(String),
    /// the engine failed after the request was sent: {0}
    Broken(String),
}

/// Why an order failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum OrderError {
    /// no connection to the engine: {0}
    Unreachable(String),
    /// the engine has seen a higher fencing number than {0}
    Fenced(Epoch),
    /// the engine could not carry out the order: {0}
    Failed(String),
    /// the answer to the order was lost: {0}
    AnswerLost(String),
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Loads an adapter under the name of `copy`, with fencing number `epoch`.
    async fn load(&self, copy: &CopyName, epoch: Epoch) -> Result<(), OrderError>;

    /// Unloads a copy, with fencing number `epoch`. It is not an error if the copy is not loaded.
    async fn unload(&self, copy: &CopyName, epoch: Epoch) -> Result<(), OrderError>;

    /// Announces a fencing number to the engine without any other order.
    async fn fence(&self, epoch: Epoch) -> Result<(), OrderError>;

    /// Reads the engine's load report, which lags behind its actual load.
    async fn report(&self) -> Result<LoadReport, OrderError>;

    /// Starts a generation; the engine always streams it.
    async fn generate(&self, request: GenerateRequest) -> Result<Generation, EngineError>;
}
