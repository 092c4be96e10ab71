//! What the holder of an engine says of it before a request is sent there.

use serde::{Deserialize, Serialize};

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
