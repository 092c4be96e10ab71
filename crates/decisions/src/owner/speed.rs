//! Response speed of an upstream, estimated from returned grants.

use monsoonspread_model::UnixMs;
use monsoonspread_model::message::GrantReturn;
use serde::Serialize;

/// Weight of a new sample in the recent estimate.
const RECENT_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the usual estimate when it is slower than the estimate.
const USUAL_WEIGHT: f64 = 0.002;
/// Samples needed before an upstream's speed is evaluated.
const MIN_SAMPLES: u64 = 8;
/// First-token time assumed before the first sample, in milliseconds.
const FIRST_TOKEN_MS: f64 = 60.0;
/// Token gap assumed before the first sample, in microseconds.
const TOKEN_GAP_US: f64 = 25_000.0;
/// Half-life with which the recent estimate returns to the usual one without samples.
const FORGET_HALF_LIFE_MS: f64 = 1_000.0;

/// Estimated first-token time and token gap of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Speed {
    /// Recent time from sending to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Usual time from sending to the first token, in milliseconds.
    pub usual_first_token_ms: f64,
    /// Recent gap between tokens, in microseconds.
    pub token_gap_us: f64,
    /// Usual gap between tokens, in microseconds.
    pub usual_gap_us: f64,
    /// Number of token gaps measured.
    pub samples: u64,
    /// When the last sample was taken.
    pub sampled_at_unix_ms: UnixMs,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            first_token_ms: FIRST_TOKEN_MS,
            usual_first_token_ms: FIRST_TOKEN_MS,
            token_gap_us: TOKEN_GAP_US,
            usual_gap_us: TOKEN_GAP_US,
            samples: 0,
            sampled_at_unix_ms: UnixMs(0),
        }
    }
}

impl Speed {
    /// Adds the measurements of a returned grant.
    pub(super) fn on_return(&mut self, now: UnixMs, returned: &GrantReturn) {
        if let Some(first_token_ms) = returned.first_token_ms {
            let sample_ms = f64::from(first_token_ms);
            let recent_ms = self.first_token_ms_at(now);
            self.first_token_ms = blended(recent_ms, sample_ms, RECENT_WEIGHT);
            self.usual_first_token_ms = usual(self.usual_first_token_ms, sample_ms);
        }
        if let Some(gap_us) = returned.token_gap_us {
            self.on_gap(now, f64::from(gap_us));
        }
        if returned.first_token_ms.is_some() || returned.token_gap_us.is_some() {
            self.sampled_at_unix_ms = now;
        }
    }

    /// Expected time from sending to the first token, in milliseconds; without new samples it
    /// returns to the usual time.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::Speed;
    /// # use monsoonspread_model::UnixMs;
    /// let speed = Speed { first_token_ms: 900.0, usual_first_token_ms: 100.0, ..Speed::default() };
    /// assert_eq!(speed.first_token_ms_at(UnixMs(1_000)), 500.0);
    /// ```
    pub fn first_token_ms_at(&self, now: UnixMs) -> f64 {
        blended(
            self.usual_first_token_ms,
            self.first_token_ms,
            self.memory(now),
        )
    }

    /// Factor by which the upstream is slower than `usual_gap_us` at `now`, at least 1; always 1
    /// while there are too few samples.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::Speed;
    /// # use monsoonspread_model::UnixMs;
    /// let speed = Speed { token_gap_us: 90_000.0, samples: 50, ..Speed::default() };
    /// assert_eq!(speed.slowdown(UnixMs(0), 30_000.0), 3.0);
    /// ```
    pub fn slowdown(&self, now: UnixMs, usual_gap_us: f64) -> f64 {
        if !self.has_enough_samples() {
            return 1.0;
        }
        let gap_us = blended(usual_gap_us, self.token_gap_us, self.memory(now));
        (gap_us / usual_gap_us).max(1.0)
    }

    /// Whether there are enough samples to evaluate the upstream's speed.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::Speed;
    /// assert!(!Speed::default().has_enough_samples());
    /// ```
    pub fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Expected time to generate `tokens` tokens, in milliseconds.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::Speed;
    /// assert!(Speed::default().generation_ms(100) >= 2_000);
    /// ```
    pub fn generation_ms(&self, tokens: u32) -> u64 {
        (self.first_token_ms + f64::from(tokens) * self.token_gap_us / 1_000.0) as u64
    }

    fn on_gap(&mut self, now: UnixMs, gap_us: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.token_gap_us = gap_us;
            self.usual_gap_us = gap_us;
            return;
        }
        let recent_us = blended(self.usual_gap_us, self.token_gap_us, self.memory(now));
        self.token_gap_us = blended(recent_us, gap_us, RECENT_WEIGHT);
        self.usual_gap_us = usual(self.usual_gap_us, gap_us);
    }

    /// Weight of the recent estimate at `now`, between 0 and 1.
    fn memory(&self, now: UnixMs) -> f64 {
        let since_ms = now.ms_since(self.sampled_at_unix_ms) as f64;
        (-since_ms / FORGET_HALF_LIFE_MS).exp2()
    }
}

fn blended(estimate: f64, sample: f64, weight: f64) -> f64 {
    estimate + weight * (sample - estimate)
}

/// Follows faster samples quickly and slower ones slowly, so that a temporary slowdown stands out
/// against the usual estimate.
fn usual(estimate: f64, sample: f64) -> f64 {
    let weight = match sample < estimate {
        true => RECENT_WEIGHT,
        false => USUAL_WEIGHT,
    };
    blended(estimate, sample, weight)
}
