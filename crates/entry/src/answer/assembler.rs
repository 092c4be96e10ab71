//! Assembles a complete response from its streamed chunks.

use std::collections::BTreeMap;

use serde_json::{Map, Value, json};

/// Accumulated state of one choice.
#[derive(Default)]
struct Choice {
    text: String,
    role: Option<String>,
    finish_reason: Value,
}

/// Accumulates the chunks of a streamed response into one JSON object.
#[derive(Default)]
pub struct Assembler {
    chat: bool,
    header: Map<String, Value>,
    choices: BTreeMap<u64, Choice>,
    usage: Option<Value>,
}

impl Assembler {
    /// Creates an assembler for the chat API if `chat` is true, otherwise for the completions API.
    ///
    /// ```
    /// # use monsoonspread_entry::answer::Assembler;
    /// # use serde_json::json;
    /// let mut assembler = Assembler::new(false);
    /// assembler.push(&json!({"choices": [{"index": 0, "text": "a"}]}));
    /// assembler.push(&json!({"choices": [{"index": 0, "text": "b", "finish_reason": "stop"}]}));
    /// assert_eq!(assembler.finish()["choices"][0]["text"], "ab");
    /// ```
    pub fn new(chat: bool) -> Self {
        Self {
            chat,
            ..Self::default()
        }
    }

    /// Adds a chunk.
    pub fn push(&mut self, chunk: &Value) {
        for key in ["id", "created", "model", "system_fingerprint"] {
            if let Some(value) = chunk.get(key).filter(|value| !value.is_null()) {
                self.header.insert(key.to_owned(), value.clone());
            }
        }
        if let Some(usage) = chunk.get("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage.clone());
        }
        let choices = chunk["choices"].as_array();
        for choice in choices.into_iter().flatten() {
            self.push_choice(choice);
        }
    }

    /// Returns the assembled response.
    pub fn finish(self) -> Value {
        let chat = self.chat;
        let choices: Vec<Value> = self
            .choices
            .into_iter()
            .map(|(index, choice)| choice.into_json(index, chat))
            .collect();
        let object = if chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let mut response = self.header;
        response.insert("object".to_owned(), json!(object));
        response.insert("choices".to_owned(), Value::Array(choices));
        if let Some(usage) = self.usage {
            response.insert("usage".to_owned(), usage);
        }
        Value::Object(response)
    }

    fn push_choice(&mut self, part: &Value) {
        let index = part["index"].as_u64().unwrap_or(0);
        let choice = self.choices.entry(index).or_default();
        let text = if self.chat {
            &part["delta"]["content"]
        } else {
            &part["text"]
        };
        choice.text.push_str(text.as_str().unwrap_or_default());
        if let Some(role) = part["delta"]["role"].as_str() {
            choice.role = Some(role.to_owned());
        }
        if !part["finish_reason"].is_null() {
            choice.finish_reason = part["finish_reason"].clone();
        }
    }
}

impl Choice {
    fn into_json(self, index: u64, chat: bool) -> Value {
        if !chat {
            return json!({
                "index": index,
                "text": self.text,
                "finish_reason": self.finish_reason,
            });
        }
        let role = self.role.unwrap_or_else(|| "assistant".to_owned());
        json!({
            "index": index,
            "message": { "role": role, "content": self.text },
            "finish_reason": self.finish_reason,
        })
    }
}
