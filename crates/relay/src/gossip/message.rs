//! Gossip messages about upstreams and requests.

use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::RateLimit;
use serde::{Deserialize, Serialize};

use crate::suspects::PeerSuspect;

/// Limits per message; a message then takes at most about 40 KB.
const MAX_SUSPECTS: usize = 32;
const MAX_LEAVING: usize = 128;
const MAX_LIMITS: usize = 128;

/// An upstream that announced that it is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingUpstream {
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Start time of the upstream process, which distinguishes its restarts.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// An observation of an upstream's rate limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateObservation {
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Start time of the upstream process, which distinguishes its restarts.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The limit; `None` if it ended.
    #[serde(rename = "r")]
    pub limit: Option<RateLimit>,
    /// Time since the observation in milliseconds, as the instances' clocks differ.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// State of upstreams and requests that instances exchange.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerGossip {
    /// Requests under which upstreams crashed.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<PeerSuspect>,
    /// Prompt parts under which upstreams crashed.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub suspect_parts: Vec<PeerSuspect>,
    /// Upstreams that announced that they are leaving.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingUpstream>,
    /// Upstreams that announced a rate limit.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<RateObservation>,
}

impl PeerGossip {
    /// Splits the gossip into messages of bounded size.
    pub fn parts(&self) -> impl Iterator<Item = PeerGossip> {
        let suspects = self.suspects.chunks(MAX_SUSPECTS).map(|part| Self {
            suspects: part.to_vec(),
            ..Self::default()
        });
        let suspect_parts = self.suspect_parts.chunks(MAX_SUSPECTS).map(|part| Self {
            suspect_parts: part.to_vec(),
            ..Self::default()
        });
        let leaving = self.leaving.chunks(MAX_LEAVING).map(|part| Self {
            leaving: part.to_vec(),
            ..Self::default()
        });
        let limits = self.limits.chunks(MAX_LIMITS).map(|part| Self {
            limits: part.to_vec(),
            ..Self::default()
        });
        suspects.chain(suspect_parts).chain(leaving).chain(limits)
    }
}
