//! Tests of outages and faults of the platform's services.

mod support;

use monsoonspread_demo::region::zone_name;
use monsoonspread_demo::roll_out::roll_out;
use monsoonspread_entry::{Entry, Platform};
use monsoonspread_model::{Bundle, BundleVersion};
use monsoonspread_standin::Fault;
use support::*;

#[tokio::test(flavor = "multi_thread")]
async fn outage_of_the_store_stops_only_keyed_commits() {
    let region = region(shape(2, 1)).await;
    region.store.apply(Fault::Crash);
    let keyed = commit(&region, "entry-1-1", Some("k-1")).await;
    assert_eq!(keyed.error_type(), "store_unavailable");
    assert!(keyed.status == 503 && keyed.says_not_run());
    assert_eq!(commit(&region, "entry-1-1", None).await.status, 200);
    let generation = generate(&region, "entry-1-1", "needle-0002").await;
    assert_eq!(generation.status, 200, "{}", generation.text);
    region.store.apply(Fault::Start);
    eventually("keyed commits run again", async || {
        commit(&region, "entry-1-1", Some("k-1")).await.status == 200
    })
    .await;
    assert_eq!(runs_of(&region, "k-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_do_not_double_a_commit() {
    let region = region(shape(2, 1)).await;
    for number in 0..10 {
        region.store.apply(Fault::LoseAnswers { count: 2 });
        let key = format!("key-{number}");
        for entry in ["entry-1-1", "entry-1-2"] {
            let reply = commit(&region, entry, Some(&key)).await;
            assert!(reply.status == 200 || reply.status >= 500, "{}", reply.text);
            assert!(!reply.says_not_run() || runs_of(&region, &key) == 0);
        }
        assert!(runs_of(&region, &key) <= 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_a_service_are_reported_and_not_repeated() {
    let region = region(shape(2, 1)).await;
    for server in region.services.values() {
        server.apply(Fault::LoseAnswers { count: 1 });
    }
    let first = commit(&region, "entry-1-1", Some("k-2")).await;
    assert_eq!((first.status, first.says_not_run()), (502, false));
    let repeat = commit(&region, "entry-1-2", Some("k-2")).await;
    assert_eq!(repeat.error_type(), "outcome_unknown");
    assert_eq!(runs_of(&region, "k-2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn newer_bundle_reaches_everybody_and_an_older_one_does_not_return() {
    let region = region(shape(3, 1)).await;
    let second = Bundle::sample(BundleVersion(2), 42);
    region.roll_out(&second).await.unwrap();
    let first = Bundle::sample(BundleVersion(1), 40);
    let store = region.store_client();
    roll_out(&store, &region.key, &first).await.unwrap();
    let reply = generate(&region, "entry-1-3", "needle-0040").await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    for entry in region.entries.values() {
        let version = entry.bundle().borrow().bundle().version;
        assert_eq!(version, BundleVersion(2));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_started_in_a_store_outage_syncs_from_its_peers() {
    let mut region = region(shape(2, 1)).await;
    region.store.apply(Fault::Crash);
    let zone = zone_name(1);
    region.start_entry("entry-1-9", &zone).await.unwrap();
    region.wait_for_bundle(BundleVersion(1)).await;
    region.wait_for_owners().await.unwrap();
    let reply = generate(&region, "entry-1-9", "needle-0002").await;
    assert_eq!(reply.status, 200, "{}", reply.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_started_without_store_and_list_syncs_from_its_peers() {
    let mut region = region(shape(2, 1)).await;
    region.store.apply(Fault::Crash);
    region.list.apply(Fault::Crash);
    let mut settings = region.settings("entry-1-9", &zone_name(1));
    settings.mesh.peers = region.entries.values().map(Entry::mesh_address).collect();
    let platform = Platform::connect(&settings);
    let entry = Entry::start(settings, platform).await.unwrap();
    region.entries.insert("entry-1-9".to_owned(), entry);
    region.wait_for_bundle(BundleVersion(1)).await;
    region.wait_for_owners().await.unwrap();
    let reply = generate(&region, "entry-1-9", "needle-0002").await;
    assert_eq!(reply.status, 200, "{}", reply.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_list_outage_does_not_affect_known_upstreams() {
    let region = region(shape(2, 2)).await;
    region.list.apply(Fault::Crash);
    for number in 0..6 {
        let adapter = format!("needle-{:04}", 2 * number);
        let reply = generate(&region, "entry-1-2", &adapter).await;
        assert_eq!(reply.status, 200, "{}", reply.text);
    }
    assert_eq!(commit(&region, "entry-1-1", Some("k-3")).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_store_delays_commits_and_bundles_only() {
    let region = region(shape(2, 1)).await;
    region.store.apply(Fault::DelayAnswers { delay_ms: 300 });
    let generation = generate(&region, "entry-1-1", "needle-0002").await;
    assert_eq!(generation.status, 200, "{}", generation.text);
    let first = commit(&region, "entry-1-1", Some("k-slow")).await;
    assert_eq!(first.status, 200, "{}", first.text);
    let repeat = commit(&region, "entry-1-2", Some("k-slow")).await;
    assert_eq!((repeat.status, &repeat.text), (200, &first.text));
    assert_eq!(runs_of(&region, "k-slow"), 1);
    let second = Bundle::sample(BundleVersion(2), 42);
    region.roll_out(&second).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_is_recorded_after_an_outage_of_the_store() {
    let mut region_shape = shape(2, 1);
    region_shape.service.call_ms = 1_000;
    let region = region(region_shape).await;
    let outage = async {
        eventually("the commit runs", async || {
            let state = dump(&region, "entry-1-1").await;
            assert!(!state.to_string().contains("k-out"));
            state["claims"][0]["phase"] == "running" && runs_of(&region, "k-out") == 1
        })
        .await;
        region.store.apply(Fault::Crash);
    };
    let (first, ()) = tokio::join!(commit(&region, "entry-1-1", Some("k-out")), outage);
    assert_eq!(first.status, 200, "{}", first.text);
    let repeat = commit(&region, "entry-1-2", Some("k-out")).await;
    assert_eq!(repeat.error_type(), "store_unavailable");
    region.store.apply(Fault::Start);
    eventually("the repeat gets the first answer", async || {
        let repeat = commit(&region, "entry-1-2", Some("k-out")).await;
        repeat.status == 200 && repeat.text == first.text
    })
    .await;
    assert_eq!(runs_of(&region, "k-out"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_starts_while_responses_of_the_store_are_lost() {
    let mut region = region(shape(2, 1)).await;
    region.store.apply(Fault::LoseAnswers { count: 10 });
    let zone = zone_name(1);
    region.start_entry("entry-1-9", &zone).await.unwrap();
    region.wait_for_bundle(BundleVersion(1)).await;
    region.wait_for_owners().await.unwrap();
    let reply = generate(&region, "entry-1-9", "needle-0002").await;
    assert_eq!(reply.status, 200, "{}", reply.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_that_starts_on_an_older_pointer_gets_the_newer_bundle_from_peers() {
    let mut region = region(shape(2, 1)).await;
    let second = Bundle::sample(BundleVersion(2), 42);
    region.roll_out(&second).await.unwrap();
    let first = Bundle::sample(BundleVersion(1), 40);
    let store = region.store_client();
    roll_out(&store, &region.key, &first).await.unwrap();
    let zone = zone_name(1);
    region.start_entry("entry-1-9", &zone).await.unwrap();
    region.wait_for_bundle(BundleVersion(2)).await;
    region.wait_for_owners().await.unwrap();
    let reply = generate(&region, "entry-1-9", "needle-0040").await;
    assert_eq!(reply.status, 200, "{}", reply.text);
}
