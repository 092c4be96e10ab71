//! Roll-outs against the key-value service's stand-in and its faults.

use std::sync::Arc;

use ed25519_dalek::SigningKey;
use monsoonspread_borders::store::EtcdGateway;
use monsoonspread_model::{Bundle, BundleVersion, UnixMs};
use monsoonspread_standin::{Fault, Running, Store, StoreSettings};

use super::{BundleStore, RollOut, RollOutError, RollOutOutcome};
use crate::signed_bundle::SignedBundle;

const LONG_MS: u64 = 30_000;

async fn store() -> (Running<Store>, Arc<EtcdGateway>) {
    let settings = StoreSettings {
        call_ms: 0,
        ..StoreSettings::default()
    };
    let store = Store::start(settings).await.expect("the store starts");
    let client = Arc::new(EtcdGateway::new(vec![store.address()]));
    (store, client)
}

fn signed(version: u64, adapters: usize) -> SignedBundle {
    let key = SigningKey::from_bytes(&[7; 32]);
    SignedBundle::sign(Bundle::sample(BundleVersion(version), adapters), &key)
}

fn roll_out(client: &Arc<EtcdGateway>) -> RollOut {
    RollOut::new(Arc::clone(client) as _, UnixMs::now() + LONG_MS)
}

#[tokio::test]
async fn versions_follow_one_by_one_and_are_kept() {
    let (_store, client) = store().await;
    let bundles = BundleStore::new(Arc::clone(&client) as _);
    for version in 1..=3 {
        let outcome = roll_out(&client).run(&signed(version, 3)).await;
        assert_eq!(outcome, Ok(RollOutOutcome::Written));
    }
    let again = roll_out(&client).run(&signed(3, 3)).await;
    assert_eq!(again, Ok(RollOutOutcome::AlreadyInForce));
    let skipped = roll_out(&client).run(&signed(5, 3)).await.unwrap_err();
    assert_eq!(
        skipped.to_string(),
        "bundle 5 can't follow bundle 3: the next version is 4"
    );
    let history = bundles.history().await.unwrap();
    assert_eq!(
        history.iter().map(|one| one.version.0).collect::<Vec<_>>(),
        [1, 2, 3]
    );
    let stored = bundles.bundle(&history[2]).await.unwrap();
    assert_eq!(stored.as_ref(), Some(signed(3, 3).bundle()));
}

#[tokio::test]
async fn a_race_has_one_winner_and_its_loser_learns_which() {
    let (_store, client) = store().await;
    let rivals = [signed(1, 2), signed(1, 4)];
    let machine = roll_out(&client);
    let (a, b) = tokio::join!(machine.run(&rivals[0]), machine.run(&rivals[1]));
    let (winner, loser) = match (a, b) {
        (Ok(RollOutOutcome::Written), Err(error)) => (&rivals[0], error),
        (Err(error), Ok(RollOutOutcome::Written)) => (&rivals[1], error),
        other => panic!("not one winner: {other:?}"),
    };
    let winner = winner.manifest();
    assert_eq!(loser, RollOutError::conflict(1, winner));
    let bundles = BundleStore::new(Arc::clone(&client) as _);
    assert_eq!(
        bundles.in_force().await.unwrap().manifest.as_ref(),
        Some(winner)
    );
    let history = bundles.history().await.unwrap();
    assert_eq!(history.first(), Some(winner));
    assert_eq!(history.len(), 1);
}

#[tokio::test]
async fn an_older_version_is_a_conflict_that_names_the_one_in_force() {
    let (_store, client) = store().await;
    for version in 1..=2 {
        roll_out(&client).run(&signed(version, 3)).await.unwrap();
    }
    let rival = signed(2, 5);
    let error = roll_out(&client).run(&rival).await.unwrap_err();
    assert!(error.is_conflict());
    assert!(error.to_string().contains(&signed(2, 3).manifest().digest));
}

#[tokio::test]
async fn an_answer_lost_after_the_write_is_no_failure() {
    // The first is lost for the part, the second for the pointer.
    for count in 1..=3 {
        let (store, client) = store().await;
        store.apply(Fault::LoseAnswers { count });
        let outcome = roll_out(&client).run(&signed(1, 3)).await;
        assert_eq!(outcome, Ok(RollOutOutcome::Written), "{count} answers lost");
        let bundles = BundleStore::new(Arc::clone(&client) as _);
        assert_eq!(bundles.history().await.unwrap().len(), 1);
    }
}

#[tokio::test]
async fn a_store_that_is_down_leaves_nothing_written() {
    let (store, client) = store().await;
    store.apply(Fault::Crash);
    let machine = RollOut::new(Arc::clone(&client) as _, UnixMs::now());
    let error = machine.run(&signed(1, 3)).await.unwrap_err();
    assert!(
        matches!(error, RollOutError::NotWritten { version: 1, .. }),
        "{error}"
    );
}

#[tokio::test]
async fn a_roll_out_outlasts_an_outage() {
    let (store, client) = store().await;
    store.apply(Fault::Crash);
    let machine = roll_out(&client);
    let bundle = signed(1, 3);
    let (outcome, ()) = tokio::join!(machine.run(&bundle), async {
        tokio::task::yield_now().await;
        store.apply(Fault::Start);
    });
    assert_eq!(outcome, Ok(RollOutOutcome::Written));
}
