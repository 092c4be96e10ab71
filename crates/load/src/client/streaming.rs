//! Reading a streamed answer.

use std::time::Instant;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use crate::record::Ending;

/// Marks the end of a whole answer.
const DONE: &str = "[DONE]";

/// A streamed answer as far as it was read.
#[derive(Debug)]
pub struct Streaming {
    wanted_model: String,
    wanted_tokens: u32,
    /// When the first token came.
    pub first_token_at: Option<Instant>,
    tokens: u32,
}

impl Streaming {
    /// Expects `wanted_tokens` tokens from `wanted_model`, an adapter with its version.
    pub fn new(wanted_model: String, wanted_tokens: u32) -> Self {
        Self {
            wanted_model,
            wanted_tokens,
            first_token_at: None,
            tokens: 0,
        }
    }

    /// Reads `body` to its end, or to its first token when `until_first_token` is set.
    ///
    /// Returns how the answer ended, or nothing when it goes on.
    pub async fn read(
        &mut self,
        events: &mut (impl futures_util::Stream<Item = Result<String, String>> + Unpin),
        until_first_token: bool,
    ) -> Option<Ending> {
        while let Some(event) = events.next().await {
            let text = match event {
                Ok(text) => text,
                Err(error) => return Some(Ending::Broken(error)),
            };
            if text == DONE {
                return Some(self.end());
            }
            if let Some(ending) = self.chunk(&text) {
                return Some(ending);
            }
            if until_first_token && self.first_token_at.is_some() {
                return None;
            }
        }
        Some(Ending::Broken("the stream ended early".to_owned()))
    }

    fn chunk(&mut self, text: &str) -> Option<Ending> {
        let Ok(chunk) = serde_json::from_str::<Value>(text) else {
            return Some(Ending::Broken(format!("not JSON: {text}")));
        };
        if let Some(error) = chunk.get("error") {
            return Some(Ending::Broken(error.to_string()));
        }
        let model = chunk["model"].as_str().unwrap_or_default();
        if !self.is_wanted(model) {
            return Some(Ending::Wrong(format!("ran on {model}")));
        }
        let choice = &chunk["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        if text.is_some_and(|text| !text.is_empty()) {
            self.first_token_at.get_or_insert_with(Instant::now);
            self.tokens += 1;
        }
        None
    }

    /// A copy on an engine is named after the adapter with the owner's epoch.
    fn is_wanted(&self, model: &str) -> bool {
        let rest = model.strip_prefix(&self.wanted_model);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(".e"))
    }

    fn end(&self) -> Ending {
        if self.tokens == self.wanted_tokens {
            return Ending::Answered;
        }
        let Self {
            tokens,
            wanted_tokens,
            ..
        } = self;
        Ending::Wrong(format!("{tokens} tokens instead of {wanted_tokens}"))
    }
}

/// The data of each server-sent event of `body`.
pub fn events(body: Incoming) -> impl futures_util::Stream<Item = Result<String, String>> + Unpin {
    body.into_data_stream().eventsource().map(|event| {
        event
            .map(|event| event.data)
            .map_err(|error| error.to_string())
    })
}
