//! Keys of claims.

use std::fmt;

use monsoonspread_model::{CallerName, ServiceName};
use sha2::{Digest, Sha256};

/// Where all claims are kept in the key-value service.
const PREFIX: &str = "/monsoonspread/claim/";

/// The key of one claim in the key-value service; the caller's own key can't be read from it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// The key for `idempotency_key` of `caller` at `service`.
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

/// Tells one call with its body from another that came with the same key.
///
/// ```
/// # use monsoonspread_decisions::claims::body_digest;
/// assert_ne!(body_digest("commit", b"a"), body_digest("commit", b"b"));
/// ```
pub fn body_digest(call: &str, body: &[u8]) -> String {
    digest([call.as_bytes(), body])
}

/// SHA-256 of the parts, each with its length before it.
fn digest<const N: usize>(parts: [&[u8]; N]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let bytes = hash.finalize();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
