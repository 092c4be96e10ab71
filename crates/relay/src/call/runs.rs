//! Which upstreams may have run a request.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts the upstreams that may have run a request; clones share the count.
#[derive(Clone, Debug, Default)]
pub(super) struct Runs {
    state: Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of upstreams that may have run the request.
    count: Cell<u32>,
    is_being_sent: Cell<bool>,
    settled: Notify,
}

impl Runs {
    /// Whether an upstream may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.state.count.get() > 0
    }

    /// Begins an attempt, which ends when the returned value is dropped.
    pub(super) fn begin(&self) -> RunAttempt {
        self.state.count.set(self.state.count.get() + 1);
        self.state.is_being_sent.set(true);
        RunAttempt { runs: self.clone() }
    }

    /// Waits until no attempt is under way.
    pub(super) async fn settled(&self) {
        while self.state.is_being_sent.get() {
            self.state.settled.notified().await;
        }
    }
}

/// An attempt to run a request.
pub(super) struct RunAttempt {
    runs: Runs,
}

impl RunAttempt {
    /// The upstream did not run the request, and never will.
    pub(super) fn on_not_run(&self) {
        let count = &self.runs.state.count;
        count.set(count.get().saturating_sub(1));
    }
}

impl Drop for RunAttempt {
    fn drop(&mut self) {
        self.runs.state.is_being_sent.set(false);
        self.runs.state.settled.notify_waiters();
    }
}
