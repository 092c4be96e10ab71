//! Tests of planned stops that coincide with faults.

mod support;

use std::time::Duration;

use monsoonspread_standin::Fault;
use support::*;

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_crashes_does_not_hold_up_a_planned_stop() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open(&region, &owner, &chat("needle-0002", 4_000, true)).await;
    stream.first().await;
    let stopping = region.entries.remove(&owner).unwrap();
    let crash = async { region.engines["engine-1-1"].apply(Fault::Crash) };
    let (events, (), ()) = tokio::join!(stream.rest(), stopping.drain(), crash);
    assert!(ends_in_error(&events), "{events:?}");
    region.engines["engine-1-1"].apply(Fault::Start);
    serves_again(&region, &other).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_killed_during_its_planned_stop_is_replaced() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open(&region, &other, &chat("needle-0002", 200, true)).await;
    stream.first().await;
    let stopping = region.entries.remove(&owner).unwrap();
    // The timeout drops the instance during the handover, which aborts its tasks.
    let interrupted_stop = tokio::time::timeout(Duration::from_millis(1), stopping.drain()).await;
    drop(interrupted_stop);
    serves_again(&region, &other).await;
    assert!(is_whole(&stream.rest().await));
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_a_slow_engine() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open(&region, &owner, &chat("needle-0002", 40, true)).await;
    stream.first().await;
    region.engines["engine-1-1"].apply(Fault::Slow { factor: 4.0 });
    let stopping = region.entries.remove(&owner).unwrap();
    let (events, ()) = tokio::join!(stream.rest(), stopping.drain());
    assert!(is_whole(&events), "{events:?}");
    region.engines["engine-1-1"].apply(Fault::Clear);
    serves_again(&region, &other).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_with_lost_answers_of_the_store_cuts_no_request() {
    let mut region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open(&region, &owner, &chat("needle-0002", 60, true)).await;
    stream.first().await;
    region.store.apply(Fault::LoseAnswers { count: 3 });
    let stopping = region.entries.remove(&owner).unwrap();
    let (events, ()) = tokio::join!(stream.rest(), stopping.drain());
    assert!(is_whole(&events), "{events:?}");
    serves_again(&region, &other).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_completes_its_running_requests() {
    let region = region(shape(2, 1)).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut running = Stream::open(&region, &other, &chat("needle-0002", 100, true)).await;
    running.first().await;
    region.engines["engine-1-1"].apply(Fault::Slow { factor: 10.0 });
    let body = chat("needle-0002", 8, true);
    let waiting = Stream::open(&region, &other, &body);
    let leaving = async {
        eventually("both are granted", async || {
            let state = dump(&region, &owner).await;
            state["owner"]["upstreams"][0]["grants"] == 2
        })
        .await;
        region.list.set_leaving("engine-1-1");
        eventually("its owner gives no new grants", async || {
            let state = dump(&region, &owner).await;
            state["owner"]["upstreams"][0]["takes_work"] == false
        })
        .await;
        region.engines["engine-1-1"].apply(Fault::Clear);
    };
    let (waiting, ()) = tokio::join!(waiting, leaving);
    assert!(is_whole(&waiting.rest().await));
    assert!(is_whole(&running.rest().await));
    eventually("every grant is back", async || {
        let state = dump(&region, &owner).await;
        let grants = &state["owner"]["upstreams"][0]["grants"];
        grants.is_null() || *grants == 0
    })
    .await;
}
