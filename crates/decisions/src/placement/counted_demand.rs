//! Demand of the whole region, as the holders that count it told.

use std::collections::BTreeMap;

use monsoonspread_model::{AdapterName, UnixMs};

/// How long a count is used, in milliseconds: each request for the adapter brings a newer one.
const COUNT_AGE_MS: u64 = 2_000;
/// Counts that are remembered at the most.
const MAX_COUNTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Count {
    per_s: f64,
    told_at: UnixMs,
}

/// Demand of the whole region, as the holders that count it told.
#[derive(Debug, Default)]
pub(super) struct CountedDemand {
    counts: BTreeMap<AdapterName, Count>,
}

impl CountedDemand {
    /// Remembers a count.
    pub(super) fn set(&mut self, now: UnixMs, adapter: &AdapterName, per_s: f64) {
        if self.counts.len() >= MAX_COUNTS {
            self.counts.retain(|_, count| count.is_fresh(now));
        }
        if self.counts.len() < MAX_COUNTS {
            let told_at = now;
            self.counts
                .insert(adapter.clone(), Count { per_s, told_at });
        }
    }

    /// Requests a second, if a holder told them a moment ago.
    pub(super) fn get(&self, now: UnixMs, adapter: &AdapterName) -> Option<f64> {
        let count = self.counts.get(adapter)?;
        count.is_fresh(now).then_some(count.per_s)
    }
}

impl Count {
    fn is_fresh(&self, now: UnixMs) -> bool {
        now.ms_since(self.told_at) < COUNT_AGE_MS
    }
}
