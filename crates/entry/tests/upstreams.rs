//! Engines that crash, leave, or answer for another adapter.

mod support;

use monsoonspread_standin::Fault;
use support::*;

#[tokio::test(flavor = "multi_thread")]
async fn crash_in_mid_stream_ends_in_an_error_event() {
    let region = region(shape(1, 1)).await;
    let mut stream = Stream::open(&region, "entry-1-1", &chat("needle-0002", 400, true)).await;
    stream.first().await;
    region.engines["engine-1-1"].apply(Fault::Crash);
    let events = stream.rest().await;
    assert!(ends_in_error(&events), "{events:?}");
    let error = &events.last().unwrap().data;
    assert!(error.contains("\"not_run\":false"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_goes_on_elsewhere_and_is_whole() {
    let region = region(shape(1, 2)).await;
    for engine in region.engines.values() {
        engine.apply(Fault::CutStreams { count: 1 });
    }
    let stream = Stream::open(&region, "entry-1-1", &chat("needle-0002", 60, true)).await;
    let events = stream.rest().await;
    let whole = is_whole(&events);
    assert!(whole || ends_in_error(&events), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_new_work() {
    let region = region(shape(1, 2)).await;
    for number in 0..8 {
        let adapter = format!("needle-{:04}", number * 2);
        assert_eq!(generate(&region, "entry-1-1", &adapter).await.status, 200);
    }
    region.list.set_leaving("engine-1-1");
    eventually("its owner gives no new grants", async || {
        let state = dump(&region, "entry-1-1").await;
        let upstreams = state["owner"]["upstreams"].to_string();
        upstreams.contains("\"takes_work\":false")
    })
    .await;
    let runs = region.engines["engine-1-1"].did().await.runs;
    for number in 0..8 {
        let adapter = format!("needle-{:04}", number * 2);
        assert_eq!(generate(&region, "entry-1-1", &adapter).await.status, 200);
    }
    assert_eq!(region.engines["engine-1-1"].did().await.runs, runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_breaks_two_engines_is_refused() {
    let region = region(shape(1, 3)).await;
    let address = region.callers_address("entry-1-1");
    let body = chat("needle-0002", 300, true);
    eventually("the request is refused as it crashes engines", async || {
        for engine in region.engines.values() {
            engine.apply(Fault::CutStreams { count: 3 });
        }
        let reply = bench().post(address, CHAT, &body).await.unwrap();
        reply.status == 422 && reply.error_type() == "quarantined" && reply.says_not_run()
    })
    .await;
    for engine in region.engines.values() {
        engine.apply(Fault::Clear);
    }
    assert_eq!(
        generate(&region, "entry-1-1", "needle-0004").await.status,
        200
    );
}
