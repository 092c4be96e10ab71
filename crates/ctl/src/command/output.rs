//! Standard output, for people or for scripts.

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
            println!("{}", serde_json::to_string(value).unwrap_or_default());
            return;
        }
        for line in lines {
            println!("{line}");
        }
    }

    /// Writes a JSON document, in one line for scripts.
    pub(super) fn document(self, value: &Value) {
        if self.json {
            println!("{value}");
        } else {
            println!("{value:#}");
        }
    }
}
