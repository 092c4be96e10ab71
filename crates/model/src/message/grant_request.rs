//! Requests for a grant.

use std::fmt;

use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};

use crate::{AdapterRef, BundleVersion, CallerName, RequestClass, UnixMs, UpstreamName};

/// Number of a request, unique within the entry instance that received it.
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
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Asks the owner of an upstream for permission to run one request there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// The request to run.
    pub request: RequestId,
    /// The upstream to run it on.
    pub upstream: UpstreamName,
    /// The adapter version to run.
    pub adapter: AdapterRef,
    /// Class of the request.
    pub class: RequestClass,
    /// Priority of the request; higher priorities are served first.
    pub priority: u8,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Number of tokens that the request is expected to generate.
    pub tokens: u32,
    /// When the entry instance received the request.
    pub arrived_at_unix_ms: UnixMs,
    /// Deadline for the first token.
    pub deadline_unix_ms: UnixMs,
    /// Bundle version that the request was resolved against.
    pub bundle_version: BundleVersion,
    /// Whether the owner may load the adapter for this request. A request that tries a second
    /// upstream only uses a copy that is loaded or being loaded.
    pub may_load: bool,
}

/// Number of elements in the encoded array.
const FIELDS: usize = 12;

impl Serialize for GrantRequest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.request.0)?;
        tuple.serialize_element(&self.upstream)?;
        tuple.serialize_element(&self.adapter.adapter)?;
        tuple.serialize_element(&self.adapter.version)?;
        tuple.serialize_element(&(self.class as u8))?;
        tuple.serialize_element(&self.priority)?;
        tuple.serialize_element(&self.caller)?;
        tuple.serialize_element(&self.tokens)?;
        tuple.serialize_element(&self.arrived_at_unix_ms)?;
        // Relative to the arrival, which takes fewer bytes than a second timestamp.
        tuple.serialize_element(&self.deadline_unix_ms.ms_since(self.arrived_at_unix_ms))?;
        tuple.serialize_element(&self.bundle_version)?;
        tuple.serialize_element(&self.may_load)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for GrantRequest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, GrantRequestVisitor)
    }
}

struct GrantRequestVisitor;

impl<'de> Visitor<'de> for GrantRequestVisitor {
    type Value = GrantRequest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a grant request")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let request = RequestId(element(&mut seq, 0)?);
        let upstream = element(&mut seq, 1)?;
        let adapter = element(&mut seq, 2)?;
        let version = element(&mut seq, 3)?;
        let class: u8 = element(&mut seq, 4)?;
        let class = class_from_index(class)?;
        let priority = element(&mut seq, 5)?;
        let caller = element(&mut seq, 6)?;
        let tokens = element(&mut seq, 7)?;
        let arrived_at_unix_ms: UnixMs = element(&mut seq, 8)?;
        let deadline_after_ms: u64 = element(&mut seq, 9)?;
        let bundle_version = element(&mut seq, 10)?;
        let may_load = element(&mut seq, 11)?;
        Ok(GrantRequest {
            request,
            upstream,
            adapter: AdapterRef { adapter, version },
            class,
            priority,
            caller,
            tokens,
            arrived_at_unix_ms,
            deadline_unix_ms: arrived_at_unix_ms + deadline_after_ms,
            bundle_version,
            may_load,
        })
    }
}

fn class_from_index<E: de::Error>(class: u8) -> Result<RequestClass, E> {
    RequestClass::ALL
        .get(usize::from(class))
        .copied()
        .ok_or_else(|| E::custom(format!("{class} is not a request class")))
}

/// Reads element `index` of a sequence; fails if the sequence is shorter.
pub(super) fn element<'de, T, A>(seq: &mut A, index: usize) -> Result<T, A::Error>
where
    T: Deserialize<'de>,
    A: SeqAccess<'de>,
{
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(index, &"a longer array"))
}
