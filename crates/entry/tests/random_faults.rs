//! Runs random requests under random faults from a seed and checks the invariants at the end.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use monsoonspread_demo::{Region, RegionShape, Reply};
use monsoonspread_standin::Fault;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use support::*;
use tokio::task::JoinSet;

const CALLERS: u32 = 10;
const REQUESTS_PER_CALLER: u32 = 25;
const FAULTS: u32 = 30;
const FAULT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time from sending a request to its complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
const DEADLINE_MS: &str = "3000";

/// Request with its response; `None` if the entry instance crashed.
enum Sent {
    Generation {
        marker: String,
        adapter: String,
        tokens: u32,
        reply: Option<Reply>,
    },
    Commit {
        key: String,
        replies: Vec<Option<Reply>>,
    },
}

fn region_shape() -> RegionShape {
    let mut shape = shape(2, 2);
    shape.zones = 2;
    shape.every_unfenced = 3;
    shape.engine.time_scale = 0.2;
    shape.weights.time_scale = 0.2;
    shape.engine.adapter_slots = 4;
    shape
}

async fn send_request(
    address: SocketAddr,
    path: &str,
    header: (&str, &str),
    body: &serde_json::Value,
) -> Option<Reply> {
    let client = bench();
    let body = body.to_string();
    let headers = [header];
    let sent = client.send("POST", address, path, &headers, &body);
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, sent).await;
    response
        .expect("every request must be answered in time")
        .ok()
}

async fn send_generation(random: &mut ChaCha8Rng, entries: &[SocketAddr], marker: String) -> Sent {
    let adapter = format!(
        "needle-{:04}@{}",
        2 * (random.next_u32() % 8),
        1 + random.next_u32() % 2
    );
    let tokens = [4, 4, 4, 60][random.next_u32() as usize % 4];
    let message = json!({ "role": "user", "content": format!("marker:{marker}") });
    let body = json!({ "model": adapter, "messages": [message], "max_tokens": tokens });
    let reply = send_request(
        pick(random, entries),
        CHAT,
        ("x-deadline-ms", DEADLINE_MS),
        &body,
    );
    Sent::Generation {
        reply: reply.await,
        marker,
        adapter,
        tokens,
    }
}

/// Sends a commit twice with the same key, each time to a random instance.
async fn send_commit_twice(random: &mut ChaCha8Rng, entries: &[SocketAddr], key: String) -> Sent {
    let mut replies = Vec::new();
    for _ in 0..2 {
        let address = pick(random, entries);
        let header = ("idempotency-key", key.as_str());
        replies.push(send_request(address, COMMIT, header, &json!({ "offset": 1 })).await);
    }
    Sent::Commit { key, replies }
}

fn pick<T: Clone>(random: &mut ChaCha8Rng, items: &[T]) -> T {
    items[random.next_u32() as usize % items.len()].clone()
}

async fn run_caller(number: u32, seed: u64, entries: Vec<SocketAddr>) -> Vec<Sent> {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000 + u64::from(number));
    let mut sent_requests = Vec::new();
    for request in 0..REQUESTS_PER_CALLER {
        let name = format!("{number}-{request}");
        sent_requests.push(match random.next_u32() % 4 {
            0 => send_commit_twice(&mut random, &entries, name).await,
            _ => send_generation(&mut random, &entries, name).await,
        });
    }
    sent_requests
}

fn engine_fault(random: &mut ChaCha8Rng, entries: &[String]) -> Fault {
    match random.next_u32() % 11 {
        0 => Fault::Restart,
        1 => Fault::Pause,
        2 => Fault::CutStreams { count: 8 },
        3 => Fault::FailLoads { count: 2 },
        4 => Fault::LoseAnswers { count: 2 },
        5 => Fault::Refuse { on: true },
        6 => Fault::Slow { factor: 8.0 },
        7 => Fault::DelayAnswers { delay_ms: 200 },
        8 => Fault::Drain { on: true },
        9 => Fault::CutStreams { count: 16 },
        _ => Fault::Cut {
            peers: vec![pick(random, entries)],
        },
    }
}

fn platform_fault(random: &mut ChaCha8Rng) -> Fault {
    match random.next_u32() % 4 {
        0 => Fault::Crash,
        1 => Fault::Pause,
        2 => Fault::LoseAnswers { count: 3 },
        _ => Fault::Slow { factor: 50.0 },
    }
}

/// Applies and clears random faults; kills one entry instance halfway.
async fn inject_faults(region: &mut Region, random: &mut ChaCha8Rng) {
    let entries = region.entries.keys().cloned().collect::<Vec<_>>();
    let engines = region.engines.keys().cloned().collect::<Vec<_>>();
    let services = region.services.keys().cloned().collect::<Vec<_>>();
    for number in 0..FAULTS {
        let engine = &region.engines[&pick(random, &engines)];
        match random.next_u32() % 12 {
            0 => region.store.apply(platform_fault(random)),
            1 => region.list.apply(platform_fault(random)),
            2 => {
                let lost = Fault::LoseAnswers { count: 2 };
                region.services[&pick(random, &services)].apply(lost);
            }
            3 => region.store.apply(Fault::Clear),
            4..7 => engine.apply(Fault::Clear),
            _ => engine.apply(engine_fault(random, &entries)),
        }
        if number == FAULTS / 2 {
            let killed = pick(random, &entries);
            drop(region.entries.remove(&killed));
            region.list.remove(&killed);
        }
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
    clear_faults(region);
}

fn clear_faults(region: &Region) {
    region.store.apply(Fault::Clear);
    region.list.apply(Fault::Clear);
    let engines = region.engines.values();
    engines.for_each(|engine| engine.apply(Fault::Clear));
    let services = region.services.values();
    services.for_each(|service| service.apply(Fault::Clear));
}

/// Returns the adapters that ran the prompt with this marker, over all engines.
async fn adapters_run(region: &Region, marker: &str) -> Vec<String> {
    let mut adapters_run = Vec::new();
    for engine in region.engines.values() {
        let runs = engine.did().await.by_marker.remove(marker);
        adapters_run.extend(runs.unwrap_or_default());
    }
    adapters_run
}

fn expected_response(adapter: &str, tokens: u32) -> String {
    let rest = (1..tokens).map(|number| format!(" {number}"));
    format!("{adapter}:{}", rest.collect::<String>())
}

async fn check(region: &Region, sent_request: &Sent) {
    match sent_request {
        Sent::Generation {
            marker,
            adapter,
            tokens,
            reply,
        } => {
            let adapters_run = adapters_run(region, marker).await;
            assert!(
                adapters_run.iter().all(|one| one == adapter),
                "{marker}: {adapters_run:?}"
            );
            let Some(reply) = reply else {
                return;
            };
            if reply.status == 200 {
                let answer = reply.json();
                let text = &answer["choices"][0]["message"]["content"];
                assert_eq!(*text, expected_response(adapter, *tokens), "{marker}");
                assert!(!adapters_run.is_empty(), "{marker}");
            }
            let is_consistent = !reply.says_not_run() || adapters_run.is_empty();
            assert!(is_consistent, "{marker} ran: {}", reply.text);
        }
        Sent::Commit { key, replies } => {
            let runs = runs_of(region, key);
            assert!(runs <= 1, "{key} ran {runs} times");
            let replies = replies.iter().flatten().collect::<Vec<_>>();
            let is_done = replies.iter().any(|reply| reply.status == 200);
            assert!(!is_done || runs == 1, "{key} did not run");
            let all_not_run =
                replies.len() == 2 && replies.iter().all(|reply| reply.says_not_run());
            assert!(!all_not_run || runs == 0, "{key} ran");
        }
    }
}

async fn run(seed: u64) {
    let mut region = region(region_shape()).await;
    let entries = region.callers_addresses();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(run_caller(number, seed, entries.clone()));
    }
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    inject_faults(&mut region, &mut random).await;
    let sent_requests = callers.join_all().await.into_iter().flatten();
    for sent_request in sent_requests {
        check(&region, &sent_request).await;
    }
    assert_eq!(pin_violations(&region).await, 0);
    for entry in region.entries.keys() {
        eventually("everything is served again", async || {
            generate(&region, entry, "needle-0002").await.status == 200
                && commit(&region, entry, None).await.status == 200
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_must_always_hold_holds_under_random_faults() {
    for seed in [2, 5] {
        run(seed).await;
    }
}
