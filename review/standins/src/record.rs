//! The record of what was sent, answered and run: one line an entry, in the order of the clock.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Appends to the record, from any process of the case.
pub struct Record {
    file: File,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path);
        Self {
            file: file.expect("the record"),
        }
    }

    /// Adds a line: the Unix time in milliseconds, and `text`.
    pub fn add(&self, text: &str) {
        let line = format!("{} {text}\n", unix_ms());
        let _ = (&self.file).write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
