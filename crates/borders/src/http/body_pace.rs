//! How long the body of an answer may take.

/// How long the body of an answer may take, by the bytes that have arrived.
///
/// A slow link delays a long answer and must not prevent it; a sender that trickles bytes must not hold its
/// caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyPace {
    /// Rate at which bytes have to arrive, in bytes a millisecond.
    pub min_bytes_per_ms: u64,
    /// Maximum time beyond the timeout of the call, in milliseconds, whatever arrives.
    pub max_extra_ms: u64,
}

impl BodyPace {
    /// Returns how long a call with the timeout `timeout_ms` may take after `received` bytes, in milliseconds.
    ///
    /// ```
    /// # use monsoonspread_borders::http::BodyPace;
    /// let pace = BodyPace { min_bytes_per_ms: 100, max_extra_ms: 5_000 };
    /// assert_eq!(pace.max_ms(1_000, 200_000), 3_000);
    /// assert_eq!(pace.max_ms(1_000, 90_000_000), 6_000);
    /// ```
    pub fn max_ms(self, timeout_ms: u64, received: usize) -> u64 {
        let extra_ms = received as u64 / self.min_bytes_per_ms.max(1);
        timeout_ms + extra_ms.min(self.max_extra_ms)
    }
}
