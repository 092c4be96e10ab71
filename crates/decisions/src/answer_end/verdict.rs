//! What the end of an answer's bytes means.

use super::Framing;
use crate::event_splitter::StreamPosition;

/// What the end of an answer's bytes means, when nothing failed on its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// The upstream marked the end.
    Complete,
    /// The upstream broke the answer off.
    BrokenOff,
    /// The connection closed where a complete answer may end: after a complete one, or with the upstream's
    /// process.
    Unconfirmed,
}

impl EndVerdict {
    /// Judges the end of an answer; `position` is that in a stream of events, `None` for any other body.
    ///
    /// ```
    /// # use monsoonspread_decisions::answer_end::{EndVerdict, Framing};
    /// # use monsoonspread_decisions::event_splitter::StreamPosition;
    /// let position = Some(StreamPosition::InsideEvent);
    /// assert_eq!(EndVerdict::new(Framing::Chunks, position), EndVerdict::BrokenOff);
    /// ```
    pub fn new(framing: Framing, position: Option<StreamPosition>) -> Self {
        match (position, framing) {
            (Some(StreamPosition::InsideEvent), _) => Self::BrokenOff,
            (_, Framing::Length | Framing::Chunks) => Self::Complete,
            (Some(StreamPosition::BeforeFirst), Framing::Connection) => Self::BrokenOff,
            (Some(StreamPosition::BetweenEvents) | None, Framing::Connection) => Self::Unconfirmed,
        }
    }
}
