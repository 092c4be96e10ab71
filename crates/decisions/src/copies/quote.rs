//! What the holder of an engine says of it before a request is sent there.

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use serde::{Deserialize, Serialize};

use super::CopyControl;

/// Whether an engine has a copy of the adapter that was asked about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotedCopy {
    /// Requests can run on it.
    #[serde(rename = "p")]
    Present,
    /// It is on its way.
    #[serde(rename = "c")]
    Coming,
    /// It would have to be brought.
    #[serde(rename = "a")]
    Absent,
}

/// What an instance asks the holder of an engine before it sends a request there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuoteQuestion {
    /// The adapter.
    #[serde(rename = "k")]
    pub key: AdapterKey,
    /// Leading parts of the prompt that other requests may share, where they are long.
    #[serde(default, rename = "p", skip_serializing_if = "Vec::is_empty")]
    pub shared_parts: Vec<PromptPart>,
    /// The holder counts the demand for the adapter.
    #[serde(rename = "c")]
    pub counts_demand: bool,
}

/// What the holder of an engine says of it before a request is sent there.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineQuote {
    /// Requests that run there, are about to, or wait for the holder's grant.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests that can run there at once.
    #[serde(rename = "b")]
    pub batch_places: u32,
    /// Prompt tokens that the engine has to read before those of one more request.
    #[serde(rename = "t")]
    pub unread_tokens: u32,
    /// Tokens at the beginning of the prompt that the engine has probably kept.
    #[serde(default, rename = "k")]
    pub kept_tokens: u32,
    /// How long work takes there, in percent of the usual time; `None` where it was not told of
    /// late.
    #[serde(default, rename = "s")]
    pub slowness_percent: Option<u32>,
    /// Whether it has the adapter.
    #[serde(rename = "c")]
    pub copy: QuotedCopy,
    /// Requests of the region for the adapter, where this holder counts them.
    #[serde(rename = "d")]
    pub demand_per_s: Option<f32>,
}

impl CopyControl {
    /// An instance compares engines before it sends a request; `None` while what the engine holds
    /// is not known.
    ///
    /// All instances ask the first engine of an adapter about each of its requests and have it
    /// count the demand, so that its holder knows that of the whole region.
    pub fn on_quote(&mut self, now: UnixMs, question: &QuoteQuestion) -> Option<EngineQuote> {
        let QuoteQuestion {
            key,
            shared_parts,
            counts_demand,
        } = question;
        if *counts_demand {
            self.demand.on_arrival(now, key);
        }
        self.accepted?;
        let waiting = self.waiting.iter().map(|ask| ask.prompt_tokens);
        let waiting = waiting.fold(0, u32::saturating_add);
        Some(EngineQuote {
            running: self.running() + self.waiting.len() as u32,
            batch_places: self.shape.batch_places,
            unread_tokens: self.prompts.tokens(now).saturating_add(waiting),
            kept_tokens: self.kept.kept_tokens(key, shared_parts),
            slowness_percent: self.prompts.slowness_percent(now),
            copy: self.quoted_copy(key),
            demand_per_s: counts_demand.then(|| self.demand.per_second_before(now, key) as f32),
        })
    }

    fn quoted_copy(&self, key: &AdapterKey) -> QuotedCopy {
        match self.copies.get(key) {
            Some(copy) if copy.is_present() => QuotedCopy::Present,
            Some(copy) if copy.is_coming() => QuotedCopy::Coming,
            _ if self.waiting.iter().any(|ask| ask.key == *key) => QuotedCopy::Coming,
            _ => QuotedCopy::Absent,
        }
    }
}
