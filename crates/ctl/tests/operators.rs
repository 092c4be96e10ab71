//! Operators who race each other on a key-value service that fails.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::UnreliableStore;
use ed25519_dalek::SigningKey;
use monsoonspread_ctl::{RollOut, RollOutError, RollOutOutcome, SignedBundle};
use monsoonspread_model::bundle::{BundleDelta, Manifest};
use monsoonspread_model::{Bundle, BundleVersion, UnixMs};
use tokio::task::JoinSet;

const SEEDS: u64 = 150;
const OPERATORS: usize = 3;
const VERSIONS: u64 = 4;

type Ended = (SignedBundle, Result<RollOutOutcome, RollOutError>);

/// An operator's bundle of one version; each operator's has other content.
fn signed(version: u64, operator: usize) -> SignedBundle {
    let key = SigningKey::from_bytes(&[7; 32]);
    SignedBundle::sign(Bundle::sample(BundleVersion(version), operator), &key)
}

/// Lets every operator roll out every version in turn; an impatient one gives up at once.
async fn race(store: &Arc<UnreliableStore>, patient: bool) -> Vec<Ended> {
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let store = Arc::clone(store);
        let deadline = if patient {
            UnixMs::now() + 600_000
        } else {
            UnixMs(0)
        };
        operators.spawn(async move {
            let roll_out = RollOut::new(store, deadline);
            let mut ended = Vec::new();
            for version in 1..=VERSIONS {
                let signed = signed(version, operator);
                let result = roll_out.run(&signed).await;
                ended.push((signed, result));
            }
            ended
        });
    }
    operators.join_all().await.concat()
}

fn manifests(store: &UnreliableStore, prefix: &str) -> Vec<Manifest> {
    let rows = store.rows(prefix);
    rows.iter()
        .map(|row| serde_json::from_slice(&row.value).expect("a manifest"))
        .collect()
}

/// Every bundle that was in force, by version; the pointer may be ahead of the history.
fn in_force(store: &UnreliableStore) -> BTreeMap<u64, Manifest> {
    let history = manifests(store, "/monsoonspread/bundle/history/");
    let pointer = manifests(store, "/monsoonspread/bundle/pointer");
    let all = history.into_iter().chain(pointer);
    all.map(|manifest| (manifest.version.0, manifest)).collect()
}

fn check(store: &UnreliableStore, ended: &[Ended], seed: u64) {
    let in_force = in_force(store);
    let versions = in_force.keys().copied().collect::<Vec<_>>();
    let expected = (1..=versions.len() as u64).collect::<Vec<_>>();
    assert_eq!(versions, expected, "seed {seed}: a version was skipped");
    for (signed, result) in ended {
        let version = signed.manifest().version.0;
        let was_in_force = in_force.get(&version) == Some(signed.manifest());
        match result {
            Ok(_) => assert!(was_in_force, "seed {seed}: {version} is not in force"),
            Err(RollOutError::OutcomeUnknown { .. }) => {}
            Err(error) => assert!(!was_in_force, "seed {seed}: in force, but: {error}"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn patient_operators_have_one_winner_for_each_version() {
    for seed in 0..SEEDS {
        let store = Arc::new(UnreliableStore::new(seed));
        let ended = race(&store, true).await;
        check(&store, &ended, seed);
        assert_eq!(in_force(&store).len() as u64, VERSIONS, "seed {seed}");
        let written = |result: &Result<_, _>| *result == Ok(RollOutOutcome::Written);
        let winners = ended.iter().filter(|(_, result)| written(result)).count();
        assert_eq!(winners as u64, VERSIONS, "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn operators_who_give_up_are_never_told_a_falsehood() {
    for seed in 0..SEEDS {
        let store = Arc::new(UnreliableStore::new(seed));
        let ended = race(&store, false).await;
        check(&store, &ended, seed);
    }
}

#[tokio::test(start_paused = true)]
async fn a_delta_that_is_found_leads_to_the_bundle_in_force_or_is_a_rivals() {
    for seed in 0..SEEDS {
        let store = Arc::new(UnreliableStore::new(seed));
        let ended = race(&store, true).await;
        let in_force = in_force(&store);
        let bundle = |version: u64| {
            let is_winner =
                |signed: &&SignedBundle| in_force.get(&version) == Some(signed.manifest());
            let mut bundles = ended.iter().map(|(signed, _)| signed);
            bundles.find(is_winner).expect("a winner").bundle().clone()
        };
        for row in store.rows("/monsoonspread/bundle/delta/") {
            let delta: BundleDelta = ciborium::from_reader(row.value.as_slice()).expect("a delta");
            let result = delta.apply(&bundle(delta.from.0)).expect("its predecessor");
            let rivals = (0..OPERATORS).map(|operator| signed(delta.to.0, operator));
            let mut rivals = rivals.map(|signed| signed.bundle().clone());
            assert!(rivals.any(|rival| rival == result), "seed {seed}");
        }
    }
}
