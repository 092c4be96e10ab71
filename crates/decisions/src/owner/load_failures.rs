//! Backoff of adapters after failed loads.

use std::collections::BTreeMap;

use monsoonspread_model::{AdapterRef, UnixMs};

/// Maximum number of stored backoffs; the one that ends first is dropped.
const MAX_BACKOFFS: usize = 64;

/// Backoff of one adapter.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: UnixMs,
}

/// Backoffs after failed loads on one upstream.
#[derive(Debug, Default)]
pub(super) struct LoadFailures {
    rows: BTreeMap<AdapterRef, Backoff>,
}

impl LoadFailures {
    /// Counts a failure and returns when the adapter may be tried again.
    pub fn on_failure(
        &mut self,
        adapter: &AdapterRef,
        now: UnixMs,
        first_ms: u64,
        max_ms: u64,
    ) -> UnixMs {
        let failures = self.rows.get(adapter).map_or(0, |row| row.failures);
        let backoff_ms = (first_ms << failures.min(16)).min(max_ms);
        let until = now + backoff_ms;
        self.make_room();
        let failures = failures + 1;
        self.rows
            .insert(adapter.clone(), Backoff { failures, until });
        until
    }

    /// Prevents loads of an adapter until `until`.
    pub fn block(&mut self, adapter: &AdapterRef, until: UnixMs) {
        self.make_room();
        self.rows
            .insert(adapter.clone(), Backoff { failures: 0, until });
    }

    /// Clears the failures of an adapter that was loaded.
    pub fn on_loaded(&mut self, adapter: &AdapterRef) {
        self.rows.remove(adapter);
    }

    /// When the adapter may be loaded again; `None` when it may be loaded now.
    pub fn blocked_until(&self, adapter: &AdapterRef, now: UnixMs) -> Option<UnixMs> {
        self.rows
            .get(adapter)
            .map(|row| row.until)
            .filter(|until| *until > now)
    }

    fn make_room(&mut self) {
        if self.rows.len() < MAX_BACKOFFS {
            return;
        }
        let oldest = self
            .rows
            .iter()
            .min_by_key(|(_, row)| row.until)
            .map(|(adapter, _)| adapter.clone());
        if let Some(adapter) = oldest {
            self.rows.remove(&adapter);
        }
    }
}
