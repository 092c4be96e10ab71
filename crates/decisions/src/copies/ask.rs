//! What an instance asks the holder of an engine.

use displaydoc::Display;
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{InstanceName, UnixMs};
use serde::{Deserialize, Serialize};

/// Tells asks apart.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AskId {
    /// The instance that asks.
    pub instance: InstanceName,
    /// Its number of the ask.
    pub number: u64,
}

/// One ask for a copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyAsk {
    /// Its id.
    pub id: AskId,
    /// What the request runs on.
    pub key: AdapterKey,
    /// Rank of the request, 0 first.
    pub rank: u32,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Leading parts of the prompt that other requests may share, where they are long.
    pub shared_parts: Vec<PromptPart>,
    /// It waits for a copy behind others; else it would rather be refused at once.
    pub patient: bool,
    /// The request meets its objective when it is sent until then.
    pub in_time_until: UnixMs,
    /// When the instance stops waiting for the copy.
    pub wait_until: UnixMs,
    /// When the request is surely over.
    pub ends_by: UnixMs,
}

/// Why there is no copy.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum CopyRefusal {
    /// every adapter slot is in use
    NoRoom,
    /// no orders are given now, as the store has not confirmed the holder
    OrdersPaused,
    /// other copies are brought first
    Queued,
    /// what the engine holds is not known
    Unread,
    /// the engine reads other prompts first
    Busy,
    /// this instance gives the engine no orders now
    NotHolder,
    /// the copy did not come in time
    TooLate,
    /// the engine does not know the adapter
    Unknown,
    /// the engine is leaving
    Leaving,
}
