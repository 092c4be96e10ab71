//! What a request says of itself.

use serde::{Deserialize, Serialize};

use super::AdapterKey;

/// A piece of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PromptPart {
    /// Tells parts apart.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The leading parts of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrompt {
    /// Tells apart shared prompts; the last of the shared parts stands for those before it.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request says of itself, besides its route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The client's id of this attempt, as sent.
    pub request_id: String,
    /// How long the client waits from now, in milliseconds; `None` when it doesn't say.
    pub remaining_ms: Option<u64>,
    /// What it runs on; `None` for a plain service.
    pub adapter: Option<AdapterKey>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// Leading parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The last event that the client has of an earlier run.
    pub resume_after: Option<u64>,
}

impl CallHead {
    /// The parts of the prompt before the last, which is the request's own.
    ///
    /// ```
    /// use monsoonspread_model::fleet::{CallHead, PromptPart};
    ///
    /// let parts = [(7, 800), (9, 400), (11, 250)];
    /// let head = CallHead {
    ///     prompt_parts: parts.map(|(id, tokens)| PromptPart { id, tokens }).to_vec(),
    ///     ..CallHead::default()
    /// };
    /// assert_eq!(head.shared_prompt().map(|shared| (shared.id, shared.tokens)), Some((9, 1_200)));
    /// ```
    pub fn shared_prompt(&self) -> Option<SharedPrompt> {
        let (_last, shared) = self.prompt_parts.split_last()?;
        Some(SharedPrompt {
            id: shared.last()?.id,
            tokens: shared.iter().map(|part| part.tokens).sum(),
        })
    }
}
