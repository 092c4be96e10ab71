//! What a request says of itself.

use super::AdapterKey;

/// A piece of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptPart {
    /// Tells parts apart.
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
