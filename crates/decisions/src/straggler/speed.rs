//! Recent speed of one upstream.

use monsoonspread_model::UnixMs;

/// Weight of the newest sample in the moving mean.
const NEWEST_WEIGHT: f64 = 0.3;
/// After this long without a sample, half of what was seen is forgotten, in milliseconds.
const FORGET_HALF_LIFE_MS: f64 = 2_000.0;

/// Moving mean of first-token times, and failures to connect.
#[derive(Clone, Debug, Default)]
pub(super) struct Speed {
    first_token_ms: Option<f64>,
    sampled_at: UnixMs,
    /// Age of the request that has waited longest for its first token.
    waiting_ms: f64,
    waited_at: UnixMs,
    failures: u32,
    failed_until: UnixMs,
}

/// Shortest time that an upstream is passed over after a failure, in milliseconds.
const MIN_FAILED_MS: u64 = 250;
/// Longest time that an upstream is passed over after failures in a row, in milliseconds.
const MAX_FAILED_MS: u64 = 4_000;

impl Speed {
    pub(super) fn on_sample(&mut self, now: UnixMs, first_token_ms: f64) {
        let mean = match self.first_token_ms {
            None => first_token_ms,
            Some(mean) => mean + NEWEST_WEIGHT * (first_token_ms - mean),
        };
        self.first_token_ms = Some(mean);
        self.sampled_at = now;
        self.waiting_ms = 0.0;
        self.failures = 0;
    }

    /// A request still waits after `age_ms`: the upstream is at least that slow.
    pub(super) fn on_waiting(&mut self, now: UnixMs, age_ms: f64) {
        if age_ms > self.waiting_ms * kept(now, self.waited_at) {
            self.waiting_ms = age_ms;
            self.waited_at = now;
        }
    }

    pub(super) fn on_failure(&mut self, now: UnixMs) {
        let doubled = MIN_FAILED_MS << self.failures.min(8);
        self.failures += 1;
        self.failed_until = now + doubled.min(MAX_FAILED_MS);
    }

    pub(super) fn is_failed(&self, now: UnixMs) -> bool {
        now < self.failed_until
    }

    /// The mean, drawn towards `usual_ms` the longer ago the last sample was.
    pub(super) fn first_token_ms(&self, now: UnixMs, usual_ms: f64) -> f64 {
        let drawn = |seen: f64, at: UnixMs| usual_ms + kept(now, at) * (seen - usual_ms);
        let mean = self
            .first_token_ms
            .map_or(usual_ms, |mean| drawn(mean, self.sampled_at));
        mean.max(drawn(self.waiting_ms, self.waited_at))
    }

    pub(super) fn raw_first_token_ms(&self) -> Option<f64> {
        self.first_token_ms
    }
}

/// Share of what was seen at `at` that still counts.
fn kept(now: UnixMs, at: UnixMs) -> f64 {
    0.5_f64.powf(now.ms_since(at) as f64 / FORGET_HALF_LIFE_MS)
}
