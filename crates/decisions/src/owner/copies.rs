//! Adapter copies on one upstream.

use std::collections::BTreeMap;

use monsoonspread_model::{AdapterRef, CopyName, Epoch, UnixMs};

use super::tracked_copy::{CopyState, TrackedCopy};

/// Maximum number of removed copies that are remembered, as late reports may still list them.
const MAX_REMOVED: usize = 64;

/// Every copy that occupies an adapter slot of one upstream.
#[derive(Debug, Default)]
pub(super) struct Copies {
    rows: BTreeMap<CopyName, TrackedCopy>,
    removed: Vec<(CopyName, UnixMs)>,
}

impl Copies {
    /// Number of occupied slots.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Number of copies in `state`.
    pub fn count(&self, state: CopyState) -> usize {
        self.rows
            .values()
            .filter(|copy| copy.state == state)
            .count()
    }

    /// Names of the copies that have been in `state` for at least `ms` milliseconds.
    pub fn in_state_for(&self, state: CopyState, now: UnixMs, ms: u64) -> Vec<CopyName> {
        self.rows
            .iter()
            .filter(|(_, copy)| copy.state == state && now.ms_since(copy.since) >= ms)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The copy called `name`.
    pub fn get(&self, name: &CopyName) -> Option<&TrackedCopy> {
        self.rows.get(name)
    }

    pub fn get_mut(&mut self, name: &CopyName) -> Option<&mut TrackedCopy> {
        self.rows.get_mut(name)
    }

    /// Every copy.
    pub fn iter(&self) -> impl Iterator<Item = (&CopyName, &TrackedCopy)> {
        self.rows.iter()
    }

    /// Every copy of `adapter`, of any epoch, in ascending order of epochs.
    pub fn of_adapter<'a>(
        &'a self,
        adapter: &AdapterRef,
    ) -> impl Iterator<Item = (&'a CopyName, &'a TrackedCopy)> {
        let first = CopyName::new(adapter.clone(), Epoch(0));
        self.rows
            .range(first..)
            .take_while(move |(name, _)| name.adapter == *adapter)
    }

    /// Adds or replaces a copy.
    pub fn insert(&mut self, name: CopyName, copy: TrackedCopy) {
        self.rows.insert(name, copy);
    }

    /// Removes a copy that the upstream no longer holds. Returns whether it was recorded.
    pub fn remove(&mut self, name: &CopyName, now: UnixMs) -> bool {
        if self.rows.remove(name).is_none() {
            return false;
        }
        self.removed.retain(|(removed, _)| removed != name);
        if self.removed.len() == MAX_REMOVED {
            self.removed.remove(0);
        }
        self.removed.push((name.clone(), now));
        true
    }

    /// Converts the set into its copies.
    pub fn into_rows(self) -> BTreeMap<CopyName, TrackedCopy> {
        self.rows
    }

    /// When the copy called `name` was removed, if it is among the last removed ones.
    pub fn removed_at(&self, name: &CopyName) -> Option<UnixMs> {
        self.removed
            .iter()
            .find(|(removed, _)| removed == name)
            .map(|(_, at)| *at)
    }
}
