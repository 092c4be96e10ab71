//! Returns of grants, with the outcome of the request.

use std::fmt;

use serde::de::{Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};

use super::GrantId;
use super::grant_request::element;
use crate::UpstreamName;

/// How the request that held a grant ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum GrantOutcome {
    /// The complete answer was received.
    #[serde(rename = "d")]
    Done,
    /// The generation was cancelled; the upstream may notice with a delay.
    #[serde(rename = "c")]
    Cancelled,
    /// The grant was returned before anything was sent.
    #[serde(rename = "n")]
    Unused,
    /// Connecting to the upstream failed.
    #[serde(rename = "u")]
    Unreachable,
    /// The upstream refused the request before running it.
    #[serde(rename = "r")]
    Refused,
    /// The copy is not loaded on the upstream.
    #[serde(rename = "m")]
    CopyMissing,
    /// The connection broke or the upstream answered with an error after the request was sent.
    #[serde(rename = "b")]
    Broken,
}

/// Returns a grant with the measurements of its request, from which the owner rates its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReturn {
    /// The upstream of the grant.
    pub upstream: UpstreamName,
    /// The returned grant.
    pub grant: GrantId,
    /// How the request ended.
    pub outcome: GrantOutcome,
    /// Time from sending to the first token in milliseconds; `None` if no token arrived.
    pub first_token_ms: Option<u32>,
    /// Mean time between tokens in microseconds; `None` for fewer than two tokens.
    pub token_gap_us: Option<u32>,
    /// Number of generated tokens.
    pub tokens: u32,
}

/// Number of elements in the encoded array.
const FIELDS: usize = 6;

impl Serialize for GrantReturn {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.upstream)?;
        tuple.serialize_element(&(self.grant.epoch, self.grant.serial))?;
        tuple.serialize_element(&self.outcome)?;
        tuple.serialize_element(&self.first_token_ms)?;
        tuple.serialize_element(&self.token_gap_us)?;
        tuple.serialize_element(&self.tokens)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for GrantReturn {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, GrantReturnVisitor)
    }
}

struct GrantReturnVisitor;

impl<'de> Visitor<'de> for GrantReturnVisitor {
    type Value = GrantReturn;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a grant return")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let upstream = element(&mut seq, 0)?;
        let (epoch, serial) = element(&mut seq, 1)?;
        Ok(GrantReturn {
            upstream,
            grant: GrantId { epoch, serial },
            outcome: element(&mut seq, 2)?,
            first_token_ms: element(&mut seq, 3)?,
            token_gap_us: element(&mut seq, 4)?,
            tokens: element(&mut seq, 5)?,
        })
    }
}
