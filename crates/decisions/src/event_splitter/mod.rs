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
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Why an upstream's events can't be forwarded.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum EventError {
    /// an event is longer than 64 KB
    TooLong,
    /// a resumed stream repeats events
    Repeated,
}

/// Splits a stream of server-sent events at event boundaries.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    /// The event after which the current upstream was to resume, until its first event with an id.
    resumed_after: Option<u64>,
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
    /// Fails when an event grows beyond [`MAX_EVENT_BYTES`], or when an upstream that resumes the stream
    /// begins with an event that came before.
    ///
    /// ```
    /// # use monsoonspread_decisions::event_splitter::{EventError, EventSplitter};
    /// let mut splitter = EventSplitter::new();
    /// assert_eq!(splitter.push(b"id: 4\ndata: a\n\nid: 5\nda")?, b"id: 4\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(4));
    /// # Ok::<(), EventError>(())
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        let scanned = self.partial.len();
        let Some(end) = self.scanner.scan(bytes) else {
            if scanned + bytes.len() > MAX_EVENT_BYTES {
                self.partial = Vec::new();
                return Err(EventError::TooLong);
            }
            self.grow_for(bytes.len());
            self.partial.extend_from_slice(bytes);
            return Ok(Vec::new());
        };
        self.partial.extend_from_slice(bytes);
        let end = scanned + end;
        let rest = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, rest);
        if let Some(first) = ids(&complete).next()
            && let Some(after) = self.resumed_after.take()
            && first <= after
        {
            return Err(EventError::Repeated);
        }
        self.last_id = ids(&complete).next_back().or(self.last_id);
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

    /// Discards the incomplete event that a failed upstream left behind; the next bytes are those of an
    /// upstream that resumes the stream.
    pub fn resume(&mut self) {
        self.resumed_after = self.last_id;
        self.partial = Vec::new();
        self.scanner = EventScanner::new();
    }

    /// Makes room for `more` bytes of an incomplete event: at most the length of the longest one, which doubling
    /// the room would exceed.
    fn grow_for(&mut self, more: usize) {
        let needed = self.partial.len() + more;
        let doubled = self.partial.capacity() * 2;
        let room = needed.max(doubled.min(MAX_EVENT_BYTES));
        if needed > self.partial.capacity() {
            self.partial.reserve_exact(room - self.partial.len());
        }
    }
}

/// The numeric ids in complete events.
fn ids(events: &[u8]) -> impl DoubleEndedIterator<Item = u64> {
    let lines = events.split(|byte| matches!(byte, b'\r' | b'\n'));
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
