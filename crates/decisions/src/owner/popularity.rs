//! How often adapters are asked for.

use std::collections::HashMap;

use monsoonspread_model::{AdapterRef, UnixMs};

/// Decayed count of requests for one adapter.
#[derive(Clone, Copy, Debug)]
struct Row {
    count: f64,
    at: UnixMs,
}

/// Decayed request rates of the adapters asked for most, in bounded memory.
#[derive(Debug)]
pub(super) struct Popularity {
    rows: HashMap<AdapterRef, Row>,
    capacity: usize,
    half_life_ms: f64,
}

impl Popularity {
    /// Tracks up to `capacity` adapters.
    pub fn new(capacity: usize, half_life_ms: u64) -> Self {
        Self {
            rows: HashMap::new(),
            capacity: capacity.max(1),
            half_life_ms: half_life_ms.max(1) as f64,
        }
    }

    /// Counts a request.
    pub fn on_request(&mut self, adapter: &AdapterRef, now: UnixMs) {
        let count = self.count(adapter, now) + 1.0;
        if self.rows.len() == self.capacity && !self.rows.contains_key(adapter) {
            self.drop_least(now);
        }
        self.rows.insert(adapter.clone(), Row { count, at: now });
    }

    /// Requests per second.
    pub fn rate_per_s(&self, adapter: &AdapterRef, now: UnixMs) -> f64 {
        self.count(adapter, now) * std::f64::consts::LN_2 * 1_000.0 / self.half_life_ms
    }

    /// Adapters tracked.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    fn count(&self, adapter: &AdapterRef, now: UnixMs) -> f64 {
        self.rows
            .get(adapter)
            .map_or(0.0, |row| self.decayed(*row, now))
    }

    fn decayed(&self, row: Row, now: UnixMs) -> f64 {
        row.count * (-(now.ms_since(row.at) as f64) / self.half_life_ms).exp2()
    }

    fn drop_least(&mut self, now: UnixMs) {
        let least = self
            .rows
            .iter()
            .min_by(|(left, a), (right, b)| {
                self.decayed(**a, now)
                    .total_cmp(&self.decayed(**b, now))
                    .then_with(|| left.cmp(right))
            })
            .map(|(adapter, _)| adapter.clone());
        if let Some(adapter) = least {
            self.rows.remove(&adapter);
        }
    }
}
