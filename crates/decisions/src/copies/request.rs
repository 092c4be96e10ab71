//! Requests for a copy, sent by an instance to the holder of an engine.

use displaydoc::Display;
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{InstanceName, UnixMs};
use serde::{Deserialize, Serialize};

/// Identifies a copy request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CopyRequestId {
    /// The requesting instance.
    pub instance: InstanceName,
    /// Number of the copy request, unique within the instance.
    pub number: u64,
}

/// A request for a copy of an adapter on one engine, sent before the request that runs on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
    /// Identifies the copy request.
    pub id: CopyRequestId,
    /// Base model and adapter that the request runs on.
    pub key: AdapterKey,
    /// Oldest version of the adapter on which the request may begin; `None` for any.
    pub min_version: Option<u64>,
    /// Priority rank of the request; 0 is served first.
    pub rank: u32,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens; 0 if it isn't known.
    pub answer_tokens: u32,
    /// Leading parts of the prompt that other requests may share; only long ones are listed.
    pub shared_parts: Vec<PromptPart>,
    /// Whether to wait behind other loads; otherwise the request is refused at once.
    pub patient: bool,
    /// Latest time at which the request can be sent and still meet its objective.
    pub in_time_until: UnixMs,
    /// Time at which the instance stops waiting for the copy.
    pub wait_until: UnixMs,
    /// Time by which the request has certainly ended.
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
