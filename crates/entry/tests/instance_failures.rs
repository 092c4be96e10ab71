//! Tests of instances that crash, restart or stop as planned while requests are running.

mod support;

use monsoonspread_demo::Region;
use monsoonspread_demo::region::zone_name;
use monsoonspread_standin::Fault;
use serde_json::Value;
use support::*;

#[tokio::test(flavor = "multi_thread")]
async fn stream_survives_a_crash_of_the_owner() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open(&region, &other, &chat("needle-0002", 200, true)).await;
    stream.first().await;
    drop(region.entries.remove(&owner));
    let (events, reply) = tokio::join!(stream.rest(), generate(&region, &other, "needle-0002"));
    assert!(is_whole(&events), "{events:?}");
    assert!(
        reply.status == 200 || reply.says_not_run(),
        "{}",
        reply.text
    );
    eventually("the next in the failover order serves", async || {
        generate(&region, &other, "needle-0004").await.status == 200
    })
    .await;
    assert_eq!(owner_of(&region, &other, "engine-1-1").await, other);
    assert_eq!(pin_violations(&region).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_no_request() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut owner_stream = Stream::open(&region, &owner, &chat("needle-0002", 150, true)).await;
    let mut other_stream = Stream::open(&region, &other, &chat("needle-0004", 150, true)).await;
    owner_stream.first().await;
    other_stream.first().await;
    let stopping = region.entries.remove(&owner).unwrap();
    let address = stopping.callers_address();
    let stop = tokio::spawn(stopping.drain());
    let (owner_events, other_events) = tokio::join!(owner_stream.rest(), other_stream.rest());
    assert!(is_whole(&owner_events) && is_whole(&other_events));
    stop.await.unwrap();
    assert!(bench().get(address, "/readyz").await.is_err());
    let reply = generate(&region, &other, "needle-0006").await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    assert_eq!(owner_of(&region, &other, "engine-1-1").await, other);
    assert_eq!(pin_violations(&region).await, 0);
}

/// Number of batch places in use on the region's only engine, according to its owner.
async fn places_used(region: &Region, owner: &str) -> Value {
    dump(region, owner).await["owner"]["upstreams"][0]["places_used"].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn request_queued_at_a_killed_owner_gets_one_correct_response() {
    let mut region_shape = shape(2, 1);
    region_shape.weights.load_ms = 1_000;
    let mut region = region(region_shape).await;
    let (owner, other) = owner_and_other(&region).await;
    let waiting = chat("needle-0002", 8, false);
    let address = region.callers_address(&other);
    let client = bench();
    let answer = client.post(address, CHAT, &waiting);
    let kill = async {
        eventually("the adapter is on its way", async || {
            region.weights.served().asked > 0
        })
        .await;
        region.entries.remove(&owner)
    };
    let (reply, killed) = tokio::join!(answer, kill);
    drop(killed);
    let reply = reply.unwrap();
    assert!(
        reply.status == 200 || reply.says_not_run(),
        "{}",
        reply.text
    );
    let runs = region.engines["engine-1-1"].did().await.runs;
    assert_eq!(runs, u64::from(reply.status == 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn places_of_a_killed_holder_are_freed() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open(&region, &other, &chat("needle-0002", 4_000, true)).await;
    stream.first().await;
    assert_eq!(places_used(&region, &owner).await, 1);
    drop(region.entries.remove(&other));
    region.list.remove(&other);
    eventually("the owner counts its place as free", async || {
        places_used(&region, &owner).await == 0
    })
    .await;
    assert_eq!(pin_violations(&region).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_instance_serves_again_under_its_name() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open(&region, &other, &chat("needle-0002", 200, true)).await;
    stream.first().await;
    drop(region.entries.remove(&owner));
    region.start_entry(&owner, &zone_name(1)).await.unwrap();
    for entry in [&owner, &other] {
        eventually("both serve", async || {
            let reply = generate(&region, entry, "needle-0004").await;
            assert!(
                reply.status == 200 || reply.says_not_run(),
                "{}",
                reply.text
            );
            reply.status == 200
        })
        .await;
    }
    let events = stream.rest().await;
    assert!(is_whole(&events), "{events:?}");
    assert_eq!(pin_violations(&region).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_without_the_platform_cuts_no_request() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open(&region, &owner, &chat("needle-0002", 100, true)).await;
    stream.first().await;
    // Without the store no new ownership table can be written, so the current one must already
    // name both instances.
    eventually("both instances are in the failover order", async || {
        let state = dump(&region, &owner).await;
        let order = &state["ownership"]["table"]["upstreams"]["engine-1-1"];
        order.as_array().is_some_and(|order| order.len() == 2)
    })
    .await;
    region.store.apply(Fault::Crash);
    region.list.apply(Fault::Crash);
    let stopping = region.entries.remove(&owner).unwrap();
    let (events, ()) = tokio::join!(stream.rest(), stopping.drain());
    assert!(is_whole(&events), "{events:?}");
    serves_again(&region, &other).await;
}
