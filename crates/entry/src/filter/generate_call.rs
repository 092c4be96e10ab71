//! A caller's request for a generation.

use monsoonspread_model::{ModelSelector, Refusal, RefusalReason, RequestClass};
use serde_json::Value;

/// Tokens that a request without `max_tokens` is expected to generate.
const DEFAULT_TOKENS: u32 = 256;
/// Most tokens that a request may ask for.
const MAX_TOKENS: u64 = 1_000_000;

/// Which API a generation is asked for in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// Chat completions.
    Chat,
    /// Plain completions.
    Completions,
}

impl Api {
    /// The API's path, here and on the engines.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// A well-formed request for a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerateCall {
    /// The API.
    pub api: Api,
    /// The adapter asked for.
    pub model: ModelSelector,
    /// The caller's JSON object.
    pub body: Value,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Tokens that it is expected to generate.
    pub tokens: u32,
    /// The request's priority; higher goes first.
    pub priority: u8,
}

impl GenerateCall {
    /// Checks a body.
    ///
    /// # Errors
    ///
    /// Names the first thing that is wrong.
    ///
    /// ```
    /// # use monsoonspread_entry::filter::{Api, GenerateCall};
    /// let refusal = GenerateCall::parse(Api::Completions, b"{}").unwrap_err();
    /// assert_eq!(refusal.message, "field \"model\" is missing or not a text");
    /// ```
    pub fn parse(api: Api, body: &[u8]) -> Result<Self, Refusal> {
        let body: Value = serde_json::from_slice(body)
            .map_err(|error| wrong(&format!("the body is not JSON: {error}")))?;
        if !body.is_object() {
            return Err(wrong("the body is not a JSON object"));
        }
        let model = body["model"]
            .as_str()
            .ok_or_else(|| wrong("field \"model\" is missing or not a text"))?
            .parse()
            .map_err(|error| wrong(&format!("field \"model\" is wrong: {error}")))?;
        check_input(api, &body)?;
        Ok(Self {
            api,
            model,
            stream: boolean(&body, "stream")?,
            tokens: tokens(&body)?,
            priority: 0,
            body,
        })
    }

    /// The request's class by the tokens it may generate.
    pub fn class(&self) -> RequestClass {
        RequestClass::of_tokens(self.tokens)
    }

    /// Whether a broken answer can go on from the tokens that arrived.
    pub fn is_resumable(&self) -> bool {
        let plain = |key: &str| self.body[key].is_null();
        let single = self.body["n"].is_null() || self.body["n"] == 1;
        let text = self.api == Api::Chat || self.body["prompt"].is_string();
        single
            && text
            && [
                "tools",
                "functions",
                "response_format",
                "logprobs",
                "echo",
                "best_of",
            ]
            .into_iter()
            .all(plain)
    }

    /// The body for an engine; its chunks end with the usage when the answer is to be whole.
    pub fn engine_body(&self) -> Value {
        let mut body = self.body.clone();
        if !self.stream {
            body["stream_options"] = serde_json::json!({ "include_usage": true });
        }
        body
    }

    /// The body that makes an engine go on after `text`, which took `tokens` tokens.
    pub fn resumed_body(&self, text: &str, tokens: u32) -> Value {
        let mut body = self.engine_body();
        let left = self.tokens.saturating_sub(tokens).max(1);
        for key in ["max_tokens", "max_completion_tokens"] {
            if !body[key].is_null() {
                body[key] = left.into();
            }
        }
        match self.api {
            Api::Completions => {
                let prompt = body["prompt"].as_str().unwrap_or_default();
                body["prompt"] = format!("{prompt}{text}").into();
            }
            Api::Chat => {
                let partial = serde_json::json!({ "role": "assistant", "content": text });
                if let Some(messages) = body["messages"].as_array_mut() {
                    messages.push(partial);
                }
                body["continue_final_message"] = true.into();
                body["add_generation_prompt"] = false.into();
            }
        }
        body
    }
}

fn check_input(api: Api, body: &Value) -> Result<(), Refusal> {
    let (field, is_well_formed) = match api {
        Api::Chat => {
            let messages = body["messages"].as_array();
            ("messages", messages.is_some_and(|list| !list.is_empty()))
        }
        Api::Completions => {
            let prompt = &body["prompt"];
            ("prompt", prompt.is_string() || prompt.is_array())
        }
    };
    if is_well_formed {
        return Ok(());
    }
    Err(wrong(&format!(
        "field \"{field}\" is missing or has the wrong form"
    )))
}

fn boolean(body: &Value, key: &str) -> Result<bool, Refusal> {
    match &body[key] {
        Value::Null => Ok(false),
        Value::Bool(value) => Ok(*value),
        _ => Err(wrong(&format!("field \"{key}\" is not true or false"))),
    }
}

fn tokens(body: &Value) -> Result<u32, Refusal> {
    let declared = ["max_completion_tokens", "max_tokens"]
        .into_iter()
        .find(|key| !body[*key].is_null());
    let Some(key) = declared else {
        return Ok(DEFAULT_TOKENS);
    };
    body[key]
        .as_u64()
        .filter(|tokens| (1..=MAX_TOKENS).contains(tokens))
        .map(|tokens| tokens as u32)
        .ok_or_else(|| {
            wrong(&format!(
                "field \"{key}\" is not a whole number from 1 to {MAX_TOKENS}"
            ))
        })
}

fn wrong(message: &str) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest, message)
}
