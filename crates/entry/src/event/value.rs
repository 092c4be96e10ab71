//! Fields of log events.

use std::fmt;

/// One `key=value` field; empty values and values with spaces, quotes or non-ASCII characters are
/// quoted.
pub(super) struct Value {
    key: &'static str,
    text: String,
}

impl Value {
    /// Creates a field with the `Display` form of `value`.
    pub(super) fn new(key: &'static str, value: &dyn fmt::Display) -> Self {
        Self::with_text(key, value.to_string())
    }

    /// Creates a field with the `Debug` form of `value`.
    pub(super) fn debug(key: &'static str, value: &dyn fmt::Debug) -> Self {
        Self::with_text(key, format!("{value:?}"))
    }

    fn with_text(key: &'static str, text: String) -> Self {
        Self { key, text }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = !self.text.is_empty()
            && self
                .text
                .chars()
                .all(|character| character.is_ascii_graphic() && character != '"');
        if plain {
            return write!(f, "{}={}", self.key, self.text);
        }
        write!(f, "{}={:?}", self.key, self.text)
    }
}
