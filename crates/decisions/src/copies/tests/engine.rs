//! Engine fake that handles orders and reports.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{AdapterKey, Holdings, Order, OrderAnswer, OrderKind};

/// Duration of a load, in milliseconds.
const LOAD_MS: u64 = 250;

/// Engine fake that sets `crashed` when an order exceeds its adapter slots.
#[derive(Debug, Default)]
pub struct FakeEngine {
    pub slots: usize,
    pub held: BTreeMap<AdapterKey, u64>,
    pub newest: BTreeMap<AdapterKey, u64>,
    /// Loads in progress and when they complete; each version takes a slot of its own.
    pub coming: BTreeMap<(AdapterKey, u64), UnixMs>,
    pub accepted: u64,
    pub crashed: bool,
    pub load_ms: u64,
    /// When the base model is loaded; `None` if it is loaded already.
    pub model_at: Option<UnixMs>,
    pub loads: usize,
}

impl FakeEngine {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            load_ms: LOAD_MS,
            ..Self::default()
        }
    }

    pub fn on_time(&mut self, now: UnixMs) {
        let completed: Vec<(AdapterKey, u64)> = self
            .coming
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for (key, version) in completed {
            self.coming.remove(&(key.clone(), version));
            let held = self.held.entry(key).or_default();
            *held = version.max(*held);
        }
    }

    pub fn on_order(&mut self, now: UnixMs, order: &Order) -> OrderAnswer {
        self.on_time(now);
        if order.key.adapter.is_none() {
            return self.load_model(now);
        }
        if order.accepted_before != self.accepted {
            return OrderAnswer::Conflict;
        }
        match order.kind {
            OrderKind::Load => self.load(now, &order.key, order.version),
            OrderKind::Unload => self.unload(&order.key),
        }
    }

    /// Restarts under the same name: without adapters, counting orders from zero.
    pub fn restart(&mut self) {
        self.held.clear();
        self.coming.clear();
        self.accepted = 0;
    }

    pub fn report(&self) -> Holdings {
        Holdings {
            models: match self.model_at {
                Some(_) => Vec::new(),
                None => vec!["base".into()],
            },
            adapters: self.held.clone(),
            // A replacement that waits for running requests to end is not listed.
            loading: self
                .coming
                .keys()
                .filter(|(key, _)| !self.held.contains_key(key))
                .cloned()
                .collect(),
            accepted_orders: self.accepted,
        }
    }

    /// Counts only the first of several orders for the base model.
    fn load_model(&mut self, now: UnixMs) -> OrderAnswer {
        self.accepted = self.accepted.max(1);
        match self.model_at {
            Some(at) if at > now => OrderAnswer::Accepted,
            _ => {
                self.model_at = None;
                OrderAnswer::Holds
            }
        }
    }

    fn newest_of(&self, key: &AdapterKey) -> u64 {
        self.newest.get(key).copied().unwrap_or(1)
    }

    fn load(&mut self, now: UnixMs, key: &AdapterKey, version: Option<u64>) -> OrderAnswer {
        let wanted = version.unwrap_or_else(|| self.newest_of(key));
        let load = (key.clone(), wanted);
        if self.coming.contains_key(&load) {
            return OrderAnswer::Accepted;
        }
        if self.held.get(key) == Some(&wanted) {
            return OrderAnswer::Holds;
        }
        self.accepted += 1;
        self.loads += 1;
        self.coming.insert(load, now + self.load_ms);
        let added = self
            .coming
            .keys()
            .filter(|(key, _)| !self.held.contains_key(key));
        if self.held.len() + added.count() > self.slots {
            self.crashed = true;
        }
        OrderAnswer::Accepted
    }

    fn unload(&mut self, key: &AdapterKey) -> OrderAnswer {
        if self.held.remove(key).is_some() {
            self.accepted += 1;
        }
        OrderAnswer::Holds
    }
}
