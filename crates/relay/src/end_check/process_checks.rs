//! The checks of one process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use monsoonspread_decisions::announced::Backoff;
use monsoonspread_decisions::answer_end::{CheckTimes, ProcessEvidence};
use monsoonspread_model::UnixMs;
use tokio::sync::watch;

/// The checks of one process, shared by the answers that wait for one.
#[derive(Default)]
pub(super) struct ProcessChecks {
    times: RefCell<CheckTimes>,
    /// End of the last back-off in which a check was sent.
    counted_until: Cell<UnixMs>,
    /// Number of the last end or check, in the order in which they happened.
    last_number: Cell<u64>,
    /// Numbers of the checks that are under way.
    under_way: RefCell<BTreeSet<u64>>,
    /// The last check that showed something.
    last: Cell<Option<(u64, ProcessEvidence)>>,
    changed: watch::Sender<()>,
}

impl ProcessChecks {
    /// Whether checks still count against a back-off.
    pub(super) fn is_counted(&self, now: UnixMs) -> bool {
        now < self.counted_until.get()
    }

    /// Returns the number of an end, or a check, that happens now.
    pub(super) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Returns a receiver that is notified of the end of each check.
    pub(super) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns what a check showed that was sent after the end `number`.
    pub(super) fn evidence_after(&self, number: u64) -> Option<ProcessEvidence> {
        let (check, evidence) = self.last.get()?;
        (check > number).then_some(evidence)
    }

    /// Whether a check is under way.
    pub(super) fn is_under_way(&self) -> bool {
        !self.under_way.borrow().is_empty()
    }

    /// Whether a check is under way that was sent after the end `number`.
    pub(super) fn is_under_way_after(&self, number: u64) -> bool {
        let under_way = self.under_way.borrow();
        under_way.last().is_some_and(|check| *check > number)
    }

    /// Returns the earliest time at which a check may be sent for an answer that is given up at `gives_up_at`.
    pub(super) fn next_at(
        &self,
        now: UnixMs,
        backoff: Option<Backoff>,
        gives_up_at: UnixMs,
    ) -> UnixMs {
        self.times.borrow().next(now, backoff, gives_up_at)
    }

    /// Begins a check, which ends when the returned value is dropped.
    pub(super) fn begin(&self, now: UnixMs, backoff: Option<Backoff>) -> CheckUnderWay<'_> {
        self.times.borrow_mut().on_check(now, backoff);
        if let Some(backoff) = backoff {
            self.counted_until.set(backoff.until);
        }
        let number = self.next_number();
        self.under_way.borrow_mut().insert(number);
        CheckUnderWay {
            checks: self,
            number,
        }
    }
}

/// A check that is under way.
pub(super) struct CheckUnderWay<'a> {
    checks: &'a ProcessChecks,
    number: u64,
}

impl CheckUnderWay<'_> {
    /// Records what the check showed.
    pub(super) fn on_evidence(&self, evidence: ProcessEvidence) {
        self.checks.last.set(Some((self.number, evidence)));
    }
}

impl Drop for CheckUnderWay<'_> {
    fn drop(&mut self) {
        self.checks.under_way.borrow_mut().remove(&self.number);
        self.checks.changed.send_replace(());
    }
}
