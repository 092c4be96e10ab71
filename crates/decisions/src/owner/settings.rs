//! Settings of an owner.

use monsoonspread_model::UnixMs;

use super::expected_wait::ExpectedWait;
use super::waiting_request::WaitingRequest;

/// Settings of an [`OwnerSet`](super::OwnerSet).
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerSettings {
    /// Loads per second that this instance may order until it is told its share.
    pub load_rate_per_s: f64,
    /// Loads that may be saved up.
    pub load_burst: f64,
    /// Loads that this instance may have in transit, over all its upstreams.
    pub loads_in_transit: u32,
    /// Loads that one upstream may have in transit.
    pub loads_in_transit_per_upstream: u32,
    /// How long a load is expected to take before one was seen.
    pub load_ms: u64,
    /// Requests that may wait at an upstream for each of its batch places.
    pub waiting_per_place: u32,
    /// Share of the batch kept free of all but short work.
    pub short_reserve: f64,
    /// Share of the batch that long work may hold while other work waits.
    pub long_share: f64,
    /// Share of the batch that long work may hold while nothing else waits.
    pub long_idle_share: f64,
    /// Share of the adapter slots that long work alone may pin.
    pub long_slot_share: f64,
    /// Share of the time to its deadline that a request may wait for a load.
    pub load_wait_share: f64,
    /// Half-life of an adapter's popularity.
    pub popularity_half_life_ms: u64,
    /// Adapters whose popularity is tracked for each upstream.
    pub popularity_rows: usize,
    /// How far ahead a copy's popularity counts against evicting it.
    pub reuse_horizon_ms: u64,
    /// Shortest life of a grant.
    pub grant_min_ms: u64,
    /// Longest life of a grant; a new owner waits this long for a silent holder.
    pub grant_max_ms: u64,
    /// Backoff after the first failed load of an adapter; doubles with each further one.
    pub load_backoff_ms: u64,
    /// Longest backoff after failed loads.
    pub load_backoff_max_ms: u64,
    /// How long an ended request is remembered, so that late duplicates find its end.
    pub ending_kept_ms: u64,
    /// Ended requests remembered for each upstream.
    pub endings_kept: usize,
    /// How long to wait before an announcement is asked for again.
    pub announce_retry_ms: u64,
    /// How long to wait before a fencing order is sent again.
    pub fence_retry_ms: u64,
    /// How long to wait before an unload whose answer was lost is sent again.
    pub order_retry_ms: u64,
    /// How long an answer to an order is waited for before it is taken as lost.
    pub order_timeout_ms: u64,
    /// Time without an event after which an owner takes itself as having been paused.
    pub pause_ms: u64,
    /// How often an owner shows its number to an upstream that checks it.
    pub fence_interval_ms: u64,
    /// How far clocks of instances and upstreams may differ.
    pub clock_margin_ms: u64,
    /// How long an upstream that can't be connected to gets no grants.
    pub unreachable_ms: u64,
    /// How often budget is asked for while loads wait for it.
    pub budget_request_ms: u64,
    /// How long lent budget may be used.
    pub budget_lend_ms: u64,
    /// Slowdown from which an upstream's batch is narrowed.
    pub slow_factor: f64,
    /// Smallest share of the batch that a slow upstream keeps.
    pub slow_min_share: f64,
}

impl OwnerSettings {
    /// Whether a request that just came may wait that long for a load.
    pub(super) fn may_wait(
        &self,
        now: UnixMs,
        waiting: &WaitingRequest,
        wait: ExpectedWait,
    ) -> bool {
        let slack_ms = waiting.request.deadline_unix_ms.ms_since(now) as f64;
        wait.load_underway
            || waiting.since < now
            || wait.load_ms as f64 <= slack_ms * self.load_wait_share
    }
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            load_rate_per_s: 1.0,
            load_burst: 2.0,
            loads_in_transit: 2,
            loads_in_transit_per_upstream: 2,
            load_ms: 300,
            waiting_per_place: 8,
            short_reserve: 0.25,
            long_share: 0.25,
            long_idle_share: 0.5,
            long_slot_share: 0.5,
            load_wait_share: 0.7,
            popularity_half_life_ms: 15_000,
            popularity_rows: 256,
            reuse_horizon_ms: 10_000,
            grant_min_ms: 30_000,
            grant_max_ms: 300_000,
            load_backoff_ms: 500,
            load_backoff_max_ms: 10_000,
            ending_kept_ms: 5_000,
            endings_kept: 1_024,
            announce_retry_ms: 250,
            fence_retry_ms: 250,
            order_retry_ms: 1_000,
            order_timeout_ms: 15_000,
            pause_ms: 800,
            fence_interval_ms: 2_000,
            clock_margin_ms: 500,
            unreachable_ms: 500,
            budget_request_ms: 200,
            budget_lend_ms: 2_000,
            slow_factor: 2.5,
            slow_min_share: 0.25,
        }
    }
}
