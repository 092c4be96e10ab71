//! Parsed generation requests.

use monsoonspread_model::{ModelSelector, Refusal, RefusalReason, RequestClass};
use serde_json::Value;

/// Assumed number of generated tokens for a request without `max_tokens`.
const DEFAULT_TOKENS: u32 = 256;
/// Maximum number of tokens that a request may ask for.
const MAX_TOKENS: u64 = 1_000_000;

/// API of a generation request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// Chat completions.
    Chat,
    /// Text completions.
    Completions,
}

impl Api {
    /// Returns the path of the API, which is the same here and on the engines.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// Validated generation request.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerateCall {
    /// API of the request.
    pub api: Api,
    /// Requested adapter and version.
    pub model: ModelSelector,
    /// JSON object sent by the caller.
    pub body: Value,
    /// Whether to stream the response.
    pub stream: bool,
    /// Maximum number of tokens to generate, or the default if the caller sets none.
    pub tokens: u32,
    /// Priority; requests with higher values are served first.
    pub priority: u8,
}

impl GenerateCall {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// Returns a refusal for the first error found.
    ///
    /// ```
    /// # use monsoonspread_entry::filter::{Api, GenerateCall};
    /// let refusal = GenerateCall::parse(Api::Completions, b"{}").unwrap_err();
    /// assert_eq!(refusal.message, "field \"model\" is missing or not a text");
    /// ```
    pub fn parse(api: Api, body: &[u8]) -> Result<Self, Refusal> {
        let body: Value = serde_json::from_slice(body)
            .map_err(|error| bad_request(&format!("the body is not JSON: {error}")))?;
        if !body.is_object() {
            return Err(bad_request("the body is not a JSON object"));
        }
        let model = body["model"]
            .as_str()
            .ok_or_else(|| bad_request("field \"model\" is missing or not a text"))?
            .parse()
            .map_err(|error| bad_request(&format!("field \"model\" is wrong: {error}")))?;
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

    /// Returns the request class for the number of tokens.
    pub fn class(&self) -> RequestClass {
        RequestClass::of_tokens(self.tokens)
    }

    /// Whether a broken stream can be resumed on another engine from the tokens already received.
    pub fn is_resumable(&self) -> bool {
        let is_absent = |key: &str| self.body[key].is_null();
        let single_choice = self.body["n"].is_null() || self.body["n"] == 1;
        let text_input = self.api == Api::Chat || self.body["prompt"].is_string();
        single_choice
            && text_input
            && [
                "tools",
                "functions",
                "response_format",
                "logprobs",
                "echo",
                "best_of",
            ]
            .into_iter()
            .all(is_absent)
    }

    /// Returns the body for an engine. If the response is not streamed to the caller, usage is
    /// requested so that it can be part of the assembled response.
    pub fn engine_body(&self) -> Value {
        let mut body = self.body.clone();
        if !self.stream {
            body["stream_options"] = serde_json::json!({ "include_usage": true });
        }
        body
    }

    /// Returns the body that makes an engine continue after `text`, which consists of `tokens`
    /// tokens.
    pub fn resumed_body(&self, text: &str, tokens: u32) -> Value {
        let mut body = self.engine_body();
        let remaining = self.tokens.saturating_sub(tokens).max(1);
        for key in ["max_tokens", "max_completion_tokens"] {
            if !body[key].is_null() {
                body[key] = remaining.into();
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
    Err(bad_request(&format!(
        "field \"{field}\" is missing or has the wrong form"
    )))
}

fn boolean(body: &Value, key: &str) -> Result<bool, Refusal> {
    match &body[key] {
        Value::Null => Ok(false),
        Value::Bool(value) => Ok(*value),
        _ => Err(bad_request(&format!(
            "field \"{key}\" is not true or false"
        ))),
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
            bad_request(&format!(
                "field \"{key}\" is not a whole number from 1 to {MAX_TOKENS}"
            ))
        })
}

fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest, message)
}
