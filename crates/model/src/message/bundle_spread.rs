//! Spreading bundles between instances.

use serde::{Deserialize, Serialize};

use crate::BundleVersion;
use crate::bundle::{BundleDelta, Manifest};

/// Tells a peer which signed bundle the sender has in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleNotice {
    /// Its signed manifest.
    pub manifest: Manifest,
}

/// Asks a peer for a newer bundle than `have`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleRequest {
    /// The version the sender has, 0 for none.
    pub have: BundleVersion,
}

/// A newer bundle with its signed manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BundleContent {
    /// The whole content in canonical encoding.
    Whole {
        /// Its manifest.
        manifest: Manifest,
        /// Canonical CBOR of the bundle.
        #[serde(with = "byte_string")]
        content: Vec<u8>,
    },
    /// Changes against the version that was asked from.
    Delta {
        /// Manifest of the version that results.
        manifest: Manifest,
        /// The changes.
        delta: BundleDelta,
    },
}

/// Encodes bytes as a CBOR byte string.
pub(super) mod byte_string {
    use std::fmt;

    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};

    /// Writes the bytes as one string.
    pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    /// Reads one byte string.
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
