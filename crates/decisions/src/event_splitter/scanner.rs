//! Position in a stream of events.

use displaydoc::Display;

/// Where the bytes read so far end in a stream of events.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StreamPosition {
    /// before first event
    BeforeFirst,
    /// between events
    BetweenEvents,
    /// inside event
    InsideEvent,
}

/// Follows a stream of server-sent events byte by byte.
///
/// Lines end with LF, CR LF or CR, and events with a blank line. Comments outside of events belong to
/// none.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// Whether the current line has bytes, and whether it is a comment.
    line: Option<LineKind>,
    /// Whether the last byte was the CR of a line ending, to which an LF may belong.
    ended_with_cr: bool,
    /// Whether the current event has a field.
    has_field: bool,
    has_event: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LineKind {
    Comment,
    Field,
}

impl EventScanner {
    /// Starts at the beginning of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads more bytes; returns the offset up to which they are outside of an unfinished event or line.
    ///
    /// ```
    /// # use monsoonspread_decisions::event_splitter::{EventScanner, StreamPosition};
    /// let mut scanner = EventScanner::new();
    /// assert_eq!(scanner.scan(b"data: a\r\n\r\ndata: b\n"), Some(11));
    /// assert_eq!(scanner.position(), StreamPosition::InsideEvent);
    /// ```
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut boundary = None;
        for (index, byte) in bytes.iter().enumerate() {
            let is_second_half = *byte == b'\n' && self.ended_with_cr;
            self.ended_with_cr = *byte == b'\r';
            match byte {
                b'\n' if is_second_half => {}
                b'\r' | b'\n' => self.on_line_end(),
                _ => {
                    let kind = if *byte == b':' {
                        LineKind::Comment
                    } else {
                        LineKind::Field
                    };
                    self.line.get_or_insert(kind);
                }
            }
            if self.line.is_none() && !self.has_field {
                boundary = Some(index + 1);
            }
        }
        boundary
    }

    /// Where the bytes read so far end.
    pub fn position(&self) -> StreamPosition {
        if self.line.is_some() || self.has_field {
            StreamPosition::InsideEvent
        } else if self.has_event {
            StreamPosition::BetweenEvents
        } else {
            StreamPosition::BeforeFirst
        }
    }

    fn on_line_end(&mut self) {
        match self.line.take() {
            Some(LineKind::Field) => self.has_field = true,
            Some(LineKind::Comment) => {}
            None => {
                self.has_event |= self.has_field;
                self.has_field = false;
            }
        }
    }
}
