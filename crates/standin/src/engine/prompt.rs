//! What an engine reads from the body of a request.

use serde_json::Value;

use super::sequence::adapter_of;

const DEFAULT_MAX_TOKENS: u64 = 64;

/// The part of a request's body that an engine heeds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Prompt {
    /// The text of `prompt` or of all `messages`.
    pub(super) text: String,
    /// Tokens to generate.
    pub(super) max_tokens: u32,
    /// Tokens of an earlier answer at the prompt's end, after which this one goes on.
    pub(super) continued_tokens: u32,
}

impl Prompt {
    /// Reads a body whose answer `model` generates.
    pub(super) fn of_body(body: &Value, model: &str) -> Self {
        let adapter = adapter_of(model);
        let continued = partial_answer(body).map(|text| tokens_of_answer(text, adapter));
        Self {
            text: text_of(body),
            max_tokens: max_tokens_of(body),
            continued_tokens: continued.unwrap_or(0),
        }
    }
}

fn messages(body: &Value) -> &[Value] {
    body["messages"].as_array().map_or(&[], Vec::as_slice)
}

fn text_of(body: &Value) -> String {
    if let Some(prompt) = body["prompt"].as_str() {
        return prompt.to_owned();
    }
    let texts = messages(body)
        .iter()
        .filter_map(|message| message["content"].as_str())
        .collect::<Vec<_>>();
    texts.join("\n")
}

fn max_tokens_of(body: &Value) -> u32 {
    let tokens = body["max_completion_tokens"]
        .as_u64()
        .or_else(|| body["max_tokens"].as_u64())
        .unwrap_or(DEFAULT_MAX_TOKENS);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// The text that the answer goes on after: a completion's prompt, or a chat's last message.
fn partial_answer(body: &Value) -> Option<&str> {
    if let Some(prompt) = body["prompt"].as_str() {
        return Some(prompt);
    }
    let goes_on = body["continue_final_message"].as_bool().unwrap_or(false);
    messages(body)
        .last()
        .filter(|_| goes_on)
        .and_then(|message| message["content"].as_str())
}

/// Tokens of the adapter's answer at the end of a text, 0 when there is none.
fn tokens_of_answer(text: &str, adapter: &str) -> u32 {
    let head = format!("{adapter}:");
    let Some(start) = text.rfind(&head) else {
        return 0;
    };
    let mut tokens = 1;
    for word in text[start + head.len()..].split_whitespace() {
        if word.parse() != Ok(tokens) {
            return 0;
        }
        tokens += 1;
    }
    tokens
}
