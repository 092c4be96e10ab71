//! Requests on an engine.

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::prompt::Prompt;

/// What goes to the caller of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Piece {
    /// Text of one or more tokens.
    Text(String),
    /// The answer is whole.
    Done {
        /// Tokens generated.
        tokens: u32,
    },
    /// The stream is cut.
    Cut(&'static str),
}

/// A request as it arrives.
#[derive(Debug)]
pub(super) struct NewRequest {
    /// Name of the copy to run on.
    pub(super) model: String,
    /// Identity sent by the caller.
    pub(super) request_id: String,
    /// What to answer.
    pub(super) prompt: Prompt,
    /// Lower goes first.
    pub(super) priority: i64,
    /// Where the pieces go.
    pub(super) pieces: mpsc::UnboundedSender<Piece>,
}

/// Whether a request was taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// It waits or runs.
    Taken,
    /// The engine does not hold the copy.
    CopyMissing,
    /// Refused before running.
    Refused(&'static str),
}

/// A request that was taken in.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) model: String,
    pub(super) request_id: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) done_tokens: u32,
    continued_tokens: u32,
    pub(super) pieces: mpsc::UnboundedSender<Piece>,
    pub(super) arrived_at: Instant,
    pub(super) cut_after: Option<u32>,
    text: String,
}

impl Sequence {
    pub(super) fn new(request: NewRequest, now: Instant) -> Self {
        Self {
            model: request.model,
            request_id: request.request_id,
            prompt: request.prompt.text,
            max_tokens: request.prompt.max_tokens.max(1),
            done_tokens: 0,
            continued_tokens: request.prompt.continued_tokens,
            pieces: request.pieces,
            arrived_at: now,
            cut_after: None,
            text: String::new(),
        }
    }

    /// Whether nobody waits for the answer any more.
    pub(super) fn is_cancelled(&self) -> bool {
        self.pieces.is_closed()
    }

    /// Whether every token was generated.
    pub(super) fn is_done(&self) -> bool {
        self.done_tokens >= self.max_tokens
    }

    /// Whether the last generated token ends the stream, whole or cut.
    pub(super) fn ends(&self) -> bool {
        self.is_done() || self.cut_after == Some(self.done_tokens)
    }

    /// Generates one token; the first of an answer names the adapter version.
    pub(super) fn generate(&mut self, tokens_per_chunk: u32) {
        let number = self.continued_tokens + self.done_tokens;
        let is_full = self.done_tokens.is_multiple_of(tokens_per_chunk.max(1));
        self.done_tokens += 1;
        if number == 0 {
            self.text.push_str(adapter_of(&self.model));
            self.text.push(':');
        } else {
            self.text.push(' ');
            self.text.push_str(&number.to_string());
        }
        if is_full || self.is_done() {
            let text = std::mem::take(&mut self.text);
            let _ = self.pieces.send(Piece::Text(text));
        }
        if self.is_done() {
            let tokens = self.done_tokens;
            let _ = self.pieces.send(Piece::Done { tokens });
        }
    }

    /// Cuts the stream.
    pub(super) fn cut(self, why: &'static str) {
        let _ = self.pieces.send(Piece::Cut(why));
    }
}

/// The adapter version in a copy's name.
pub(super) fn adapter_of(model: &str) -> &str {
    model
        .rsplit_once(".e")
        .map_or(model, |(adapter, _)| adapter)
}
