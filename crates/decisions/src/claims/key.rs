//! Keys of claims.

use std::fmt;

use monsoonspread_model::{CallerName, ServiceName};
use sha2::{Digest, Sha256};

/// Prefix of all claim keys in the key-value service.
const PREFIX: &str = "/monsoonspread/claim/";

/// Key of a claim in the key-value service; it is a digest that does not reveal the caller's key.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Derives the key for `idempotency_key` of `caller` at `service`.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::ClaimKey;
    /// let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// assert!(key.as_str().starts_with("/monsoonspread/claim/"));
    /// ```
    pub fn new(service: &ServiceName, caller: &CallerName, idempotency_key: &str) -> Self {
        let parts = [service.as_str(), caller.as_str(), idempotency_key];
        Self(format!("{PREFIX}{}", digest(parts.map(str::as_bytes))))
    }

    /// The key as text.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::ClaimKey;
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// assert!(key.as_str().starts_with("/monsoonspread/claim/"));
    /// ```
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Digest of a call and its body, which detects reuse of an idempotency key for another call.
///
/// ```
/// # use monsoonspread_decisions::claims::body_digest;
/// assert_ne!(body_digest("commit", b"a"), body_digest("commit", b"b"));
/// ```
pub fn body_digest(call: &str, body: &[u8]) -> String {
    digest([call.as_bytes(), body])
}

/// SHA-256 of the length-prefixed parts, in hexadecimal digits.
fn digest<const N: usize>(parts: [&[u8]; N]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let bytes = hash.finalize();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
