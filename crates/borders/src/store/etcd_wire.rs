//! Messages of the etcd v3 JSON gateway, which encodes bytes in base64 and 64-bit numbers as
//! strings.

use serde::{Deserialize, Serialize};

use super::{StoreError, Stored};

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    #[serde(with = "base64_bytes")]
    key: Vec<u8>,
    #[serde(skip_serializing_if = "Vec::is_empty", with = "base64_bytes")]
    range_end: Vec<u8>,
}

impl RangeRequest {
    pub(super) fn of_key(key: &str) -> Self {
        Self {
            key: key.as_bytes().to_vec(),
            range_end: Vec::new(),
        }
    }

    pub(super) fn of_prefix(prefix: &str) -> Self {
        Self {
            key: prefix.as_bytes().to_vec(),
            range_end: prefix_end(prefix.as_bytes()),
        }
    }
}

/// Returns the first key after all keys that start with `prefix`. A single zero byte, which stands
/// for the end of the key space, if there is no such key.
pub(super) fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    #[serde(with = "base64_bytes")]
    key: Vec<u8>,
    #[serde(with = "base64_bytes")]
    value: Vec<u8>,
}

impl PutRequest {
    pub(super) fn new(key: &str, value: &[u8]) -> Self {
        Self {
            key: key.as_bytes().to_vec(),
            value: value.to_vec(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteRequest {
    #[serde(with = "base64_bytes")]
    key: Vec<u8>,
}

impl DeleteRequest {
    pub(super) fn of_key(key: &str) -> Self {
        Self {
            key: key.as_bytes().to_vec(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) enum Operation {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct Compare {
    #[serde(with = "base64_bytes")]
    key: Vec<u8>,
    target: &'static str,
    result: &'static str,
    #[serde(with = "number_text")]
    mod_revision: u64,
}

impl Compare {
    /// True if the last write of `key` was at `mod_revision`; 0 stands for an absent key.
    pub(super) fn mod_revision(key: &str, mod_revision: u64) -> Self {
        Self {
            key: key.as_bytes().to_vec(),
            target: "MOD",
            result: "EQUAL",
            mod_revision,
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Operation>,
    pub(super) failure: Vec<Operation>,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCreate {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "base64_bytes")]
    pub(super) range_end: Vec<u8>,
    #[serde(with = "number_text")]
    pub(super) start_revision: u64,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct Header {
    #[serde(default, with = "number_text")]
    pub(super) revision: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct KeyValue {
    #[serde(with = "base64_bytes")]
    key: Vec<u8>,
    #[serde(default, with = "base64_bytes")]
    value: Vec<u8>,
    #[serde(default, with = "number_text")]
    mod_revision: u64,
}

impl KeyValue {
    pub(super) fn into_stored(self) -> Result<Stored, StoreError> {
        let key = String::from_utf8(self.key)
            .map_err(|_| StoreError::Refused("a key is not UTF-8".to_owned()))?;
        Ok(Stored {
            key,
            value: self.value,
            mod_revision: self.mod_revision,
        })
    }
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct RangeResponse {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

impl RangeResponse {
    pub(super) fn into_stored(self) -> Result<Vec<Stored>, StoreError> {
        self.kvs.into_iter().map(KeyValue::into_stored).collect()
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnResponse {
    #[serde(default)]
    pub(super) header: Header,
    #[serde(default)]
    pub(super) succeeded: bool,
    #[serde(default)]
    responses: Vec<OperationResponse>,
}

#[derive(Debug, Default, Deserialize)]
struct OperationResponse {
    #[serde(default)]
    response_range: Option<RangeResponse>,
}

impl TxnResponse {
    /// Returns the results of the range operations, in order.
    pub(super) fn into_ranges(self) -> Result<Vec<Vec<Stored>>, StoreError> {
        self.responses
            .into_iter()
            .filter_map(|response| response.response_range)
            .map(RangeResponse::into_stored)
            .collect()
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchLine {
    #[serde(default)]
    pub(super) result: WatchResult,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct WatchResult {
    #[serde(default)]
    pub(super) canceled: bool,
    #[serde(default)]
    pub(super) events: Vec<WatchEvent>,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchEvent {
    /// Event type; absent for a put, which is the default.
    #[serde(default, rename = "type")]
    pub(super) kind: Option<String>,
    pub(super) kv: KeyValue,
}

mod base64_bytes {
    use base64::Engine as _;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(de::Error::custom)
    }
}

mod number_text {
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(number: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(number)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
