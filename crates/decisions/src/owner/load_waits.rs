//! Requests that waited for loads, in vain or not.

use monsoonspread_model::UnixMs;
use serde::Serialize;

/// Requests that waited for an adapter to be loaded, and how long they waited for it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LoadWaits {
    /// Requests.
    pub requests: u64,
    /// From their arrival to the end of the load or of their wait, summed up.
    pub waited_ms: u64,
}

impl LoadWaits {
    /// Sums up the waits at several upstreams.
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
