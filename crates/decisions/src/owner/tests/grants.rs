//! Grants, returns, withdrawals and their duplicates.

use monsoonspread_model::message::{GrantAnswer, GrantOutcome, RequestId};

use super::fixture::*;

#[test]
fn loads_the_adapter_then_grants() {
    let mut owner = fresh(2, 4, settings());
    let actions = owner.on_request(START, &entry(), request(1, "a"));
    assert_eq!(loads(&actions), [copy("a")]);
    assert!(matches!(
        answer(&actions, 1),
        Some(GrantAnswer::Queued { .. })
    ));
    let actions = owner.on_load_result(START + 250, &engine(), &copy("a"), Ok(()));
    assert!(granted(&actions, 1).is_some());
    let actions = owner.on_request(START + 251, &entry(), request(2, "a"));
    assert!(granted(&actions, 2).is_some());
    assert!(loads(&actions).is_empty());
}

#[test]
fn one_load_serves_all_waiters() {
    let mut owner = fresh(2, 4, settings());
    owner.on_request(START, &entry(), request(1, "a"));
    let actions = owner.on_request(START, &entry(), request(2, "a"));
    assert!(loads(&actions).is_empty());
    let actions = owner.on_load_result(START + 250, &engine(), &copy("a"), Ok(()));
    assert!(granted(&actions, 1).is_some() && granted(&actions, 2).is_some());
}

#[test]
fn evicts_the_unpinned_copy() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    load(&mut owner, START, 2, "b");
    let actions = owner.on_request(START + 10, &entry(), request(3, "a"));
    let pin = granted(&actions, 3).unwrap();
    let actions = owner.on_request(START + 60_000, &entry(), request(4, "c"));
    assert!(refused(&actions, 4), "its deadline has passed: {actions:?}");
    let late = monsoonspread_model::message::GrantRequest {
        deadline_unix_ms: START + 90_000,
        ..request(5, "c")
    };
    let actions = owner.on_request(START + 60_000, &entry(), late);
    assert_eq!(unloads(&actions), [copy("b")]);
    let actions = owner.on_unload_result(START + 60_001, &engine(), &copy("b"), Ok(()));
    assert_eq!(loads(&actions), [copy("c")]);
    owner.on_return(START + 60_002, &entry(), returned(pin));
}

#[test]
fn a_duplicate_request_gets_the_same_grant() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    let first = owner.on_request(START, &entry(), request(2, "a"));
    let second = owner.on_request(START + 5, &entry(), request(2, "a"));
    assert_eq!(answer(&first, 2), answer(&second, 2));
}

#[test]
fn a_late_duplicate_of_a_done_request_gets_no_second_grant() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    let actions = owner.on_request(START + 5, &entry(), request(1, "a"));
    assert_eq!(answer(&actions, 1), None);
}

#[test]
fn a_withdrawn_request_is_not_granted_later() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    owner.on_withdraw(START, &entry(), &engine(), RequestId(2));
    let actions = owner.on_request(START + 5, &entry(), request(2, "a"));
    assert!(refused(&actions, 2));
}

#[test]
fn a_return_of_an_unreachable_upstream_refuses_new_work_for_a_moment() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    let actions = owner.on_request(START, &entry(), request(2, "a"));
    let grant = granted(&actions, 2).unwrap();
    owner.on_return(START, &entry(), ended(grant, GrantOutcome::Unreachable));
    let actions = owner.on_request(START + 1, &entry(), request(3, "a"));
    assert!(refused(&actions, 3));
    let actions = owner.on_request(START + 1_000, &entry(), request(4, "a"));
    assert!(granted(&actions, 4).is_some());
}
