//! How long a holder may go on without the store.

use monsoonspread_model::UnixMs;

/// How long after the store last confirmed it a holder gives orders, in milliseconds.
///
/// Longer than most outages of the store, as nobody may order anything after it.
pub const CONFIRMED_FOR_MS: u64 = 8_000;

/// When the store last confirmed this instance's records.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    holds_until: UnixMs,
}

impl Confirmation {
    /// The store answered a renewal that was sent at `sent_at`.
    pub fn on_renewed(&mut self, sent_at: UnixMs) {
        self.holds_until = self.holds_until.max(sent_at + CONFIRMED_FOR_MS);
    }

    /// The store no longer knows the lease.
    pub fn on_lost(&mut self) {
        self.holds_until = UnixMs(0);
    }

    /// Whether orders may be given now.
    pub fn holds(&self, now: UnixMs) -> bool {
        now < self.holds_until
    }
}
