//! Whole events of a stream, and where another upstream may go on.
//!
//! A broken upstream may stop in the middle of an event. Only whole events are passed on where
//! the stream may be resumed, so that a run elsewhere joins on at an event's border.

#[cfg(test)]
mod tests;

use displaydoc::Display;
use thiserror::Error;

/// Longest event, in bytes: many times what a model says in one, and little beside the memory of
/// an instance.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// an event is longer than 256 KB
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub struct EventTooLong;

/// Cuts a stream of server-sent events at their ends.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A stream of which nothing was seen.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes from the upstream and returns those of every event that is whole now.
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
        // Before that, no end was found; it may begin in the last three bytes.
        let searched = self.partial.len().saturating_sub(LONGEST_END - 1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial[searched..]) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(Vec::new());
        };
        let end = searched + end;
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        self.last_id = last_id(&whole).or(self.last_id);
        Ok(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Forgets the part of an event that a broken upstream left behind.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// What is left of the stream after its end.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }
}

/// Bytes of the longest mark at the end of an event.
const LONGEST_END: usize = 4;

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf_ends = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let end = ends.map(|at| at + 2);
    end.max(crlf_ends.map(|at| at + 4))
}

fn last_id(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let ids = text
        .lines()
        .rev()
        .filter_map(|line| line.strip_prefix("id:"));
    ids.map(str::trim).find_map(|id| id.parse().ok())
}
