//! Log lines on events that callers can bring about in any number.

use std::cell::RefCell;
use std::collections::HashMap;

use monsoonspread_model::UnixMs;

use crate::event::{EventKind, Line};

/// Minimum time between two lines of a kind, in milliseconds; the metrics count every event.
const LINE_INTERVAL_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Logged {
    next_at: UnixMs,
    left_out: u64,
}

/// Writes at most one line of each kind a second, with the number of events since the last one.
#[derive(Debug, Default)]
pub struct ThrottledLog {
    kinds: RefCell<HashMap<u16, Logged>>,
}

impl ThrottledLog {
    /// Logs the line that `build` completes, unless there was one a moment ago.
    pub fn log(&self, now: UnixMs, kind: &'static EventKind, build: impl FnOnce(Line) -> Line) {
        let mut kinds = self.kinds.borrow_mut();
        let logged = kinds.entry(kind.number).or_default();
        if now < logged.next_at {
            logged.left_out += 1;
            return;
        }
        let left_out = std::mem::take(&mut logged.left_out);
        logged.next_at = now + LINE_INTERVAL_MS;
        build(Line::new(kind)).field("left_out", left_out).log();
    }
}
