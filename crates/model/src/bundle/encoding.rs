//! The canonical encoding of bundles, and its parts.

use displaydoc::Display;
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::Bundle;

/// Largest stored part in bytes; the key-value service takes values up to a megabyte, and
/// its gateway carries them in base64.
pub const MAX_PART_BYTES: usize = 512 * 1024;

/// Why stored parts do not make up a bundle.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum EncodingError {
    /// part {index} of the bundle has digest {found}, not {expected}
    WrongPart {
        /// Which part, counted from 0.
        index: usize,
        /// The digest that the manifest names.
        expected: String,
        /// The digest of the part's bytes.
        found: String,
    },
    /// the bundle has {found} parts, its manifest names {expected}
    WrongPartCount {
        /// Parts named by the manifest.
        expected: usize,
        /// Parts given.
        found: usize,
    },
    /// the bundle's content can't be read: {0}
    Unreadable(String),
}

/// Encodes a bundle as canonical CBOR: the same bundle always gives the same bytes.
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

/// Decodes a bundle.
///
/// # Errors
///
/// Fails when the bytes are not the encoding of a bundle.
///
/// ```
/// # use monsoonspread_model::bundle;
/// assert!(bundle::decode(b"?").is_err());
/// ```
pub fn decode(bytes: &[u8]) -> Result<Bundle, EncodingError> {
    ciborium::from_reader(bytes).map_err(|error| EncodingError::Unreadable(error.to_string()))
}

/// SHA-256 in lower-case hexadecimal digits.
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

/// Joins stored parts after comparing each with its digest.
///
/// # Errors
///
/// Fails when a part is missing or is not the one that was signed.
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
