//! Reading a streamed answer.

use std::time::Instant;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::{Attempt, wanted_model};
use crate::plan::PlannedRequest;
use crate::record::Ending;

/// Marks the end of a whole answer.
const DONE: &str = "[DONE]";

/// A streamed answer as far as it was read.
pub struct Streaming {
    wanted_model: String,
    wanted_tokens: u32,
    events: BoxStream<'static, Result<String, String>>,
    first_token_at: Option<Instant>,
    tokens: u32,
    ending: Option<Ending>,
}

impl Streaming {
    /// Expects the answer to `request` in `body`.
    pub fn new(request: &PlannedRequest, body: Incoming) -> Self {
        let events = body.into_data_stream().eventsource();
        let events = events.map(|event| match event {
            Ok(event) => Ok(event.data),
            Err(error) => Err(error.to_string()),
        });
        Self {
            wanted_model: wanted_model(request),
            wanted_tokens: request.tokens,
            events: events.boxed(),
            first_token_at: None,
            tokens: 0,
            ending: None,
        }
    }

    /// Reads up to the first token, or to the end when none comes.
    pub async fn read_first_token(&mut self) {
        while self.ending.is_none() && self.first_token_at.is_none() {
            self.read_event().await;
        }
    }

    /// Reads to the end.
    pub async fn finish(mut self) -> Attempt {
        loop {
            if let Some(ending) = self.ending {
                return Attempt::Ended {
                    ending,
                    first_token_at: self.first_token_at,
                };
            }
            self.read_event().await;
        }
    }

    async fn read_event(&mut self) {
        self.ending = match self.events.next().await {
            None => Some(Ending::Broken("the stream ended early".to_owned())),
            Some(Err(error)) => Some(Ending::Broken(error)),
            Some(Ok(text)) if text == DONE => Some(self.whole()),
            Some(Ok(text)) => self.chunk(&text),
        };
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

    fn whole(&self) -> Ending {
        let Self {
            tokens,
            wanted_tokens,
            ..
        } = self;
        if tokens == wanted_tokens {
            return Ending::Answered;
        }
        Ending::Wrong(format!("{tokens} tokens instead of {wanted_tokens}"))
    }
}
