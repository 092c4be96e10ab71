//! Confirmation of an ownership after a possible pause of the process.

use monsoonspread_model::UnixMs;

/// Tracks whether an ownership has to be confirmed before grants are given again.
///
/// During a pause another instance may have become the owner. On an upstream that checks fencing
/// numbers an order accepted after the pause proves that there is no successor. Elsewhere a report
/// taken after the pause would show the successor's copies, and its announcement request arrives.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Confirmation {
    pending_since: Option<UnixMs>,
    fence_sent: bool,
    fences_in_flight: u32,
    fence_sent_at: UnixMs,
}

impl Confirmation {
    /// Whether grants are withheld because the ownership is unconfirmed.
    pub fn is_pending(&self) -> bool {
        self.pending_since.is_some()
    }

    /// Requires a confirmation from `now` on.
    pub fn require(&mut self, now: UnixMs) {
        self.pending_since = Some(now);
        self.fence_sent = false;
    }

    /// Records that a fencing order was sent.
    pub fn on_fence_sent(&mut self, now: UnixMs) {
        self.fence_sent = true;
        self.fences_in_flight += 1;
        self.fence_sent_at = now;
    }

    /// Stops waiting for the answers of fencing orders after `timeout_ms`.
    pub fn on_tick(&mut self, now: UnixMs, timeout_ms: u64) {
        if now.ms_since(self.fence_sent_at) >= timeout_ms {
            self.fences_in_flight = 0;
        }
    }

    /// Records the answer to a fencing order. Answers don't name their order, so only when none
    /// is in flight is it certain that one sent after the pause was accepted.
    pub fn on_fence_answered(&mut self, accepted: bool) {
        self.fences_in_flight = self.fences_in_flight.saturating_sub(1);
        if accepted && self.fence_sent && self.fences_in_flight == 0 {
            self.pending_since = None;
        }
    }

    /// Processes a report of an upstream that does not check fencing numbers.
    pub fn on_report(&mut self, taken_at: UnixMs, margin_ms: u64) {
        self.pending_since = self
            .pending_since
            .filter(|pending_since| *pending_since + margin_ms >= taken_at);
    }
}
