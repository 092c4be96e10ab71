//! The client of the key-value service against its stand-in.

use monsoonspread_borders::store::EtcdGateway;
use monsoonspread_borders::{CasOutcome, CreateOutcome, KeyValueStore, StoreError};
use monsoonspread_standin::{Fault, Running, Store, StoreSettings};

const KEY: &str = "/monsoonspread/bundle/pointer";

async fn store() -> (Running<Store>, EtcdGateway) {
    let settings = StoreSettings {
        call_ms: 0,
        ..StoreSettings::default()
    };
    let store = Store::start(settings).await.expect("the store starts");
    let client = EtcdGateway::new(vec![store.address()]);
    (store, client)
}

fn written(outcome: CasOutcome) -> u64 {
    match outcome {
        CasOutcome::Written { mod_revision } => mod_revision,
        CasOutcome::Conflict { current } => panic!("a conflict with {current:?}"),
    }
}

#[tokio::test]
async fn a_swap_succeeds_at_the_expected_revision_only() {
    let (_store, client) = store().await;
    assert_eq!(client.get(KEY).await, Ok(None));
    let first = written(client.compare_and_swap(KEY, 0, b"one").await.unwrap());
    let second = written(client.compare_and_swap(KEY, first, b"two").await.unwrap());
    let CasOutcome::Conflict { current } = client.compare_and_swap(KEY, first, b"x").await.unwrap()
    else {
        panic!("an old revision was taken");
    };
    let current = current.expect("the key is there");
    assert_eq!(current.value, b"two");
    assert_eq!(current.mod_revision, second);
    assert_eq!(client.get(KEY).await, Ok(Some(current)));
}

#[tokio::test]
async fn keys_are_created_all_or_none() {
    let (_store, client) = store().await;
    let entries = |names: &[&str]| {
        names
            .iter()
            .map(|name| (format!("/claim/{name}"), name.as_bytes().to_vec()))
            .collect::<Vec<_>>()
    };
    let created = client.create_all(&entries(&["a", "b"])).await;
    assert_eq!(created, Ok(CreateOutcome::Created));
    let Ok(CreateOutcome::Exists(found)) = client.create_all(&entries(&["c", "b"])).await else {
        panic!("an existing key was created");
    };
    assert!(found[0].is_none());
    assert_eq!(found[1].as_ref().unwrap().value, b"b");
    let keys = client.list("/claim/").await.unwrap();
    let keys = keys.iter().map(|row| row.key.as_str()).collect::<Vec<_>>();
    assert_eq!(keys, ["/claim/a", "/claim/b"]);
}

#[tokio::test]
async fn a_delete_is_a_swap_too() {
    let (_store, client) = store().await;
    let revision = written(client.compare_and_swap(KEY, 0, b"one").await.unwrap());
    let conflict = client.delete(KEY, revision + 1).await.unwrap();
    assert!(matches!(
        conflict,
        CasOutcome::Conflict { current: Some(_) }
    ));
    written(client.delete(KEY, revision).await.unwrap());
    assert_eq!(client.get(KEY).await, Ok(None));
}

#[tokio::test]
async fn a_watch_shows_writes_after_its_revision() {
    let (_store, client) = store().await;
    let first = written(client.compare_and_swap(KEY, 0, b"one").await.unwrap());
    let second = written(client.compare_and_swap(KEY, first, b"two").await.unwrap());
    let mut writes = client
        .watch("/monsoonspread/bundle/", first)
        .await
        .expect("it starts");
    assert_eq!(writes.recv().await.unwrap().value, b"two");
    written(
        client
            .compare_and_swap(KEY, second, b"three")
            .await
            .unwrap(),
    );
    assert_eq!(writes.recv().await.unwrap().value, b"three");
}

#[tokio::test]
async fn a_watch_ends_with_the_store() {
    let (store, client) = store().await;
    let mut writes = client.watch(KEY, 0).await.expect("it starts");
    store.apply(Fault::Crash);
    assert_eq!(writes.recv().await, None);
}

#[tokio::test]
async fn a_lost_answer_may_have_taken_effect() {
    let (store, client) = store().await;
    store.apply(Fault::LoseAnswers { count: 1 });
    let lost = client.compare_and_swap(KEY, 0, b"one").await;
    assert!(matches!(lost, Err(StoreError::AnswerLost(_))), "{lost:?}");
    let current = client.get(KEY).await.unwrap().expect("it was written");
    assert_eq!(current.value, b"one");
}

#[tokio::test]
async fn a_store_that_is_down_is_unreachable_and_keeps_its_state() {
    let (store, client) = store().await;
    written(client.compare_and_swap(KEY, 0, b"one").await.unwrap());
    let mut writes = client.watch(KEY, 0).await.expect("it starts");
    writes.recv().await;
    store.apply(Fault::Crash);
    assert_eq!(writes.recv().await, None);
    let error = client.get(KEY).await.unwrap_err();
    assert!(matches!(error, StoreError::Unreachable(_)), "{error:?}");
    store.apply(Fault::Start);
    let current = loop {
        match client.get(KEY).await {
            Err(StoreError::Unreachable(_)) => tokio::task::yield_now().await,
            result => break result.unwrap(),
        }
    };
    assert_eq!(current.unwrap().value, b"one");
}

#[tokio::test]
async fn a_refused_write_is_known_not_to_have_run() {
    let (store, client) = store().await;
    store.apply(Fault::Refuse { on: true });
    let refused = client.compare_and_swap(KEY, 0, b"one").await;
    assert!(
        matches!(refused, Err(StoreError::Refused(_))),
        "{refused:?}"
    );
    store.apply(Fault::Clear);
    assert_eq!(client.get(KEY).await, Ok(None));
}

#[tokio::test]
async fn a_paused_store_leaves_the_outcome_open() {
    let (store, client) = store().await;
    let client = client.with_timeout_ms(20);
    store.apply(Fault::Pause);
    let lost = client.compare_and_swap(KEY, 0, b"one").await;
    assert!(matches!(lost, Err(StoreError::AnswerLost(_))), "{lost:?}");
}

#[tokio::test]
async fn the_next_address_serves_when_the_first_is_down() {
    let (down, _) = store().await;
    let (up, _) = store().await;
    down.apply(Fault::Refuse { on: false });
    let address = down.address();
    down.stop().await;
    let client = EtcdGateway::new(vec![address, up.address()]);
    written(client.compare_and_swap(KEY, 0, b"one").await.unwrap());
}

#[tokio::test]
async fn a_crashed_store_can_be_stopped() {
    let (store, client) = store().await;
    store.apply(Fault::Crash);
    while client.get(KEY).await.is_ok() {
        tokio::task::yield_now().await;
    }
    store.stop().await;
}
