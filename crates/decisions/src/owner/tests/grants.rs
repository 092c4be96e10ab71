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

#[test]
fn an_expired_grant_frees_its_place_and_keeps_its_pin() {
    let mut owner = fresh(1, 1, settings());
    load(&mut owner, START, 1, "a");
    take(&mut owner, START, 2, "a");
    let late = START + 31_000;
    owner.on_tick(late);
    assert_eq!(owner.dump(late).upstreams[0].places_used, 0);
    owner.on_request(late, &entry(), request_at(late, 3, "b"));
    assert!(unloads(&owner.on_tick(late + 20)).is_empty());
    let used = report(late + 900, &[(copy("a"), 1)]);
    assert!(unloads(&owner.on_report(late + 900, &engine(), used)).is_empty());
    let unused = report(late + 1_000, &[(copy("a"), 0)]);
    let actions = owner.on_report(late + 1_000, &engine(), unused);
    assert_eq!(unloads(&actions), [copy("a")]);
}

#[test]
fn a_removed_holder_frees_its_places_and_keeps_its_pins() {
    let mut owner = fresh(1, 1, settings());
    load(&mut owner, START, 1, "a");
    take(&mut owner, START, 2, "a");
    owner.on_instance_removed(START + 10, &entry());
    assert_eq!(owner.dump(START).upstreams[0].places_used, 0);
    let other = "entry-4".into();
    owner.on_request(START + 10, &other, request(3, "b"));
    let unused = report(START + 5_000, &[(copy("a"), 0)]);
    let actions = owner.on_report(START + 5_000, &engine(), unused);
    assert!(
        unloads(&actions).is_empty(),
        "a paused holder may still use its grant"
    );
}

#[test]
fn a_grant_is_returned_once_and_by_its_holder() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    let grant = take(&mut owner, START, 2, "a");
    take(&mut owner, START, 3, "a");
    owner.on_return(START, &"entry-9".into(), returned(grant));
    assert_eq!(owner.dump(START).upstreams[0].places_used, 2);
    owner.on_return(START, &entry(), returned(grant));
    owner.on_return(START, &entry(), returned(grant));
    assert_eq!(owner.dump(START).upstreams[0].places_used, 1);
}

#[test]
fn a_withdrawal_that_crosses_its_grant_returns_the_grant() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    take(&mut owner, START, 2, "a");
    owner.on_withdraw(START, &entry(), &engine(), RequestId(2));
    assert_eq!(owner.dump(START).upstreams[0].places_used, 0);
}

#[test]
fn a_leaving_upstream_gets_no_grant_and_its_queue_is_refused() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    owner.on_request(START, &entry(), request(2, "b"));
    assert!(refused(&owner.on_leaving(START, &engine()), 2));
    assert!(refused(
        &owner.on_request(START, &entry(), request(3, "a")),
        3
    ));
}

#[test]
fn a_draining_report_stops_grants() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    let mut draining = report(START + 10, &[(copy("a"), 0)]);
    draining.draining = true;
    owner.on_report(START + 10, &engine(), draining);
    assert!(refused(
        &owner.on_request(START + 11, &entry(), request(2, "a")),
        2
    ));
}

#[test]
fn an_instance_that_does_not_own_the_upstream_answers_not_owner() {
    let mut owner = fresh(2, 4, settings());
    owner.on_ownership_lost(START, &engine());
    let actions = owner.on_request(START, &entry(), request(1, "a"));
    assert_eq!(answer(&actions, 1), Some(GrantAnswer::NotOwner));
}

#[test]
fn an_upstream_that_is_listed_as_live_again_gets_grants() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    owner.on_leaving(START, &engine());
    owner.on_live(START + 10, &engine());
    take(&mut owner, START + 11, 2, "a");
}

#[test]
fn a_copy_is_kept_until_the_upstream_has_detected_a_disconnect() {
    for outcome in [GrantOutcome::Cancelled, GrantOutcome::Broken] {
        let mut owner = fresh(1, 1, settings());
        load(&mut owner, START, 1, "a");
        let held = take(&mut owner, START, 2, "a");
        owner.on_return(START + 10, &entry(), ended(held, outcome));
        let actions = owner.on_request(START + 10, &entry(), request(3, "b"));
        assert!(unloads(&actions).is_empty(), "{outcome:?}");
        let unused = report(START + 1_000, &[(copy("a"), 0)]);
        let actions = owner.on_report(START + 1_000, &engine(), unused);
        assert_eq!(unloads(&actions), [copy("a")], "{outcome:?}");
    }
}
