//! What instances tell each other of upstreams and requests.

use monsoonspread_model::UpstreamName;
use serde::{Deserialize, Serialize};

use crate::suspects::PeerSuspect;

/// Requests and upstreams told of in one message, which then takes some 40 KB at the most.
const MAX_SUSPECTS: usize = 32;
const MAX_LEAVING: usize = 128;

/// An upstream that said that it leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingUpstream {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Which of its starts.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// What instances tell each other of upstreams and requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerGossip {
    /// Requests under which upstreams ended.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<PeerSuspect>,
    /// Upstreams that said that they leave.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingUpstream>,
}

impl PeerGossip {
    /// The same in messages of bounded length.
    pub fn parts(&self) -> impl Iterator<Item = PeerGossip> {
        let suspects = self.suspects.chunks(MAX_SUSPECTS).map(|part| Self {
            suspects: part.to_vec(),
            ..Self::default()
        });
        let leaving = self.leaving.chunks(MAX_LEAVING).map(|part| Self {
            leaving: part.to_vec(),
            ..Self::default()
        });
        suspects.chain(leaving)
    }
}
