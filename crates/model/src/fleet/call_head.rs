//! Request metadata that decides on scheduling and repetition.

use serde::{Deserialize, Serialize};

use super::{AdapterKey, PresentedKey};

/// A part of a prompt that other requests may have in common.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PromptPart {
    /// Identifies the part.
    pub id: u64,
    /// Length of the part.
    pub tokens: u32,
}

/// The leading parts of a prompt that other requests may have in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrompt {
    /// Id of the last shared part, which also identifies the parts before it.
    pub id: u64,
    /// Total length of the shared parts.
    pub tokens: u32,
}

/// Metadata from the headers of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The client's id for this attempt, unchanged.
    pub request_id: String,
    /// How long the client still waits, in milliseconds; `None` if not given.
    pub remaining_ms: Option<u64>,
    /// The adapter or base model to run on; `None` for a plain service.
    pub adapter: Option<AdapterKey>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Parts of the prompt, in order; the last belongs to this request alone.
    pub prompt_parts: Vec<PromptPart>,
    /// The key that identifies the caller.
    pub key: PresentedKey,
    /// The last event that the client received from an earlier run; `None` to start over.
    pub resume_after: Option<u64>,
}

impl CallHead {
    /// Returns all parts of the prompt except the last, which is not shared. `None` if there are
    /// fewer than two parts.
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
