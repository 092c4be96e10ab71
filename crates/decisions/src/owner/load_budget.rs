//! Token bucket for an instance's share of the weight store.

use monsoonspread_model::UnixMs;
use monsoonspread_model::message::BudgetLend;

/// Maximum number of stored lends of peers; further ones are dropped.
const MAX_LENDS: usize = 32;

/// A token bucket of loads, with tokens borrowed from peers that expire.
#[derive(Debug)]
pub(super) struct LoadBudget {
    tokens: f64,
    rate_per_s: f64,
    burst: f64,
    filled_at: UnixMs,
    borrowed: Vec<BudgetLend>,
}

impl LoadBudget {
    /// Creates a full bucket.
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            rate_per_s,
            burst,
            filled_at: UnixMs(0),
            borrowed: Vec::new(),
        }
    }

    /// Sets the refill rate from `now` on; a negative rate counts as 0.
    pub fn set_rate(&mut self, now: UnixMs, rate_per_s: f64) {
        self.fill(now);
        self.rate_per_s = rate_per_s.max(0.0);
    }

    /// Refill rate in loads per second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Loads that may start now, including borrowed ones.
    pub fn available(&mut self, now: UnixMs) -> f64 {
        self.fill(now);
        let borrowed: u32 = self.borrowed.iter().map(|lend| lend.loads).sum();
        self.tokens + f64::from(borrowed)
    }

    /// Loads that may start now from the local budget, without borrowed ones.
    pub fn local(&mut self, now: UnixMs) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Takes one load, borrowed ones first. Returns `false` when less than one is available.
    pub fn take(&mut self, now: UnixMs) -> bool {
        if self.available(now) < 1.0 {
            return false;
        }
        match self.borrowed.first_mut() {
            Some(lend) => lend.loads -= 1,
            None => self.tokens -= 1.0,
        }
        self.borrowed.retain(|lend| lend.loads > 0);
        true
    }

    /// Deducts `loads` that are lent to a peer.
    pub fn lend(&mut self, now: UnixMs, loads: u32) {
        self.fill(now);
        self.tokens -= f64::from(loads);
    }

    /// Adds loads lent by a peer.
    pub fn borrow(&mut self, lend: BudgetLend) {
        if lend.loads == 0 || self.borrowed.len() == MAX_LENDS {
            return;
        }
        self.borrowed.push(lend);
        self.borrowed.sort_by_key(|lend| lend.expires_at_unix_ms);
    }

    /// Time until `loads` loads are available, in milliseconds.
    pub fn wait_ms(&mut self, now: UnixMs, loads: f64) -> u64 {
        let missing = loads - self.available(now);
        if missing <= 0.0 {
            return 0;
        }
        (missing * 1_000.0 / self.rate_per_s.max(0.01)) as u64
    }

    fn fill(&mut self, now: UnixMs) {
        let since_ms = now.ms_since(self.filled_at) as f64;
        self.tokens = (self.tokens + since_ms * self.rate_per_s / 1_000.0).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        self.borrowed.retain(|lend| lend.expires_at_unix_ms > now);
    }
}
