//! Recent speed of one upstream.

use monsoonspread_model::UnixMs;

/// Weight of the newest sample in the moving mean.
const NEWEST_WEIGHT: f64 = 0.3;
/// Half-life of the measurements without new samples, in milliseconds.
const FORGET_HALF_LIFE_MS: f64 = 2_000.0;

/// Moving mean of times to first token, and recent failures.
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

/// Minimum time that an upstream is skipped after a failure, in milliseconds.
const MIN_FAILED_MS: u64 = 250;
/// Maximum time that an upstream is skipped after consecutive failures, in milliseconds.
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
        if age_ms > self.waiting_ms * remaining_weight(now, self.waited_at) {
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

    /// The mean, which decays towards `median_ms` with the age of the last sample.
    pub(super) fn first_token_ms(&self, now: UnixMs, median_ms: f64) -> f64 {
        let decayed =
            |seen: f64, at: UnixMs| median_ms + remaining_weight(now, at) * (seen - median_ms);
        let mean = self
            .first_token_ms
            .map_or(median_ms, |mean| decayed(mean, self.sampled_at));
        mean.max(decayed(self.waiting_ms, self.waited_at))
    }

    pub(super) fn raw_first_token_ms(&self) -> Option<f64> {
        self.first_token_ms
    }
}

/// Weight that a measurement from `at` still has, from 0 to 1.
fn remaining_weight(now: UnixMs, at: UnixMs) -> f64 {
    0.5_f64.powf(now.ms_since(at) as f64 / FORGET_HALF_LIFE_MS)
}
