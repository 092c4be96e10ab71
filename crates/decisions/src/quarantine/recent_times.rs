//! Recent times by fingerprint.

use std::collections::HashMap;

use monsoonspread_model::{Fingerprint, UnixMs};

/// Maximum number of fingerprints in a generation.
const MAX_FINGERPRINTS: usize = 4_096;

/// The last time of something for each fingerprint, in two generations: a full one replaces the one before it,
/// so that the most recent fingerprints are kept at the same cost however many there are.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentTimes {
    current: HashMap<Fingerprint, UnixMs>,
    previous: HashMap<Fingerprint, UnixMs>,
}

impl RecentTimes {
    pub(super) fn record(&mut self, fingerprint: Fingerprint, at: UnixMs) {
        if self.current.len() >= MAX_FINGERPRINTS && !self.current.contains_key(&fingerprint) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint, at);
    }

    pub(super) fn last(&self, fingerprint: Fingerprint) -> Option<UnixMs> {
        let current = self.current.get(&fingerprint);
        current.or_else(|| self.previous.get(&fingerprint)).copied()
    }
}
