//! A simulated engine that records violations.

use std::collections::BTreeMap;

use monsoonspread_model::load_report::LoadedAdapter;
use monsoonspread_model::{CopyName, Epoch, LoadReport, UnixMs};

use crate::owner::OrderFailure;

/// An order in transit.
#[derive(Clone, Debug)]
pub enum Order {
    Load(CopyName),
    Unload(CopyName, Epoch),
    Fence(Epoch),
}

impl Order {
    /// The fencing number it carries.
    pub fn epoch(&self) -> Epoch {
        match self {
            Self::Load(copy) => copy.epoch,
            Self::Unload(_, epoch) | Self::Fence(epoch) => *epoch,
        }
    }
}

/// A simulated engine with a fixed number of slots.
#[derive(Debug)]
pub struct FakeEngine {
    pub slots: usize,
    pub checks_fencing: bool,
    seen: Epoch,
    copies: BTreeMap<CopyName, u32>,
    /// Copies that were unloaded while a request used them.
    pub cut: Vec<CopyName>,
    /// Loads refused because every slot was taken.
    pub refused_full: u32,
}

impl FakeEngine {
    pub fn new(slots: usize, checks_fencing: bool) -> Self {
        Self {
            slots,
            checks_fencing,
            seen: Epoch(0),
            copies: BTreeMap::new(),
            cut: Vec::new(),
            refused_full: 0,
        }
    }

    pub fn carry_out(&mut self, order: &Order) -> Result<(), OrderFailure> {
        if self.checks_fencing && order.epoch() < self.seen {
            return Err(OrderFailure::Fenced);
        }
        self.seen = self.seen.max(order.epoch());
        match order {
            Order::Fence(_) => {}
            Order::Load(copy) if self.copies.contains_key(copy) => {}
            Order::Load(_) if self.copies.len() == self.slots => {
                self.refused_full += 1;
                return Err(OrderFailure::Failed);
            }
            Order::Load(copy) => {
                self.copies.insert(copy.clone(), 0);
            }
            Order::Unload(copy, _) => {
                if self.copies.remove(copy).is_some_and(|in_use| in_use > 0) {
                    self.cut.push(copy.clone());
                }
            }
        }
        Ok(())
    }

    /// Starts a run, unless the copy is missing.
    pub fn start(&mut self, copy: &CopyName) -> bool {
        let in_use = self.copies.get_mut(copy);
        in_use.map(|in_use| *in_use += 1).is_some()
    }

    pub fn finish(&mut self, copy: &CopyName) {
        if let Some(in_use) = self.copies.get_mut(copy) {
            *in_use -= 1;
        }
    }

    pub fn report(&self, now: UnixMs) -> LoadReport {
        let loaded = |(copy, in_use): (&CopyName, &u32)| LoadedAdapter {
            name: copy.to_string(),
            in_use: *in_use,
        };
        LoadReport {
            taken_at_unix_ms: now,
            adapters: self.copies.iter().map(loaded).collect(),
            ..LoadReport::default()
        }
    }
}
