//! How one request ended.

use monsoonspread_model::RefusalReason;
use serde::Serialize;

use crate::plan::PlannedRequest;

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "ending", content = "detail")]
pub enum Ending {
    /// The whole answer arrived, from the right adapter.
    Answered,
    /// It was refused.
    Refused(RefusalReason),
    /// No token came by the deadline, and the client gave up.
    GaveUp,
    /// The answer broke off or could not be read.
    Broken(String),
    /// The answer was another one than asked for.
    Wrong(String),
}

/// One request with what its client saw, measured from the planned time of sending.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// The request.
    pub request: PlannedRequest,
    /// How it ended.
    pub ending: Ending,
    /// To the first token, when one came.
    pub first_token_us: Option<u64>,
    /// To the end.
    pub total_us: u64,
    /// From the planned to the real time of sending.
    pub sent_late_us: u64,
    /// Whether it was refused with the promise that nothing ran.
    pub said_not_run: bool,
    /// Upstreams or entry instances it was sent to.
    pub tries: u32,
}

impl Outcome {
    /// Whether the whole answer arrived and began by the deadline.
    pub fn in_time(&self) -> bool {
        let deadline_us = self.request.deadline_ms * 1_000;
        self.ending == Ending::Answered && self.first_token_us.is_some_and(|us| us <= deadline_us)
    }

    /// Time to the first token, or until the client gave up waiting for it.
    pub fn waited_us(&self) -> Option<u64> {
        match self.ending {
            Ending::GaveUp => Some(self.total_us),
            _ => self.first_token_us,
        }
    }
}
