//! One line of the log.

use std::fmt::{Display, Write};

use super::EventKind;

/// One line of the log, under construction.
#[derive(Debug)]
pub struct Line {
    kind: &'static EventKind,
    text: String,
}

impl Line {
    /// A line of `kind` without fields.
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

    /// Adds a field; a value with spaces is quoted.
    #[must_use]
    pub fn field(mut self, name: &str, value: impl Display) -> Self {
        let value = value.to_string();
        let _ = if value.is_empty() || value.contains([' ', '"', '=']) {
            write!(self.text, " {name}={value:?}")
        } else {
            write!(self.text, " {name}={value}")
        };
        self
    }

    /// Writes the line.
    pub fn log(self) {
        log::log!(self.kind.level, "{}", self.text);
    }
}
