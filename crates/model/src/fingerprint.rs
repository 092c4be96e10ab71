//! Fingerprints that identify repeated sends of the same request.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of the parts of a request that stay the same when it is sent again; it doesn't contain
/// the request's text.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request from its parts.
    ///
    /// ```
    /// use monsoonspread_model::Fingerprint;
    ///
    /// let one = Fingerprint::of([b"/path/".as_slice(), b"body"]);
    /// assert_eq!(one, Fingerprint::of([b"/path/".as_slice(), b"body"]));
    /// assert_ne!(one, Fingerprint::of([b"/path".as_slice(), b"/body"]));
    /// ```
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            // The length prefix makes the hash depend on where one part ends and the next begins.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }

    /// Parses the 16 hexadecimal digits written by [`fmt::Display`]; `None` for anything else.
    ///
    /// ```
    /// use monsoonspread_model::Fingerprint;
    ///
    /// assert_eq!(Fingerprint::parse("00000000000000ff"), Some(Fingerprint(255)));
    /// assert_eq!(Fingerprint::parse("ff"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        digits.then(|| u64::from_str_radix(text, 16).ok().map(Self))?
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
