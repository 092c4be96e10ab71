//! Rates of requests by urgency.

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::Merit;

/// Half-life of the rates, in milliseconds: a few objectives.
const HALF_LIFE_MS: f64 = 300.0;
/// Maximum number of merits that are told apart; further ones count as the last.
const MAX_MERITS: usize = 32;

/// Rates of requests by merit.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Decayed numbers of requests, in order of merit.
    counts: Vec<(Merit, f64)>,
    counted_at: UnixMs,
}

impl Arrivals {
    pub(super) fn on_arrival(&mut self, now: UnixMs, merit: Merit) {
        let factor = self.factor(now);
        for (_, count) in &mut self.counts {
            *count *= factor;
        }
        self.counted_at = now;
        let index = match self
            .counts
            .binary_search_by_key(&merit, |(merit, _)| *merit)
        {
            Ok(index) => index,
            Err(index) if self.counts.len() < MAX_MERITS => {
                self.counts.insert(index, (merit, 0.0));
                index
            }
            Err(_) => MAX_MERITS - 1,
        };
        self.counts[index].1 += 1.0;
    }

    /// Requests per millisecond.
    pub(super) fn per_ms(&self, now: UnixMs) -> f64 {
        self.rate(now, |_| true)
    }

    /// Requests per millisecond that are more urgent than `merit`.
    pub(super) fn per_ms_before(&self, now: UnixMs, merit: Merit) -> f64 {
        self.rate(now, |other| other < merit)
    }

    fn rate(&self, now: UnixMs, is_counted: impl Fn(Merit) -> bool) -> f64 {
        let counts = self.counts.iter();
        let counted = counts.filter(|(merit, _)| is_counted(*merit));
        let sum: f64 = counted.map(|(_, count)| count).sum();
        // The decayed count of a steady rate is the rate times the mean lifetime.
        sum * self.factor(now) * std::f64::consts::LN_2 / HALF_LIFE_MS
    }

    fn factor(&self, now: UnixMs) -> f64 {
        0.5_f64.powf(now.ms_since(self.counted_at) as f64 / HALF_LIFE_MS)
    }
}
