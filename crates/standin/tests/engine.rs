//! The engine client against the engine stand-in.

mod common;

use common::{copy, engine, load, request, text_of};
use monsoonspread_borders::engine::VllmEngine;
use monsoonspread_borders::{Engine as _, EngineError, GenerationEvent, OrderError};
use monsoonspread_model::Epoch;
use monsoonspread_standin::{EngineSettings, Fault};

#[tokio::test]
async fn a_loaded_copy_answers_in_its_own_name() {
    let (engine, client) = engine(EngineSettings::default()).await;
    load(&client, &copy(3)).await;
    let generation = client
        .generate(request(&copy(3), 4, "marker:m-1"))
        .await
        .expect("it starts");
    let (text, last) = text_of(generation).await;
    assert_eq!(text, "needle-7@2: 1 2 3");
    assert_eq!(last, GenerationEvent::Done);
    let did = engine.did().await;
    assert_eq!(did.by_marker["m-1"], ["needle-7@2"]);
    assert_eq!(did.by_request["r-1"], 1);
}

#[tokio::test]
async fn an_absent_copy_is_missing() {
    let (_engine, client) = engine(EngineSettings::default()).await;
    let error = client.generate(request(&copy(3), 4, "")).await.unwrap_err();
    assert_eq!(error, EngineError::CopyMissing("needle-7@2.e3".to_owned()));
}

#[tokio::test]
async fn an_old_fencing_number_is_refused() {
    let (_engine, client) = engine(EngineSettings::default()).await;
    client.fence(Epoch(9)).await.expect("the first number");
    let refused = client.load(&copy(3), Epoch(3)).await;
    assert_eq!(refused, Err(OrderError::Fenced(Epoch(3))));
    assert_eq!(client.fence(Epoch(9)).await, Ok(()));
}

#[tokio::test]
async fn an_engine_that_ignores_fencing_takes_old_numbers() {
    let settings = EngineSettings {
        checks_fencing: false,
        ..EngineSettings::default()
    };
    let (_engine, client) = engine(settings).await;
    client.fence(Epoch(9)).await.expect("the first number");
    assert_eq!(client.load(&copy(3), Epoch(3)).await, Ok(()));
}

#[tokio::test]
async fn an_unload_under_a_request_is_counted_and_breaks_its_stream() {
    let (engine, client) = engine(EngineSettings::default()).await;
    load(&client, &copy(3)).await;
    let generation = client
        .generate(request(&copy(3), 100_000, ""))
        .await
        .expect("it starts");
    client.unload(&copy(3), Epoch(3)).await.expect("it unloads");
    let (_, last) = text_of(generation).await;
    assert!(matches!(last, GenerationEvent::Broken(_)), "{last:?}");
    assert_eq!(engine.did().await.pin_violations, 1);
    assert_eq!(client.unload(&copy(3), Epoch(3)).await, Ok(()));
}

#[tokio::test]
async fn a_cut_stream_is_broken_and_never_done() {
    let (engine, client) = engine(EngineSettings::default()).await;
    load(&client, &copy(3)).await;
    engine.apply(Fault::CutStreams { count: 1 });
    let generation = client
        .generate(request(&copy(3), 8, ""))
        .await
        .expect("it starts");
    let (text, last) = text_of(generation).await;
    assert_eq!(text, "needle-7@2: 1 2 3");
    assert!(matches!(last, GenerationEvent::Broken(_)), "{last:?}");
}

#[tokio::test]
async fn dropping_a_generation_frees_its_place() {
    let settings = EngineSettings {
        batch_places: 1,
        ..EngineSettings::default()
    };
    let (engine, client) = engine(settings).await;
    load(&client, &copy(3)).await;
    let endless = client
        .generate(request(&copy(3), u32::MAX, ""))
        .await
        .expect("it starts");
    drop(endless);
    let next = client
        .generate(request(&copy(3), 2, ""))
        .await
        .expect("it starts");
    assert_eq!(text_of(next).await.1, GenerationEvent::Done);
    assert_eq!(engine.did().await.cancelled, 1);
}

#[tokio::test]
async fn a_lost_answer_to_an_order_is_no_refusal() {
    let (engine, client) = engine(EngineSettings::default()).await;
    engine.apply(Fault::LoseAnswers { count: 1 });
    let lost = client.load(&copy(3), Epoch(3)).await;
    assert!(matches!(lost, Err(OrderError::AnswerLost(_))), "{lost:?}");
    let generation = client.generate(request(&copy(3), 1, "")).await;
    assert!(generation.is_ok(), "the load took effect");
}

#[tokio::test]
async fn a_crashed_engine_is_unreachable_and_starts_empty() {
    let (engine, client) = engine(EngineSettings::default()).await;
    load(&client, &copy(3)).await;
    let running = client
        .generate(request(&copy(3), u32::MAX, ""))
        .await
        .expect("it starts");
    engine.apply(Fault::Crash);
    assert!(matches!(
        text_of(running).await.1,
        GenerationEvent::Broken(_)
    ));
    let refused = client.fence(Epoch(4)).await;
    assert!(
        matches!(refused, Err(OrderError::Unreachable(_))),
        "{refused:?}"
    );
    engine.apply(Fault::Start);
    let error = loop {
        match client.generate(request(&copy(3), 1, "")).await {
            Err(EngineError::Unreachable(_)) => tokio::task::yield_now().await,
            Err(error) => break error,
            Ok(_) => panic!("the copy outlived the crash"),
        }
    };
    assert!(matches!(error, EngineError::CopyMissing(_)), "{error:?}");
}

#[tokio::test]
async fn a_draining_engine_refuses_new_work_and_finishes_the_old() {
    let (engine, client) = engine(EngineSettings::default()).await;
    load(&client, &copy(3)).await;
    let running = client
        .generate(request(&copy(3), 50, ""))
        .await
        .expect("it starts");
    engine.apply(Fault::Drain { on: true });
    let refused = client.generate(request(&copy(3), 1, "")).await;
    assert!(
        matches!(refused, Err(EngineError::Refused(_))),
        "{refused:?}"
    );
    assert_eq!(text_of(running).await.1, GenerationEvent::Done);
}

#[tokio::test]
async fn a_failed_load_is_reported_and_leaves_the_slot_free() {
    let settings = EngineSettings {
        adapter_slots: 1,
        ..EngineSettings::default()
    };
    let (engine, client) = engine(settings).await;
    engine.apply(Fault::FailLoads { count: 1 });
    let failed = client.load(&copy(3), Epoch(3)).await;
    assert!(matches!(failed, Err(OrderError::Failed(_))), "{failed:?}");
    assert_eq!(client.load(&copy(4), Epoch(4)).await, Ok(()));
}

#[tokio::test]
async fn a_cut_off_peer_loses_its_stream_and_others_do_not() {
    let (engine, client) = engine(EngineSettings::default()).await;
    let cut_client = client.clone().with_peer_name("entry-1");
    load(&client, &copy(3)).await;
    let start = async |client: &VllmEngine, max_tokens| {
        let request = request(&copy(3), max_tokens, "");
        client.generate(request).await.expect("it starts")
    };
    let cut = start(&cut_client, u32::MAX).await;
    let kept = start(&client, 300).await;
    let peers = vec!["entry-1".to_owned()];
    engine.apply(Fault::Cut { peers });
    assert!(matches!(text_of(cut).await.1, GenerationEvent::Broken(_)));
    assert_eq!(text_of(kept).await.1, GenerationEvent::Done);
}

#[tokio::test]
async fn a_prompt_that_crashes_its_engine_breaks_the_stream() {
    let (_engine, client) = engine(EngineSettings::default()).await;
    load(&client, &copy(3)).await;
    let crash = request(&copy(3), 5, monsoonspread_standin::engine::CRASH_TEXT);
    match client.generate(crash).await {
        Err(error) => assert!(matches!(error, EngineError::Broken(_)), "{error:?}"),
        Ok(generation) => {
            let (_, last) = text_of(generation).await;
            assert!(matches!(last, GenerationEvent::Broken(_)), "{last:?}");
        }
    }
}

#[tokio::test]
async fn an_engine_that_loads_by_itself_evicts_idle_copies_only() {
    let settings = EngineSettings {
        adapter_slots: 1,
        auto_load: true,
        ..EngineSettings::default()
    };
    let (engine, client) = engine(settings).await;
    for epoch in [1, 2, 1] {
        let generation = client
            .generate(request(&copy(epoch), 3, ""))
            .await
            .expect("it starts");
        assert_eq!(text_of(generation).await.1, GenerationEvent::Done);
    }
    let did = engine.did().await;
    assert_eq!((did.loads, did.evictions, did.pin_violations), (3, 2, 0));
}

#[tokio::test]
async fn a_resumed_answer_goes_on_where_it_was_cut() {
    let (engine, client) = engine(EngineSettings::default()).await;
    load(&client, &copy(3)).await;
    engine.apply(Fault::CutStreams { count: 1 });
    let first = client.generate(request(&copy(3), 8, "Read it.")).await;
    let (text, _) = text_of(first.expect("it starts")).await;
    let rest = request(&copy(3), 4, &format!("Read it.{text}"));
    let (rest, last) = text_of(client.generate(rest).await.expect("it starts")).await;
    assert_eq!(format!("{text}{rest}"), "needle-7@2: 1 2 3 4 5 6 7");
    assert_eq!(last, GenerationEvent::Done);
}
