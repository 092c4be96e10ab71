//! Whether an owner that may have been paused is still the owner.

use monsoonspread_model::UnixMs;

/// What an owner waits for after a pause before it gives grants again.
///
/// During a pause a successor may have begun. On an upstream that checks fencing numbers an
/// order accepted after the pause proves that there is none; elsewhere a report taken after
/// the pause shows a successor's copies, and the successor's request for grants arrives.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Confirmation {
    pending_since: Option<UnixMs>,
    fence_sent: bool,
    fences_in_flight: u32,
    fence_sent_at: UnixMs,
}

impl Confirmation {
    /// Whether no grant may be given.
    pub fn is_pending(&self) -> bool {
        self.pending_since.is_some()
    }

    /// Begins to confirmation.
    pub fn require(&mut self, now: UnixMs) {
        self.pending_since = Some(now);
        self.fence_sent = false;
    }

    /// Takes in that a fencing order was sent.
    pub fn on_fence_sent(&mut self, now: UnixMs) {
        self.fence_sent = true;
        self.fences_in_flight += 1;
        self.fence_sent_at = now;
    }

    /// Forgets fencing orders whose answer is overdue.
    pub fn on_tick(&mut self, now: UnixMs, timeout_ms: u64) {
        if now.ms_since(self.fence_sent_at) >= timeout_ms {
            self.fences_in_flight = 0;
        }
    }

    /// Takes in that a fencing order was answered. Only when none is in flight is it certain
    /// that one sent after the pause was accepted.
    pub fn on_fence_answered(&mut self, accepted: bool) {
        self.fences_in_flight = self.fences_in_flight.saturating_sub(1);
        if accepted && self.fence_sent && self.fences_in_flight == 0 {
            self.pending_since = None;
        }
    }

    /// Takes in a report of an upstream that does not check fencing numbers.
    pub fn on_report(&mut self, taken_at: UnixMs, margin_ms: u64) {
        self.pending_since = self
            .pending_since
            .filter(|pending_since| *pending_since + margin_ms >= taken_at);
    }
}
