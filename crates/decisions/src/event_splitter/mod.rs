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
        // Earlier bytes contain no event end, except that one may begin in the last three.
        let searched = self.partial.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        self.scanner.scan(bytes);
        let Some(end) = last_event_end(&self.partial[searched..]) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(Vec::new());
        };
        let end = searched + end;
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

    /// Takes the incomplete event at the end of the stream.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }
}

/// Length of the longest event terminator, in bytes.
const MAX_TERMINATOR_BYTES: usize = 4;

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf_end = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let end = lf_end.map(|at| at + 2);
    end.max(crlf_end.map(|at| at + 4))
}

fn last_id(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let ids = text
        .lines()
        .rev()
        .filter_map(|line| line.strip_prefix("id:"));
    ids.map(str::trim).find_map(|id| id.parse().ok())
}
