//! Formatting of log lines.

use std::fmt::{Display, Write};

use super::EventKind;

/// A log line under construction.
#[derive(Debug)]
pub struct Line {
    kind: &'static EventKind,
    text: String,
}

impl Line {
    /// Starts a line of `kind` without fields.
    ///
    /// ```
    /// # use monsoonspread_relay::event::{Line, kind};
    /// Line::new(&kind::STOPPED).field("instance", "entry-1").log();
    /// ```
    pub fn new(kind: &'static EventKind) -> Self {
        Self {
            kind,
            text: format!("MR{} {}", kind.number, kind.title),
        }
    }

    /// Appends a field; a value that is empty or contains spaces, quotes, `=` or control characters is quoted, with
    /// these characters escaped.
    ///
    /// ```
    /// # use monsoonspread_relay::event::{Line, kind};
    /// let line = Line::new(&kind::STOPPED).field("instance", "entry\n1");
    /// assert!(line.text().ends_with(r#" instance="entry\n1""#));
    /// ```
    #[must_use]
    pub fn field(mut self, name: &str, value: impl Display) -> Self {
        let value = value.to_string();
        let _ = if value.is_empty() || value.contains(needs_quotes) {
            write!(self.text, " {name}={value:?}")
        } else {
            write!(self.text, " {name}={value}")
        };
        self
    }

    /// Returns the line so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Writes the line at the level of its kind.
    pub fn log(self) {
        log::log!(self.kind.level, "{}", self.text);
    }
}

/// Whether a value with this character is quoted: it would end the value, or the line.
fn needs_quotes(character: char) -> bool {
    matches!(character, '"' | '=') || character.is_whitespace() || character.is_control()
}
