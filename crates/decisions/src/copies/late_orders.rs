//! Unanswered load orders that an engine may still carry out.

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{AdapterKey, Order, OrderKind};

/// How long an unanswered order may still be carried out, in milliseconds: orders arrive up to
/// twelve seconds late.
const LATE_MS: u64 = 15_000;

/// How long after an unanswered order an engine is expected to leave further orders unanswered, in
/// milliseconds: the time of several orders to a busy engine.
const RECENT_MS: u64 = 3_000;

#[derive(Clone, Debug)]
struct LateLoad {
    key: AdapterKey,
    accepted_before: u64,
    until: UnixMs,
}

/// Unanswered load orders that an engine may still carry out.
///
/// An order carries the number of orders accepted before it, and an engine that has accepted more
/// rejects it. A restarted engine counts from zero again: once it has accepted as many orders as its
/// previous incarnation had, a late order to that incarnation is carried out.
#[derive(Clone, Debug, Default)]
pub struct LateOrders {
    loads: Vec<LateLoad>,
    recent_until: UnixMs,
}

impl LateOrders {
    /// An order was not answered.
    pub(super) fn on_unanswered(&mut self, now: UnixMs, order: &Order) {
        self.recent_until = now + RECENT_MS;
        self.loads.retain(|load| load.until > now);
        if order.kind == OrderKind::Load && order.key.adapter.is_some() {
            self.loads.push(LateLoad {
                key: order.key.clone(),
                accepted_before: order.accepted_before,
                until: now + LATE_MS,
            });
        }
    }

    /// Whether no order was recently left unanswered and no late load can still be carried out.
    pub fn is_over(&self, now: UnixMs) -> bool {
        !self.is_recent(now) && self.loads.iter().all(|load| load.until <= now)
    }

    /// Whether an order was recently left unanswered.
    pub(super) fn is_recent(&self, now: UnixMs) -> bool {
        now < self.recent_until
    }

    /// Number of places that late loads may take on an engine that has accepted `accepted` orders
    /// and holds the adapters for which `is_held` returns true.
    pub(super) fn places(
        &self,
        now: UnixMs,
        accepted: u64,
        is_held: impl Fn(&AdapterKey) -> bool,
    ) -> usize {
        let possible = self
            .loads
            .iter()
            .filter(|load| load.until > now && load.accepted_before >= accepted);
        let mut keys: Vec<&AdapterKey> = possible
            .map(|load| &load.key)
            .filter(|key| !is_held(key))
            .collect();
        keys.sort();
        keys.dedup();
        keys.len()
    }
}
