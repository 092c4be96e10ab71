//! What the holder of an engine says of it before a request is sent there.

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::AdapterKey;
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
    /// All instances ask the first engine of an adapter about each of its requests and set
    /// `counts_demand`, so that its holder knows the demand of the whole region.
    pub fn on_quote(
        &mut self,
        now: UnixMs,
        key: &AdapterKey,
        counts_demand: bool,
    ) -> Option<EngineQuote> {
        if counts_demand {
            self.demand.on_arrival(now, key);
        }
        self.accepted?;
        let waiting = self.waiting.iter().map(|ask| ask.prompt_tokens);
        let waiting = waiting.fold(0, u32::saturating_add);
        Some(EngineQuote {
            running: self.running() + self.waiting.len() as u32,
            batch_places: self.shape.batch_places,
            unread_tokens: self.prompts.tokens(now).saturating_add(waiting),
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
