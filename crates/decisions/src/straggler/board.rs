//! Comparison of the speeds of all upstreams.

use std::collections::BTreeMap;

use monsoonspread_model::{UnixMs, UpstreamName};
use serde::Serialize;

use super::speed::Speed;

/// Expected time to first token before the first sample, in milliseconds.
const DEFAULT_FIRST_TOKEN_MS: f64 = 150.0;
/// Time to first token below which upstreams count as equally fast, in milliseconds.
const MIN_FIRST_TOKEN_MS: f64 = 20.0;

/// Recent speeds of the upstreams that this instance used.
#[derive(Debug, Default)]
pub struct StragglerBoard {
    speeds: BTreeMap<UpstreamName, Speed>,
    median_ms: Option<f64>,
}

/// Speed of one upstream in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SpeedDump {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Expected time to first token in milliseconds.
    pub first_token_ms: f64,
    /// How many times slower than its peers it is, at least 1.
    pub slowness: f64,
    /// Whether it is skipped after a failure.
    pub failed: bool,
}

impl StragglerBoard {
    /// Creates a board without samples.
    ///
    /// ```
    /// # use monsoonspread_decisions::straggler::StragglerBoard;
    /// # use monsoonspread_model::UnixMs;
    /// let board = StragglerBoard::new();
    /// assert_eq!(board.slowness(UnixMs(0), &"engine-1".into()), 1.0);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops upstreams for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&UpstreamName) -> bool) {
        self.speeds.retain(|name, _| known(name));
    }

    /// Records a first token that arrived after `first_token_ms`.
    pub fn on_first_token(&mut self, now: UnixMs, upstream: &UpstreamName, first_token_ms: u64) {
        self.speed(upstream).on_sample(now, first_token_ms as f64);
    }

    /// Records that a request has waited for its first token for `age_ms` so far.
    pub fn on_waiting(&mut self, now: UnixMs, upstream: &UpstreamName, age_ms: u64) {
        self.speed(upstream).on_waiting(now, age_ms as f64);
    }

    /// Records that the upstream could not be connected to, or broke a stream.
    pub fn on_failure(&mut self, now: UnixMs, upstream: &UpstreamName) {
        self.speed(upstream).on_failure(now);
    }

    /// Updates the median of all upstreams; call periodically, not for each request.
    pub fn on_tick(&mut self) {
        let mut means: Vec<f64> = self
            .speeds
            .values()
            .filter_map(Speed::raw_first_token_ms)
            .collect();
        if means.is_empty() {
            self.median_ms = None;
            return;
        }
        means.sort_by(f64::total_cmp);
        self.median_ms = Some(means[means.len() / 2]);
    }

    /// Whether the upstream is skipped after a failure.
    pub fn is_failed(&self, now: UnixMs, upstream: &UpstreamName) -> bool {
        self.speeds
            .get(upstream)
            .is_some_and(|speed| speed.is_failed(now))
    }

    /// Expected time to first token on `upstream`, in milliseconds.
    pub fn first_token_ms(&self, now: UnixMs, upstream: &UpstreamName) -> f64 {
        let median = self.median_first_token_ms();
        self.speeds
            .get(upstream)
            .map_or(median, |speed| speed.first_token_ms(now, median))
    }

    /// How many times slower than its peers `upstream` is, at least 1.
    pub fn slowness(&self, now: UnixMs, upstream: &UpstreamName) -> f64 {
        let median = self.median_first_token_ms().max(MIN_FIRST_TOKEN_MS);
        (self.first_token_ms(now, upstream) / median).max(1.0)
    }

    /// The median time to first token of all upstreams, in milliseconds.
    pub fn median_first_token_ms(&self) -> f64 {
        self.median_ms.unwrap_or(DEFAULT_FIRST_TOKEN_MS)
    }

    /// Describes every known speed.
    pub fn dump(&self, now: UnixMs) -> Vec<SpeedDump> {
        let names = self.speeds.keys();
        names
            .map(|upstream| SpeedDump {
                upstream: upstream.clone(),
                first_token_ms: self.first_token_ms(now, upstream),
                slowness: self.slowness(now, upstream),
                failed: self.is_failed(now, upstream),
            })
            .collect()
    }

    fn speed(&mut self, upstream: &UpstreamName) -> &mut Speed {
        self.speeds.entry(upstream.clone()).or_default()
    }
}
