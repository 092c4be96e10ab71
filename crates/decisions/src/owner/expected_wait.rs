//! Expected waiting times of a request.

/// Expected waiting times of a request, in milliseconds.
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
    /// Time until the request can start: place and load are waited for in parallel.
    pub fn total_ms(self) -> u64 {
        self.place_ms.max(self.load_ms)
    }
}
