//! How long a request is expected to wait.

/// What a waiting request is expected to wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ExpectedWait {
    /// Time until a batch place is free.
    pub place_ms: u64,
    /// Time until the adapter is loaded.
    pub load_ms: u64,
    /// Whether the adapter is loaded or its load was ordered.
    pub load_underway: bool,
}

impl ExpectedWait {
    /// Time until the request can start.
    pub fn total_ms(self) -> u64 {
        self.place_ms.max(self.load_ms)
    }
}
