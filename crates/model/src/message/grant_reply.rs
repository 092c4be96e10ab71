//! Answers to grant requests.

use std::fmt;

use serde::de::{Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};

use super::RequestId;
use super::grant_request::element;
use crate::{Epoch, Refusal, UnixMs, UpstreamName};

/// Identifies a grant on its upstream.
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
    /// Fencing number of the owner that issued the grant.
    pub epoch: Epoch,
    /// Serial number of the grant within the epoch.
    pub serial: u64,
}

/// The owner's decision.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum GrantAnswer {
    /// The request may be sent to the upstream now.
    #[serde(rename = "g")]
    Granted {
        /// The grant.
        #[serde(rename = "i")]
        grant: GrantId,
        /// Epoch in the name of the loaded copy; may be lower than that of the grant.
        #[serde(rename = "c")]
        copy_epoch: Epoch,
        /// When the grant expires unless it is returned earlier.
        #[serde(rename = "e")]
        expires_at_unix_ms: UnixMs,
    },
    /// The request is queued; another answer follows.
    #[serde(rename = "q")]
    Queued {
        /// When the owner expects to grant the request.
        #[serde(rename = "x")]
        expected_at_unix_ms: UnixMs,
    },
    /// The request did not run on this upstream and will not.
    #[serde(rename = "n")]
    NotRun(Refusal),
    /// The receiver of the request does not own the upstream.
    #[serde(rename = "o")]
    NotOwner,
}

/// An owner's answer to a grant request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReply {
    /// The request that this answers.
    pub request: RequestId,
    /// The upstream of the grant request.
    pub upstream: UpstreamName,
    /// Fencing number of the answering owner.
    pub epoch: Epoch,
    /// The owner's decision.
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
