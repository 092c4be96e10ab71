//! Test of more requests than the engines can serve in time.

mod support;

use futures_util::future::join_all;
use support::*;

#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_and_running_streams_complete() {
    let mut region_shape = shape(2, 1);
    region_shape.engine.batch_places = 4;
    let region = region(region_shape).await;
    let mut running = Stream::open(&region, "entry-1-1", &chat("needle-0002", 150, true)).await;
    running.first().await;
    let addresses = region.callers_addresses();
    let sends = (0..300).map(|index| {
        let address = addresses[index % addresses.len()];
        async move {
            let deadline = [("x-deadline-ms", "1500")];
            let body = chat("needle-0002", 40, false).to_string();
            let client = bench();
            client.send("POST", address, CHAT, &deadline, &body).await
        }
    });
    let (events, replies) = tokio::join!(running.rest(), join_all(sends));
    assert!(is_whole(&events), "{events:?}");
    let mut served = 0;
    let mut may_have_run = 0;
    for reply in replies {
        let reply = reply.unwrap();
        if reply.status == 200 {
            served += 1;
            continue;
        }
        // On a busy machine the deadline may pass after the request was sent to the engine and
        // before the first token.
        may_have_run += u64::from(!reply.says_not_run());
        assert!(!reply.header("retry-after").is_empty(), "{}", reply.text);
    }
    assert!(served > 0);
    // The runs include the stream opened first, but no request refused as not run.
    let runs = region.engines["engine-1-1"].did().await.runs;
    let min_runs = served + 1;
    assert!(
        (min_runs..=min_runs + may_have_run).contains(&runs),
        "{runs} runs"
    );
}
