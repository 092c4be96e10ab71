//! Answers in the OpenAI API's shapes.

use bytes::Bytes;
use serde_json::{Value, json};

use super::prefix_cache::CHARS_PER_TOKEN;
use super::prompt::Prompt;

/// How the answer to one request is written.
#[derive(Clone, Debug)]
pub(super) struct ChunkFormat {
    is_chat: bool,
    id: String,
    model: String,
    /// The start of every event, up to the text.
    head: String,
    prompt_tokens: usize,
}

impl ChunkFormat {
    pub(super) fn new(path: &str, id: &str, model: &str, prompt: &Prompt) -> Self {
        let is_chat = path == "/v1/chat/completions";
        let object = if is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let choice = if is_chat {
            "{\"index\":0,\"delta\":{\"content\":"
        } else {
            "{\"index\":0,\"text\":"
        };
        let id = json!(id).to_string();
        let model = json!(model).to_string();
        Self {
            is_chat,
            head: format!(
                "data: {{\"id\":{id},\"object\":\"{object}\",\"model\":{model},\"choices\":[{choice}"
            ),
            id,
            model,
            prompt_tokens: prompt.text.len().div_ceil(CHARS_PER_TOKEN),
        }
    }

    /// One event with text.
    pub(super) fn chunk(&self, text: &str) -> Bytes {
        let text = json!(text).to_string();
        let close = if self.is_chat { "}" } else { "" };
        let event = format!("{}{text}{close},\"finish_reason\":null}}]}}\n\n", self.head);
        Bytes::from(event)
    }

    /// The events that end an answer of `tokens` tokens.
    pub(super) fn last(&self, tokens: u32) -> Bytes {
        let close = if self.is_chat { "}" } else { "" };
        let event = format!(
            "{}\"\"{close},\"finish_reason\":\"length\"}}],\
             \"usage\":{}}}\n\ndata: [DONE]\n\n",
            self.head,
            self.usage(tokens)
        );
        Bytes::from(event)
    }

    fn usage(&self, tokens: u32) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens as usize,
        })
    }

    /// A whole answer.
    pub(super) fn whole(&self, text: &str, tokens: u32) -> Value {
        let plain = |json_text: &str| serde_json::from_str::<Value>(json_text).unwrap_or_default();
        let choice = if self.is_chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        json!({
            "id": plain(&self.id),
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "model": plain(&self.model),
            "choices": [choice],
            "usage": self.usage(tokens),
        })
    }
}
