//! Distribution of bundles between instances.

use serde::{Deserialize, Serialize};

use crate::BundleVersion;
use crate::bundle::{BundleDelta, Manifest};

/// Announces the signed bundle that is active on the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleNotice {
    /// Signed manifest of the active bundle.
    pub manifest: Manifest,
}

/// Requests a newer bundle than version `have`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleRequest {
    /// The sender's version; 0 if it has none.
    pub have: BundleVersion,
}

/// Answers a [`BundleRequest`] with a newer bundle and its signed manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BundleContent {
    /// The complete bundle.
    Whole {
        /// Manifest of the bundle.
        manifest: Manifest,
        /// The bundle in canonical CBOR encoding.
        #[serde(with = "byte_string")]
        content: Vec<u8>,
    },
    /// The changes since the version in the request.
    Delta {
        /// Manifest of the resulting version.
        manifest: Manifest,
        /// Changes from the version in the request.
        delta: BundleDelta,
    },
}

/// Encodes bytes as one CBOR byte string instead of an array of integers.
pub(super) mod byte_string {
    use std::fmt;

    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};

    /// Writes the bytes as one byte string.
    pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    /// Reads a byte string, or a sequence of bytes.
    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }

    struct BytesVisitor;

    impl<'de> Visitor<'de> for BytesVisitor {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a byte string")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
            Ok(bytes)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = seq.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}
