mod simulation;

use std::collections::HashMap;

use monsoonspread_model::{RefusalReason, ServiceName, UnixMs, UpstreamName};
use quickcheck::{Arbitrary, Gen};

use super::router::MAX_COMMITS_PER_SERVER;
use super::{CallAction, CallResult, ServiceCall, ServiceRouter, ServiceServer};
use crate::retry_budget::RetryBudget;

const NOW: UnixMs = UnixMs(1_000);

fn records() -> ServiceName {
    "records".into()
}

fn router() -> ServiceRouter {
    let mut router = ServiceRouter::new("zone-0".into(), 7);
    let servers: Vec<ServiceServer> = (0..3)
        .map(|number| ServiceServer {
            name: format!("records-{number}").into(),
            service: records(),
            zone: format!("zone-{number}").into(),
        })
        .collect();
    router.on_servers(&servers);
    router
}

fn call(repeatable: bool) -> ServiceCall {
    ServiceCall::new(records(), repeatable, NOW + 2_000)
}

fn server(action: &CallAction) -> UpstreamName {
    match action {
        CallAction::Send { server } => server.clone(),
        other => panic!("{other:?} sends nothing"),
    }
}

#[test]
fn a_call_that_may_not_repeat_is_never_sent_after_it_may_have_run() {
    for seed in 0..500 {
        let mut random = Gen::from_size_and_seed(10, seed);
        let (mut router, mut retries) = (router(), RetryBudget::new(0.1, 10.0));
        let mut call = call(false);
        let mut action = call.start(NOW, &mut router);
        let mut may_have_run = false;
        while let CallAction::Send { .. } = action {
            assert!(!may_have_run, "seed {seed}");
            let results = [
                CallResult::Replied,
                CallResult::Unreachable,
                CallResult::NotRun,
                CallResult::AnswerLost,
            ];
            let result = results[usize::arbitrary(&mut random) % results.len()];
            may_have_run |= matches!(result, CallResult::Replied | CallResult::AnswerLost);
            action = call.on_result(NOW, result, &mut router, &mut retries);
        }
        if let CallAction::Refuse(refusal) = action {
            assert_eq!(refusal.not_run, !may_have_run, "seed {seed}");
        }
    }
}

#[test]
fn a_read_with_a_lost_answer_is_repeated_elsewhere() {
    let (mut router, mut retries) = (router(), RetryBudget::new(0.1, 10.0));
    let mut call = call(true);
    let first = server(&call.start(NOW, &mut router));
    let action = call.on_result(NOW, CallResult::AnswerLost, &mut router, &mut retries);
    assert_ne!(server(&action), first);
    let action = call.on_result(NOW, CallResult::Replied, &mut router, &mut retries);
    assert_eq!(action, CallAction::Reply);
}

#[test]
fn reads_find_a_server_when_all_are_full_of_commits() {
    let mut router = router();
    for _ in 0..3 * MAX_COMMITS_PER_SERVER {
        router.pick(NOW, &records(), false, &[]).unwrap();
    }
    let refusal = router.pick(NOW, &records(), false, &[]).unwrap_err();
    assert!(refusal.not_run && refusal.retry_at_unix_ms.is_some());
    assert!(router.pick(NOW, &records(), true, &[]).is_ok());
}

#[test]
fn slow_and_failed_servers_get_less() {
    let mut router = router();
    let mut counts: HashMap<UpstreamName, u32> = HashMap::new();
    for step in 0..600_u64 {
        let now = NOW + step;
        let picked = router.pick(now, &records(), true, &[]).unwrap();
        let slow = picked.as_str() == "records-1";
        router.on_end(now, &picked, true, Some(if slow { 200 } else { 4 }));
        *counts.entry(picked).or_default() += 1;
    }
    let slow = counts.get("records-1").copied().unwrap_or_default();
    assert!(slow < 120, "the slow server got {slow} of 600");
    assert!(
        slow > 60,
        "two choices still probe it, it got {slow} of 600"
    );
}

#[test]
fn an_unknown_service_is_refused() {
    let refusal = router().pick(NOW, &"cards".into(), true, &[]).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Unavailable);
}
