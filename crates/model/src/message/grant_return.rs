//! Giving a grant back.

use std::fmt;

use serde::de::{Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};

use super::GrantId;
use super::grant_request::element;
use crate::UpstreamName;

/// How the work under a grant ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum GrantOutcome {
    /// The whole answer arrived.
    #[serde(rename = "d")]
    Done,
    /// The generation was cancelled; the upstream may notice a little later.
    #[serde(rename = "c")]
    Cancelled,
    /// The grant was given back before anything was sent.
    #[serde(rename = "n")]
    Unused,
    /// The upstream could not be connected to.
    #[serde(rename = "u")]
    Unreachable,
    /// The upstream refused before running anything.
    #[serde(rename = "r")]
    Refused,
    /// The upstream does not know the copy.
    #[serde(rename = "m")]
    CopyMissing,
    /// The connection broke, or the upstream answered with an error, after the work was sent.
    #[serde(rename = "b")]
    Broken,
}

/// Gives a grant back with what the request saw, which is how an owner judges its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReturn {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The grant.
    pub grant: GrantId,
    /// How it ended.
    pub outcome: GrantOutcome,
    /// From sending to the first token, when one came.
    pub first_token_ms: Option<u32>,
    /// Mean gap between tokens in microseconds, when two came.
    pub token_gap_us: Option<u32>,
    /// Tokens generated.
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
