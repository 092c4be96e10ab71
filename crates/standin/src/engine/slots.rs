//! Adapter slots.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::command::OrderOutcome;

/// One adapter slot in use.
#[derive(Debug)]
pub(super) struct Slot {
    /// Whether the adapter is there; otherwise it is being loaded.
    pub(super) ready: bool,
    /// Requests that wait for it or run on it.
    pub(super) in_use: u32,
    /// Grows with each use of any slot.
    pub(super) last_use: u64,
    /// Orders that wait for the load.
    pub(super) waiters: Vec<oneshot::Sender<OrderOutcome>>,
}

/// The slots of an engine by the name of the copy in them.
#[derive(Debug, Default)]
pub(super) struct Slots {
    by_name: BTreeMap<String, Slot>,
    clock: u64,
}

impl Slots {
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Slot> {
        self.by_name.get_mut(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &Slot)> {
        self.by_name.iter()
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    pub(super) fn is_ready(&self, name: &str) -> bool {
        self.by_name.get(name).is_some_and(|slot| slot.ready)
    }

    /// Takes a slot for a copy that is about to be loaded.
    pub(super) fn begin_load(&mut self, name: &str) -> &mut Slot {
        self.clock += 1;
        let slot = Slot {
            ready: false,
            in_use: 0,
            last_use: self.clock,
            waiters: Vec::new(),
        };
        self.by_name.entry(name.to_owned()).or_insert(slot)
    }

    pub(super) fn remove(&mut self, name: &str) -> Option<Slot> {
        self.by_name.remove(name)
    }

    /// Notes one more request for a copy.
    pub(super) fn pin(&mut self, name: &str) {
        self.clock += 1;
        if let Some(slot) = self.by_name.get_mut(name) {
            slot.in_use += 1;
            slot.last_use = self.clock;
        }
    }

    /// Notes that a request for a copy ended.
    pub(super) fn unpin(&mut self, name: &str) {
        if let Some(slot) = self.by_name.get_mut(name) {
            slot.in_use = slot.in_use.saturating_sub(1);
        }
    }

    /// The copy used least recently of those that nothing uses.
    pub(super) fn least_recent_idle(&self) -> Option<String> {
        self.by_name
            .iter()
            .filter(|(_, slot)| slot.ready && slot.in_use == 0)
            .min_by_key(|(_, slot)| slot.last_use)
            .map(|(name, _)| name.clone())
    }

    pub(super) fn clear(&mut self) {
        self.by_name.clear();
    }
}
