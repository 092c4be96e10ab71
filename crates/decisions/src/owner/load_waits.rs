//! Requests that waited for loads.

use monsoonspread_model::UnixMs;
use serde::Serialize;

/// Requests that waited until an adapter was loaded or they were given up for it, and how long
/// they had waited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LoadWaits {
    /// Requests.
    pub requests: u64,
    /// From their arrival to the end of the load or to their refusal, summed up.
    pub waited_ms: u64,
}

impl LoadWaits {
    /// Counts a request that arrived at `arrived_at` and waits for a load no longer.
    pub(super) fn add(&mut self, now: UnixMs, arrived_at: UnixMs) {
        self.requests += 1;
        self.waited_ms += now.ms_since(arrived_at);
    }
}
