//! The canonical encoding of bundles, and its division into stored parts.

use displaydoc::Display;
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::Bundle;

/// Maximum size of a stored part in bytes. The key-value service accepts values of up to a
/// megabyte, and its gateway transfers them in base64.
pub const MAX_PART_BYTES: usize = 512 * 1024;

/// Why stored parts can't be joined or decoded.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum EncodingError {
    /// part {index} of the bundle has digest {found}, not {expected}
    WrongPart {
        /// Index of the part, counted from 0.
        index: usize,
        /// The digest in the manifest.
        expected: String,
        /// The digest of the stored bytes.
        found: String,
    },
    /// the bundle has {found} parts, but its manifest lists {expected}
    WrongPartCount {
        /// Number of parts in the manifest.
        expected: usize,
        /// Number of stored parts.
        found: usize,
    },
    /// the bundle's content can't be read: {0}
    Unreadable(String),
}

/// Encodes a bundle as canonical CBOR: equal bundles have equal encodings.
///
/// ```
/// # use monsoonspread_model::{bundle, Bundle};
/// let bytes = bundle::encode(&Bundle::default());
/// assert_eq!(bundle::decode(&bytes).unwrap(), Bundle::default());
/// ```
pub fn encode(bundle: &Bundle) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(bundle, &mut bytes).expect("writing CBOR to memory succeeds");
    bytes
}

/// Decodes a bundle written by [`encode`].
///
/// # Errors
///
/// Fails if the bytes are not the encoding of a bundle.
///
/// ```
/// # use monsoonspread_model::bundle;
/// assert!(bundle::decode(b"?").is_err());
/// ```
pub fn decode(bytes: &[u8]) -> Result<Bundle, EncodingError> {
    ciborium::from_reader(bytes).map_err(|error| EncodingError::Unreadable(error.to_string()))
}

/// Returns the SHA-256 digest of `bytes` in lower-case hexadecimal digits.
///
/// ```
/// # use monsoonspread_model::bundle;
/// assert_eq!(bundle::digest(b"").len(), 64);
/// ```
pub fn digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Splits encoded content into parts of at most [`MAX_PART_BYTES`].
///
/// ```
/// # use monsoonspread_model::bundle;
/// assert_eq!(bundle::split(&[7; 3]), vec![&[7, 7, 7][..]]);
/// ```
pub fn split(content: &[u8]) -> Vec<&[u8]> {
    content.chunks(MAX_PART_BYTES).collect()
}

/// Joins stored parts after checking each against its digest.
///
/// # Errors
///
/// Fails if the number of parts differs from the manifest, or a part doesn't match its digest.
///
/// ```
/// # use monsoonspread_model::bundle;
/// let digests = [bundle::digest(b"ab"), bundle::digest(b"c")];
/// let parts = [b"ab".to_vec(), b"c".to_vec()];
/// assert_eq!(bundle::join(&digests, &parts).unwrap(), b"abc");
/// ```
pub fn join(digests: &[String], parts: &[Vec<u8>]) -> Result<Vec<u8>, EncodingError> {
    if digests.len() != parts.len() {
        return Err(EncodingError::WrongPartCount {
            expected: digests.len(),
            found: parts.len(),
        });
    }
    for (index, (expected, part)) in digests.iter().zip(parts).enumerate() {
        let found = digest(part);
        if *expected != found {
            return Err(EncodingError::WrongPart {
                index,
                expected: expected.clone(),
                found,
            });
        }
    }
    Ok(parts.concat())
}
