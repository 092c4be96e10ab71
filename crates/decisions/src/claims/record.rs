//! Stored record of a keyed call.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use monsoonspread_model::UnixMs;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::ClaimToken;

/// Largest answer body that is stored for repeats; a larger one is recorded as an unknown outcome.
pub const MAX_STORED_BODY_BYTES: usize = 512 * 1024;

/// A claim as stored in the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Token of the holder.
    pub token: ClaimToken,
    /// Digest of the call and its body.
    pub body_digest: String,
    /// Deadline of the holder's call; only decides how long others wait for it.
    pub deadline_unix_ms: UnixMs,
    /// State of the call.
    pub state: ClaimState,
}

/// State of a keyed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may run the call at any time.
    Started,
    /// The service answered.
    Replied {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// The body.
        #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
        body: Vec<u8>,
    },
    /// The call certainly did not run; another attempt may claim it.
    NotRun,
    /// The call may have run.
    Unknown,
}

fn to_base64<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(de::Error::custom)
}
