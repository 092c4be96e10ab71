//! Demand of the whole region as reported by the holders that count it.

use std::collections::BTreeMap;

use monsoonspread_model::{AdapterName, UnixMs};

/// Maximum age of a count, in milliseconds: each request for the adapter returns a newer one.
const COUNT_AGE_MS: u64 = 2_000;
/// Maximum number of stored counts.
const MAX_COUNTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Count {
    per_s: f64,
    received_at: UnixMs,
}

/// Stores the demand of the whole region as reported by the holders that count it.
#[derive(Debug, Default)]
pub(super) struct CountedDemand {
    counts: BTreeMap<AdapterName, Count>,
}

impl CountedDemand {
    /// Stores a count in requests per second; dropped while the table is full of recent counts.
    pub(super) fn set(&mut self, now: UnixMs, adapter: &AdapterName, per_s: f64) {
        if self.counts.len() >= MAX_COUNTS {
            self.counts.retain(|_, count| count.is_fresh(now));
        }
        if self.counts.len() < MAX_COUNTS {
            let received_at = now;
            self.counts
                .insert(adapter.clone(), Count { per_s, received_at });
        }
    }

    /// Requests per second; `None` without a recent report.
    pub(super) fn get(&self, now: UnixMs, adapter: &AdapterName) -> Option<f64> {
        let count = self.counts.get(adapter)?;
        count.is_fresh(now).then_some(count.per_s)
    }
}

impl Count {
    fn is_fresh(&self, now: UnixMs) -> bool {
        now.ms_since(self.received_at) < COUNT_AGE_MS
    }
}
