//! Standard output, for people or for scripts.

use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;
use serde_json::Value;

/// Writes results to standard output.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    json: bool,
}

impl Output {
    pub(super) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Whether scripts read the output.
    pub(super) fn is_json(self) -> bool {
        self.json
    }

    /// Writes a result: the lines for people, the value for scripts.
    pub(super) fn result(self, value: &impl Serialize, lines: &[String]) {
        if self.json {
            print_line(&serde_json::to_string(value).unwrap_or_default());
            return;
        }
        for line in lines {
            print_line(line);
        }
    }

    /// Writes a JSON document, in one line for scripts.
    pub(super) fn document(self, value: &Value) {
        if self.json {
            print_line(value);
        } else {
            print_line(&format_args!("{value:#}"));
        }
    }
}

fn print_line(line: &dyn Display) {
    print_text(&mut io::stdout(), &format_args!("{line}\n"));
}

/// Writes text; a reader that has seen enough, such as `head`, is no error.
pub(super) fn print_text(out: &mut dyn Write, text: &dyn Display) {
    let _ = write!(out, "{text}");
}
