//! Load and copy state of an engine, quoted by its holder before a request is sent.

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use serde::{Deserialize, Serialize};

use super::CopyControl;
use crate::capacity::EnginePaces;

/// State of the requested adapter's copy on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotedCopy {
    /// Present: requests can use it.
    #[serde(rename = "p")]
    Present,
    /// Being loaded, or requested and waiting.
    #[serde(rename = "c")]
    Coming,
    /// Missing: it would have to be loaded.
    #[serde(rename = "a")]
    Absent,
}

/// Query to the holder of an engine before a request is sent to the engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuoteQuestion {
    /// Base model and adapter of the request.
    #[serde(rename = "k")]
    pub key: AdapterKey,
    /// Oldest version of the adapter on which the request may begin; `None` for any.
    #[serde(default, rename = "v", skip_serializing_if = "Option::is_none")]
    pub min_version: Option<u64>,
    /// Leading parts of the prompt that other requests may share; only long ones are listed.
    #[serde(default, rename = "p", skip_serializing_if = "Vec::is_empty")]
    pub shared_parts: Vec<PromptPart>,
    /// Whether the holder is to count this request in the adapter's demand.
    #[serde(rename = "c")]
    pub counts_demand: bool,
}

/// Answer of an engine's holder to a [`QuoteQuestion`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineQuote {
    /// Number of requests that are granted or wait for a grant.
    #[serde(rename = "r")]
    pub running: u32,
    /// Number of requests that can run concurrently.
    #[serde(rename = "b")]
    pub batch_places: u32,
    /// Prompt tokens that the engine has to process before those of another request.
    #[serde(rename = "t")]
    pub unread_tokens: u32,
    /// Length in tokens of the prompt prefix that the engine has probably cached.
    #[serde(default, rename = "k")]
    pub kept_tokens: u32,
    /// Processing time in percent of the usual time; `None` without a recent report.
    #[serde(default, rename = "s")]
    pub slowness_percent: Option<u32>,
    /// Paces of the engine, from which instances take the usual ones.
    #[serde(default, rename = "w", skip_serializing_if = "EnginePaces::is_unknown")]
    pub paces: EnginePaces,
    /// State of the adapter's copy.
    #[serde(rename = "c")]
    pub copy: QuotedCopy,
    /// Requests for the adapter in the region, per second; `None` where this holder doesn't count
    /// them.
    #[serde(rename = "d")]
    pub demand_per_s: Option<f32>,
}

impl CopyControl {
    /// Answers the query of an instance that compares engines; `None` while the engine's state is
    /// unknown.
    ///
    /// For each request, instances query the first engine of its adapter and have the holder count
    /// the request, so that this holder knows the demand of the whole region.
    pub fn on_quote(&mut self, now: UnixMs, question: &QuoteQuestion) -> Option<EngineQuote> {
        let QuoteQuestion {
            key,
            min_version,
            shared_parts,
            counts_demand,
        } = question;
        if *counts_demand {
            self.demand.on_arrival(now, key);
        }
        self.accepted?;
        let waiting = self.waiting.iter().map(|request| request.prompt_tokens);
        let waiting = waiting.fold(0, u32::saturating_add);
        Some(EngineQuote {
            running: self.running() + self.waiting.len() as u32,
            batch_places: self.shape.batch_places,
            unread_tokens: self.prompts.tokens(now).saturating_add(waiting),
            kept_tokens: self.kept.kept_tokens(key, shared_parts),
            slowness_percent: self.prompts.slowness_percent(now),
            paces: self.speed.paces(),
            copy: self.quoted_copy(key, *min_version),
            demand_per_s: counts_demand.then(|| self.demand.per_second_before(now, key) as f32),
        })
    }

    fn quoted_copy(&self, key: &AdapterKey, min_version: Option<u64>) -> QuotedCopy {
        match self.copies.get(key) {
            Some(copy) if copy.is_present() && copy.has_version(min_version) => QuotedCopy::Present,
            Some(copy) if copy.is_present() && self.may_order => QuotedCopy::Coming,
            Some(copy) if copy.is_coming() => QuotedCopy::Coming,
            _ if self.waiting.iter().any(|request| request.key == *key) => QuotedCopy::Coming,
            _ => QuotedCopy::Absent,
        }
    }
}
