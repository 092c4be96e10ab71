//! Entries of the store that disappeared and may come back.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

use super::StoreStatus;

/// What the disappearance of an entry means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disappearance {
    /// The entry's owner has ended.
    Ended,
    /// The owner may be alive; the entry counts as listed until it lapses.
    Lapsing,
    /// The entry is lapsing already.
    Known,
}

/// Entries that disappeared during an outage of the store, until they are back or lapse.
///
/// ```
/// use monsoonspread_decisions::store_health::{Disappearance, LapsingEntries, StoreStatus};
/// use monsoonspread_model::UnixMs;
///
/// let status = StoreStatus { back_by: UnixMs(5_000), ..StoreStatus::default() };
/// let mut lapsing = LapsingEntries::default();
/// assert_eq!(lapsing.on_gone(UnixMs(4_000), "node-1", status), Disappearance::Lapsing);
/// assert!(lapsing.take_lapsed(UnixMs(4_999)).is_empty());
/// assert_eq!(lapsing.take_lapsed(UnixMs(5_000)), ["node-1"]);
/// ```
#[derive(Clone, Debug)]
pub struct LapsingEntries<K> {
    lapses_at: BTreeMap<K, UnixMs>,
}

impl<K> Default for LapsingEntries<K> {
    fn default() -> Self {
        Self {
            lapses_at: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord> LapsingEntries<K> {
    /// An entry is listed, or listed again.
    pub fn on_listed(&mut self, key: &K) {
        self.lapses_at.remove(key);
    }

    /// A listed entry disappeared.
    pub fn on_gone(&mut self, now: UnixMs, key: K, status: StoreStatus) -> Disappearance {
        if self.lapses_at.contains_key(&key) {
            return Disappearance::Known;
        }
        if now >= status.back_by {
            return Disappearance::Ended;
        }
        self.lapses_at.insert(key, status.back_by);
        Disappearance::Lapsing
    }

    /// Removes and returns the entries that lapsed.
    pub fn take_lapsed(&mut self, now: UnixMs) -> Vec<K> {
        let entries = self.lapses_at.iter();
        let lapsed = entries.filter(|(_, lapses_at)| **lapses_at <= now);
        let lapsed: Vec<K> = lapsed.map(|(key, _)| key.clone()).collect();
        self.lapses_at.retain(|_, lapses_at| *lapses_at > now);
        lapsed
    }
}
