//! Model engines.

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
    /// The copy to run on.
    pub copy: CopyName,
    /// HTTP path of the API called: `/v1/chat/completions` or `/v1/completions`.
    pub path: String,
    /// The caller's JSON body; the client sets `model`, `stream` and `priority` in it.
    pub body: serde_json::Value,
    /// The request's priority, higher goes first.
    pub priority: u8,
    /// Identity of the request in the engine's logs.
    pub request_id: String,
}

/// What arrives while an engine generates.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerationEvent {
    /// One chunk of the answer, as the API's streaming JSON object; carries one or more tokens.
    Chunk(serde_json::Value),
    /// The answer is whole; nothing follows.
    Done,
    /// The stream broke before the answer was whole; nothing follows.
    Broken(String),
}

/// A generation that runs; dropping it cancels it on the engine.
#[derive(Debug)]
pub struct Generation {
    /// What arrives.
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

/// Why an order was not carried out.
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

/// One model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Loads an adapter under the copy's name; the order carries `epoch`.
    async fn load(&self, copy: &CopyName, epoch: Epoch) -> Result<(), OrderError>;

    /// Unloads a copy; the order carries `epoch`. A copy that is not there is no error.
    async fn unload(&self, copy: &CopyName, epoch: Epoch) -> Result<(), OrderError>;

    /// Gives the engine a fencing number without asking for anything else.
    async fn fence(&self, epoch: Epoch) -> Result<(), OrderError>;

    /// Reads the engine's load report, which lags.
    async fn report(&self) -> Result<LoadReport, OrderError>;

    /// Starts a generation; it is always streamed from the engine.
    async fn generate(&self, request: GenerateRequest) -> Result<Generation, EngineError>;
}
