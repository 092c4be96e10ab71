//! Helpers for end-to-end tests: regions, clients, streams and waiting.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use monsoonspread_demo::client::{SseEvent, events_of};
use monsoonspread_demo::{Client, Region, RegionShape, Reply};
use monsoonspread_model::bundle::SAMPLE_BENCH;
use monsoonspread_model::{Bundle, BundleVersion};
use serde_json::{Value, json};

pub const CHAT: &str = "/v1/chat/completions";
pub const COMMIT: &str = "/v1/services/records/commit-offset";
pub const READ: &str = "/v1/services/records/read-offset";
/// Number of adapters in test bundles.
const ADAPTERS: usize = 40;
/// Maximum wait for a condition before the test fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the shape of a region with one zone.
pub fn shape(entries_per_zone: usize, engines_per_zone: usize) -> RegionShape {
    RegionShape {
        zones: 1,
        entries_per_zone,
        engines_per_zone,
        every_unfenced: 0,
        list_lag_ms: 20,
        list_poll_ms: 20,
        ..RegionShape::default()
    }
}

/// Starts a region and waits until a bundle is in force and every engine has an owner.
pub async fn region(shape: RegionShape) -> Region {
    let region = Region::start(shape).await.unwrap();
    let bundle = Bundle::sample(BundleVersion(1), ADAPTERS);
    region.roll_out(&bundle).await.unwrap();
    region.wait_for_owners().await.unwrap();
    region
}

/// Starts the platform and the upstreams without entry instances, and rolls out a bundle.
pub async fn region_without_entries(shape: RegionShape) -> Region {
    let region = Region::start_platform(shape).await.unwrap();
    let bundle = Bundle::sample(BundleVersion(1), ADAPTERS);
    region.roll_out(&bundle).await.unwrap();
    region
}

pub fn bench() -> Client {
    Client::new(SAMPLE_BENCH.key)
}

pub fn chat(model: &str, max_tokens: u32, stream: bool) -> Value {
    let message = json!({"role": "user", "content": "Read the note of bench 7."});
    json!({"model": model, "messages": [message], "max_tokens": max_tokens, "stream": stream})
}

/// Sends a short generation request without streaming to `entry`.
pub async fn generate(region: &Region, entry: &str, adapter: &str) -> Reply {
    let body = chat(adapter, 4, false);
    let address = region.callers_address(entry);
    bench().post(address, CHAT, &body).await.unwrap()
}

/// Sends an offset commit to `entry`, with an idempotency key if given.
pub async fn commit(region: &Region, entry: &str, key: Option<&str>) -> Reply {
    let headers: Vec<_> = key
        .map(|key| ("idempotency-key", key))
        .into_iter()
        .collect();
    let address = region.callers_address(entry);
    let body = json!({"offset": 1}).to_string();
    let sent = bench().send("POST", address, COMMIT, &headers, &body).await;
    sent.unwrap()
}

/// Number of runs of the commit with `key`, over all servers.
pub fn runs_of(region: &Region, key: &str) -> u64 {
    let servers = region.services.values();
    servers.map(|server| server.runs_of_key(key)).sum()
}

pub async fn dump(region: &Region, entry: &str) -> Value {
    let address = region.entries[entry].operators_address();
    bench().get(address, "/dump").await.unwrap().json()
}

/// Returns the owner of `engine` according to `entry`, or an empty string if it knows none.
pub async fn owner_of(region: &Region, entry: &str, engine: &str) -> String {
    let owners = dump(region, entry).await;
    owners["owners"][engine]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Waits until `condition` holds; panics after [`CONDITION_TIMEOUT`].
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(CONDITION_TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "condition not met in time: {what}");
}

/// Streamed response that is being received.
pub struct Stream {
    body: Incoming,
    text: String,
}

impl Stream {
    /// Sends a request to `entry`; panics unless the status is 200.
    pub async fn open(region: &Region, entry: &str, body: &Value) -> Self {
        Self::open_at(region.callers_address(entry), body).await
    }

    /// Sends a request to `address`; panics unless the status is 200.
    pub async fn open_at(address: SocketAddr, body: &Value) -> Self {
        let body = body.to_string();
        let response = bench().open("POST", address, CHAT, &[], &body).await;
        let response = response.unwrap();
        assert_eq!(response.status(), 200);
        Self {
            body: response.into_body(),
            text: String::new(),
        }
    }

    /// Reads until the first data or the end of the stream.
    pub async fn first(&mut self) {
        while self.text.is_empty() && self.read().await {}
    }

    /// Reads to the end and returns all events.
    pub async fn rest(mut self) -> Vec<SseEvent> {
        while self.read().await {}
        events_of(&self.text)
    }

    async fn read(&mut self) -> bool {
        let Some(Ok(frame)) = self.body.frame().await else {
            return false;
        };
        let data = frame.into_data().unwrap_or_else(|_| Bytes::new());
        self.text.push_str(&String::from_utf8_lossy(&data));
        true
    }
}

/// Number of chunks in a streamed response that contain text.
pub fn chunks_with_text(events: &[SseEvent]) -> usize {
    let chunks = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(&event.data).ok());
    chunks
        .filter(|chunk| {
            let text = &chunk["choices"][0]["delta"]["content"];
            text.as_str().is_some_and(|text| !text.is_empty())
        })
        .count()
}

pub fn is_whole(events: &[SseEvent]) -> bool {
    events.last().is_some_and(|event| event.data == "[DONE]")
}

pub fn ends_in_error(events: &[SseEvent]) -> bool {
    let no_done = events.iter().all(|event| event.data != "[DONE]");
    no_done && events.last().is_some_and(|event| event.name == "error")
}

pub async fn pin_violations(region: &Region) -> u64 {
    let mut violations = 0;
    for engine in region.engines.values() {
        violations += engine.did().await.pin_violations;
    }
    violations
}

/// Returns the owner of the region's only engine and the other instance.
pub async fn owner_and_other(region: &Region) -> (String, String) {
    let owner = owner_of(region, "entry-1-1", "engine-1-1").await;
    let other = region.entries.keys().find(|name| **name != owner);
    let other = other.unwrap().clone();
    (owner, other)
}

/// Waits until `entry` serves a request; until then each request must be refused as not run.
pub async fn serves_again(region: &Region, entry: &str) {
    eventually("the other instance serves", async || {
        let reply = generate(region, entry, "needle-0004").await;
        assert!(
            reply.status == 200 || reply.says_not_run(),
            "{}",
            reply.text
        );
        reply.status == 200
    })
    .await;
    assert_eq!(pin_violations(region).await, 0);
}
