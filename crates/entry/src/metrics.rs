//! Metrics, sent over the statsd protocol.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::UdpMetricSink;
use cadence::{CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed};
use monsoonspread_model::{Refusal, RequestClass};

use crate::event::Event;

/// Prefix of all metric names.
const PREFIX: &str = "monsoonspread";

/// All metric names, without [`PREFIX`].
pub const METRIC_NAMES: [&str; 9] = [
    REQUESTS,
    REFUSALS,
    FIRST_TOKEN_MS,
    TOTAL_MS,
    IN_FLIGHT,
    SERVICE_CALLS,
    LOADS,
    OWNED_UPSTREAMS,
    BUNDLE_VERSION,
];

const REQUESTS: &str = "requests";
const REFUSALS: &str = "refusals";
const FIRST_TOKEN_MS: &str = "first_token_ms";
const TOTAL_MS: &str = "total_ms";
const IN_FLIGHT: &str = "in_flight";
const SERVICE_CALLS: &str = "service_calls";
const LOADS: &str = "loads";
const OWNED_UPSTREAMS: &str = "owned_upstreams";
const BUNDLE_VERSION: &str = "bundle_version";

/// Client for the instance's metrics.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Sends metrics to `statsd`; `None` disables them. An unusable address is logged and disables
    /// them too.
    ///
    /// ```
    /// # use monsoonspread_entry::metrics::Metrics;
    /// Metrics::new(None, "vestland-1").on_load(true);
    /// ```
    pub fn new(statsd: Option<SocketAddr>, zone: &str) -> Self {
        let builder = match statsd.map(sink) {
            Some(Ok(sink)) => StatsdClient::builder(PREFIX, sink),
            Some(Err(error)) => {
                let error = error.to_string();
                Event::MetricsUnavailable { error: &error }.log();
                StatsdClient::builder(PREFIX, NopMetricSink)
            }
            None => StatsdClient::builder(PREFIX, NopMetricSink),
        };
        Self {
            client: Arc::new(builder.with_tag("zone", zone).build()),
        }
    }

    /// Counts an admitted model request.
    pub fn on_request(&self, class: RequestClass) {
        self.client
            .incr_with_tags(REQUESTS)
            .with_tag("class", class.as_str())
            .send();
    }

    /// Counts a refused request by its reason.
    pub fn on_refusal(&self, refusal: &Refusal) {
        self.client
            .incr_with_tags(REFUSALS)
            .with_tag("reason", refusal.reason.as_str())
            .send();
    }

    /// Records the time to the first token of a model request.
    pub fn on_first_token(&self, class: RequestClass, after_ms: u64) {
        self.client
            .time_with_tags(FIRST_TOKEN_MS, after_ms)
            .with_tag("class", class.as_str())
            .send();
    }

    /// Records the total time of a completed model request.
    pub fn on_done(&self, class: RequestClass, after_ms: u64) {
        self.client
            .time_with_tags(TOTAL_MS, after_ms)
            .with_tag("class", class.as_str())
            .send();
    }

    /// Sets the number of model requests in flight.
    pub fn on_in_flight(&self, requests: usize) {
        let _ = self.client.gauge(IN_FLIGHT, requests as u64);
    }

    /// Counts a finished call of a plain service by its outcome.
    pub fn on_service_call(&self, outcome: &str) {
        self.client
            .incr_with_tags(SERVICE_CALLS)
            .with_tag("outcome", outcome)
            .send();
    }

    /// Counts a finished adapter load by its outcome.
    pub fn on_load(&self, loaded: bool) {
        let outcome = if loaded { "loaded" } else { "failed" };
        self.client
            .incr_with_tags(LOADS)
            .with_tag("outcome", outcome)
            .send();
    }

    /// Sets the number of upstreams that this instance owns.
    pub fn on_owned(&self, upstreams: usize) {
        let _ = self.client.gauge(OWNED_UPSTREAMS, upstreams as u64);
    }

    /// Sets the bundle version in force.
    pub fn on_bundle(&self, version: u64) {
        let _ = self.client.gauge(BUNDLE_VERSION, version);
    }
}

fn sink(statsd: SocketAddr) -> cadence::MetricResult<QueuingMetricSink> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    Ok(QueuingMetricSink::from(UdpMetricSink::from(
        statsd, socket,
    )?))
}
