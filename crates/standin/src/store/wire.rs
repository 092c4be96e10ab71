//! Messages of the etcd v3 JSON gateway, as the service reads and writes them.

use serde::{Deserialize, Serialize};

/// A request for keys from `key` up to `range_end`, or for one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(alias = "rangeEnd", with = "base64_bytes")]
    pub(super) range_end: Vec<u8>,
    #[serde(with = "number_text")]
    pub(super) limit: i64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "base64_bytes")]
    pub(super) value: Vec<u8>,
    #[serde(with = "number_text")]
    pub(super) lease: i64,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) enum Operation {
    #[serde(alias = "requestRange", rename = "request_range")]
    Range(RangeRequest),
    #[serde(alias = "requestPut", rename = "request_put")]
    Put(PutRequest),
    #[serde(alias = "requestDeleteRange", rename = "request_delete_range")]
    Delete(RangeRequest),
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    #[serde(rename = "NOT_EQUAL")]
    NotEqual,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    pub(super) target: Target,
    pub(super) result: Relation,
    #[serde(with = "number_text")]
    pub(super) version: i64,
    #[serde(alias = "createRevision", with = "number_text")]
    pub(super) create_revision: i64,
    #[serde(alias = "modRevision", with = "number_text")]
    pub(super) mod_revision: i64,
    #[serde(with = "base64_bytes")]
    pub(super) value: Vec<u8>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Operation>,
    pub(super) failure: Vec<Operation>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "TTL", with = "number_text")]
    pub(super) ttl_s: i64,
    #[serde(rename = "ID", with = "number_text")]
    pub(super) id: i64,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub(super) create_request: WatchCreate,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(alias = "rangeEnd", with = "base64_bytes")]
    pub(super) range_end: Vec<u8>,
    #[serde(alias = "startRevision", with = "number_text")]
    pub(super) start_revision: i64,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Header {
    #[serde(with = "number_text")]
    pub(super) revision: i64,
}

/// A key with its value and its history in numbers.
#[derive(Clone, Debug, Serialize)]
pub(super) struct KeyValue {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "number_text")]
    pub(super) create_revision: i64,
    #[serde(with = "number_text")]
    pub(super) mod_revision: i64,
    #[serde(with = "number_text")]
    pub(super) version: i64,
    #[serde(with = "base64_bytes")]
    pub(super) value: Vec<u8>,
    #[serde(with = "number_text")]
    pub(super) lease: i64,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct RangeResponse {
    pub(super) header: Header,
    pub(super) kvs: Vec<KeyValue>,
    #[serde(with = "number_text")]
    pub(super) count: i64,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct PutResponse {
    pub(super) header: Header,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct DeleteResponse {
    pub(super) header: Header,
    #[serde(with = "number_text")]
    pub(super) deleted: i64,
}

#[derive(Clone, Debug, Serialize)]
pub(super) enum OperationResponse {
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range")]
    Delete(DeleteResponse),
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct TxnResponse {
    pub(super) header: Header,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<OperationResponse>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct LeaseResponse {
    pub(super) header: Header,
    #[serde(rename = "ID", with = "number_text")]
    pub(super) id: i64,
    #[serde(rename = "TTL", with = "number_text")]
    pub(super) ttl_s: i64,
}

/// One event of a watch.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub(super) kind: Option<&'static str>,
    pub(super) kv: KeyValue,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchResult {
    pub(super) header: Header,
    pub(super) created: bool,
    pub(super) canceled: bool,
    pub(super) events: Vec<Event>,
}

/// A message of a stream.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StreamLine<T> {
    pub(super) result: T,
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

/// Numbers go out as strings and come in as strings or numbers.
mod number_text {
    use serde::{Deserialize, Deserializer, Serializer, de};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Plain(i64),
        Text(String),
    }

    pub(super) fn serialize<S: Serializer>(number: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(number)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match Number::deserialize(deserializer)? {
            Number::Plain(number) => Ok(number),
            Number::Text(text) => text.parse().map_err(de::Error::custom),
        }
    }
}
