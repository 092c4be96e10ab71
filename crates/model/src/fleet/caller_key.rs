//! Keys that identify callers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The key of a caller, which only the instances know. Neither its `Debug` form nor any error shows it.
#[derive(Clone, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct CallerKey(String);

impl CallerKey {
    /// Creates the key with this text.
    ///
    /// ```
    /// # use monsoonspread_model::fleet::CallerKey;
    /// let key = CallerKey::new("k7b2");
    /// assert_eq!(key.as_bytes(), b"k7b2");
    /// assert_eq!(format!("{key:?}"), "CallerKey(..)");
    /// ```
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the bytes to hash or compare.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}
