//! Time for which a holder may give orders without the store.

use monsoonspread_model::UnixMs;

/// How long a holder may give orders after its last confirmation by the store, in milliseconds.
///
/// Longer than most outages of the store, because no instance may give orders afterwards.
pub const CONFIRMED_FOR_MS: u64 = 8_000;

/// Tracks until when the store's last confirmation of this instance's records is valid.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    holds_until: UnixMs,
}

impl Confirmation {
    /// The store answered a lease renewal that was sent at `sent_at`.
    pub fn on_renewed(&mut self, sent_at: UnixMs) {
        self.holds_until = self.holds_until.max(sent_at + CONFIRMED_FOR_MS);
    }

    /// The store reported that the lease no longer exists.
    pub fn on_lost(&mut self) {
        self.holds_until = UnixMs(0);
    }

    /// Whether orders may be given now.
    pub fn holds(&self, now: UnixMs) -> bool {
        now < self.holds_until
    }
}
