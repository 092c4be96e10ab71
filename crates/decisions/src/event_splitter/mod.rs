//! Splits a stream into complete events, so that another upstream can resume it.
//!
//! A failed upstream may stop in the middle of an event. Only complete events of a resumable stream
//! are forwarded, so that the stream can be resumed elsewhere at an event boundary.

mod scanner;
#[cfg(test)]
mod tests;

pub use scanner::{EventScanner, StreamPosition};

use displaydoc::Display;
use thiserror::Error;

/// Maximum length of an event, in bytes: many times the length of a model's events, and small compared
/// with the memory of an instance.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// an event is longer than 256 KB
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub struct EventTooLong;

/// Splits a stream of server-sent events at event boundaries.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    scanner: EventScanner,
}

impl EventSplitter {
    /// Starts at the beginning of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes from the upstream and returns the bytes of all events that are complete now.
    ///
    /// # Errors
    ///
    /// Fails when an event grows beyond [`MAX_EVENT_BYTES`].
    ///
    /// ```
    /// # use monsoonspread_decisions::event_splitter::{EventSplitter, EventTooLong};
    /// let mut splitter = EventSplitter::new();
    /// assert_eq!(splitter.push(b"id: 4\ndata: a\n\nid: 5\nda")?, b"id: 4\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(4));
    /// # Ok::<(), EventTooLong>(())
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        let scanned = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.scanner.scan(bytes) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(Vec::new());
        };
        let end = scanned + end;
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        self.last_id = last_id(&complete).or(self.last_id);
        Ok(complete)
    }

    /// Where the bytes of the current upstream end so far.
    pub fn position(&self) -> StreamPosition {
        self.scanner.position()
    }

    /// Numeric id of the last complete event that has one; `None` before the first.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the incomplete event that a failed upstream left behind.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::new();
    }
}

/// The last numeric id in complete events.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| matches!(byte, b'\r' | b'\n'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
