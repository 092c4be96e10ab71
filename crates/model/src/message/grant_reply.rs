//! Answers to requests for a grant.

use std::fmt;

use serde::de::{Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};

use super::RequestId;
use super::grant_request::element;
use crate::{Epoch, Refusal, UnixMs, UpstreamName};

/// A grant's identity on its upstream.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    serde::Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
)]
pub struct GrantId {
    /// The owner's fencing number.
    pub epoch: Epoch,
    /// Counts the grants of that epoch.
    pub serial: u64,
}

/// What the owner decided.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum GrantAnswer {
    /// The request may be sent to the upstream now.
    #[serde(rename = "g")]
    Granted {
        /// The grant.
        #[serde(rename = "i")]
        grant: GrantId,
        /// Epoch of the loaded copy to name on the engine; it may be older than the grant's.
        #[serde(rename = "c")]
        copy_epoch: Epoch,
        /// When the grant ends unless it is returned before.
        #[serde(rename = "e")]
        expires_at_unix_ms: UnixMs,
    },
    /// The request waits; another answer follows.
    #[serde(rename = "q")]
    Queued {
        /// When the owner expects to grant it.
        #[serde(rename = "x")]
        expected_at_unix_ms: UnixMs,
    },
    /// The request did not run and will not on this upstream.
    #[serde(rename = "n")]
    NotRun(Refusal),
    /// The asked instance does not own the upstream.
    #[serde(rename = "o")]
    NotOwner,
}

/// The owner's answer to one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReply {
    /// The request.
    pub request: RequestId,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The epoch under which the owner answers.
    pub epoch: Epoch,
    /// The decision.
    pub answer: GrantAnswer,
}

/// Number of elements in the encoded array.
const FIELDS: usize = 4;

impl Serialize for GrantReply {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.request)?;
        tuple.serialize_element(&self.upstream)?;
        tuple.serialize_element(&self.epoch)?;
        tuple.serialize_element(&self.answer)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for GrantReply {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, GrantReplyVisitor)
    }
}

struct GrantReplyVisitor;

impl<'de> Visitor<'de> for GrantReplyVisitor {
    type Value = GrantReply;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a grant reply")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        Ok(GrantReply {
            request: element(&mut seq, 0)?,
            upstream: element(&mut seq, 1)?,
            epoch: element(&mut seq, 2)?,
            answer: element(&mut seq, 3)?,
        })
    }
}
