//! Load and latency of one server.

use monsoonspread_model::{ServiceName, UnixMs, ZoneName};

/// Weight of the newest latency in the moving mean.
const NEWEST_WEIGHT: f64 = 0.25;
/// Expected latency before the first sample, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 5.0;
/// Half-life of the measured latency without new samples, in milliseconds.
const FORGET_HALF_LIFE_MS: f64 = 1_500.0;
/// How long a server is skipped after it could not be reached, in milliseconds.
const FAILED_MS: u64 = 500;
/// Latency added for a server in another zone, in milliseconds.
const OTHER_ZONE_MS: f64 = 2.0;

/// Load and recent latency of one server, as seen by this instance.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) service: ServiceName,
    pub(super) zone: ZoneName,
    pub(super) reads: u32,
    pub(super) commits: u32,
    latency_ms: f64,
    seen_at: UnixMs,
    failed_until: UnixMs,
}

impl Server {
    pub(super) fn new(service: ServiceName, zone: ZoneName) -> Self {
        Self {
            service,
            zone,
            reads: 0,
            commits: 0,
            latency_ms: DEFAULT_LATENCY_MS,
            seen_at: UnixMs(0),
            failed_until: UnixMs(0),
        }
    }

    pub(super) fn start(&mut self, repeatable: bool) {
        *self.count(repeatable) += 1;
    }

    pub(super) fn end(&mut self, repeatable: bool) {
        let count = self.count(repeatable);
        *count = count.saturating_sub(1);
    }

    pub(super) fn on_latency(&mut self, now: UnixMs, latency_ms: u64) {
        let mean = self.latency_ms(now);
        self.latency_ms = mean + NEWEST_WEIGHT * (latency_ms as f64 - mean);
        self.seen_at = now;
    }

    pub(super) fn on_failure(&mut self, now: UnixMs) {
        self.failed_until = now + FAILED_MS;
    }

    pub(super) fn is_failed(&self, now: UnixMs) -> bool {
        now < self.failed_until
    }

    pub(super) fn latency_ms(&self, now: UnixMs) -> f64 {
        let age_ms = now.ms_since(self.seen_at) as f64;
        let weight = 0.5_f64.powf(age_ms / FORGET_HALF_LIFE_MS);
        DEFAULT_LATENCY_MS + weight * (self.latency_ms - DEFAULT_LATENCY_MS)
    }

    /// Expected time of one more call from `zone`, in milliseconds.
    pub(super) fn cost_ms(&self, now: UnixMs, zone: &ZoneName) -> f64 {
        let in_flight = f64::from(self.reads + self.commits);
        let hop_ms = if self.zone == *zone {
            0.0
        } else {
            OTHER_ZONE_MS
        };
        self.latency_ms(now) * (in_flight + 1.0) + hop_ms
    }

    fn count(&mut self, repeatable: bool) -> &mut u32 {
        if repeatable {
            return &mut self.reads;
        }
        &mut self.commits
    }
}
