//! Batching of creates into transactions.

use monsoonspread_model::UnixMs;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::claims::{
    BatchAction, BatchSettings, ClaimBatcher, ClaimKey, ClaimRecord, ClaimState, ClaimToken,
    CreateResult,
};

const NOW: UnixMs = UnixMs(1_000);
const DUE: UnixMs = UnixMs(1_003);

fn entry(number: u64) -> (ClaimKey, ClaimRecord) {
    let mut random = ChaCha8Rng::seed_from_u64(number);
    let record = ClaimRecord {
        token: ClaimToken::random(&mut random),
        body_digest: String::new(),
        deadline_unix_ms: UnixMs(9_000),
        state: ClaimState::Started,
    };
    let key = ClaimKey::new(&"records".into(), &"bench".into(), &number.to_string());
    (key, record)
}

fn filled(count: u64) -> ClaimBatcher {
    let mut batcher = ClaimBatcher::new(BatchSettings::default());
    for number in 0..count {
        let (key, record) = entry(number);
        assert!(batcher.on_create(NOW, key, record).is_empty());
    }
    batcher
}

fn sizes(actions: &[BatchAction]) -> Vec<usize> {
    let batches = actions.iter().filter_map(|action| match action {
        BatchAction::CreateAll { entries, .. } => Some(entries.len()),
        BatchAction::Result { .. } => None,
    });
    batches.collect()
}

#[test]
fn creates_of_a_few_milliseconds_share_one_transaction() {
    let mut batcher = filled(20);
    assert_eq!(batcher.next_due(), Some(DUE));
    assert_eq!(sizes(&batcher.on_tick(DUE)), [20]);
    let results = batcher.on_created(DUE, 1, Some(5));
    let created = |action: &&BatchAction| {
        matches!(
            action,
            BatchAction::Result {
                result: CreateResult::Created(Some(5)),
                ..
            }
        )
    };
    assert_eq!(results.iter().filter(created).count(), 20);
}

#[test]
fn an_existing_key_fails_no_other_create() {
    let mut batcher = filled(3);
    batcher.on_tick(DUE);
    let present = (entry(9).1, 4);
    let actions = batcher.on_exists(DUE, 1, vec![None, Some(present.clone()), None]);
    assert_eq!(sizes(&actions), [1, 1]);
    let (_, record) = entry(1);
    let result = CreateResult::Exists(present.0, present.1);
    assert!(actions.contains(&BatchAction::Result { record, result }));
}

#[test]
fn one_key_is_in_a_transaction_once() {
    let mut batcher = filled(2);
    let (key, record) = entry(0);
    batcher.on_create(NOW, key, record);
    assert_eq!(sizes(&batcher.on_tick(DUE)), [2, 1]);
}

#[test]
fn a_slow_service_makes_transactions_larger_but_not_more_numerous() {
    let mut batcher = ClaimBatcher::new(BatchSettings::default());
    let mut sent = Vec::new();
    for number in 0..200 {
        let (key, record) = entry(number);
        let now = NOW + number;
        sent.extend(sizes(&batcher.on_create(now, key, record)));
    }
    assert_eq!(sent.len(), BatchSettings::default().max_in_flight);
    let actions = batcher.on_unreachable(NOW + 200, 1);
    assert_eq!(sizes(&actions), [BatchSettings::default().max_entries]);
}
