//! Recent times by fingerprint.

use std::collections::HashMap;

use monsoonspread_model::{Fingerprint, UnixMs};

/// Maximum number of remembered fingerprints.
const MAX_FINGERPRINTS: usize = 4_096;

/// The last time of something for each fingerprint; the oldest are dropped first.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentTimes {
    times: HashMap<Fingerprint, UnixMs>,
}

impl RecentTimes {
    pub(super) fn record(&mut self, fingerprint: Fingerprint, at: UnixMs) {
        let is_known = self.times.contains_key(&fingerprint);
        if !is_known && self.times.len() >= MAX_FINGERPRINTS {
            let oldest = self.times.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.times.remove(&oldest);
            }
        }
        self.times.insert(fingerprint, at);
    }

    pub(super) fn last(&self, fingerprint: Fingerprint) -> Option<UnixMs> {
        self.times.get(&fingerprint).copied()
    }
}
