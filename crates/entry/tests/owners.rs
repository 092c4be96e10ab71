//! Owners that die or stop as planned while streams run.

mod support;

use monsoonspread_demo::Region;
use support::*;

/// The owner of the region's only engine, and the other instance.
async fn owner_and_other(region: &Region) -> (String, String) {
    let owner = owner_of(region, "entry-1-1", "engine-1-1").await;
    let other = region.entries.keys().find(|name| **name != owner);
    let other = other.unwrap().clone();
    (owner, other)
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_survives_the_death_of_the_owner() {
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
    let mut own = Stream::open(&region, &owner, &chat("needle-0002", 150, true)).await;
    let mut others = Stream::open(&region, &other, &chat("needle-0004", 150, true)).await;
    own.first().await;
    others.first().await;
    let stopping = region.entries.remove(&owner).unwrap();
    let address = stopping.callers_address();
    let stop = tokio::spawn(stopping.drain());
    let (own, others) = tokio::join!(own.rest(), others.rest());
    assert!(is_whole(&own) && is_whole(&others));
    stop.await.unwrap();
    assert!(bench().get(address, "/readyz").await.is_err());
    let reply = generate(&region, &other, "needle-0006").await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    assert_eq!(owner_of(&region, &other, "engine-1-1").await, other);
    assert_eq!(pin_violations(&region).await, 0);
}
