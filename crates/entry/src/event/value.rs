//! Fields of events.

use std::fmt;

/// One `key=value` field; values with spaces are quoted.
pub(super) struct Value {
    key: &'static str,
    text: String,
}

impl Value {
    /// A field that shows `value`.
    pub(super) fn new(key: &'static str, value: &dyn fmt::Display) -> Self {
        Self::with_text(key, value.to_string())
    }

    /// A field that shows the structure of `value`.
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
