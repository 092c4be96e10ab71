//! What shows that an upstream closed a connection on purpose.

use displaydoc::Display;

/// What an upstream showed of its process after it closed the connection of an answer.
///
/// Only a process that still runs can have closed the connection because the answer was complete. Whether
/// the upstream was leaving, is listed or was busy says nothing about that.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProcessEvidence {
    /// answered
    Answered {
        /// Start time of the answering process; `None` if it doesn't tell.
        started_unix_ms: Option<u64>,
    },
    /// another process
    OtherProcess,
    /// connection refused
    ConnectionRefused,
    /// no answer
    NoAnswer,
    /// not asked
    NotAsked,
    /// request unread
    RequestUnread,
}

impl ProcessEvidence {
    /// Returns the name of the kind of evidence, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::OtherProcess => "other_process",
            Self::ConnectionRefused => "connection_refused",
            Self::NoAnswer => "no_answer",
            Self::NotAsked => "not_asked",
            Self::RequestUnread => "request_unread",
        }
    }

    /// Whether this shows that the process that started at `started_unix_ms` ran on after the end of its
    /// answer; `listed_start` is that of the process that is listed now, if any.
    ///
    /// ```
    /// # use monsoonspread_decisions::answer_end::ProcessEvidence;
    /// let answered = ProcessEvidence::Answered { started_unix_ms: Some(5) };
    /// assert!(answered.confirms_end(5, None));
    /// assert!(!answered.confirms_end(4, None));
    /// assert!(!ProcessEvidence::NoAnswer.confirms_end(5, Some(5)));
    /// ```
    pub fn confirms_end(self, started_unix_ms: u64, listed_start: Option<u64>) -> bool {
        let Self::Answered {
            started_unix_ms: answered_start,
        } = self
        else {
            return false;
        };
        answered_start.or(listed_start).unwrap_or(started_unix_ms) == started_unix_ms
    }
}
