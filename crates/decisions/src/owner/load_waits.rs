//! Totals of requests that waited for loads, whether or not the load succeeded.

use monsoonspread_model::UnixMs;
use serde::Serialize;

/// Number and total waiting time of requests that waited for an adapter to be loaded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LoadWaits {
    /// Number of requests.
    pub requests: u64,
    /// Total time from arrival to the end of the load or of the wait, in milliseconds.
    pub waited_ms: u64,
}

impl LoadWaits {
    /// Adds up the totals of several upstreams.
    pub(super) fn sum<'a>(waits: impl Iterator<Item = &'a LoadWaits>) -> Self {
        waits.fold(Self::default(), |sum, waits| Self {
            requests: sum.requests + waits.requests,
            waited_ms: sum.waited_ms + waits.waited_ms,
        })
    }

    /// Counts a request that arrived at `arrived_at` and whose wait for a load ends now.
    pub(super) fn add(&mut self, now: UnixMs, arrived_at: UnixMs) {
        self.requests += 1;
        self.waited_ms += now.ms_since(arrived_at);
    }
}
