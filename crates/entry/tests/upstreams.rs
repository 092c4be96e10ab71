//! Tests of engines that crash, break streams, fail loads or leave, and of callers that disconnect.

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
    let first = generate(&region, "entry-1-1", "needle-0002").await;
    let engine = first.header("x-monsoonspread-upstream");
    region.engines[engine].apply(Fault::CutStreams { count: 1 });
    let stream = Stream::open(&region, "entry-1-1", &chat("needle-0002", 60, true)).await;
    let events = stream.rest().await;
    assert!(is_whole(&events), "{events:?}");
    assert_eq!(chunks_with_text(&events), 60);
    let mut runs = Vec::new();
    for engine in region.engines.values() {
        runs.push(engine.did().await.runs);
    }
    runs.sort_unstable();
    assert_eq!(runs, [1, 2]);
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

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_releases_its_grant() {
    let region = region(shape(2, 1)).await;
    let mut stream = Stream::open(&region, "entry-1-1", &chat("needle-0002", 4_000, true)).await;
    stream.first().await;
    drop(stream);
    let engine = &region.engines["engine-1-1"];
    eventually("the engine stops the generation", async || {
        engine.did().await.cancelled == 1
    })
    .await;
    for entry in region.entries.keys() {
        eventually("the grant is given back", async || {
            let state = dump(&region, entry).await;
            let upstreams = state["owner"]["upstreams"].as_array().cloned();
            let mut grants = upstreams.into_iter().flatten();
            state["dispatch"]["requests"] == 0 && grants.all(|owned| owned["grants"] == 0)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_would_miss_its_deadline_is_refused_with_retry_after() {
    let region = region(shape(1, 1)).await;
    region.engines["engine-1-1"].apply(Fault::FailLoads { count: 1_000 });
    let address = region.callers_address("entry-1-1");
    let body = chat("needle-0002", 4, false).to_string();
    let deadline = [("x-deadline-ms", "1500")];
    let client = bench();
    let reply = client.send("POST", address, CHAT, &deadline, &body);
    let reply = reply.await.unwrap();
    assert!(
        reply.status >= 503 && reply.says_not_run(),
        "{}",
        reply.text
    );
    assert!(reply.header("retry-after").parse::<u64>().unwrap() >= 1);
    assert_eq!(region.engines["engine-1-1"].did().await.runs, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_cancelled_request_is_not_evicted_under_it() {
    let mut region_shape = shape(1, 1);
    region_shape.engine.adapter_slots = 2;
    region_shape.weights.loads_per_s = 1_000.0;
    region_shape.weights.load_ms = 1;
    let region = region(region_shape).await;
    for round in 0..20 {
        let adapter = |number: usize| format!("needle-{:04}", 2 * ((round + number) % 20));
        let body = chat(&adapter(0), 2_000, true);
        let mut stream = Stream::open(&region, "entry-1-1", &body).await;
        stream.first().await;
        let (first, second) = (adapter(1), adapter(2));
        let others = async {
            tokio::join!(
                generate(&region, "entry-1-1", &first),
                generate(&region, "entry-1-1", &second)
            )
        };
        let (_, (first, second)) = tokio::join!(async { drop(stream) }, others);
        assert_eq!(
            (first.status, second.status),
            (200, 200),
            "{}{}",
            first.text,
            second.text
        );
    }
    assert_eq!(pin_violations(&region).await, 0);
}
