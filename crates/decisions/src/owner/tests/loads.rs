//! Which adapter is loaded, what is evicted, and the budget.

use monsoonspread_model::RequestClass;
use monsoonspread_model::message::{BudgetAsk, BudgetLend, GrantRequest, MeshMessage, RequestId};

use super::fixture::*;
use crate::owner::{OrderFailure, OwnerAction, OwnerSettings};

fn one_load() -> OwnerSettings {
    OwnerSettings {
        load_rate_per_s: 1.0,
        load_burst: 1.0,
        ..settings()
    }
}

#[test]
fn the_load_with_most_waiting_work_goes_first() {
    let mut owner = fresh(4, 8, one_load());
    owner.on_request(START, &entry(), request(1, "a"));
    owner.on_request(START, &entry(), request(2, "b"));
    owner.on_request(START, &entry(), request(3, "c"));
    owner.on_request(START, &entry(), request(4, "c"));
    assert!(
        loads(&owner.on_tick(START + 500)).is_empty(),
        "the budget is used up"
    );
    assert_eq!(loads(&owner.on_tick(START + 1_000)), [copy("c")]);
}

#[test]
fn a_higher_priority_weighs_more() {
    let mut owner = fresh(4, 8, one_load());
    owner.on_request(START, &entry(), request(1, "a"));
    owner.on_request(START, &entry(), request(2, "b"));
    let urgent = GrantRequest {
        priority: 200,
        ..request(3, "c")
    };
    owner.on_request(START, &entry(), urgent);
    assert_eq!(loads(&owner.on_tick(START + 1_000)), [copy("c")]);
}

#[test]
fn a_popular_copy_is_not_evicted_for_one_cold_request() {
    let mut owner = fresh(1, 8, settings());
    load(&mut owner, START, 1, "hot");
    for id in 2..60 {
        let grant = take(&mut owner, START, id, "hot");
        owner.on_return(START, &entry(), returned(grant));
    }
    let actions = owner.on_request(START, &entry(), request(100, "cold"));
    assert!(unloads(&actions).is_empty());
    assert!(
        unloads(&owner.on_tick(START + 50_000)).contains(&copy("hot")),
        "its popularity has decayed"
    );
}

#[test]
fn a_copy_with_waiting_work_is_not_evicted() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    load(&mut owner, START, 2, "c");
    let long = |id, name| request_of(START, id, name, RequestClass::Long);
    for id in 3..5 {
        assert!(granted(&owner.on_request(START, &entry(), long(id, "c")), id).is_some());
    }
    owner.on_request(START, &entry(), long(5, "a"));
    let actions = owner.on_request(START, &entry(), request(6, "b"));
    assert!(
        unloads(&actions).is_empty(),
        "the long request waits for its share"
    );
    let actions = owner.on_withdraw(START, &entry(), &engine(), RequestId(5));
    assert_eq!(unloads(&actions), [copy("a")]);
}

#[test]
fn one_copy_is_evicted_at_a_time() {
    let mut owner = fresh(2, 4, settings());
    load(&mut owner, START, 1, "a");
    load(&mut owner, START, 2, "b");
    let now = START + 50_000;
    let actions = owner.on_request(now, &entry(), request_at(now, 3, "c"));
    assert_eq!(unloads(&actions).len(), 1);
    let actions = owner.on_request(now, &entry(), request_at(now, 4, "c"));
    assert!(unloads(&actions).is_empty());
}

#[test]
fn a_copy_is_not_loaded_again_while_its_unload_may_be_late() {
    let mut owner = fresh(1, 8, settings());
    load(&mut owner, START, 1, "a");
    let now = START + 50_000;
    owner.on_request(now, &entry(), request_at(now, 2, "b"));
    owner.on_unload_result(now, &engine(), &copy("a"), Err(OrderFailure::AnswerLost));
    owner.on_tick(now + 1_000);
    owner.on_unload_result(now + 1_001, &engine(), &copy("a"), Ok(()));
    let actions = owner.on_request(now + 1_002, &entry(), request_at(now, 3, "a"));
    assert!(refused(&actions, 3) && loads(&actions).is_empty());
}

#[test]
fn a_failed_load_refuses_its_waiters_at_once_and_backs_off() {
    let mut owner = fresh(2, 8, settings());
    owner.on_request(START, &entry(), request(1, "a"));
    let actions = owner.on_load_result(START, &engine(), &copy("a"), Err(OrderFailure::Failed));
    assert!(refused(&actions, 1));
    let actions = owner.on_request(START + 100, &entry(), request(2, "a"));
    assert!(refused(&actions, 2) && loads(&actions).is_empty());
    let actions = owner.on_request(START + 600, &entry(), request(3, "a"));
    assert_eq!(loads(&actions), [copy("a")]);
}

#[test]
fn a_load_whose_answer_was_lost_is_settled_by_a_report() {
    let mut owner = fresh(1, 8, settings());
    owner.on_request(START, &entry(), request(1, "a"));
    owner.on_load_result(START, &engine(), &copy("a"), Err(OrderFailure::AnswerLost));
    let actions = owner.on_request(START + 1, &entry(), request(2, "b"));
    assert!(loads(&actions).is_empty(), "its slot may be taken");
    owner.on_withdraw(START + 2, &entry(), &engine(), RequestId(2));
    let seen = report(START + 50, &[(copy("a"), 0)]);
    owner.on_report(START + 100, &engine(), seen);
    take(&mut owner, START + 700, 3, "a");
}

#[test]
fn an_unload_whose_answer_was_lost_is_sent_again() {
    let mut owner = fresh(1, 8, settings());
    load(&mut owner, START, 1, "a");
    let now = START + 50_000;
    let actions = owner.on_request(now, &entry(), request_at(now, 2, "b"));
    assert_eq!(unloads(&actions), [copy("a")]);
    owner.on_unload_result(now, &engine(), &copy("a"), Err(OrderFailure::AnswerLost));
    assert!(loads(&owner.on_tick(now + 500)).is_empty());
    assert_eq!(unloads(&owner.on_tick(now + 1_000)), [copy("a")]);
    let actions = owner.on_unload_result(now + 1_001, &engine(), &copy("a"), Ok(()));
    assert_eq!(loads(&actions), [copy("b")]);
}

#[test]
fn a_copy_that_a_later_report_lacks_is_loaded_again() {
    let mut owner = fresh(2, 8, settings());
    load(&mut owner, START, 1, "a");
    owner.on_report(START + 100, &engine(), report(START + 100, &[]));
    take(&mut owner, START + 100, 2, "a");
    owner.on_report(START + 900, &engine(), report(START + 900, &[]));
    let actions = owner.on_request(START + 901, &entry(), request(3, "a"));
    assert_eq!(loads(&actions), [copy("a")]);
}

#[test]
fn a_request_that_may_not_load_finds_a_copy_or_is_refused() {
    let mut owner = fresh(2, 8, settings());
    let second_try = |id| GrantRequest {
        may_load: false,
        ..request(id, "a")
    };
    let actions = owner.on_request(START, &entry(), second_try(1));
    assert!(refused(&actions, 1) && loads(&actions).is_empty());
    owner.on_request(START, &entry(), request(2, "a"));
    owner.on_request(START, &entry(), second_try(3));
    let actions = owner.on_load_result(START + 250, &engine(), &copy("a"), Ok(()));
    assert!(granted(&actions, 3).is_some());
}

#[test]
fn budget_is_requested_and_lent_and_expires() {
    let mut poor = fresh(2, 8, one_load());
    let mut rich = fresh(2, 8, settings());
    poor.on_request(START, &entry(), request(1, "a"));
    poor.on_request(START, &entry(), request(2, "b"));
    let actions = poor.on_tick(START + 20);
    let ask = actions.iter().find_map(|action| match action {
        OwnerAction::Send {
            message: MeshMessage::BudgetAsk(ask),
            ..
        } => Some(*ask),
        _ => None,
    });
    assert_eq!(ask, Some(BudgetAsk { loads_wanted: 1 }));
    let actions = rich.on_budget_ask(START + 20, &entry(), ask.unwrap());
    let [OwnerAction::Send { message, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    let MeshMessage::BudgetLend(lend) = message else {
        panic!("{message:?}");
    };
    let stale = BudgetLend {
        expires_at_unix_ms: START,
        ..*lend
    };
    assert!(loads(&poor.on_budget_lend(START + 21, &entry(), stale)).is_empty());
    assert_eq!(
        loads(&poor.on_budget_lend(START + 21, &entry(), *lend)),
        [copy("b")]
    );
}

#[test]
fn a_load_that_is_never_answered_is_given_up() {
    let mut owner = fresh(1, 8, settings());
    let patient = GrantRequest {
        deadline_unix_ms: START + 600_000,
        ..request(1, "a")
    };
    owner.on_request(START, &entry(), patient);
    assert!(!refused(&owner.on_tick(START + 14_000), 1));
    assert!(refused(&owner.on_tick(START + 15_000), 1));
}

#[test]
fn a_stuck_load_does_not_keep_other_adapters_from_loading() {
    let mut owner = fresh(
        4,
        8,
        OwnerSettings {
            loads_in_transit: 1,
            ..settings()
        },
    );
    owner.on_request(START, &entry(), request(1, "a"));
    owner.on_request(START, &entry(), request(2, "b"));
    assert!(loads(&owner.on_tick(START + 500)).is_empty());
    assert_eq!(loads(&owner.on_tick(START + 1_500)), [copy("b")]);
}
