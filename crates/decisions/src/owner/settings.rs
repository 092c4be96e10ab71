//! Settings of an owner.

use monsoonspread_model::UnixMs;

use super::expected_wait::ExpectedWait;
use super::waiting_request::WaitingRequest;

/// Settings of an [`OwnerSet`](super::OwnerSet).
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerSettings {
    /// Loads per second that this instance may order until its share is set.
    pub load_rate_per_s: f64,
    /// Capacity of the load budget's token bucket, in loads.
    pub load_burst: f64,
    /// Maximum number of loads in transit, over all upstreams of this instance.
    pub loads_in_transit: u32,
    /// Maximum number of loads in transit to one upstream.
    pub loads_in_transit_per_upstream: u32,
    /// Expected load time until a load has been measured, in milliseconds.
    pub load_ms: u64,
    /// Maximum number of requests that wait at an upstream, for each of its batch places.
    pub waiting_per_place: u32,
    /// Share of the batch reserved for short requests.
    pub short_reserve: f64,
    /// Maximum share of the batch that long requests hold while requests of other classes wait.
    pub long_share: f64,
    /// Maximum share of the batch that long requests hold while nothing else waits.
    pub long_idle_share: f64,
    /// Maximum share of the adapter slots that are pinned only by long requests.
    pub long_slot_share: f64,
    /// Maximum share of the time to its deadline that a request waits for a load.
    pub load_wait_share: f64,
    /// Half-life of an adapter's arrival rate.
    pub popularity_half_life_ms: u64,
    /// Maximum number of adapters whose popularity is tracked for each upstream.
    pub popularity_rows: usize,
    /// Period for which expected requests count as a copy's retention value.
    pub reuse_horizon_ms: u64,
    /// Minimum time from a grant to its expiry.
    pub grant_min_ms: u64,
    /// Maximum time from a grant to its expiry; a new owner waits this long for an unresponsive
    /// holder.
    pub grant_max_ms: u64,
    /// Backoff after the first failed load of an adapter; doubles with each further one.
    pub load_backoff_ms: u64,
    /// Maximum backoff after failed loads.
    pub load_backoff_max_ms: u64,
    /// How long an ended request is remembered, so that late duplicates get its outcome.
    pub ending_kept_ms: u64,
    /// Maximum number of ended requests remembered for each upstream.
    pub endings_kept: usize,
    /// Delay before an announcement is requested again.
    pub announce_retry_ms: u64,
    /// Delay before a failed fencing order is sent again.
    pub fence_retry_ms: u64,
    /// Delay before an unload whose answer was lost is sent again.
    pub order_retry_ms: u64,
    /// Time after which the answer to an order is considered lost.
    pub order_timeout_ms: u64,
    /// Time without an event after which an owner assumes that its process was paused.
    pub pause_ms: u64,
    /// Interval between fencing orders to an upstream that checks fencing numbers.
    pub fence_interval_ms: u64,
    /// Maximum difference between the clocks of instances and upstreams.
    pub clock_margin_ms: u64,
    /// How long grants are suspended on an upstream that can't be connected to.
    pub unreachable_ms: u64,
    /// Interval between budget requests while loads wait for budget.
    pub budget_request_ms: u64,
    /// Lifetime of lent budget.
    pub budget_lend_ms: u64,
    /// Slowdown above which an upstream's batch is reduced.
    pub slow_factor: f64,
    /// Minimum share of the batch that a slow upstream keeps.
    pub slow_min_share: f64,
}

impl OwnerSettings {
    /// Whether a request may wait as long as expected for a load.
    ///
    /// The limit applies only to requests that arrived now and whose load is not under way.
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
